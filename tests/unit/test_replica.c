#include "unit.h"

#include <stdio.h>

#include "coordination/pullcodec.h"
#include "replicas.h"

/* Guards against an older record, from a peer or from a late response, that
 * replaces a newer one (CONFIG). */
static void test_older_record_is_ignored(void)
{
	replica_t *replica = create_replica();

	replica_put(replica, STR_LIT("a"), STR_LIT("2"), 20);
	replica_put(replica, STR_LIT("a"), STR_LIT("1"), 10);
	replica_remove(replica, STR_LIT("a"), 30);
	replica_put(replica, STR_LIT("a"), STR_LIT("2"), 20);
	replica_remove(replica, STR_LIT("a"), 30);
	CU_ASSERT_TRUE(match_and_reset_changes("a=2 a=- "));
	CU_ASSERT_EQUAL(replica_count(replica), 0);
	replica_free(replica);
}

/* Guards against keeping records that were removed between two pages of a
 * listing, and against losing records that are newer than its revision. */
static void test_listing(void)
{
	replica_t *replica = create_replica();
	unsigned listing;

	replica_put(replica, STR_LIT("a"), STR_LIT("1"), 1);
	replica_put(replica, STR_LIT("b"), STR_LIT("1"), 2);
	replica_put(replica, STR_LIT("c"), STR_LIT("1"), 9);
	buf_reset(&changes);
	listing = replica_begin_listing(replica);
	replica_put(replica, STR_LIT("b"), STR_LIT("1"), 2);
	CU_ASSERT_TRUE(replica_end_listing(replica, listing, 8));
	CU_ASSERT_TRUE(match_and_reset_changes("a=- "));
	CU_ASSERT_EQUAL(replica_revision(replica), 8);
	CU_ASSERT_EQUAL(replica_count(replica), 2);
	replica_free(replica);
}

/* Guards against losing removals when a host copies the changes of a peer. */
static void test_changes(void)
{
	replica_t *from = create_replica();
	replica_t *to = create_replica();

	replica_put(from, STR_LIT("a"), STR_LIT("1"), 1);
	replica_put(from, STR_LIT("b"), STR_LIT("1"), 2);
	replica_advance(from, 2);
	CU_ASSERT_FALSE(
		replica_changes(from, (position_t){0, 0}, copy_record, to));
	replica_advance(to, 2);
	replica_remove(from, STR_LIT("a"), 3);
	replica_advance(from, 3);
	buf_reset(&changes);
	CU_ASSERT_TRUE(
		replica_changes(from, (position_t){0, 2}, copy_record, to));
	CU_ASSERT_TRUE(match_and_reset_changes("a=- "));
	replica_free(from);
	replica_free(to);
}

/* Guards against sending a peer only a part of the removals that it misses,
 * because older tombstones were dropped. */
static void test_dropped_tombstones(void)
{
	replica_t *replica = create_replica();
	replica_t *to = create_replica();
	char key[16];

	for (int i = 0; i < REPLICA_MAX_TOMBSTONES + 10; i++) {
		int len = snprintf(key, sizeof(key), "k%d", i);
		str_t name = {key, (size_t)len};

		replica_put(replica, name, STR_LIT("1"), 2 * i + 1);
		replica_remove(replica, name, 2 * i + 2);
	}
	CU_ASSERT_FALSE(
		replica_changes(replica, (position_t){0, 1}, copy_record, to));
	CU_ASSERT_TRUE(replica_changes(replica, (position_t){0, 400},
				       copy_record, to));
	replica_free(replica);
	replica_free(to);
	buf_reset(&changes);
}

/* Copies to `to` what `from` knows since the position of `to`, as by a pull. */
static void pull_records(replica_t *to, const replica_t *from)
{
	buf_t message = BUF_INIT;
	pullcodec_applied_t applied;

	pullcodec_write_response(from, replica_position(to), &message);
	CU_ASSERT_EQUAL(pullcodec_apply_response(to, buf_view(&message),
						 &applied, NULL),
			ERR_OK);
	buf_release(&message);
}

/* Guards against a host that never learns of a removal, since it asks one that
 * started after the removal and so knows nothing of it (DRAIN, EVAC). */
static void test_removal_before_a_listing(void)
{
	static const char *const before[] = {"a=1", "b=1", NULL};
	static const char *const after[] = {"a=1", NULL};
	replica_t *started = create_replica();
	replica_t *host = create_replica();
	replica_t *next = create_replica();

	list_records(host, before, 2);
	list_records(next, before, 2);
	list_records(started, after, 3); /* "b" was removed at 3 */
	buf_reset(&changes);
	CU_ASSERT_FALSE(replica_changes(started, (position_t){0, 2},
					copy_record, host));
	pull_records(host, started);
	CU_ASSERT_TRUE(match_and_reset_changes("b=- "));
	CU_ASSERT_EQUAL(replica_revision(host), 3);
	/* The host hands the removal on. */
	pull_records(next, host);
	CU_ASSERT_TRUE(match_and_reset_changes("b=- "));
	/* What was removed after the listing is known. */
	replica_remove(started, STR_LIT("a"), 4);
	replica_advance(started, 4);
	buf_reset(&changes);
	CU_ASSERT_TRUE(replica_changes(started, (position_t){0, 3}, copy_record,
				       host));
	CU_ASSERT_TRUE(match_and_reset_changes("a=- "));
	replica_free(started);
	replica_free(host);
	replica_free(next);
}

/* Guards against the same with a host that listed again, in whose history keys
 * are missing that were put and removed in between. */
