#include "coordination/speed.h"

#include <math.h>
#include <stdlib.h>

static double clamp(double value, double min, double max)
{
	return value < min ? min : value > max ? max : value;
}

void speed_sums_add_pause(speed_sums_t *sums, double quiet_pause_ms)
{
	if (!(quiet_pause_ms > 0.0))
		return;
	sums->weight += 1.0;
	sums->log_sum += log(
		clamp(quiet_pause_ms, SPEED_MIN_PAUSE_MS, SPEED_MAX_PAUSE_MS));
}

void speed_sums_add(speed_sums_t *sums, const speed_sums_t *other)
{
	sums->weight += other->weight;
	sums->log_sum += other->log_sum;
}

speed_sums_t speed_at(const speed_t *speed, int64_t now_ms)
{
	int64_t age_ms = now_ms - speed->updated_ms;
	double left;

	if (speed->sums.weight <= 0.0 || age_ms > SPEED_MAX_AGE_MS)
		return (speed_sums_t){0.0, 0.0};
	if (age_ms <= 0)
		return speed->sums;
	left = exp(-(double)age_ms / SPEED_TIME_CONSTANT_MS);
	return (speed_sums_t){speed->sums.weight * left,
			      speed->sums.log_sum * left};
}

void speed_add(speed_t *speed, const speed_sums_t *news, int64_t now_ms)
{
	speed->sums = speed_at(speed, now_ms);
	speed->updated_ms = now_ms;
	speed_sums_add(&speed->sums, news);
}

static double mean_log(const speed_sums_t *sums)
{
	return sums->log_sum / sums->weight;
}

double speed_pause_ms(const speed_sums_t *sums)
{
	return sums->weight > 0.0 ? exp(mean_log(sums)) : 0.0;
}

static int compare_mean_logs(const void *a, const void *b)
{
	double left = mean_log(a);
	double right = mean_log(b);

	return (left > right) - (left < right);
}

/* Moves the endpoints with enough weight to the front; returns their number. */
static size_t select_known(speed_sums_t *endpoints, size_t count)
{
	size_t known = 0;

	for (size_t i = 0; i < count; i++)
		if (endpoints[i].weight >= SPEED_MIN_REFERENCE_WEIGHT)
			endpoints[known++] = endpoints[i];
	return known;
}

double speed_reference_ms(speed_sums_t *endpoints, size_t count)
{
	size_t known = select_known(endpoints, count);
	size_t left_out = known / 4;
	double sum = 0.0;

	if (!known)
		return 0.0;
	qsort(endpoints, known, sizeof(*endpoints), compare_mean_logs);
	for (size_t i = left_out; i < known - left_out; i++)
		sum += mean_log(&endpoints[i]);
	return exp(sum / (double)(known - 2 * left_out));
}

double speed_slowness(const speed_sums_t *sums, double reference_ms)
{
	double confidence;

	if (!(reference_ms > 0.0) || !(sums->weight > 0.0))
		return 1.0;
	confidence = sums->weight / (sums->weight + SPEED_PRIOR_WEIGHT);
	return clamp(exp(confidence * (mean_log(sums) - log(reference_ms))),
		     SPEED_MIN_SLOWNESS, SPEED_MAX_SLOWNESS);
}
