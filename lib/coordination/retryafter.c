#include "coordination/retryafter.h"

#define BUSY_MIN_MS 250
#define BUSY_MAX_MS 500
/* A host that has just started reads the configuration within the minimum. */
#define ABSENT_MIN_MS 800
#define ABSENT_MAX_MS 4000
#define LIMITED_MAX_MS 4000

static int64_t random_between(int64_t min_ms, int64_t max_ms, uint64_t random)
{
	if (max_ms <= min_ms)
		return min_ms;
	return min_ms + (int64_t)(random % (uint64_t)(max_ms - min_ms));
}

int64_t retryafter_pause_ms(int64_t paused_ms, uint64_t random)
{
	return paused_ms + random_between(BUSY_MIN_MS, BUSY_MAX_MS, random);
}

int64_t retryafter_ms(retryafter_cause_t cause, int64_t left_ms,
		      uint64_t random)
{
	int64_t max_wait_ms = left_ms / RETRYAFTER_TIME_LEFT_DIVISOR;

	if (cause == RETRYAFTER_BUSY)
		return random_between(BUSY_MIN_MS, BUSY_MAX_MS, random);
	return random_between(ABSENT_MIN_MS,
			      max_wait_ms < ABSENT_MAX_MS ? max_wait_ms :
							    ABSENT_MAX_MS,
			      random);
}

int64_t retryafter_limited_ms(int64_t next_ms, int64_t left_ms, bool is_urgent,
			      uint64_t random)
{
	int64_t min_ms = next_ms < BUSY_MIN_MS ? BUSY_MIN_MS : next_ms;
	int64_t max_ms = left_ms / RETRYAFTER_TIME_LEFT_DIVISOR;
	int64_t middle_ms;

	if (max_ms > LIMITED_MAX_MS)
		max_ms = LIMITED_MAX_MS;
	if (min_ms > max_ms)
		min_ms = BUSY_MIN_MS;
	middle_ms = (min_ms + max_ms) / 2;
	return is_urgent ? random_between(min_ms, middle_ms, random) :
			   random_between(middle_ms, max_ms, random);
}

int64_t retryafter_over_share_ms(int64_t recovery_ms, uint64_t random)
{
	return random_between(BUSY_MIN_MS, BUSY_MAX_MS + recovery_ms, random);
}
