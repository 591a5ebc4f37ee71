#ifndef COORDINATION_PAUSES_H
#define COORDINATION_PAUSES_H

#include <stdbool.h>
#include <stdint.h>

/*
 * pauses - the time between the events of one stream
 *
 * While an engine prefills a prompt, each decode step of its other requests
 * takes longer. The lower quartile of a stream's pauses therefore shows how
 * fast the engine decodes while it prefills nothing, as long as most events are
 * made without prefill. A few pauses, evenly spread over the stream, are kept.
 *
 * This module does no I/O.
 */
#define PAUSES_MAX_SAMPLES 16
/* A stream with fewer pauses gives no quartile. */
#define PAUSES_MIN_SAMPLES 4
/* Events that are closer were read from the same buffer of the connection. */
#define PAUSES_MIN_MS 2

typedef struct pauses {
	int64_t last_ms;  /* time of the latest event; 0: none yet */
	unsigned stride;  /* one in this many pauses is kept */
	unsigned skipped; /* since the last one that was kept */
	unsigned count;
	bool held_back;
	float samples_ms[PAUSES_MAX_SAMPLES];
} pauses_t;

/* Starts anew, for the response of another endpoint. */
void pauses_reset(pauses_t *pauses);

/* `count` events, one at least, were read at once. When a busy host reads
 * several events late, the pause before them is divided evenly. */
void pauses_on_events(pauses_t *pauses, unsigned count, int64_t now_ms);

/* The host stopped reading since the caller is slow: from now on, the times of
 * events say nothing about the engine. */
void pauses_on_held_back(pauses_t *pauses);

/* The lower quartile in ms. RETURN VALUE: 0 with too few pauses. */
double pauses_quiet_ms(const pauses_t *pauses);

#endif
