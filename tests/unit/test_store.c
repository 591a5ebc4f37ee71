#include "unit.h"

#include "sheets.h"
#include "state/store.h"

#include <pthread.h>
#include <sched.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>

#define READERS 4
#define VERSIONS 200

static store_t *store;
static mclock_manual_t manual;

static void start_store(void)
{
	mclock_manual_init(&manual, 1000);
	store = store_create(&manual.base);
}

/* Activates the valid sheet with two replacements. */
static err_code_t activate(const char *version, const char *from,
			   const char *to)
{
	char *first = sheets_replace(sheets_valid, "version = 7", version);
	char *text = sheets_replace(first, from, to);
	sheet_t *sheet = sheets_parse(str_from(text));

	free(first);
	free(text);
	return store_activate(store, sheet, NULL);
}

/* A stale read must not lower the version (P10), and an equal version with
 * other content must change nothing. */
static void test_version_rules(void)
{
	uint8_t digest[SHEET_DIGEST_BYTES];
	uint8_t before[SHEET_DIGEST_BYTES];

	start_store();
	CU_ASSERT_EQUAL(store_version(store, digest), 0);
	CU_ASSERT_EQUAL(activate("version = 7", "weight = 5", "weight = 5"),
			ERR_OK);
	CU_ASSERT_EQUAL(store_version(store, before), 7);
	CU_ASSERT_EQUAL(activate("version = 6", "weight = 5", "weight = 5"),
			ERR_VERSION);
	CU_ASSERT_EQUAL(activate("version = 7", "weight = 5", "weight = 6"),
			ERR_CONFLICT);
	CU_ASSERT_EQUAL(store_conflicts(store), 1);
	CU_ASSERT_EQUAL(store_version(store, digest), 7);
	CU_ASSERT(!memcmp(digest, before, sizeof(digest)));
	CU_ASSERT_EQUAL(activate("version = 9", "weight = 5", "weight = 6"),
			ERR_OK);
	CU_ASSERT_EQUAL(store_version(store, digest), 9);
	CU_ASSERT(memcmp(digest, before, sizeof(digest)) != 0);
	store_free(store);
}

/* Cold shares expire by the time of the last confirmation; a refused sheet or
 * another version must not extend them. */
static void test_confirmation_time(void)
{
	start_store();
	activate("version = 7", "weight = 5", "weight = 5");
	CU_ASSERT_EQUAL(store_confirmed_ms(store), 1000);
	mclock_manual_advance(&manual, 500);
	activate("version = 7", "weight = 5", "weight = 6");
	activate("version = 6", "weight = 5", "weight = 5");
	store_confirm(store, 6);
	store_confirm(store, 8);
	CU_ASSERT_EQUAL(store_confirmed_ms(store), 1000);
	store_confirm(store, 7);
	CU_ASSERT_EQUAL(store_confirmed_ms(store), 1500);
	mclock_manual_advance(&manual, 500);
	CU_ASSERT_EQUAL(activate("version = 7", "weight = 5", "weight = 5"),
			ERR_OK);
	CU_ASSERT_EQUAL(store_confirmed_ms(store), 2000);
	store_free(store);
}

/* Without a later cold_hosts_since two hosts could use the same units of a
 * cold limit (P3). */
static void test_cold_hosts_rule(void)
{
	const char *old = "{host = \"h2\", address = \"127.0.0.2:1\"}]\n"
			  "cold_hosts_since = 2026-12-01T05:00:00+13:00";

	start_store();
	CU_ASSERT_EQUAL(activate("version = 1", old, old), ERR_OK);
	CU_ASSERT_EQUAL(
		activate("version = 2", old,
			 "{host = \"h3\", address = \"127.0.0.2:1\"}]\n"
			 "cold_hosts_since = 2026-12-01T05:00:00+13:00"),
		ERR_INVALID);
	/* The same instant in another zone is not later. */
	CU_ASSERT_EQUAL(activate("version = 2", old,
				 "{host = \"h2\", address = \"127.0.0.9:1\"}]\n"
				 "cold_hosts_since = 2026-11-30T16:00:00Z"),
			ERR_INVALID);
	CU_ASSERT_EQUAL(
		activate("version = 2", old,
			 "{host = \"h2\", address = \"127.0.0.2:1\"}]\n"
			 "cold_hosts_since = 2026-12-01T04:00:00+13:00"),
		ERR_INVALID);
	CU_ASSERT_EQUAL(
		activate("version = 2", old,
			 "{host = \"h3\", address = \"127.0.0.2:1\"}]\n"
			 "cold_hosts_since = 2026-12-01T05:00:01+13:00"),
		ERR_OK);
	store_free(store);
}

