#include "coordination/breaker.h"

#include <math.h>

/* Weight of the latest request in the moving average of failures. */
#define BREAKER_SAMPLE_WEIGHT 0.2
#define BREAKER_HALF_LIFE_MS 2000.0

double breaker_failure_share(const breaker_t *breaker, int64_t now_ms)
{
	double age = (double)(now_ms - breaker->updated_ms);

	if (breaker->failure_share <= 0.0 || age < 0.0)
		return breaker->failure_share;
	return breaker->failure_share * exp2(-age / BREAKER_HALF_LIFE_MS);
}

static void update_failure_share(breaker_t *breaker, double sample,
				 int64_t now_ms)
{
	double previous = breaker_failure_share(breaker, now_ms);

	breaker->failure_share =
		previous + BREAKER_SAMPLE_WEIGHT * (sample - previous);
	breaker->updated_ms = now_ms;
}

void breaker_on_success(breaker_t *breaker, int64_t now_ms)
{
	update_failure_share(breaker, 0.0, now_ms);
	breaker->failures_in_row = 0;
	breaker->open_until_ms = 0;
}

static int64_t pause_after(unsigned failures)
{
	int64_t pause = BREAKER_MIN_PAUSE_MS;

	while (failures-- > BREAKER_FAILURES_TO_OPEN &&
	       pause < BREAKER_MAX_PAUSE_MS)
		pause *= 2;
	return pause < BREAKER_MAX_PAUSE_MS ? pause : BREAKER_MAX_PAUSE_MS;
}

void breaker_on_fault(breaker_t *breaker, breaker_fault_t fault, int64_t now_ms)
{
	update_failure_share(breaker, 1.0, now_ms);
	breaker->failures_in_row++;
	if (fault == BREAKER_UNREACHABLE &&
	    breaker->failures_in_row < BREAKER_FAILURES_TO_OPEN)
		breaker->failures_in_row = BREAKER_FAILURES_TO_OPEN;
	if (breaker->failures_in_row >= BREAKER_FAILURES_TO_OPEN)
		breaker->open_until_ms =
			now_ms + pause_after(breaker->failures_in_row);
}

bool breaker_is_open(const breaker_t *breaker, int64_t now_ms)
{
	return breaker->open_until_ms > now_ms;
}

void breaker_on_send(breaker_t *breaker, int64_t now_ms)
{
	if (breaker->failures_in_row >= BREAKER_FAILURES_TO_OPEN)
		breaker->open_until_ms =
			now_ms + pause_after(breaker->failures_in_row);
}
