#include "coordination/retryafter.h"

#define BUSY_MIN_MS 250
#define BUSY_MAX_MS 500
/* A host that has just started reads the configuration within the minimum. */
#define ABSENT_MIN_MS 800
#define ABSENT_MAX_MS 4000

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
