#include "state/fleet_internal.h"

#include <math.h>
#include <stdlib.h>
#include <xxhash.h>

#include "base/plog.h"

/* Token rates decay exponentially with this time constant. */
#define FLEET_RATE_TIME_CONSTANT_MS 2000.0
/* Older rates count as 0: less than a thousandth of them is left. */
#define FLEET_RATE_MAX_AGE_MS 15000.0

static char *copy_text(str_t s)
{
	char *copy = str_dup(s);

	if (!copy)
		abort();
	return copy;
}

fleet_t *fleet_create(const fleet_observer_t *observer)
{
	fleet_t *fleet = calloc(1, sizeof(*fleet));

	if (!fleet)
		abort();
	fleet->observer = *observer;
	return fleet;
}

static size_t find_domain(const fleet_t *fleet, str_t name)
{
	for (size_t i = 0; i < fleet->domain_count; i++)
		if (str_equals(str_from(fleet->domains[i].name), name))
			return i;
	return FLEET_MAX_DOMAINS;
}

static size_t find_or_add_domain(fleet_t *fleet, str_t name)
{
	size_t index = find_domain(fleet, name);
	fleet_domain_t *domain;

	if (index < FLEET_MAX_DOMAINS ||
	    fleet->domain_count == FLEET_MAX_DOMAINS)
		return index;
	domain = &fleet->domains[fleet->domain_count];
	domain->name = copy_text(name);
	domain->region = copy_text((str_t){"", 0});
	return fleet->domain_count++;
}

const fleet_domain_t *fleet_domain_at(const fleet_t *fleet, size_t index)
{
	return &fleet->domains[index];
}

int fleet_find_service(const fleet_t *fleet, str_t name)
{
	for (size_t i = 0; i < fleet->service_count; i++)
		if (str_equals(str_from(fleet->services[i]), name))
			return (int)i;
	return -1;
}

static unsigned find_or_add_service(fleet_t *fleet, str_t name)
{
	int index = fleet_find_service(fleet, name);
	char **grown;

	if (index >= 0)
		return (unsigned)index;
	grown = realloc(fleet->services,
			(fleet->service_count + 1) * sizeof(*grown));
	if (!grown)
		abort();
	fleet->services = grown;
	fleet->lanes = realloc(fleet->lanes, (fleet->service_count + 1) *
						     sizeof(*fleet->lanes));
	fleet->marked_express_shares =
		realloc(fleet->marked_express_shares,
			(fleet->service_count + 1) *
				sizeof(*fleet->marked_express_shares));
	fleet->quiet_pauses_ms =
		realloc(fleet->quiet_pauses_ms,
			(fleet->service_count + 1) * sizeof(double));
	if (!fleet->lanes || !fleet->marked_express_shares ||
	    !fleet->quiet_pauses_ms)
		abort();
	fleet->marked_express_shares[fleet->service_count] = 0.0;
	fleet->quiet_pauses_ms[fleet->service_count] = 0.0;
	fleet->lanes[fleet->service_count] = (lanes_t){.share = 0.0};
	fleet->services[fleet->service_count] = copy_text(name);
	return (unsigned)fleet->service_count++;
}

void fleet_add_domain(fleet_t *fleet, str_t name, str_t region)
{
	fleet_domain_t *domain =
		&fleet->domains[find_or_add_domain(fleet, name)];

	if (!domain->region || str_equals(str_from(domain->region), region))
		return;
	free(domain->region);
	domain->region = copy_text(region);
}

str_t fleet_region(const fleet_t *fleet, str_t name)
{
	const char *region = fleet->domains[find_domain(fleet, name)].region;

	return region ? str_from(region) : (str_t){"", 0};
}

void endpoint_ref(endpoint_t *endpoint)
{
	endpoint->refs++;
}

