#include "unit.h"

#include "coordination/pullcodec.h"
#include "coordination/sheetsync.h"
#include "sheets.h"

#include <stdlib.h>

/* One of two hosts; each can pull the sheet that was submitted to the other. */
typedef struct peer {
	replica_t *replica;
	sheetsync_t *sync;
	unsigned change_count;
	uint64_t last_version; /* of the last sheet that became active */
} peer_t;

static peer_t north, south;
static mclock_manual_t manual_clock;

static void on_record(void *user, str_t key, str_t value)
{
	(void)user;
	(void)key;
	(void)value;
}

static void on_sheet(void *user, const sheet_t *old, const sheet_t *new,
		     const char *source)
{
	peer_t *peer = user;

	(void)source;
	CU_ASSERT(!old || old->version < new->version);
	peer->change_count++;
	peer->last_version = new->version;
}

static void start_peer(peer_t *peer)
{
	replica_observer_t records = {.changed = on_record};
	sheetsync_observer_t sheets = {on_sheet, peer};

	*peer = (peer_t){.replica = replica_create(&records)};
	peer->sync =
		sheetsync_create(peer->replica, &manual_clock.base, &sheets);
}

static void set_up(void)
{
	mclock_manual_init(&manual_clock, 1000);
	start_peer(&north);
	start_peer(&south);
}

static void stop_peer(peer_t *peer)
{
	sheetsync_free(peer->sync);
	replica_free(peer->replica);
}

static void tear_down(void)
{
	stop_peer(&north);
	stop_peer(&south);
}

/* Submits the valid sheet with `version` as its version line, and with `from`
 * replaced by `to`. */
static err_code_t submit_changed(peer_t *peer, const char *version,
				 const char *from, const char *to)
{
	char *first = sheets_replace(sheets_valid, "version = 7", version);
	char *text = sheets_replace(first, from, to);
	sheet_t *sheet = sheets_parse(str_from(text));
	err_t err;

	free(first);
	free(text);
	return sheetsync_submit(peer->sync, sheet, "test", &err);
}

static err_code_t submit_version(peer_t *peer, const char *version)
{
	return submit_changed(peer, version, "weight = 5", "weight = 5");
}

static void pull(peer_t *to, const peer_t *from)
{
	buf_t response = BUF_INIT;
	pullcodec_applied_t applied;
	err_t err;

	pullcodec_write_response(from->replica, replica_position(to->replica),
				 &response);
	CU_ASSERT_EQUAL(pullcodec_apply_response(to->replica,
						 buf_view(&response), &applied,
						 &err),
			ERR_OK);
	sheetsync_refresh(to->sync, "peer");
	buf_release(&response);
}

static bool have_same_sheet(void)
{
	const sheet_t *a = sheetsync_sheet(north.sync);
	const sheet_t *b = sheetsync_sheet(south.sync);

	return a && b && a->version == b->version &&
	       !memcmp(a->digest, b->digest, SHEET_DIGEST_BYTES);
}

/* Guards against accepting a sheet with a lower version than the active one, or
 * a different sheet with the same version (P10). */
static void test_version_rules(void)
{
	uint8_t before[SHEET_DIGEST_BYTES];

	set_up();
	CU_ASSERT_PTR_NULL(sheetsync_sheet(north.sync));
	CU_ASSERT_EQUAL(submit_version(&north, "version = 7"), ERR_OK);
	memcpy(before, sheetsync_sheet(north.sync)->digest, sizeof(before));
	CU_ASSERT_EQUAL(submit_version(&north, "version = 6"), ERR_VERSION);
	CU_ASSERT_EQUAL(submit_changed(&north, "version = 7", "weight = 5",
				       "weight = 6"),
			ERR_CONFLICT);
	CU_ASSERT_EQUAL(submit_version(&north, "version = 7"), ERR_OK);
	CU_ASSERT_EQUAL(north.change_count, 1);
	CU_ASSERT(!memcmp(before, sheetsync_sheet(north.sync)->digest,
			  sizeof(before)));
	CU_ASSERT_EQUAL(submit_changed(&north, "version = 9", "weight = 5",
				       "weight = 6"),
			ERR_OK);
	CU_ASSERT_EQUAL(north.last_version, 9);
	tear_down();
}

