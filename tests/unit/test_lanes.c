#include "unit.h"

#include "coordination/lanes.h"

#define START_MS 100000
#define TICK_MS 250
#define GROUP_ENGINES 15 /* as in a domain of a large deployment */

/* Applies a constant load for `duration_ms`, with an update every TICK_MS;
 * advances `now_ms` to its end. */
static void apply_load(lanes_t *lanes, const lanes_load_t *express,
		       const lanes_load_t *bulk, int64_t *now_ms,
		       int64_t duration_ms)
{
	for (int64_t end_ms = *now_ms + duration_ms; *now_ms < end_ms;
	     *now_ms += TICK_MS)
		lanes_update(lanes, express, bulk, *now_ms);
}

/* Scenario: chats arrive at several times their usual rate together with few
 * long prompts, as in the bursts of the busiest days. Guards against chats that
 * wait for full express engines, or run on engines busy with prefill, while
 * most engines are kept for long prompts. */
static void test_burst_of_chats(void)
{
	const lanes_load_t chats = {.prefill_share_sum = 0.2,
				    .slot_share_sum = 3.0};
	const lanes_load_t overflow = {.prefill_share_sum = 1.7,
				       .slot_share_sum = 6.0};
	lanes_t lanes = {.share = 0.0};
	int64_t now_ms = START_MS;

	apply_load(&lanes, &chats, &overflow, &now_ms, 500);
	CU_ASSERT(lanes_express_count(&lanes, GROUP_ENGINES) <= 4);
	apply_load(&lanes, &chats, &overflow, &now_ms, 4000);
	CU_ASSERT(lanes_express_count(&lanes, GROUP_ENGINES) >=
		  GROUP_ENGINES / 3);
	/* The engines added to the lane take the chats that had overflowed to
	 * the bulk lane. */
	apply_load(&lanes, &(lanes_load_t){0.4, 8.0}, &(lanes_load_t){1.5, 1.0},
		   &now_ms, 4000);
	CU_ASSERT(lanes_express_count(&lanes, GROUP_ENGINES) >=
		  GROUP_ENGINES / 2);
}

/* Scenario: long prompts arrive at twice their usual rate, and few chats.
 * Guards against engines that are kept free for chats that don't arrive, and
 * against an express lane that shrinks below its minimum. */
static void test_burst_of_long_prompts(void)
{
	lanes_t lanes = {.share = LANES_MAX_SHARE, .updated_ms = START_MS};
	int64_t now_ms = START_MS;

	apply_load(&lanes, &(lanes_load_t){0.05, 0.5},
		   &(lanes_load_t){6.0, 5.0}, &now_ms, 8000);
	CU_ASSERT_EQUAL(lanes_express_count(&lanes, GROUP_ENGINES),
			(unsigned)(LANES_MIN_SHARE * GROUP_ENGINES));
}

/* Scenario: no traffic, or the load is not known yet. Guards against lanes that
 * change because of a few requests. */
static void test_idle(void)
{
	const lanes_load_t none = {0.0, 0.0};
	lanes_t lanes = {.share = 0.0};
	int64_t now_ms = START_MS;

	CU_ASSERT_EQUAL(lanes_express_count(&lanes, GROUP_ENGINES), 3);
	apply_load(&lanes, &none, &none, &now_ms, 5000);
	CU_ASSERT_EQUAL(lanes_express_count(&lanes, GROUP_ENGINES), 3);
	CU_ASSERT_EQUAL(lanes_wanted_share(&(lanes_load_t){0.01, 0.02}, &none),
			LANES_MIN_SHARE);
}

/* Scenario: hosts receive the loads of the same burst one round apart. Guards
 * against hosts that assign many engines to different lanes. */
static void test_hosts_agree(void)
{
	const lanes_load_t normal[2] = {{0.2, 1.0}, {1.5, 2.0}};
	const lanes_load_t burst[2] = {{0.3, 3.0}, {1.7, 3.0}};
	lanes_t early = {.share = 0.0}, late = {.share = 0.0};
	int64_t now_ms = START_MS, late_ms = START_MS;

	apply_load(&early, &normal[0], &normal[1], &now_ms, 5000);
	apply_load(&late, &normal[0], &normal[1], &late_ms, 5000 + TICK_MS);
	for (int i = 0; i < 20; i++) {
		unsigned a, b;

		apply_load(&early, &burst[0], &burst[1], &now_ms, TICK_MS);
		if (i)
			apply_load(&late, &burst[0], &burst[1], &late_ms,
				   TICK_MS);
		a = lanes_express_count(&early, GROUP_ENGINES);
		b = lanes_express_count(&late, GROUP_ENGINES);
		CU_ASSERT(a >= b && a - b <= 1);
	}
}

/* Guards against a group of three or more engines without an engine in each
 * lane. */
static void test_small_groups(void)
{
	const lanes_t most = {.share = LANES_MAX_SHARE};
	const lanes_t least = {.share = LANES_MIN_SHARE};

	CU_ASSERT_EQUAL(lanes_express_count(&least, 2), 0);
	CU_ASSERT_EQUAL(lanes_express_count(&least, 3), 1);
	CU_ASSERT_EQUAL(lanes_express_count(&most, 3), 2);
	CU_ASSERT_EQUAL(lanes_express_count(&most, 4), 3);
}

int main(void)
{
	CU_TestInfo tests[] = {
		{"burst of chats", test_burst_of_chats},
		{"burst of long prompts", test_burst_of_long_prompts},
		{"idle", test_idle},
		{"hosts agree", test_hosts_agree},
		{"small groups", test_small_groups},
		CU_TEST_INFO_NULL};

	return unit_run("lanes", tests);
}