void endpoint_unref(endpoint_t *endpoint)
{
	if (--endpoint->refs)
		return;
	free(endpoint->id);
	free(endpoint->service);
	free(endpoint->address);
	free(endpoint->domain);
	noticetable_unref(endpoint->notice_entry);
	free(endpoint);
}

void fleet_free(fleet_t *fleet)
{
	if (!fleet)
		return;
	for (size_t i = 0; i < fleet->count; i++)
		endpoint_unref(fleet->endpoints[i]);
	free(fleet->endpoints);
	for (size_t i = 0; i < fleet->domain_count; i++) {
		free(fleet->domains[i].name);
		free(fleet->domains[i].region);
	}
	for (size_t i = 0; i < fleet->service_count; i++)
		free(fleet->services[i]);
	free(fleet->services);
	free(fleet->lanes);
	free(fleet->marked_express_shares);
	free(fleet->quiet_pauses_ms);
	noticetable_release(&fleet->notices);
	free(fleet);
}

endpoint_t *fleet_find(const fleet_t *fleet, str_t id)
{
	for (size_t i = 0; i < fleet->count; i++)
		if (str_equals(str_from(fleet->endpoints[i]->id), id))
			return fleet->endpoints[i];
	return NULL;
}

static void append(fleet_t *fleet, endpoint_t *endpoint)
{
	if (fleet->count == fleet->cap) {
		endpoint_t **grown;

		fleet->cap = fleet->cap ? fleet->cap * 2 : 32;
		grown = realloc(fleet->endpoints, fleet->cap * sizeof(*grown));
		if (!grown)
			abort();
		fleet->endpoints = grown;
	}
	fleet->endpoints[fleet->count++] = endpoint;
}

static endpoint_t *create_endpoint(fleet_t *fleet,
				   const endpoint_record_t *record)
{
	endpoint_t *endpoint = calloc(1, sizeof(*endpoint));

	if (!endpoint)
		abort();
	endpoint->refs = 1;
	endpoint->id = copy_text(record->id);
	endpoint->service = copy_text(record->service);
	endpoint->address = copy_text(record->address);
	endpoint->domain = copy_text(record->domain);
	endpoint->service_index = find_or_add_service(fleet, record->service);
	endpoint->domain_index =
		(unsigned)find_or_add_domain(fleet, record->domain);
	endpoint->hash = XXH64(record->id.ptr, record->id.len, 0);
	endpoint->process_hash = XXH64(record->id.ptr, record->id.len,
				       (uint64_t)record->incarnation);
	endpoint->incarnation = record->incarnation;
	endpoint->slowness = 1.0;
	endpoint->notice_entry =
		noticetable_find(&fleet->notices, endpoint->process_hash);
	return endpoint;
}

/* Removes the endpoint from the list; its running requests continue. */
static void remove_at(fleet_t *fleet, size_t index)
{
	endpoint_t *endpoint = fleet->endpoints[index];

	fleet->endpoints[index] = fleet->endpoints[--fleet->count];
	endpoint->state = ENDPOINT_GONE;
	fleet->express_is_stale = true;
	fleet->observer.endpoint_gone(fleet->observer.user, endpoint);
	endpoint_unref(endpoint);
}

static void remove_endpoint(fleet_t *fleet, const endpoint_t *endpoint)
{
	for (size_t i = 0; i < fleet->count; i++)
		if (fleet->endpoints[i] == endpoint) {
			remove_at(fleet, i);
			return;
		}
}

static bool is_same_process(const endpoint_t *endpoint,
			    const endpoint_record_t *record)
{
	return endpoint->incarnation == record->incarnation &&
	       str_equals(str_from(endpoint->service), record->service) &&
	       str_equals(str_from(endpoint->address), record->address) &&
	       str_equals(str_from(endpoint->domain), record->domain);
}

static void set_cold_until(endpoint_t *endpoint, int64_t cold_until_ms)
{
	if (cold_until_ms <= endpoint->cold_until_ms)
		return;
	endpoint->cold_until_ms = cold_until_ms;
	pace_restart_at(&endpoint->pace, cold_until_ms);
}

