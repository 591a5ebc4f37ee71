#include "coordination/pauses.h"

#include <limits.h>
#include <stdlib.h>
#include <string.h>

void pauses_reset(pauses_t *pauses)
{
	*pauses = (pauses_t){.stride = 1};
}

/* Keeps every second sample, to make room for as many later ones. */
static void halve(pauses_t *pauses)
{
	for (unsigned i = 0; i < PAUSES_MAX_SAMPLES / 2; i++)
		pauses->samples_ms[i] = pauses->samples_ms[2 * i];
	pauses->count = PAUSES_MAX_SAMPLES / 2;
	if (pauses->stride <= UINT_MAX / 2)
		pauses->stride *= 2;
}

static void add_sample(pauses_t *pauses, float pause_ms)
{
	if (++pauses->skipped < pauses->stride)
		return;
	pauses->skipped = 0;
	if (pauses->count == PAUSES_MAX_SAMPLES)
		halve(pauses);
	pauses->samples_ms[pauses->count++] = pause_ms;
}

void pauses_on_events(pauses_t *pauses, unsigned count, int64_t now_ms)
{
	int64_t pause_ms = now_ms - pauses->last_ms;

	if (pauses->last_ms && !pauses->held_back && count &&
	    pause_ms >= PAUSES_MIN_MS)
		add_sample(pauses, (float)pause_ms / (float)count);
	pauses->last_ms = now_ms;
}

void pauses_on_held_back(pauses_t *pauses)
{
	pauses->held_back = true;
}

static int compare_floats(const void *a, const void *b)
{
	float left = *(const float *)a;
	float right = *(const float *)b;

	return (left > right) - (left < right);
}

double pauses_quiet_ms(const pauses_t *pauses)
{
	float sorted[PAUSES_MAX_SAMPLES];

	if (pauses->count < PAUSES_MIN_SAMPLES)
		return 0.0;
	memcpy(sorted, pauses->samples_ms, sizeof(sorted));
	qsort(sorted, pauses->count, sizeof(*sorted), compare_floats);
	return (double)sorted[pauses->count / 4];
}
