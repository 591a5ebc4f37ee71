#include "unit.h"

#include "coordination/decode.h"

#define CLASS 7u
#define QUIET_MS 30.0
#define GAP_TARGET_MS 250.0
#define MISS_MS 1000.0

/* What a service has shown whose prefill makes pauses six times as long. */
static decode_stats_t make_stats(void)
{
	decode_stats_t stats = {.stretch = 0.0};

	for (int i = 0; i < 20; i++)
		decode_on_stream(&stats, CLASS, 40.0, 6.0 * QUIET_MS, QUIET_MS);
	return stats;
}

static double charge(double slowness, double prefill_share, double events,
		     double left_ms)
{
	decode_stats_t stats = make_stats();
	decode_stream_t stream = {.events = events,
				  .left_ms = left_ms,
				  .gap_target_ms = GAP_TARGET_MS,
				  .miss_charge_ms = MISS_MS};
	decode_engine_t engine = {.quiet_pause_ms = QUIET_MS * slowness,
				  .prefill_share = prefill_share,
				  .expected_ms = 100.0};

	return decode_charge_ms(&stats, &stream, &engine);
}

/* Load: urgent streams beside long prompts, engines of uneven speed. Guards
 * against streams whose sentences stop since they are sent to slow engines. */
static void test_pauses(void)
{
	/* 180 ms are in time, 432 ms aren't. */
	CU_ASSERT_EQUAL(charge(1.0, 0.3, 20.0, 10000.0), 0.0);
	CU_ASSERT_TRUE(charge(2.4, 0.3, 20.0, 10000.0) > 0.5 * MISS_MS);
	/* A slow engine without prefill delays nothing. */
	CU_ASSERT_EQUAL(charge(2.4, 0.0, 20.0, 10000.0), 0.0);
	CU_ASSERT_TRUE(charge(2.4, 0.1, 20.0, 10000.0) <
		       charge(2.4, 0.2, 20.0, 10000.0));
}

/* Load: long answers on slow engines that are busy with prefill. Guards against
 * answers that begin in time and are cut by their deadline. */
static void test_deadline(void)
{
	double calm = charge(1.0, 0.0, 40.0, 3000.0);
	double busy = charge(1.0, 0.7, 40.0, 3000.0);

	CU_ASSERT_EQUAL(calm, 0.0);
	CU_ASSERT_EQUAL(busy, MISS_MS);
	CU_ASSERT_EQUAL(charge(1.0, 0.7, 40.0, 12000.0), 0.0);
	/* Answers of unknown length cost nothing extra. */
	CU_ASSERT_EQUAL(charge(1.0, 0.7, 0.0, 3000.0), 0.0);
}

/* Guards against charges by what isn't known: a host that has just started
 * places requests as without forecasts. */
static void test_unknown(void)
{
	decode_stats_t empty = {.stretch = 0.0};
	decode_stream_t stream = {.events = 0.0,
				  .left_ms = 10000.0,
				  .gap_target_ms = 1.0,
				  .miss_charge_ms = MISS_MS};
	decode_engine_t engine = {.quiet_pause_ms = QUIET_MS,
				  .prefill_share = 0.9};

	CU_ASSERT_EQUAL(decode_charge_ms(&empty, &stream, &engine), 0.0);
	engine.quiet_pause_ms = 0.0;
	stream.events = 100.0;
	CU_ASSERT_EQUAL(decode_charge_ms(&empty, &stream, &engine), 0.0);
	CU_ASSERT_EQUAL(decode_expected_events(&empty, CLASS), 0.0);
}

/* Guards against means that mix classes, or count streams without prefill as
 * proof that prefill doesn't matter. */
static void test_stats(void)
{
	decode_stats_t stats = make_stats();

	CU_ASSERT_DOUBLE_EQUAL(stats.stretch, 6.0, 0.01);
	for (int i = 0; i < 100; i++)
		decode_on_stream(&stats, CLASS + 1, 4.0, QUIET_MS, QUIET_MS);
	CU_ASSERT_DOUBLE_EQUAL(stats.stretch, 6.0, 0.01);
	CU_ASSERT_DOUBLE_EQUAL(decode_expected_events(&stats, CLASS), 40.0,
			       0.01);
	CU_ASSERT_DOUBLE_EQUAL(decode_expected_events(&stats, CLASS + 1), 4.0,
			       0.01);
	/* Another class in the same place replaces it. */
	decode_on_stream(&stats, CLASS + DECODE_CLASSES, 9.0, 0.0, 0.0);
	CU_ASSERT_EQUAL(decode_expected_events(&stats, CLASS), 0.0);
}

int main(void)
{
	CU_TestInfo tests[] = {{"pauses", test_pauses},
			       {"deadline", test_deadline},
			       {"unknown", test_unknown},
			       {"stats", test_stats},
			       CU_TEST_INFO_NULL};

	return unit_run("decode", tests);
}
