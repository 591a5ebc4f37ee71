#include "coordination/repeats.h"

/* Share of the ratio and of the slack that is used: an external check of the
 * limits may align its window differently. */
#define REPEATS_RATIO_SAFETY 0.8
#define REPEATS_SLACK_SAFETY 0.7

void repeats_init(repeats_t *repeats, double ratio, int64_t window_ms)
{
	*repeats = (repeats_t){.ratio = ratio * REPEATS_RATIO_SAFETY,
			       .slot_ms = window_ms / REPEATS_WINDOW_SLOTS};
	if (repeats->slot_ms < 1)
		repeats->slot_ms = 1;
}

void repeats_set_allowance(repeats_t *repeats, double slack, unsigned hosts)
{
	repeats->allowance =
		(unsigned)(slack * REPEATS_SLACK_SAFETY / (hosts ? hosts : 1));
}

/* Clears the slots that have begun since the last call. Returns the index of
 * the current slot. */
static unsigned advance(repeats_t *repeats, int64_t now_ms)
{
	int64_t slot = now_ms / repeats->slot_ms;
	int64_t passed = slot - repeats->newest_slot;

	if (passed > REPEATS_WINDOW_SLOTS || passed < 0)
		passed = REPEATS_WINDOW_SLOTS;
	for (int64_t i = 0; i < passed; i++) {
		unsigned index = (unsigned)((slot - i) % REPEATS_WINDOW_SLOTS);

		repeats->requests[index] = 0;
		repeats->sends[index] = 0;
	}
	repeats->newest_slot = slot;
	return (unsigned)(slot % REPEATS_WINDOW_SLOTS);
}

static unsigned sum(const unsigned *slots)
{
	unsigned total = 0;

	for (unsigned i = 0; i < REPEATS_WINDOW_SLOTS; i++)
		total += slots[i];
	return total;
}

void repeats_on_request(repeats_t *repeats, int64_t now_ms)
{
	repeats->requests[advance(repeats, now_ms)]++;
}

bool repeats_available(repeats_t *repeats, unsigned spare, int64_t now_ms)
{
	double limit;

	advance(repeats, now_ms);
	limit = repeats->ratio * sum(repeats->requests) + repeats->allowance;
	return sum(repeats->sends) + 1 + spare <= limit;
}

bool repeats_take(repeats_t *repeats, int64_t now_ms)
{
	if (!repeats_available(repeats, 0, now_ms))
		return false;
	repeats->sends[advance(repeats, now_ms)]++;
	return true;
}