/* True when no other host is known to have used the process before. */
static bool is_new_process(const fleet_t *fleet, bool replaces,
			   const endpoint_record_t *record, int64_t now_ms)
{
	return replaces || record->cold_ms > 0 ||
	       now_ms - fleet->first_put_ms > FLEET_FIRST_LISTING_MS;
}

static endpoint_t *add_endpoint(fleet_t *fleet, const endpoint_record_t *record,
				bool replaces, int64_t now_ms)
{
	endpoint_t *endpoint = create_endpoint(fleet, record);

	if (!fleet->first_put_ms)
		fleet->first_put_ms = now_ms;
	append(fleet, endpoint);
	if (is_new_process(fleet, replaces, record, now_ms))
		pace_start(&endpoint->pace, record->slots, now_ms);
	return endpoint;
}

endpoint_t *fleet_put(fleet_t *fleet, const endpoint_record_t *record,
		      int64_t now_ms)
{
	endpoint_t *endpoint = fleet_find(fleet, record->id);
	bool replaces = endpoint && !is_same_process(endpoint, record);

	if (replaces)
		remove_endpoint(fleet, endpoint);
	if (!endpoint || replaces)
		endpoint = add_endpoint(fleet, record, replaces, now_ms);
	endpoint->slots = record->slots;
	if (record->cold_ms > 0)
		set_cold_until(endpoint, now_ms + record->cold_ms);
	/* Warmth proved before the endpoint left doesn't hold after it
	 * returned.
	 */
	if (endpoint->state == ENDPOINT_LEAVING && !record->leaving)
		warmth_invalidate(&endpoint->warmth, now_ms);
	endpoint->state = record->leaving ? ENDPOINT_LEAVING : ENDPOINT_READY;
	fleet->express_is_stale = true;
	return endpoint;
}

void fleet_remove_now(fleet_t *fleet, str_t id)
{
	const endpoint_t *endpoint = fleet_find(fleet, id);

	if (endpoint)
		remove_endpoint(fleet, endpoint);
}

void fleet_remove(fleet_t *fleet, str_t id, int64_t now_ms)
{
	endpoint_t *endpoint = fleet_find(fleet, id);

	if (!endpoint)
		return;
	if (endpoint->state == ENDPOINT_LEAVING) {
		remove_endpoint(fleet, endpoint);
		return;
	}
	endpoint->state = ENDPOINT_LINGERING;
	endpoint->linger_until_ms = now_ms + FLEET_LINGER_MS;
	fleet->express_is_stale = true;
}

static void mark_domain_cold(fleet_t *fleet, str_t domain,
			     const catalog_t *catalog, int64_t now_ms)
{
	for (size_t i = 0; i < fleet->count; i++) {
		endpoint_t *endpoint = fleet->endpoints[i];
		const catalog_service_t *service;

		if (!catalog || !str_equals(str_from(endpoint->domain), domain))
			continue;
		warmth_invalidate(&endpoint->warmth, now_ms);
		service = catalog_find_service(catalog,
					       str_from(endpoint->service));
		if (service && service->cold_per_s > 0.0)
			set_cold_until(endpoint, now_ms + service->cold_ms);
	}
}

void fleet_set_evacuated(fleet_t *fleet, str_t name, bool evacuated,
			 const catalog_t *catalog, int64_t now_ms)
{
	size_t index = find_or_add_domain(fleet, name);
	fleet_domain_t *domain = &fleet->domains[index];

	if (index == FLEET_MAX_DOMAINS) {
		plog_write(PLOG_RECORD_INVALID,
			   "key=evacuate domain=%" STR_FMT
			   " reason=too-many-domains",
			   STR_ARG(name));
		return;
	}
	if (domain->evacuated && !evacuated)
		mark_domain_cold(fleet, name, catalog, now_ms);
	domain->evacuated = evacuated;
}

