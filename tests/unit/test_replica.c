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
	replica_observer_t observer = {.changed = on_change};

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

static void put_all(replica_t *replica, const char *const *values,
		    int64_t revision)
{
	for (; *values; values++)
		replica_put(replica, (str_t){*values, 1},
			    (str_t){*values + 2, 1}, revision++);
}

/* Lists records such as "a=1", from revision 1 on, in the replica's era. */
static void list_records(replica_t *replica, const char *const *values,
			 int64_t revision)
{
	unsigned listing = replica_begin_listing(replica);

	put_all(replica, values, 1);
	CU_ASSERT_TRUE(replica_end_listing(replica, listing, revision));
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

/* Values are numbers; a lower one was written before. */
static bool is_lower(void *user, str_t key, str_t held, str_t offered)
{
	(void)user;
	(void)key;
	return held.ptr[0] > offered.ptr[0];
}

static replica_held_t held_records;

static void on_era_listed(void *user, const replica_held_t *held)
{
	(void)user;
	held_records = *held;
}

/* Lists records such as "a=1" from revision 1 on, as the first listing of an
 * era. */
static void list_era(replica_t *replica, int64_t era, const char *const *values,
		     int64_t revision)
{
	replica_begin_era(replica, era);
	list_records(replica, values, revision);
}

/* A replica at revision 20 of era 1 with a=5, b=5, c=5 and a removed d=5. */
static replica_t *create_before_restore(void)
{
	static const char *const values[] = {"a=5", "b=5", "c=5", "d=5", NULL};
	replica_observer_t observer = {.changed = on_change,
				       .is_older = is_lower,
				       .era_listed = on_era_listed};
	replica_t *replica = replica_create(&observer);

	list_era(replica, 1, values, 19);
	replica_remove(replica, STR_LIT("d"), 20);
	replica_advance(replica, 20);
	buf_reset(&changes);
	held_records = (replica_held_t){0};
	return replica;
}

/* Guards against ignoring what is written after a restore because the same or a
 * higher revision was seen before it (CONFIG). */
static void test_lower_revisions_of_a_new_era(void)
{
	static const char *const values[] = {"a=6", "b=6", "c=5", NULL};
	replica_t *replica = create_before_restore();

	list_era(replica, 2, values, 3);
	CU_ASSERT_TRUE(match_and_reset_changes("a=6 b=6 "));
	CU_ASSERT_EQUAL(replica_position(replica).era, 2);
	CU_ASSERT_EQUAL(replica_revision(replica), 3);
	CU_ASSERT_EQUAL(held_records.missing + held_records.older +
				held_records.removed,
			0);
	replica_put(replica, STR_LIT("a"), STR_LIT("4"), 4);
	CU_ASSERT_TRUE(match_and_reset_changes("a=4 "));
	replica_free(replica);
}

/* Guards against a restore that undoes acknowledged changes until they are
 * written again, and against holding what is not written again for ever. */
static void test_held_until_settled(void)
{
	static const char *const values[] = {"a=3", "b=5", "d=5", NULL};
	replica_t *replica = create_before_restore();

	list_era(replica, 2, values, 3);
	CU_ASSERT_TRUE(match_and_reset_changes(""));
	CU_ASSERT_EQUAL(held_records.missing, 1);
	CU_ASSERT_EQUAL(held_records.older, 1);
	CU_ASSERT_EQUAL(held_records.removed, 1);
	CU_ASSERT_TRUE(
		str_equals(replica_get(replica, STR_LIT("a")), STR_LIT("5")));
	replica_settle(replica);
	CU_ASSERT_TRUE(match_and_reset_changes("d=5 c=- "));
	CU_ASSERT_TRUE(
		str_equals(replica_get(replica, STR_LIT("a")), STR_LIT("5")));
	CU_ASSERT_EQUAL(replica_count(replica), 3);
	replica_put(replica, STR_LIT("a"), STR_LIT("4"), 4);
	replica_remove(replica, STR_LIT("d"), 5);
	replica_put(replica, STR_LIT("c"), STR_LIT("5"), 6);
	replica_settle(replica);
	CU_ASSERT_TRUE(match_and_reset_changes("a=4 d=- c=5 "));
	replica_free(replica);
}

/* Guards against holding back what is written again while records are held. */
static void test_writes_while_held(void)
{
	static const char *const values[] = {"a=3", "b=5", NULL};
	replica_t *replica = create_before_restore();

	list_era(replica, 2, values, 2);
	replica_put(replica, STR_LIT("a"), STR_LIT("4"), 3);
	replica_put(replica, STR_LIT("d"), STR_LIT("5"), 4);
	replica_put(replica, STR_LIT("c"), STR_LIT("5"), 5);
	replica_put(replica, STR_LIT("a"), STR_LIT("6"), 6);
	CU_ASSERT_TRUE(match_and_reset_changes("d=5 a=6 "));
	replica_settle(replica);
	CU_ASSERT_TRUE(match_and_reset_changes(""));
	CU_ASSERT_EQUAL(replica_count(replica), 4);
	replica_free(replica);
}

/* Guards against settling before a listing is complete, against a second
 * restore that drops what the first one held, and against a record that a later
 * listing lacks but that comes back when the records are settled. */
static void test_restores_in_succession(void)
{
	static const char *const copy[] = {"a=3", "d=5", NULL};
	static const char *const later_copy[] = {"a=5", "b=5", NULL};
	replica_t *replica = create_before_restore();
	unsigned listing;

	list_era(replica, 2, copy, 2);
	replica_begin_era(replica, 3);
	replica_settle(replica);
	CU_ASSERT_TRUE(match_and_reset_changes(""));
	list_era(replica, 4, copy, 2);
	listing = replica_begin_listing(replica);
	put_all(replica, later_copy, 3);
	CU_ASSERT_TRUE(replica_end_listing(replica, listing, 4));
	CU_ASSERT_TRUE(match_and_reset_changes(""));
	replica_settle(replica);
	CU_ASSERT_TRUE(match_and_reset_changes("c=- "));
	CU_ASSERT_EQUAL(replica_count(replica), 2);
	replica_free(replica);
}

/* Guards against peers that take changes of another era for newer ones, or get
 * another state of the service than it has. */
static void test_changes_of_eras(void)
{
	static const char *const values[] = {"a=3", "d=5", NULL};
	replica_t *replica = create_before_restore();
	replica_t *to = create_replica();

	list_era(replica, 2, values, 9);
	CU_ASSERT_FALSE(
		replica_changes(replica, (position_t){1, 8}, copy_record, to));
	CU_ASSERT_TRUE(match_and_reset_changes("a=5 d=5 "));
	replica_put(replica, STR_LIT("e"), STR_LIT("1"), 10);
	buf_reset(&changes);
	CU_ASSERT_TRUE(
		replica_changes(replica, (position_t){2, 9}, copy_record, to));
	CU_ASSERT_TRUE(match_and_reset_changes("e=1 "));
	replica_free(replica);
	replica_free(to);
}

static err_code_t pull_from(replica_t *to, const replica_t *from,
			    position_t after, int64_t *revision)
{
	buf_t message = BUF_INIT;
	pullcodec_applied_t applied;
	err_code_t code;

	pullcodec_write_response(from, after, &message);
	buf_reset(&changes);
	code = pullcodec_apply_response(to, buf_view(&message), &applied, NULL);
	*revision = applied.revision;
	buf_release(&message);
	return code;
}

/* Guards against a peer of an earlier era that wins by its revision, and
 * against one with an absurd era after which no other is accepted (CONFIG). */
static void test_pull_of_eras(void)
{
	static const char *const values[] = {"a=6", NULL};
	replica_t *late = create_before_restore();
	replica_t *restored = create_before_restore();
	int64_t revision;

	list_era(restored, 2, values, 3);
	CU_ASSERT_EQUAL(pull_from(restored, late, replica_position(restored),
				  &revision),
			ERR_OK);
	CU_ASSERT_EQUAL(revision, 0);
	CU_ASSERT_EQUAL(
		pull_from(late, restored, (position_t){2, 3}, &revision),
		ERR_INVALID);
	CU_ASSERT_EQUAL(
		pull_from(late, restored, replica_position(late), &revision),
		ERR_OK);
	CU_ASSERT_EQUAL(revision, 3);
	CU_ASSERT_TRUE(match_and_reset_changes("a=6 "));
	list_era(restored, 2 + POSITION_MAX_ERA_STEP + 1, values, 4);
	CU_ASSERT_EQUAL(
		pull_from(late, restored, replica_position(late), &revision),
		ERR_INVALID);
	CU_ASSERT_EQUAL(replica_position(late).era, 2);
	replica_free(late);
	replica_free(restored);
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
		{"lower revisions of a new era",
		 test_lower_revisions_of_a_new_era},
		{"held until settled", test_held_until_settled},
		{"writes while held", test_writes_while_held},
		{"restores in succession", test_restores_in_succession},
		{"changes of eras", test_changes_of_eras},
		{"pull of eras", test_pull_of_eras},
		CU_TEST_INFO_NULL};

	failed = unit_run("replica", tests);
	buf_release(&changes);
	return failed;
}
