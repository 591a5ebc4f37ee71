#include "state/store.h"

#include <assert.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <urcu/urcu-memb.h>

#define STEP "sheet-activate"

/*
 * ThreadSanitizer does not see the ordering that liburcu makes with inline
 * assembly and membarrier(2), so its guarantees are stated here: a reader sees
 * what was written before publication, and the end of a grace period comes
 * after the readers that it waited for.
 */
#ifdef __SANITIZE_THREAD__
#include <sanitizer/tsan_interface.h>
#define NOTE_RELEASE(address) __tsan_release(address)
#define NOTE_ACQUIRE(address) __tsan_acquire(address)
#else
#define NOTE_RELEASE(address) ((void)(address))
#define NOTE_ACQUIRE(address) ((void)(address))
#endif

struct store {
	const mclock_t *clock;
	sheet_t *sheet; /* RCU pointer; written with the mutex held */
	pthread_mutex_t mutex;
	_Atomic int64_t confirmed_ms;
	_Atomic uint64_t conflicts;
};

static char grace_period; /* address for NOTE_RELEASE and NOTE_ACQUIRE */

static bool has_cold_host(const sheet_domain_t *domain,
			  const sheet_cold_host_t *host)
{
	for (size_t i = 0; i < domain->cold_host_count; i++) {
		if (str_equals(domain->cold_hosts[i].host, host->host) &&
		    str_equals(domain->cold_hosts[i].address, host->address))
			return true;
	}
	return false;
}

/* Shares do not depend on the order of the list. */
static bool has_same_cold_hosts(const sheet_domain_t *a,
				const sheet_domain_t *b)
{
	if (a->cold_host_count != b->cold_host_count)
		return false;
	for (size_t i = 0; i < a->cold_host_count; i++) {
		if (!has_cold_host(b, &a->cold_hosts[i]))
			return false;
	}
	return true;
}

/* A wrong cold_hosts_since would let two hosts use the same units. */
static err_code_t check_cold_hosts(const sheet_t *old, const sheet_t *new,
				   err_t *err)
{
	for (size_t i = 0; i < new->domain_count; i++) {
		const sheet_domain_t *after = &new->domains[i];
		const sheet_domain_t *before;
		int found = sheet_find_domain(old, after->name);

		if (found < 0)
			continue;
		before = &old->domains[found];
		if (after->cold_hosts_since_s < before->cold_hosts_since_s)
			return err_set(err, ERR_INVALID, STEP, "",
				       "cold_hosts_since of domain %" STR_FMT
				       " went back",
				       STR_ARG(after->name));
		if (after->cold_hosts_since_s == before->cold_hosts_since_s &&
		    !has_same_cold_hosts(before, after))
			return err_set(err, ERR_INVALID, STEP, "",
				       "cold_hosts of domain %" STR_FMT
				       " changed without a later "
				       "cold_hosts_since",
				       STR_ARG(after->name));
	}
	return ERR_OK;
}

/* The endpoint with this address; `hint` is its likely position. */
static const sheet_endpoint_t *find_address(const sheet_t *sheet, str_t address,
					    size_t hint)
{
	if (hint < sheet->endpoint_count &&
	    str_equals(sheet->endpoints[hint].address, address))
		return &sheet->endpoints[hint];
	for (size_t i = 0; i < sheet->endpoint_count; i++) {
		if (str_equals(sheet->endpoints[i].address, address))
			return &sheet->endpoints[i];
	}
	return NULL;
}

/* Units depend on the endpoint's name and domain, so a server that gets
 * another name or domain has its units moved. */
static err_code_t check_moves(const sheet_t *old, const sheet_t *new,
			      err_t *err)
{
	for (size_t i = 0; i < new->endpoint_count; i++) {
		const sheet_endpoint_t *after = &new->endpoints[i];
		const sheet_endpoint_t *before =
			find_address(old, after->address, i);
		const sheet_domain_t *to = &new->domains[after->domain_index];
		const sheet_domain_t *from;
		int same;

		if (!before || !to->cold_host_count)
			continue;
		from = &old->domains[before->domain_index];
		if (str_equals(before->name, after->name) &&
		    str_equals(from->name, to->name))
			continue;
		same = sheet_find_domain(old, to->name);
		if (same >= 0)
			from = &old->domains[same];
		if (to->cold_hosts_since_s <= from->cold_hosts_since_s)
			return err_set(err, ERR_INVALID, STEP, "",
				       "endpoint %" STR_FMT
				       " has another name or domain without a "
				       "later cold_hosts_since of domain "
				       "%" STR_FMT,
				       STR_ARG(after->name), STR_ARG(to->name));
	}
	return ERR_OK;
}