static void test_removal_between_listings(void)
{
	static const char *const values[] = {"a=1", NULL};
	replica_t *replica = create_replica();
	replica_t *to = create_replica();

	list_records(replica, values, 2);
	list_records(replica, values, 9);
	CU_ASSERT_FALSE(
		replica_changes(replica, (position_t){0, 2}, copy_record, to));
	CU_ASSERT_FALSE(
		replica_changes(replica, (position_t){0, 8}, copy_record, to));
	CU_ASSERT_TRUE(
		replica_changes(replica, (position_t){0, 9}, copy_record, to));
	replica_free(replica);
	replica_free(to);
	buf_reset(&changes);
}

/* Guards against a removed record that comes back with a response that was
 * under way when the host learnt of the removal (DRAIN, EVAC). */
static void test_late_record(void)
{
	static const char *const values[] = {"a=1", NULL};
	replica_t *replica = create_replica();

	list_records(replica, values, 9);
	buf_reset(&changes);
	CU_ASSERT_FALSE(replica_put(replica, STR_LIT("b"), STR_LIT("1"), 8));
	CU_ASSERT_FALSE(replica_put(replica, STR_LIT("b"), STR_LIT("1"), 9));
	CU_ASSERT_TRUE(match_and_reset_changes(""));
	CU_ASSERT_TRUE(replica_put(replica, STR_LIT("b"), STR_LIT("1"), 10));
	CU_ASSERT_TRUE(match_and_reset_changes("b=1 "));
	replica_free(replica);
}

/* Guards against a pull in the middle of a listing, by which the listing loses
 * the pages before it: a record that was listed is removed on all hosts, or one
 * that is gone stays for ever (EVAC, DRAIN). */
static void test_pull_within_a_listing(void)
{
	static const char *const first_page[] = {"a=1", "b=1", "c=1", NULL};
	static const char *const known[] = {"a=1", "b=1", "d=1", NULL};
	replica_t *replica = create_replica();
	replica_t *peer = create_replica();
	unsigned listing = replica_begin_listing(replica);

	list_records(peer, known, 4);
	put_all(replica, first_page, 3); /* "c" is at 5 */
	pull_records(replica, peer);
	buf_reset(&changes);
	CU_ASSERT_FALSE(replica_is_listing(replica, listing));
	CU_ASSERT_FALSE(replica_end_listing(replica, listing, 6));
	CU_ASSERT_TRUE(match_and_reset_changes(""));
	/* The position is that of the peer, so a watch tells the rest: here,
	 * that "d" is gone, which the listing didn't have any more. */
	CU_ASSERT_EQUAL(replica_revision(replica), 4);
	replica_remove(replica, STR_LIT("d"), 6);
	CU_ASSERT_TRUE(match_and_reset_changes("d=- "));
	CU_ASSERT_EQUAL(replica_count(replica), 3);
	replica_free(replica);
	replica_free(peer);
}

/* Guards against a pull that loses or changes records in transit. */
static void test_pull(void)
{
	replica_t *from = create_replica();
	replica_t *to = create_replica();
	buf_t message = BUF_INIT;
	position_t position;
	pullcodec_applied_t applied;

	replica_put(from, STR_LIT("a"), STR_LIT("x\0y"), 1);
	replica_put(from, STR_LIT("b"), STR_LIT(""), 2);
	replica_put(to, STR_LIT("gone"), STR_LIT("1"), 1);
	replica_advance(from, 5);
	buf_reset(&changes);
	pullcodec_write_response(from, (position_t){0, 0}, &message);
	CU_ASSERT_EQUAL(pullcodec_apply_response(to, buf_view(&message),
						 &applied, NULL),
			ERR_OK);
	CU_ASSERT_EQUAL(applied.revision, 5);
	CU_ASSERT_FALSE(applied.is_delta);
	CU_ASSERT_EQUAL(applied.records, 2);
	CU_ASSERT_EQUAL(replica_count(to), 2);
	CU_ASSERT_EQUAL(pullcodec_apply_response(to, buf_view(&message),
						 &applied, NULL),
			ERR_OK);
	CU_ASSERT_EQUAL(applied.revision, 0);
	/* A truncated message changes nothing. */
	for (size_t len = 0; len < message.len; len++)
		CU_ASSERT_EQUAL(
			pullcodec_apply_response(to, (str_t){message.ptr, len},
						 &applied, NULL),
			ERR_INVALID);
	CU_ASSERT_EQUAL(replica_count(to), 2);
	buf_reset(&message);
	pullcodec_write_request((position_t){3, 77}, &message);
	CU_ASSERT_EQUAL(
		pullcodec_read_request(buf_view(&message), &position, NULL),
		ERR_OK);
	CU_ASSERT_EQUAL(position.era, 3);
	CU_ASSERT_EQUAL(position.revision, 77);
	CU_ASSERT_EQUAL(
		pullcodec_read_request(STR_LIT("\xa1z"), &position, NULL),
		ERR_INVALID);
	buf_release(&message);
	replica_free(from);
	replica_free(to);
}

int main(void)
{
	int failed;
	CU_TestInfo tests[] = {
		{"older record is ignored", test_older_record_is_ignored},
		{"listing", test_listing},
		{"changes", test_changes},
		{"dropped tombstones", test_dropped_tombstones},
		{"removal before a listing", test_removal_before_a_listing},
		{"removal between listings", test_removal_between_listings},
		{"late record", test_late_record},
		{"pull within a listing", test_pull_within_a_listing},
		{"pull", test_pull},
		CU_TEST_INFO_NULL};

	failed = unit_run("replica", tests);
	buf_release(&changes);
	return failed;
}