/* Guards against a sheet that doesn't spread from the host it was submitted to,
 * and against pulling all of it for a small change. */
static void test_peers_follow(void)
{
	buf_t response = BUF_INIT;
	size_t full_len;

	set_up();
	submit_version(&north, "version = 1");
	pullcodec_write_response(north.replica, (position_t){0, 0}, &response);
	full_len = response.len;
	pull(&south, &north);
	CU_ASSERT_TRUE(have_same_sheet());
	submit_changed(&north, "version = 2", "weight = 5", "weight = 6");
	buf_reset(&response);
	pullcodec_write_response(north.replica, (position_t){0, 1}, &response);
	CU_ASSERT_TRUE(response.len < full_len);
	pull(&south, &north);
	CU_ASSERT_TRUE(have_same_sheet());
	CU_ASSERT_EQUAL(south.last_version, 2);
	/* A pull without newer records changes nothing. */
	pull(&south, &north);
	CU_ASSERT_EQUAL(south.change_count, 2);
	buf_release(&response);
	tear_down();
}

/* Scenario: operators on both sides of a network partition submit different
 * sheets with the same version. Guards against a next version that doesn't
 * reach both sides: the other side lacks the nodes that it shares with the
 * former sheet, and an incremental pull doesn't include them. */
static void test_conflict_ends(void)
{
	set_up();
	submit_version(&north, "version = 1");
	submit_changed(&south, "version = 1", "weight = 5", "weight = 6");
	CU_ASSERT_FALSE(have_same_sheet());
	submit_changed(&north, "version = 2", "timeout_ms = 60000",
		       "timeout_ms = 600001");
	for (int round = 0; round < 2; round++)
		pull(&south, &north);
	CU_ASSERT_TRUE(have_same_sheet());
	CU_ASSERT_EQUAL(south.last_version, 2);
	tear_down();
}

/* Scenario: a host starts with the next sheet from its file, and another one
 * that has the former sheet pulls from it. Guards against nodes of the former
 * sheet that stay for ever, since the started host doesn't know of them. */
static void test_first_sheet_of_a_host(void)
{
	set_up();
	submit_version(&south, "version = 7");
	submit_changed(&north, "version = 8", "weight = 5", "weight = 6");
	pull(&south, &north);
	CU_ASSERT_TRUE(have_same_sheet());
	CU_ASSERT_EQUAL(replica_count(south.replica),
			replica_count(north.replica));
	tear_down();
}

/* The validity of cold shares depends on when the sheet was last confirmed: a
 * rejected sheet, one from a peer or another version must not extend it. */
static void test_confirmation_time(void)
{
	set_up();
	submit_version(&north, "version = 7");
	CU_ASSERT_EQUAL(sheetsync_confirmed_ms(north.sync), 1000);
	mclock_manual_advance(&manual_clock, 500);
	submit_changed(&north, "version = 7", "weight = 5", "weight = 6");
	submit_version(&north, "version = 6");
	sheetsync_confirm(north.sync, 6);
	sheetsync_confirm(north.sync, 8);
	CU_ASSERT_EQUAL(sheetsync_confirmed_ms(north.sync), 1000);
	sheetsync_confirm(north.sync, 7);
	CU_ASSERT_EQUAL(sheetsync_confirmed_ms(north.sync), 1500);
	mclock_manual_advance(&manual_clock, 500);
	submit_version(&north, "version = 7");
	CU_ASSERT_EQUAL(sheetsync_confirmed_ms(north.sync), 2000);
	pull(&south, &north);
	CU_ASSERT_EQUAL(sheetsync_confirmed_ms(south.sync), 0);
	tear_down();
}

