#ifndef COORDINATION_DECODE_H
#define COORDINATION_DECODE_H

#include <stddef.h>
#include <stdint.h>

/*
 * decode - forecasts how an engine would decode a stream
 *
 * A stream is late when the time between two of its events exceeds the route's
 * target, and lost when it isn't complete at its deadline, however soon it
 * began. Both depend on the engine: on its pause between events while it
 * prefills nothing, on the part of its time that it spends on prefill, and on
 * how much longer the pauses are while it does. The forecast is a charge on the
 * cost of an option, see balance.h; what isn't known charges nothing.
 */
typedef struct decode_stream {
	double events;	       /* expected number; 0: unknown */
	double left_ms;	       /* until its deadline */
	double gap_target_ms;  /* longest pause that is in time; 0: none */
	double miss_charge_ms; /* charge for a stream that is certainly lost */
} decode_stream_t;

typedef struct decode_engine {
	double quiet_pause_ms; /* between events, without prefill; 0: unknown */
	double prefill_share;  /* of its time that it spends on prefill */
	double expected_ms;    /* until the first event */
} decode_engine_t;

/* What the streams of a service have shown. */
#define DECODE_CLASSES 64

typedef struct decode_class {
	uint64_t id;
	double events; /* mean number */
} decode_class_t;

typedef struct decode_stats {
	/* Longest pause of a stream that was delayed by prefill, as a multiple
	 * of the quiet pause; a mean; 0: unknown. */
	double stretch;
	decode_class_t classes[DECODE_CLASSES];
} decode_stats_t;

/* Notes a complete stream: its class, events, longest pause, and the quiet
 * pause of its engine. */
void decode_on_stream(decode_stats_t *stats, uint64_t class_id, double events,
		      double longest_pause_ms, double quiet_pause_ms);

/* RETURN VALUE: mean number of events of the class; 0 when unknown. */
double decode_expected_events(const decode_stats_t *stats, uint64_t class_id);

/* Charge in ms for the pauses and for the end of the stream on the engine. */
double decode_charge_ms(const decode_stats_t *stats,
			const decode_stream_t *stream,
			const decode_engine_t *engine);

#endif
