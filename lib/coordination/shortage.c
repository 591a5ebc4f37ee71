#include "coordination/shortage.h"

/* Shares of the slots that are taken at which they begin to be short, and no
 * longer are. */
#define SHORT_SHARE 0.75
#define SHORT_END_SHARE 0.6
/* Engines of both lanes that a request compares, on average. */
#define SAMPLE_ENGINES 8.0

void shortage_update(shortage_t *shortage, uint64_t in_flight, uint64_t slots)
{
	double share = shortage->is_short ? SHORT_END_SHARE : SHORT_SHARE;

	shortage->is_short =
		slots && (double)in_flight >= share * (double)slots;
}

double shortage_sample_share(const shortage_t *shortage, size_t count)
{
	double share = SAMPLE_ENGINES / (double)(count + 1);

	return shortage->is_short && share < 1.0 ? share : 1.0;
}
