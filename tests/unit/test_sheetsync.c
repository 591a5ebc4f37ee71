#include "unit.h"

#include "coordination/pullcodec.h"
#include "coordination/sheetsync.h"
#include "sheets.h"

#include <stdlib.h>

/* Two hosts: what one is handed, the other pulls. */
typedef struct peer {
	replica_t *replica;
	sheetsync_t *sync;
	unsigned changes;
	uint64_t seen; /* the last version */
} peer_t;

static peer_t north, south;
static mclock_manual_t manual;

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
	peer->changes++;
	peer->seen = new->version;
}

static void start_peer(peer_t *peer)
{
	replica_observer_t records = {on_record, NULL};
	sheetsync_observer_t sheets = {on_sheet, peer};

	*peer = (peer_t){.replica = replica_create(&records)};
	peer->sync = sheetsync_create(peer->replica, &manual.base, &sheets);
}

static void set_up(void)
{
	mclock_manual_init(&manual, 1000);
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

/* Hands over the valid sheet with two replacements. */
static err_code_t offer(peer_t *peer, const char *version, const char *from,
			const char *to)
{
	char *first = sheets_replace(sheets_valid, "version = 7", version);
	char *text = sheets_replace(first, from, to);
	sheet_t *sheet = sheets_parse(str_from(text));
	err_t err;

	free(first);
	free(text);
	return sheetsync_submit(peer->sync, sheet, "test", &err);
}

static err_code_t offer_plain(peer_t *peer, const char *version)
{
	return offer(peer, version, "weight = 5", "weight = 5");
}

static void pull(peer_t *to, const peer_t *from)
{
	buf_t answer = BUF_INIT;
	int64_t revision;
	err_t err;

	pullcodec_write_response(from->replica, replica_revision(to->replica),
				 &answer);
	CU_ASSERT_EQUAL(pullcodec_apply_response(to->replica, buf_view(&answer),
						 &revision, &err),
			ERR_OK);
	sheetsync_refresh(to->sync, "peer");
	buf_release(&answer);
}

static bool has_same_sheet(void)
{
	const sheet_t *a = sheetsync_sheet(north.sync);
	const sheet_t *b = sheetsync_sheet(south.sync);

	return a && b && a->version == b->version &&
	       !memcmp(a->digest, b->digest, SHEET_DIGEST_BYTES);
}

/* Guards P10 against a version that falls, and against a second sheet with the
 * version in force. */
static void test_version_rules(void)
{
	uint8_t before[SHEET_DIGEST_BYTES];

	set_up();
	CU_ASSERT_PTR_NULL(sheetsync_sheet(north.sync));
	CU_ASSERT_EQUAL(offer_plain(&north, "version = 7"), ERR_OK);
	memcpy(before, sheetsync_sheet(north.sync)->digest, sizeof(before));
	CU_ASSERT_EQUAL(offer_plain(&north, "version = 6"), ERR_VERSION);
	CU_ASSERT_EQUAL(
		offer(&north, "version = 7", "weight = 5", "weight = 6"),
		ERR_CONFLICT);
	CU_ASSERT_EQUAL(offer_plain(&north, "version = 7"), ERR_OK);
	CU_ASSERT_EQUAL(north.changes, 1);
	CU_ASSERT(!memcmp(before, sheetsync_sheet(north.sync)->digest,
			  sizeof(before)));
	CU_ASSERT_EQUAL(
		offer(&north, "version = 9", "weight = 5", "weight = 6"),
		ERR_OK);
	CU_ASSERT_EQUAL(north.seen, 9);
	tear_down();
}

/* Guards against a sheet that stays where it was handed over, and against
 * pulling all of it for a small change. */
static void test_peers_follow(void)
{
	buf_t answer = BUF_INIT;
	size_t whole;

	set_up();
	offer_plain(&north, "version = 1");
	pullcodec_write_response(north.replica, 0, &answer);
	whole = answer.len;
	pull(&south, &north);
	CU_ASSERT_TRUE(has_same_sheet());
	offer(&north, "version = 2", "weight = 5", "weight = 6");
	buf_reset(&answer);
	pullcodec_write_response(north.replica, 1, &answer);
	CU_ASSERT_TRUE(answer.len < whole);
	pull(&south, &north);
	CU_ASSERT_TRUE(has_same_sheet());
	CU_ASSERT_EQUAL(south.seen, 2);
	/* Nothing is newer: nothing changes. */
	pull(&south, &north);
	CU_ASSERT_EQUAL(south.changes, 2);
	buf_release(&answer);
	tear_down();
}

/* Pattern: operators on both sides of a partition hand over different sheets
 * with one version. The next version must reach both sides although neither
 * has the nodes that the other one's sheet shares with it. */
static void test_conflict_ends(void)
{
	set_up();
	offer_plain(&north, "version = 1");
	offer(&south, "version = 1", "weight = 5", "weight = 6");
	CU_ASSERT_FALSE(has_same_sheet());
	offer(&north, "version = 2", "timeout_ms = 60000",
	      "timeout_ms = 600001");
	for (int round = 0; round < 2; round++)
		pull(&south, &north);
	CU_ASSERT_TRUE(has_same_sheet());
	CU_ASSERT_EQUAL(south.seen, 2);
	tear_down();
}

/* Cold shares end by the time of the last confirmation: a refused sheet, a
 * peer's one or another version must not extend them. */
static void test_confirmation_time(void)
{
	set_up();
	offer_plain(&north, "version = 7");
	CU_ASSERT_EQUAL(sheetsync_confirmed_ms(north.sync), 1000);
	mclock_manual_advance(&manual, 500);
	offer(&north, "version = 7", "weight = 5", "weight = 6");
	offer_plain(&north, "version = 6");
	sheetsync_confirm(north.sync, 6);
	sheetsync_confirm(north.sync, 8);
	CU_ASSERT_EQUAL(sheetsync_confirmed_ms(north.sync), 1000);
	sheetsync_confirm(north.sync, 7);
	CU_ASSERT_EQUAL(sheetsync_confirmed_ms(north.sync), 1500);
	mclock_manual_advance(&manual, 500);
	offer_plain(&north, "version = 7");
	CU_ASSERT_EQUAL(sheetsync_confirmed_ms(north.sync), 2000);
	pull(&south, &north);
	CU_ASSERT_EQUAL(sheetsync_confirmed_ms(south.sync), 0);
	tear_down();
}

/* Without a later cold_hosts_since two hosts could use the same units of a
 * cold limit (P3). */
static void test_cold_hosts_rule(void)
{
	const char *old = "{host = \"h2\", address = \"127.0.0.2:1\"}]\n"
			  "cold_hosts_since = 2026-12-01T05:00:00+13:00";

	set_up();
	CU_ASSERT_EQUAL(offer(&north, "version = 1", old, old), ERR_OK);
	CU_ASSERT_EQUAL(offer(&north, "version = 2", old,
			      "{host = \"h3\", address = \"127.0.0.2:1\"}]\n"
			      "cold_hosts_since = 2026-12-01T05:00:00+13:00"),
			ERR_INVALID);
	/* The same instant in another zone is not later. */
	CU_ASSERT_EQUAL(offer(&north, "version = 2", old,
			      "{host = \"h2\", address = \"127.0.0.9:1\"}]\n"
			      "cold_hosts_since = 2026-11-30T16:00:00Z"),
			ERR_INVALID);
	CU_ASSERT_EQUAL(offer(&north, "version = 2", old,
			      "{host = \"h2\", address = \"127.0.0.2:1\"}]\n"
			      "cold_hosts_since = 2026-12-01T04:00:00+13:00"),
			ERR_INVALID);
	CU_ASSERT_EQUAL(offer(&north, "version = 2", old,
			      "{host = \"h3\", address = \"127.0.0.2:1\"}]\n"
			      "cold_hosts_since = 2026-12-01T05:00:01+13:00"),
			ERR_OK);
	tear_down();
}

/* The order of the list does not move units. */
static void test_cold_hosts_order(void)
{
	const char *old = "{host = \"h1\", address = \"127.0.0.1:1\"},\n"
			  "  {host = \"h2\", address = \"127.0.0.2:1\"}";

	set_up();
	CU_ASSERT_EQUAL(offer(&north, "version = 1", old, old), ERR_OK);
	CU_ASSERT_EQUAL(offer(&north, "version = 2", old,
			      "{host = \"h2\", address = \"127.0.0.2:1\"},\n"
			      "  {host = \"h1\", address = \"127.0.0.1:1\"}"),
			ERR_OK);
	tear_down();
}

/* A server with another name or domain has its units moved as well (P3). */
static void test_moved_endpoint(void)
{
	const char *since = "cold_hosts_since = 2026-12-01T05:00:00+13:00";

	set_up();
	CU_ASSERT_EQUAL(offer(&north, "version = 1", since, since), ERR_OK);
	CU_ASSERT_EQUAL(
		offer(&north, "version = 2", "name = \"e1\"", "name = \"e3\""),
		ERR_INVALID);
	CU_ASSERT_EQUAL(offer(&north, "version = 2", "domain = \"south\"",
			      "domain = \"north\""),
			ERR_INVALID);
	/* No cold hosts, so nobody in that domain gets units. */
	CU_ASSERT_EQUAL(offer(&north, "version = 2", "domain = \"north\"",
			      "domain = \"south\""),
			ERR_OK);
	tear_down();
}

int main(void)
{
	CU_TestInfo tests[] = {{"version rules", test_version_rules},
			       {"peers follow", test_peers_follow},
			       {"conflict ends", test_conflict_ends},
			       {"confirmation time", test_confirmation_time},
			       {"cold hosts rule", test_cold_hosts_rule},
			       {"cold hosts order", test_cold_hosts_order},
			       {"moved endpoint", test_moved_endpoint},
			       CU_TEST_INFO_NULL};

	return unit_run("sheetsync", tests);
}