/* Guards against accepting other cold hosts without a later cold_hosts_since:
 * two hosts could use the same units of a cold limit (P3). */
static void test_cold_hosts_rule(void)
{
	const char *old = "{host = \"h2\", address = \"127.0.0.2:1\"}]\n"
			  "cold_hosts_since = 2026-12-01T05:00:00+13:00";

	set_up();
	CU_ASSERT_EQUAL(submit_changed(&north, "version = 1", old, old),
			ERR_OK);
	CU_ASSERT_EQUAL(
		submit_changed(&north, "version = 2", old,
			       "{host = \"h3\", address = \"127.0.0.2:1\"}]\n"
			       "cold_hosts_since = 2026-12-01T05:00:00+13:00"),
		ERR_INVALID);
	/* The same instant in another zone is not later. */
	CU_ASSERT_EQUAL(
		submit_changed(&north, "version = 2", old,
			       "{host = \"h2\", address = \"127.0.0.9:1\"}]\n"
			       "cold_hosts_since = 2026-11-30T16:00:00Z"),
		ERR_INVALID);
	CU_ASSERT_EQUAL(
		submit_changed(&north, "version = 2", old,
			       "{host = \"h2\", address = \"127.0.0.2:1\"}]\n"
			       "cold_hosts_since = 2026-12-01T04:00:00+13:00"),
		ERR_INVALID);
	CU_ASSERT_EQUAL(
		submit_changed(&north, "version = 2", old,
			       "{host = \"h3\", address = \"127.0.0.2:1\"}]\n"
			       "cold_hosts_since = 2026-12-01T05:00:01+13:00"),
		ERR_OK);
	tear_down();
}

/* The order of the cold hosts doesn't affect which units they get. */
static void test_cold_hosts_order(void)
{
	const char *old = "{host = \"h1\", address = \"127.0.0.1:1\"},\n"
			  "  {host = \"h2\", address = \"127.0.0.2:1\"}";

	set_up();
	CU_ASSERT_EQUAL(submit_changed(&north, "version = 1", old, old),
			ERR_OK);
	CU_ASSERT_EQUAL(
		submit_changed(&north, "version = 2", old,
			       "{host = \"h2\", address = \"127.0.0.2:1\"},\n"
			       "  {host = \"h1\", address = \"127.0.0.1:1\"}"),
		ERR_OK);
	tear_down();
}

/* Guards against two hosts that use the same units of a server (P3): they are
 * also reassigned when its endpoint name or its domain changes, so this needs a
 * later cold_hosts_since too. */
static void test_moved_endpoint(void)
{
	const char *since = "cold_hosts_since = 2026-12-01T05:00:00+13:00";

	set_up();
	CU_ASSERT_EQUAL(submit_changed(&north, "version = 1", since, since),
			ERR_OK);
	CU_ASSERT_EQUAL(submit_changed(&north, "version = 2", "name = \"e1\"",
				       "name = \"e3\""),
			ERR_INVALID);
	CU_ASSERT_EQUAL(submit_changed(&north, "version = 2",
				       "domain = \"south\"",
				       "domain = \"north\""),
			ERR_INVALID);
	/* The new domain has no cold hosts, so no host gets units. */
	CU_ASSERT_EQUAL(submit_changed(&north, "version = 2",
				       "domain = \"north\"",
				       "domain = \"south\""),
			ERR_OK);
	tear_down();
}

int main(void)
{
	CU_TestInfo tests[] = {
		{"version rules", test_version_rules},
		{"peers follow", test_peers_follow},
		{"conflict ends", test_conflict_ends},
		{"first sheet of a host", test_first_sheet_of_a_host},
		{"confirmation time", test_confirmation_time},
		{"cold hosts rule", test_cold_hosts_rule},
		{"cold hosts order", test_cold_hosts_order},
		{"moved endpoint", test_moved_endpoint},
		CU_TEST_INFO_NULL};

	return unit_run("sheetsync", tests);
}
