#ifndef COORDINATION_SPEED_H
#define COORDINATION_SPEED_H

#include <stddef.h>
#include <stdint.h>

/*
 * speed - how fast endpoints decode, compared with others of their service
 *
 * The engines of one service may differ by a factor of two or three. Each
 * completed stream gives one sample: the lower quartile of the pauses between
 * its events, see pauses.h. All streams of a service have events of the same
 * number of tokens, so their pauses can be compared, and the logarithms of the
 * samples of an endpoint are averaged. Counts and sums of logarithms are
 * additive, so samples of many hosts are joined by adding them.
 *
 * Samples lose their weight over time. An estimate with little weight shrinks
 * towards the service's reference, so an endpoint without samples counts as a
 * usual one. This module does no I/O.
 */
#define SPEED_TIME_CONSTANT_MS 20000.0
/* Older samples count as none: less than a thousandth of them is left. */
#define SPEED_MAX_AGE_MS 150000
/* Weight, in samples, of the assumption that an endpoint is a usual one. */
#define SPEED_PRIOR_WEIGHT 2.0
/* Endpoints with less weight don't count for the reference. */
#define SPEED_MIN_REFERENCE_WEIGHT 1.0
/* Pauses beyond these bounds are clamped. */
#define SPEED_MIN_PAUSE_MS 1.0
#define SPEED_MAX_PAUSE_MS 60000.0
/* Bounds of slowness. */
#define SPEED_MAX_SLOWNESS 4.0
#define SPEED_MIN_SLOWNESS (1.0 / SPEED_MAX_SLOWNESS)

/* Samples of an endpoint. */
typedef struct speed_sums {
	double weight;	/* number of samples; less by age */
	double log_sum; /* of the logarithms of their pauses in ms */
} speed_sums_t;

/* The same, with the time from which they lose weight. */
typedef struct speed {
	speed_sums_t sums;
	int64_t updated_ms;
} speed_t;

/* Adds the sample of one stream; a pause of 0 stands for none. */
void speed_sums_add_pause(speed_sums_t *sums, double quiet_pause_ms);

void speed_sums_add(speed_sums_t *sums, const speed_sums_t *other);

/* Adds new samples to those of before. */
void speed_add(speed_t *speed, const speed_sums_t *news, int64_t now_ms);

/* The samples with the weight that is left of them. */
speed_sums_t speed_at(const speed_t *speed, int64_t now_ms);

/* The mean pause in ms. RETURN VALUE: 0 without samples. */
double speed_pause_ms(const speed_sums_t *sums);

/*
 * The pause of a service's usual endpoint: the geometric mean over the middle
 * half of its endpoints, so a few very slow ones don't shift it. Reorders
 * `endpoints`.
 *
 * RETURN VALUE: in ms; 0 when unknown.
 */
double speed_reference_ms(speed_sums_t *endpoints, size_t count);

/* How many times as long the endpoint takes as the usual one. RETURN VALUE: 1
 * when unknown. */
double speed_slowness(const speed_sums_t *sums, double reference_ms);

#endif