/* The order of the list does not move units. */
static void test_cold_hosts_order(void)
{
	const char *old = "{host = \"h1\", address = \"127.0.0.1:1\"},\n"
			  "  {host = \"h2\", address = \"127.0.0.2:1\"}";

	start_store();
	CU_ASSERT_EQUAL(activate("version = 1", old, old), ERR_OK);
	CU_ASSERT_EQUAL(
		activate("version = 2", old,
			 "{host = \"h2\", address = \"127.0.0.2:1\"},\n"
			 "  {host = \"h1\", address = \"127.0.0.1:1\"}"),
		ERR_OK);
	store_free(store);
}

/* A server with another name or domain has its units moved as well (P3). */
static void test_moved_endpoint(void)
{
	const char *since = "cold_hosts_since = 2026-12-01T05:00:00+13:00";

	start_store();
	CU_ASSERT_EQUAL(activate("version = 1", since, since), ERR_OK);
	CU_ASSERT_EQUAL(
		activate("version = 2", "name = \"e1\"", "name = \"e3\""),
		ERR_INVALID);
	CU_ASSERT_EQUAL(activate("version = 2", "domain = \"south\"",
				 "domain = \"north\""),
			ERR_INVALID);
	/* No cold hosts, so nobody in that domain gets units. */
	CU_ASSERT_EQUAL(activate("version = 2", "domain = \"north\"",
				 "domain = \"south\""),
			ERR_OK);
	store_free(store);
}

static atomic_bool stopping;
static atomic_size_t torn;
static atomic_size_t reads;

static void *read_sheets(void *unused)
{
	(void)unused;
	store_register_thread();
	while (!atomic_load(&stopping)) {
		const sheet_t *sheet;

		store_read_lock();
		sheet = store_sheet(store);
		if (sheet &&
		    sheet->customers[0].weight + sheet->customers[1].weight !=
			    sheet->version + 1)
			atomic_fetch_add(&torn, 1);
		atomic_fetch_add(&reads, 1);
		store_read_unlock();
	}
	store_unregister_thread();
	return NULL;
}

/* A sheet that is freed under a reader, or seen half replaced, would show as
 * a mixed version or under the address sanitizer. */
static void test_readers_during_changes(void)
{
	pthread_t threads[READERS];

	start_store();
	for (size_t i = 0; i < READERS; i++)
		pthread_create(&threads[i], NULL, read_sheets, NULL);
	for (int version = 1; version <= VERSIONS; version++) {
		char number[32];
		char weight[32];

		snprintf(number, sizeof(number), "version = %d", version);
		snprintf(weight, sizeof(weight), "weight = %d", version);
		CU_ASSERT_EQUAL(activate(number, "weight = 5", weight), ERR_OK);
	}
	while (atomic_load(&reads) < VERSIONS)
		sched_yield();
	atomic_store(&stopping, true);
	for (size_t i = 0; i < READERS; i++)
		pthread_join(threads[i], NULL);
	CU_ASSERT_EQUAL(atomic_load(&torn), 0);
	store_free(store);
}

int main(void)
{
	CU_TestInfo tests[] = {
		{"version rules", test_version_rules},
		{"confirmation time", test_confirmation_time},
		{"cold hosts rule", test_cold_hosts_rule},
		{"cold hosts order", test_cold_hosts_order},
		{"moved endpoint", test_moved_endpoint},
		{"readers during changes", test_readers_during_changes},
		CU_TEST_INFO_NULL};
	int result;

	store_register_thread();
	result = unit_run("store", tests);
	store_unregister_thread();
	return result;
}
