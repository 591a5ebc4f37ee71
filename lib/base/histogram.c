#include "base/histogram.h"

#include <stdatomic.h>

static const int64_t bounds_ms[] = {5,	 10,   25,   50,   100,	 250,
				    500, 1000, 2500, 5000, 10000};

#define BOUND_COUNT (sizeof(bounds_ms) / sizeof(bounds_ms[0]))

typedef struct histogram {
	const char *name;
	const char *help;
	_Atomic uint64_t buckets[BOUND_COUNT + 1]; /* the last is +Inf */
	_Atomic uint64_t sum_ms;
} histogram_t;

static histogram_t histograms[HISTOGRAM_COUNT] = {
	[HISTOGRAM_FIRST_EVENT] =
		{"peridot_first_event_ms",
		 "from a request's arrival to the first event "
		 "of its stream"},
	[HISTOGRAM_ANSWER] = {"peridot_answer_ms",
			      "from a request's arrival to the end of its "
			      "final answer"}};

void histogram_observe(histogram_id_t id, int64_t ms)
{
	histogram_t *histogram = &histograms[id];
	size_t bucket = 0;

	if (ms < 0)
		ms = 0;
	while (bucket < BOUND_COUNT && ms > bounds_ms[bucket])
		bucket++;
	atomic_fetch_add_explicit(&histogram->buckets[bucket], 1,
				  memory_order_relaxed);
	atomic_fetch_add_explicit(&histogram->sum_ms, (uint64_t)ms,
				  memory_order_relaxed);
}

static void render_histogram(const histogram_t *histogram, buf_t *out)
{
	uint64_t count = 0;

	buf_printf(out, "# HELP %s %s\n# TYPE %s histogram\n", histogram->name,
		   histogram->help, histogram->name);
	for (size_t i = 0; i < BOUND_COUNT; i++) {
		count += atomic_load(&histogram->buckets[i]);
		buf_printf(out, "%s_bucket{le=\"%lld\"} %llu\n",
			   histogram->name, (long long)bounds_ms[i],
			   (unsigned long long)count);
	}
	count += atomic_load(&histogram->buckets[BOUND_COUNT]);
	buf_printf(out,
		   "%s_bucket{le=\"+Inf\"} %llu\n%s_sum %llu\n%s_count %llu\n",
		   histogram->name, (unsigned long long)count, histogram->name,
		   (unsigned long long)atomic_load(&histogram->sum_ms),
		   histogram->name, (unsigned long long)count);
}

void histogram_render(buf_t *out)
{
	for (int id = 0; id < HISTOGRAM_COUNT; id++)
		render_histogram(&histograms[id], out);
}