bool fleet_is_evacuated(const fleet_t *fleet, str_t name)
{
	return fleet->domains[find_domain(fleet, name)].evacuated;
}

void fleet_expire_lingering(fleet_t *fleet, int64_t now_ms)
{
	for (size_t i = fleet->count; i-- > 0;) {
		endpoint_t *endpoint = fleet->endpoints[i];

		if (endpoint->state == ENDPOINT_LINGERING &&
		    endpoint->linger_until_ms <= now_ms)
			remove_at(fleet, i);
	}
}

size_t fleet_count(const fleet_t *fleet)
{
	return fleet->count;
}

endpoint_t *fleet_at(const fleet_t *fleet, size_t index)
{
	return fleet->endpoints[index];
}

notice_t *fleet_notice(fleet_t *fleet, endpoint_t *endpoint)
{
	if (endpoint->notice_entry)
		return &endpoint->notice_entry->notice;
	endpoint->notice_entry =
		noticetable_get(&fleet->notices, endpoint->process_hash);
	/* A response may arrive after the record of its endpoint was replaced:
	 * the notice then applies to the new endpoint of the same process. */
	for (size_t i = 0; i < fleet->count; i++) {
		endpoint_t *other = fleet->endpoints[i];

		if (other->process_hash == endpoint->process_hash &&
		    !other->notice_entry)
			other->notice_entry = noticetable_get(
				&fleet->notices, other->process_hash);
	}
	return &endpoint->notice_entry->notice;
}

const notice_t *endpoint_notice(const endpoint_t *endpoint)
{
	return endpoint->notice_entry ? &endpoint->notice_entry->notice : NULL;
}

double endpoint_limit_per_s(const endpoint_t *endpoint)
{
	const notice_t *notice = endpoint_notice(endpoint);

	return notice ? notice->limit.per_s : 0.0;
}

static double decayed_rate(const endpoint_t *endpoint, int64_t now_ms)
{
	double age = (double)(now_ms - endpoint->rate_updated_ms);

	if (endpoint->tokens_per_s <= 0.0 || age > FLEET_RATE_MAX_AGE_MS)
		return 0.0;
	return age > 0.0 ? endpoint->tokens_per_s *
				   exp(-age / FLEET_RATE_TIME_CONSTANT_MS) :
			   endpoint->tokens_per_s;
}

void endpoint_count_tokens(endpoint_t *endpoint, uint64_t tokens,
			   int64_t now_ms)
{
	endpoint->tokens_per_s =
		decayed_rate(endpoint, now_ms) +
		(double)tokens * FLEET_MS_PER_S / FLEET_RATE_TIME_CONSTANT_MS;
	endpoint->rate_updated_ms = now_ms;
}

load_t endpoint_own_load(const endpoint_t *endpoint, int64_t now_ms)
{
	return (load_t){endpoint->backlog_tokens,
			(uint64_t)decayed_rate(endpoint, now_ms),
			endpoint->in_flight};
}

/* Part of the other hosts in a sum that includes this host's. */
static uint64_t others_part(uint64_t total, uint64_t own)
{
	return total > own ? total - own : 0;
}

load_t endpoint_load(const endpoint_t *endpoint, int64_t now_ms)
{
	load_t load = endpoint_own_load(endpoint, now_ms);
	const load_t *total = &endpoint->total_load;
	const load_t *own = &endpoint->counted_own_load;

	load.backlog_tokens +=
		others_part(total->backlog_tokens, own->backlog_tokens);
	load.tokens_per_s +=
		others_part(total->tokens_per_s, own->tokens_per_s);
	load.in_flight +=
		(unsigned)others_part(total->in_flight, own->in_flight);
	return load;
}

bool endpoint_is_cold(const endpoint_t *endpoint, int64_t now_ms)
{
	return endpoint->cold_until_ms > now_ms;
}