static void note_confirmation(store_t *store)
{
	atomic_store(&store->confirmed_ms, mclock_now_ms(store->clock));
}

/* Decides on a new sheet; `*same` when it is in force already. */
static err_code_t check_sheet(store_t *store, const sheet_t *old,
			      const sheet_t *new, bool *same, err_t *err)
{
	*same = false;
	if (!old)
		return ERR_OK;
	if (new->version > old->version) {
		err_code_t code = check_cold_hosts(old, new, err);

		return code == ERR_OK ? check_moves(old, new, err) : code;
	}
	if (new->version < old->version)
		return err_set(err, ERR_VERSION, STEP, "",
			       "version %" PRIu64 " is below %" PRIu64
			       " in force",
			       new->version, old->version);
	if (!memcmp(new->digest, old->digest, SHEET_DIGEST_BYTES)) {
		*same = true;
		return ERR_OK;
	}
	atomic_fetch_add(&store->conflicts, 1);
	return err_set(err, ERR_CONFLICT, STEP, "",
		       "version %" PRIu64 " is in force with other content",
		       new->version);
}

store_t *store_create(const mclock_t *clock)
{
	store_t *store = calloc(1, sizeof(*store));

	if (!store)
		return NULL;
	store->clock = clock;
	if (pthread_mutex_init(&store->mutex, NULL)) {
		free(store);
		return NULL;
	}
	return store;
}

void store_free(store_t *store)
{
	if (!store)
		return;
	urcu_memb_synchronize_rcu();
	sheet_free(store->sheet);
	pthread_mutex_destroy(&store->mutex);
	free(store);
}

void store_register_thread(void)
{
	urcu_memb_register_thread();
}

void store_unregister_thread(void)
{
	urcu_memb_unregister_thread();
}

void store_read_lock(void)
{
	urcu_memb_read_lock();
}

void store_read_unlock(void)
{
	NOTE_RELEASE(&grace_period);
	urcu_memb_read_unlock();
}

const sheet_t *store_sheet(const store_t *store)
{
	const sheet_t *sheet = rcu_dereference(store->sheet);

	NOTE_ACQUIRE((void *)(uintptr_t)sheet);
	return sheet;
}

err_code_t store_activate(store_t *store, sheet_t *sheet, err_t *err)
{
	sheet_t *unused = sheet;
	bool same;
	err_code_t code;

	assert(!urcu_memb_read_ongoing());
	pthread_mutex_lock(&store->mutex);
	code = check_sheet(store, store->sheet, sheet, &same, err);
	if (code == ERR_OK) {
		note_confirmation(store);
		if (!same) {
			NOTE_RELEASE(sheet);
			unused = rcu_xchg_pointer(&store->sheet, sheet);
			urcu_memb_synchronize_rcu();
			NOTE_ACQUIRE(&grace_period);
		}
	}
	pthread_mutex_unlock(&store->mutex);
	sheet_free(unused);
	return code;
}

void store_confirm(store_t *store, uint64_t version)
{
	pthread_mutex_lock(&store->mutex);
	if (store->sheet && store->sheet->version == version)
		note_confirmation(store);
	pthread_mutex_unlock(&store->mutex);
}

int64_t store_confirmed_ms(const store_t *store)
{
	return atomic_load(&store->confirmed_ms);
}

uint64_t store_version(const store_t *store, uint8_t digest[SHEET_DIGEST_BYTES])
{
	const sheet_t *sheet;
	uint64_t version = 0;

	if (digest)
		memset(digest, 0, SHEET_DIGEST_BYTES);
	store_read_lock();
	sheet = store_sheet(store);
	if (sheet) {
		version = sheet->version;
		if (digest)
			memcpy(digest, sheet->digest, SHEET_DIGEST_BYTES);
	}
	store_read_unlock();
	return version;
}

void store_note_conflict(store_t *store)
{
	atomic_fetch_add(&store->conflicts, 1);
}

uint64_t store_conflicts(const store_t *store)
{
	return atomic_load(&store->conflicts);
}
