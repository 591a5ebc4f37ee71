#include "coordination/estimate.h"

#include <math.h>

/* Weight of a new sample once the seed has faded: about 20 samples count. */
#define ESTIMATE_MIN_WEIGHT 0.05

void estimate_init(estimate_t *estimate, double first)
{
	estimate->mean = first;
	estimate->samples = 0;
}

void estimate_add(estimate_t *estimate, double sample)
{
	double weight = 1.0 / ((double)estimate->samples + 2);

	if (!isfinite(sample) || sample < 0)
		return;
	if (weight < ESTIMATE_MIN_WEIGHT)
		weight = ESTIMATE_MIN_WEIGHT;
	estimate->mean += weight * (sample - estimate->mean);
	estimate->samples++;
}

double estimate_mean(const estimate_t *estimate)
{
	return estimate->mean;
}
