#include "unit.h"

#include "coordination/retryafter.h"

#define CALLERS 1000
#define BUCKET_MS 100
#define BUCKETS 100

/* A spread of numbers, the same in each run. */
static uint64_t number(unsigned i)
{
	return (i + 1) * 0x9e3779b97f4a7c15ull >> 20;
}

static unsigned count_after(retryafter_cause_t cause, int64_t left_ms,
			    int64_t ms)
{
	unsigned count = 0;

	for (unsigned i = 0; i < CALLERS; i++)
		count += retryafter_ms(cause, left_ms, number(i)) >= ms;
	return count;
}

/* Pattern: all hosts were killed while the configuration service is away for
 * two more seconds, and each caller comes back once. Guards against callers
 * with time left who all come back before there is anything to be had. */
static void test_service_away(void)
{
	CU_ASSERT(count_after(RETRYAFTER_ABSENT, 12000, 2000) > CALLERS / 2);
	/* Some have a near target, and the absence may be short. */
	CU_ASSERT(count_after(RETRYAFTER_ABSENT, 12000, 1500) < CALLERS);
}

/* Guards against a time to return that the caller can't wait for. */
static void test_short_patience(void)
{
	CU_ASSERT_EQUAL(count_after(RETRYAFTER_ABSENT, 3000, 1001), 0);
	CU_ASSERT_EQUAL(count_after(RETRYAFTER_ABSENT, 12000, 4001), 0);
}

/* Guards against callers who all return at the same moment. */
static void test_spread(void)
{
	unsigned buckets[BUCKETS] = {0};

	for (unsigned i = 0; i < CALLERS; i++)
		buckets[retryafter_ms(RETRYAFTER_ABSENT, 12000, number(i)) /
			BUCKET_MS]++;
	for (unsigned i = 0; i < BUCKETS; i++)
		CU_ASSERT(buckets[i] < CALLERS / 10);
}

/* Pattern: every endpoint asked for a pause. Guards against callers who come
 * back before the first of them ends, or all at its end. */
static void test_paused(void)
{
	unsigned first = 0;

	for (unsigned i = 0; i < CALLERS; i++) {
		int64_t ms = retryafter_pause_ms(3000, number(i));

		CU_ASSERT(ms > 3000 && ms < 4000);
		first += ms < 3000 + 2 * BUCKET_MS + 100;
	}
	CU_ASSERT(first < CALLERS / 2);
}

/* Pattern: endpoints are full for a moment. Guards against callers who wait
 * for seconds although there is room again. */
static void test_busy(void)
{
	CU_ASSERT_EQUAL(count_after(RETRYAFTER_BUSY, 12000, 250), CALLERS);
	CU_ASSERT_EQUAL(count_after(RETRYAFTER_BUSY, 12000, 500), 0);
}

int main(void)
{
	CU_TestInfo tests[] = {{"service away", test_service_away},
			       {"short patience", test_short_patience},
			       {"spread", test_spread},
			       {"busy", test_busy},
			       {"paused", test_paused},
			       CU_TEST_INFO_NULL};

	return unit_run("retryafter", tests);
}
