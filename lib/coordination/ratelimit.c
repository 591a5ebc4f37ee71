#include "coordination/ratelimit.h"

#include <math.h>

#define MS_PER_S 1000.0

static double clamp_rate(double per_s)
{
	if (per_s < RATELIMIT_MIN_PER_S)
		return RATELIMIT_MIN_PER_S;
	if (per_s > RATELIMIT_MAX_PER_S)
		return RATELIMIT_MAX_PER_S;
	return floor(per_s * RATELIMIT_STEPS_PER_UNIT) /
	       RATELIMIT_STEPS_PER_UNIT;
}

static bool set_rate(ratelimit_t *limit, double per_s, int64_t stated_ms)
{
	double before = limit->per_s;

	limit->per_s = per_s;
	limit->stated_ms = stated_ms;
	return limit->per_s != before;
}

bool ratelimit_on_stated(ratelimit_t *limit, double per_s, int64_t now_ms)
{
	limit->received_ms = now_ms;
	return set_rate(limit, clamp_rate(per_s), now_ms);
}

bool ratelimit_on_unstated(ratelimit_t *limit, int64_t sent_ms, int64_t now_ms)
{
	if (limit->per_s <= 0.0 || sent_ms <= limit->stated_ms)
		return false;
	limit->received_ms = now_ms;
	return set_rate(limit, 0.0, now_ms);
}

bool ratelimit_on_news(ratelimit_t *limit, double per_s, int64_t stated_ms)
{
	bool is_same;

	if (per_s > 0.0)
		per_s = clamp_rate(per_s);
	is_same = per_s == limit->per_s;
	if (stated_ms <= limit->stated_ms + (is_same ? RATELIMIT_COPY_MS : 0))
		return false;
	return set_rate(limit, per_s, stated_ms);
}

unsigned ratelimit_count_units(double per_s, size_t hosts)
{
	double units = per_s + RATELIMIT_SPARE_UNITS;
	double max_units = (double)hosts * SENDRING_SIZE;

	if (per_s < RATELIMIT_SINGLE_UNIT_PER_S)
		return 1;
	return (unsigned)(units < max_units ? units : max_units);
}

int64_t ratelimit_window_ms(const ratelimit_t *limit)
{
	if (limit->per_s <= 0.0)
		return 0;
	return (int64_t)(limit->all_units * MS_PER_S / limit->per_s);
}

unsigned ratelimit_term(const ratelimit_t *limit, int64_t now_ms)
{
	int64_t term_ms = RATELIMIT_TERM_WINDOWS * ratelimit_window_ms(limit);

	if (term_ms < RATELIMIT_TERM_MS)
		term_ms = RATELIMIT_TERM_MS;
	return now_ms > limit->stated_ms ?
		       (unsigned)((now_ms - limit->stated_ms) / term_ms) :
		       0;
}

/* Time for which a free unit is reserved for more urgent requests. */
static int64_t reserved_ms(int64_t window_ms, unsigned priority)
{
	unsigned levels = priority < RATELIMIT_MAX_RESERVED_LEVELS ?
				  priority :
				  RATELIMIT_MAX_RESERVED_LEVELS;

	return (int64_t)((double)window_ms * RATELIMIT_RESERVED_SHARE * levels);
}

int64_t ratelimit_next_send_ms(const ratelimit_t *limit,
			       const sendring_t *sends, unsigned priority)
{
	int64_t window_ms = ratelimit_window_ms(limit);
	int64_t nth_ms;

	if (limit->per_s <= 0.0)
		return 0;
	if (!limit->units)
		return INT64_MAX;
	nth_ms = sendring_nth_ms(sends, limit->units < SENDRING_SIZE ?
						limit->units :
						SENDRING_SIZE);
	return nth_ms ? nth_ms + window_ms + reserved_ms(window_ms, priority) :
			0;
}
