#include "coordination/retrybudget.h"

/* Share of the ratio and of the slack that is used: an external check of the
 * limits may align its window differently. */
#define RETRYBUDGET_RATIO_SAFETY 0.8
#define RETRYBUDGET_SLACK_SAFETY 0.7

void retrybudget_init(retrybudget_t *budget, double ratio, int64_t window_ms)
{
	*budget = (retrybudget_t){.ratio = ratio * RETRYBUDGET_RATIO_SAFETY,
				  .slot_ms =
					  window_ms / RETRYBUDGET_WINDOW_SLOTS};
	if (budget->slot_ms < 1)
		budget->slot_ms = 1;
}

void retrybudget_set_allowance(retrybudget_t *budget, double slack,
			       unsigned hosts)
{
	budget->allowance = (unsigned)(slack * RETRYBUDGET_SLACK_SAFETY /
				       (hosts ? hosts : 1));
}

/* Clears the slots that have begun since the last call. Returns the index of
 * the current slot. */
static unsigned advance(retrybudget_t *budget, int64_t now_ms)
{
	int64_t slot = now_ms / budget->slot_ms;
	int64_t passed = slot - budget->newest_slot;

	if (passed > RETRYBUDGET_WINDOW_SLOTS || passed < 0)
		passed = RETRYBUDGET_WINDOW_SLOTS;
	for (int64_t i = 0; i < passed; i++) {
		unsigned index =
			(unsigned)((slot - i) % RETRYBUDGET_WINDOW_SLOTS);

		budget->requests[index] = 0;
		budget->sends[index] = 0;
	}
	budget->newest_slot = slot;
	return (unsigned)(slot % RETRYBUDGET_WINDOW_SLOTS);
}

static unsigned sum(const unsigned *slots)
{
	unsigned total = 0;

	for (unsigned i = 0; i < RETRYBUDGET_WINDOW_SLOTS; i++)
		total += slots[i];
	return total;
}

void retrybudget_on_request(retrybudget_t *budget, int64_t now_ms)
{
	budget->requests[advance(budget, now_ms)]++;
}

bool retrybudget_available(retrybudget_t *budget, unsigned spare,
			   int64_t now_ms)
{
	double limit;

	advance(budget, now_ms);
	limit = budget->ratio * sum(budget->requests) + budget->allowance;
	return sum(budget->sends) + 1 + spare <= limit;
}

bool retrybudget_take(retrybudget_t *budget, int64_t now_ms)
{
	if (!retrybudget_available(budget, 0, now_ms))
		return false;
	budget->sends[advance(budget, now_ms)]++;
	return true;
}
