#include "unit.h"

#include "coordination/pullcodec.h"
#include "replicas.h"

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
		{"lower revisions of a new era",
		 test_lower_revisions_of_a_new_era},
		{"held until settled", test_held_until_settled},
		{"writes while held", test_writes_while_held},
		{"restores in succession", test_restores_in_succession},
		{"changes of eras", test_changes_of_eras},
		{"pull of eras", test_pull_of_eras},
		CU_TEST_INFO_NULL};

	failed = unit_run("replica_era", tests);
	buf_release(&changes);
	return failed;
}
