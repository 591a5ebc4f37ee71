#include "unit.h"

#include <stdio.h>

#include "base/buf.h"
#include "coordination/pullcodec.h"
#include "state/replica.h"

static buf_t changes;

static void on_change(void *user, str_t key, str_t value)
{
	(void)user;
	buf_printf(&changes, "%" STR_FMT "=%" STR_FMT " ", STR_ARG(key),
		   STR_ARG(value.ptr ? value : (str_t)STR_LIT("-")));
}

static replica_t *create_replica(void)
{
	replica_observer_t observer = {on_change, NULL};

	buf_reset(&changes);
	return replica_create(&observer);
}

/* Compares the recorded changes with the expected ones, and clears them. */
static bool match_and_reset_changes(const char *expected)
{
	bool same = str_equals(buf_view(&changes), str_from(expected));

	if (!same)
		fprintf(stderr, "got \"%" STR_FMT "\"\n",
			STR_ARG(buf_view(&changes)));
	buf_reset(&changes);
	return same;
}

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

	replica_put(replica, STR_LIT("a"), STR_LIT("1"), 1);
	replica_put(replica, STR_LIT("b"), STR_LIT("1"), 2);
	replica_put(replica, STR_LIT("c"), STR_LIT("1"), 9);
	buf_reset(&changes);
	replica_begin_listing(replica);
	replica_put(replica, STR_LIT("b"), STR_LIT("1"), 2);
	replica_end_listing(replica, 8);
	CU_ASSERT_TRUE(match_and_reset_changes("a=- "));
	CU_ASSERT_EQUAL(replica_revision(replica), 8);
	CU_ASSERT_EQUAL(replica_count(replica), 2);
	replica_free(replica);
}

static void copy_record(void *user, str_t key, str_t value, int64_t revision)
{
	if (value.ptr)
		replica_put(user, key, value, revision);
	else
		replica_remove(user, key, revision);
}

/* Guards against losing removals when a host copies the changes of a peer. */
static void test_changes(void)
{
	replica_t *from = create_replica();
	replica_t *to = create_replica();

	replica_put(from, STR_LIT("a"), STR_LIT("1"), 1);
	replica_put(from, STR_LIT("b"), STR_LIT("1"), 2);
	replica_advance(from, 2);
	CU_ASSERT_FALSE(replica_changes(from, 0, copy_record, to));
	replica_advance(to, 2);
	replica_remove(from, STR_LIT("a"), 3);
	replica_advance(from, 3);
	buf_reset(&changes);
	CU_ASSERT_TRUE(replica_changes(from, 2, copy_record, to));
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
	CU_ASSERT_FALSE(replica_changes(replica, 1, copy_record, to));
	CU_ASSERT_TRUE(replica_changes(replica, 400, copy_record, to));
	replica_free(replica);
	replica_free(to);
	buf_release(&changes);
}

/* Guards against a pull that loses or changes records in transit. */
static void test_pull(void)
{
	replica_t *from = create_replica();
	replica_t *to = create_replica();
	buf_t message = BUF_INIT;
	int64_t revision;

	replica_put(from, STR_LIT("a"), STR_LIT("x\0y"), 1);
	replica_put(from, STR_LIT("b"), STR_LIT(""), 2);
	replica_put(to, STR_LIT("gone"), STR_LIT("1"), 1);
	replica_advance(from, 5);
	buf_reset(&changes);
	pullcodec_write_response(from, 0, &message);
	CU_ASSERT_EQUAL(pullcodec_apply_response(to, buf_view(&message),
						 &revision, NULL),
			ERR_OK);
	CU_ASSERT_EQUAL(revision, 5);
	CU_ASSERT_EQUAL(replica_count(to), 2);
	CU_ASSERT_EQUAL(pullcodec_apply_response(to, buf_view(&message),
						 &revision, NULL),
			ERR_OK);
	CU_ASSERT_EQUAL(revision, 0);
	/* A truncated message changes nothing. */
	for (size_t len = 0; len < message.len; len++)
		CU_ASSERT_EQUAL(
			pullcodec_apply_response(to, (str_t){message.ptr, len},
						 &revision, NULL),
			ERR_INVALID);
	CU_ASSERT_EQUAL(replica_count(to), 2);
	buf_reset(&message);
	pullcodec_write_request(77, &message);
	CU_ASSERT_EQUAL(
		pullcodec_read_request(buf_view(&message), &revision, NULL),
		ERR_OK);
	CU_ASSERT_EQUAL(revision, 77);
	CU_ASSERT_EQUAL(
		pullcodec_read_request(STR_LIT("\xa1z"), &revision, NULL),
		ERR_INVALID);
	buf_release(&message);
	replica_free(from);
	replica_free(to);
}

int main(void)
{
	CU_TestInfo tests[] = {
		{"older record is ignored", test_older_record_is_ignored},
		{"listing", test_listing},
		{"changes", test_changes},
		{"dropped tombstones", test_dropped_tombstones},
		{"pull", test_pull},
		CU_TEST_INFO_NULL};

	return unit_run("replica", tests);
}
