#include "unit.h"

#include <string.h>

#include "coordination/breaker.h"
#include "coordination/coldgate.h"
#include "coordination/retrybudget.h"

#define START_MS 1000000

/* Guards against hosts whose sends together exceed the cold limit in any second
 * (FAILBACK), even if every host sends as fast as its gate allows and knows
 * nothing of the others' sends. */
static void test_cold_sum(void)
{
	enum { HOSTS = 3, PER_S = 12, SLACK = 5 };
	const double overshoot = 1.5;
	unsigned share = coldgate_share(PER_S, overshoot, SLACK, HOSTS);
	sendring_t gates[HOSTS];
	unsigned sent[4000] = {0};
	unsigned max_sum = 0;

	memset(gates, 0, sizeof(gates));
	for (int ms = 0; ms < 4000; ms++)
		for (int host = 0; host < HOSTS; host++)
			while (coldgate_allows(&gates[host], share,
					       START_MS + ms)) {
				sendring_add(&gates[host], START_MS + ms);
				sent[ms]++;
			}
	for (int from = 0; from + 1000 <= 4000; from++) {
		unsigned sum = 0;

		for (int ms = from; ms < from + 1000; ms++)
			sum += sent[ms];
		if (sum > max_sum)
			max_sum = sum;
	}
	CU_ASSERT_TRUE(max_sum > 0);
	CU_ASSERT_TRUE(max_sum <= PER_S * overshoot + SLACK);
}

/* Guards against exceeding a cold limit that is too low for the number of
 * hosts: none of them may send (FAILBACK). */
static void test_cold_no_share(void)
{
	sendring_t gate;

	memset(&gate, 0, sizeof(gate));
	CU_ASSERT_EQUAL(coldgate_share(1.0, 1.0, 0.0, 10), 0);
	CU_ASSERT_FALSE(coldgate_allows(&gate, 0, START_MS));
}

/* Scenario: servers fail, and every request needs a retry. Guards against
 * retries that exceed the ratio plus the allowance (BUDGET), and against a
 * budget that refuses half of these. */
static void test_retry_budget_ratio(void)
{
	retrybudget_t budget;
	unsigned retries = 0;
	unsigned requests = 0;

	retrybudget_init(&budget, 0.2, 10000);
	retrybudget_set_allowance(&budget, 52, 6);
	for (int64_t ms = 0; ms < 10000; ms += 10) {
		retrybudget_on_request(&budget, START_MS + ms);
		requests++;
		retries += retrybudget_take(&budget, START_MS + ms);
	}
	CU_ASSERT_TRUE(retries > requests / 10);
	CU_ASSERT_TRUE(retries <= 0.2 * requests + 52.0 / 6);
}

/* Guards against a retry budget that is not refilled by new requests, and
 * against one that accumulates beyond its window. */
static void test_retry_budget_window(void)
{
	retrybudget_t budget;

	retrybudget_init(&budget, 0.5, 1000);
	for (int i = 0; i < 10; i++)
		retrybudget_on_request(&budget, START_MS);
	for (int i = 0; i < 4; i++)
		CU_ASSERT_TRUE(retrybudget_take(&budget, START_MS));
	CU_ASSERT_FALSE(retrybudget_take(&budget, START_MS));
	CU_ASSERT_FALSE(retrybudget_take(&budget, START_MS + 2000));
	for (int i = 0; i < 10; i++)
		retrybudget_on_request(&budget, START_MS + 2000);
	CU_ASSERT_TRUE(retrybudget_take(&budget, START_MS + 2000));
	/* The clock is monotonic, but it may appear to jump forward. */
	CU_ASSERT_FALSE(retrybudget_take(&budget, START_MS + 2000000));
}

/* Guards against sending every request to an endpoint that refuses connections.
 */
static void test_breaker_unreachable(void)
{
	breaker_t breaker;

	memset(&breaker, 0, sizeof(breaker));
	CU_ASSERT_FALSE(breaker_is_open(&breaker, START_MS));
	breaker_on_fault(&breaker, BREAKER_UNREACHABLE, START_MS);
	CU_ASSERT_TRUE(breaker_is_open(&breaker, START_MS + 1));
	CU_ASSERT_FALSE(
		breaker_is_open(&breaker, START_MS + BREAKER_MIN_PAUSE_MS));
	/* A trial request keeps the breaker open for all others until it ends.
	 */
	breaker_on_send(&breaker, START_MS + BREAKER_MIN_PAUSE_MS);
	CU_ASSERT_TRUE(
		breaker_is_open(&breaker, START_MS + BREAKER_MIN_PAUSE_MS + 1));
	breaker_on_success(&breaker, START_MS + BREAKER_MIN_PAUSE_MS + 2);
	CU_ASSERT_FALSE(
		breaker_is_open(&breaker, START_MS + BREAKER_MIN_PAUSE_MS + 2));
}

/* Scenario: an endpoint fails half of its requests (a gray failure), and the
 * successes between them keep its breaker closed. Guards against a failure
 * share that doesn't show this, or that stays high after the failures end. */
static void test_breaker_gray_failure(void)
{
	breaker_t gray, healthy;

	memset(&gray, 0, sizeof(gray));
	memset(&healthy, 0, sizeof(healthy));
	for (int i = 0; i < 40; i++) {
		if (i % 2)
			breaker_on_fault(&gray, BREAKER_REQUEST_FAILED,
					 START_MS + i);
		else
			breaker_on_success(&gray, START_MS + i);
		breaker_on_success(&healthy, START_MS + i);
	}
	CU_ASSERT_TRUE(breaker_failure_share(&gray, START_MS + 40) > 0.3);
	CU_ASSERT_TRUE(breaker_failure_share(&healthy, START_MS + 40) < 0.01);
	CU_ASSERT_TRUE(breaker_failure_share(&gray, START_MS + 20000) < 0.01);
}

int main(void)
{
	CU_TestInfo tests[] = {
		{"cold sum", test_cold_sum},
		{"cold, no share", test_cold_no_share},
		{"retry budget, ratio", test_retry_budget_ratio},
		{"retry budget, window", test_retry_budget_window},
		{"breaker, unreachable", test_breaker_unreachable},
		{"breaker, gray failure", test_breaker_gray_failure},
		CU_TEST_INFO_NULL};

	return unit_run("limits", tests);
}
