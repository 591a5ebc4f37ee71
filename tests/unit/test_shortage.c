#include "unit.h"

#include "base/mix.h"
#include "coordination/shortage.h"

#define HOSTS 60
#define ENGINES 90
#define SLOTS 16
/* Decisions of all hosts between two updates of their loads. */
#define SENDS_PER_ROUND 300
#define ROUNDS 40
/* Rounds that a request occupies a slot. */
#define STAY_ROUNDS 4

/*
 * Sends requests of many hosts that see the same old loads to the engine with
 * the lowest load of those that each compares.
 *
 * RETURN VALUE: the highest number of requests at one engine.
 */
static unsigned run_rounds(double sample_share)
{
	unsigned sent[ROUNDS + STAY_ROUNDS][ENGINES] = {{0}};
	unsigned load[ENGINES] = {0};
	unsigned highest = 0;
	uint64_t random = 1;

	for (unsigned round = 0; round < ROUNDS; round++) {
		unsigned seen[ENGINES];

		for (unsigned e = 0; e < ENGINES; e++) {
			if (round >= STAY_ROUNDS)
				load[e] -= sent[round - STAY_ROUNDS][e];
			seen[e] = load[e];
		}
		for (unsigned i = 0; i < SENDS_PER_ROUND; i++) {
			unsigned best = ENGINES;

			for (unsigned e = 0; e < ENGINES; e++) {
				random = mix_u64(random, i + e + 1);
				if ((double)(random >> 11) * 0x1p-53 >=
				    sample_share)
					continue;
				if (best == ENGINES || seen[e] < seen[best])
					best = e;
			}
			if (best == ENGINES)
				best = i % ENGINES;
			sent[round][best]++;
			load[best]++;
			if (load[best] > highest)
				highest = load[best];
		}
	}
	return highest;
}

/* Load: callers press until nearly all slots are taken, hosts act on the same
 * late news. Guards against queues that overflow at a few engines. */
static void test_spread(void)
{
	shortage_t shortage = {.is_short = false};
	unsigned all, some;

	shortage_update(&shortage, STAY_ROUNDS * SENDS_PER_ROUND,
			ENGINES * SLOTS);
	CU_ASSERT_TRUE(shortage.is_short);
	all = run_rounds(1.0);
	some = run_rounds(shortage_sample_share(&shortage, ENGINES));
	CU_ASSERT_TRUE(all > 10 * SLOTS);
	CU_ASSERT_TRUE(some < 3 * SLOTS);
}

/* Guards against samples while slots are free, which would leave the engines
 * that have a prompt's prefix, and against a state that changes to and fro. */
static void test_state(void)
{
	shortage_t shortage = {.is_short = false};

	shortage_update(&shortage, 74, 100);
	CU_ASSERT_FALSE(shortage.is_short);
	CU_ASSERT_EQUAL(shortage_sample_share(&shortage, 1000), 1.0);
	shortage_update(&shortage, 75, 100);
	CU_ASSERT_TRUE(shortage.is_short);
	CU_ASSERT_TRUE(shortage_sample_share(&shortage, 1000) < 0.01);
	CU_ASSERT_EQUAL(shortage_sample_share(&shortage, 3), 1.0);
	shortage_update(&shortage, 65, 100);
	CU_ASSERT_TRUE(shortage.is_short);
	shortage_update(&shortage, 59, 100);
	CU_ASSERT_FALSE(shortage.is_short);
	/* A service without engines, or whose engines are gone. */
	shortage_update(&shortage, 5, 0);
	CU_ASSERT_FALSE(shortage.is_short);
}

int main(void)
{
	CU_TestInfo tests[] = {{"spread", test_spread},
			       {"state", test_state},
			       CU_TEST_INFO_NULL};

	return unit_run("shortage", tests);
}
