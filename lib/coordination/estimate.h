#ifndef COORDINATION_ESTIMATE_H
#define COORDINATION_ESTIMATE_H

#include <stdint.h>

/*
 * estimate - output length and speed, learned online
 *
 * Exponentially weighted mean, seeded by the sheet's expected length.
 */
typedef struct estimate {
	double mean;
	uint64_t samples;
} estimate_t;

void estimate_init(estimate_t *estimate, double first);
void estimate_add(estimate_t *estimate, double sample);
double estimate_mean(const estimate_t *estimate);

#endif
