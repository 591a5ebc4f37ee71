#include "coordination/decode.h"

#include <math.h>

#define MEAN_WEIGHT 0.1
#define STRETCH_WEIGHT 0.05
/* A longest pause of fewer quiet pauses is not due to prefill. */
#define MIN_STRETCH 2.5
#define MAX_STRETCH 50.0
/* Part of its time that an engine spends on prefill at which some prompt is
 * certain to delay a stream. */
#define CERTAIN_DELAY_SHARE 0.2
#define MAX_PREFILL_SHARE 0.95
/* Part of the time left that a stream may be expected to take without a
 * charge: outputs are of unknown length. */
#define SAFE_TIME_FRACTION 0.5

static decode_class_t *find_class(decode_stats_t *stats, uint64_t class_id)
{
	return &stats->classes[class_id % DECODE_CLASSES];
}

void decode_on_stream(decode_stats_t *stats, uint64_t class_id, double events,
		      double longest_pause_ms, double quiet_pause_ms)
{
	decode_class_t *class = find_class(stats, class_id);
	double stretch;

	if (class->id != class_id)
		*class = (decode_class_t){.id = class_id, .events = events};
	class->events += MEAN_WEIGHT * (events - class->events);
	if (quiet_pause_ms <= 0.0)
		return;
	stretch = fmin(longest_pause_ms / quiet_pause_ms, MAX_STRETCH);
	if (stretch < MIN_STRETCH)
		return;
	if (stats->stretch <= 0.0)
		stats->stretch = stretch;
	stats->stretch += STRETCH_WEIGHT * (stretch - stats->stretch);
}

double decode_expected_events(const decode_stats_t *stats, uint64_t class_id)
{
	const decode_class_t *class =
		&stats->classes[class_id % DECODE_CLASSES];

	return class->id == class_id ? class->events : 0.0;
}

/* How likely it is that a pause exceeds the target, from 0 to 1. */
static double pause_risk(const decode_stats_t *stats,
			 const decode_stream_t *stream,
			 const decode_engine_t *engine)
{
	double delayed = fmin(engine->prefill_share / CERTAIN_DELAY_SHARE, 1.0);
	double longest_ms = engine->quiet_pause_ms * stats->stretch;

	if (stream->gap_target_ms <= 0.0 || longest_ms <= stream->gap_target_ms)
		return 0.0;
	return delayed * fmin(longest_ms / stream->gap_target_ms - 1.0, 1.0);
}

/* How likely it is that the stream isn't complete in time, from 0 to 1. */
static double deadline_risk(const decode_stream_t *stream,
			    const decode_engine_t *engine)
{
	double decode_share =
		1.0 - fmin(engine->prefill_share, MAX_PREFILL_SHARE);
	double needed_ms =
		engine->expected_ms +
		stream->events * engine->quiet_pause_ms / decode_share;
	double safe_ms = stream->left_ms * SAFE_TIME_FRACTION;

	if (safe_ms <= 0.0 || needed_ms <= safe_ms)
		return 0.0;
	return fmin((needed_ms - safe_ms) / (stream->left_ms - safe_ms), 1.0);
}

double decode_charge_ms(const decode_stats_t *stats,
			const decode_stream_t *stream,
			const decode_engine_t *engine)
{
	if (engine->quiet_pause_ms <= 0.0)
		return 0.0;
	return stream->miss_charge_ms * (pause_risk(stats, stream, engine) +
					 deadline_risk(stream, engine));
}
