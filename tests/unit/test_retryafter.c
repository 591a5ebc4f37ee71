#include "unit.h"

#include "coordination/retryafter.h"

#define CALLERS 1000
#define BUCKET_MS 100
#define BUCKETS 100

/* Evenly spread values in place of random ones, so that runs are reproducible:
 * multiples of 2^64 divided by the golden ratio. Their low bits are dropped,
 * because these repeat with a short period. */
static uint64_t spread_value(unsigned i)
{
	return (i + 1) * 0x9e3779b97f4a7c15ull >> 20;
}

static unsigned count_retries_at_least(retryafter_cause_t cause,
				       int64_t left_ms, int64_t ms)
{
	unsigned count = 0;

	for (unsigned i = 0; i < CALLERS; i++)
		count += retryafter_ms(cause, left_ms, spread_value(i)) >= ms;
	return count;
}

/* Scenario: all hosts were killed, the configuration service is unavailable for
 * two more seconds, and each caller retries once. Guards against callers with
 * enough time left that all retry before any endpoint is known. */
static void test_service_unavailable(void)
{
	CU_ASSERT(count_retries_at_least(RETRYAFTER_ABSENT, 12000, 2000) >
		  CALLERS / 2);
	/* Some must retry earlier, because the outage may be shorter. */
	CU_ASSERT(count_retries_at_least(RETRYAFTER_ABSENT, 12000, 1500) <
		  CALLERS);
}

/* Guards against a retry time that the caller doesn't accept because it is more
 * than a third of its time left. Where a third is less than the minimum of
 * retryafter_ms(), answer_not_run() enforces this limit; this test doesn't
 * cover that. */
static void test_short_time_left(void)
{
	CU_ASSERT_EQUAL(count_retries_at_least(RETRYAFTER_ABSENT, 3000, 1001),
			0);
	CU_ASSERT_EQUAL(count_retries_at_least(RETRYAFTER_ABSENT, 12000, 4001),
			0);
}

/* Guards against callers that all retry at the same moment. */
static void test_spread(void)
{
	unsigned buckets[BUCKETS] = {0};

	for (unsigned i = 0; i < CALLERS; i++)
		buckets[retryafter_ms(RETRYAFTER_ABSENT, 12000,
				      spread_value(i)) /
			BUCKET_MS]++;
	for (unsigned i = 0; i < BUCKETS; i++)
		CU_ASSERT(buckets[i] < CALLERS / 10);
}

/* Scenario: every endpoint asked for a pause. Guards against callers that retry
 * before the first pause ends, and against callers that all retry when it ends.
 */
static void test_paused(void)
{
	/* Retries follow the end of the pause after 250 to 500 ms. Those in the
	 * first 50 ms of this range count as early. */
	enum { PAUSE_MS = 3000, EARLY_END_MS = PAUSE_MS + 300 };
	unsigned early = 0;

	for (unsigned i = 0; i < CALLERS; i++) {
		int64_t ms = retryafter_pause_ms(PAUSE_MS, spread_value(i));

		CU_ASSERT(ms > PAUSE_MS && ms < 4000);
		early += ms < EARLY_END_MS;
	}
	CU_ASSERT(early < CALLERS / 2);
}

/* Scenario: endpoints are full for a fraction of a second. Guards against
 * callers that wait for seconds although there is capacity again. */
static void test_busy(void)
{
	CU_ASSERT_EQUAL(count_retries_at_least(RETRYAFTER_BUSY, 12000, 250),
			CALLERS);
	CU_ASSERT_EQUAL(count_retries_at_least(RETRYAFTER_BUSY, 12000, 500), 0);
}

/* Scenario: all endpoints limit their rate, and callers of two classes with 12
 * s left are refused. Guards against callers that come back all at once, or
 * before the host may send again, and against urgent ones that come back last.
 */
static void test_limited(void)
{
	enum { LEFT_MS = 12000, NEXT_MS = 600, ACCEPTED_MS = LEFT_MS / 3 };
	unsigned buckets[ACCEPTED_MS / BUCKET_MS] = {0};
	int64_t last_urgent_ms = 0;
	unsigned most = 0;

	for (unsigned i = 0; i < CALLERS; i++) {
		uint64_t random = spread_value(i);
		int64_t urgent_ms =
			retryafter_limited_ms(NEXT_MS, LEFT_MS, true, random);
		int64_t other_ms =
			retryafter_limited_ms(NEXT_MS, LEFT_MS, false, random);

		CU_ASSERT(urgent_ms >= NEXT_MS && other_ms < ACCEPTED_MS);
		if (urgent_ms > last_urgent_ms)
			last_urgent_ms = urgent_ms;
		CU_ASSERT(other_ms >= (NEXT_MS + ACCEPTED_MS) / 2);
		buckets[urgent_ms / BUCKET_MS]++;
		buckets[other_ms / BUCKET_MS]++;
	}
	CU_ASSERT(last_urgent_ms <= (NEXT_MS + ACCEPTED_MS) / 2);
	for (unsigned i = 0; i < ACCEPTED_MS / BUCKET_MS; i++)
		if (buckets[i] > most)
			most = buckets[i];
	CU_ASSERT(most < 2 * CALLERS / 20);
	/* A caller with little time left still gets a time that it accepts. */
	CU_ASSERT(retryafter_limited_ms(3000, 1500, false, 1) <= 500);
}

int main(void)
{
	CU_TestInfo tests[] = {
		{"service unavailable", test_service_unavailable},
		{"short time left", test_short_time_left},
		{"spread", test_spread},
		{"busy", test_busy},
		{"paused", test_paused},
		{"limited", test_limited},
		CU_TEST_INFO_NULL};

	return unit_run("retryafter", tests);
}
