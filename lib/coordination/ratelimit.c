#include "coordination/ratelimit.h"

static double clamp_rate(double per_s)
{
	if (per_s < RATELIMIT_MIN_PER_S)
		return RATELIMIT_MIN_PER_S;
	return per_s > RATELIMIT_MAX_PER_S ? RATELIMIT_MAX_PER_S : per_s;
}

bool ratelimit_on_stated(ratelimit_t *limit, double per_s, int64_t now_ms)
{
	double before = limit->per_s;

	limit->per_s = clamp_rate(per_s);
	limit->stated_ms = now_ms;
	return limit->per_s != before;
}

bool ratelimit_on_unstated(ratelimit_t *limit, int64_t sent_ms, int64_t now_ms)
{
	if (limit->per_s <= 0.0 || sent_ms <= limit->stated_ms)
		return false;
	limit->per_s = 0.0;
	limit->stated_ms = now_ms;
	return true;
}
