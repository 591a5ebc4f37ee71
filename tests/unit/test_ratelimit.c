#include "unit.h"

#include "coordination/ratelimit.h"

#define START_MS 1000000

/* Scenario: responses on several connections overtake each other. Guards
 * against a limit that ends with a response which the endpoint may have sent
 * before it stated the limit, and against one that never ends (LIMIT). */
static void test_end_of_limit(void)
{
	ratelimit_t limit = {.per_s = 0.0};

	CU_ASSERT_TRUE(ratelimit_on_stated(&limit, 2.0, START_MS));
	CU_ASSERT_FALSE(ratelimit_on_stated(&limit, 2.0, START_MS + 100));
	CU_ASSERT_FALSE(
		ratelimit_on_unstated(&limit, START_MS + 50, START_MS + 200));
	CU_ASSERT_FALSE(
		ratelimit_on_unstated(&limit, START_MS + 100, START_MS + 200));
	CU_ASSERT_DOUBLE_EQUAL(limit.per_s, 2.0, 1e-9);
	CU_ASSERT_TRUE(
		ratelimit_on_unstated(&limit, START_MS + 101, START_MS + 200));
	CU_ASSERT_DOUBLE_EQUAL(limit.per_s, 0.0, 1e-9);
	CU_ASSERT_TRUE(ratelimit_on_stated(&limit, 1.0, START_MS + 300));
	CU_ASSERT_TRUE(ratelimit_on_stated(&limit, 0.5, START_MS + 400));
}

/* Guards against values that stop all requests for good or overflow. */
static void test_absurd_rates(void)
{
	ratelimit_t limit = {.per_s = 0.0};

	ratelimit_on_stated(&limit, 0.0, START_MS);
	CU_ASSERT_DOUBLE_EQUAL(limit.per_s, RATELIMIT_MIN_PER_S, 1e-9);
	ratelimit_on_stated(&limit, 1e300, START_MS);
	CU_ASSERT_DOUBLE_EQUAL(limit.per_s, RATELIMIT_MAX_PER_S, 1e-3);
}

int main(void)
{
	CU_TestInfo tests[] = {{"end of a limit", test_end_of_limit},
			       {"absurd rates", test_absurd_rates},
			       CU_TEST_INFO_NULL};

	return unit_run("ratelimit", tests);
}
