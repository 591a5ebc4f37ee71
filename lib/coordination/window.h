#ifndef COORDINATION_WINDOW_H
#define COORDINATION_WINDOW_H

#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"

/*
 * window - limit of one dispatcher's requests in flight to one endpoint
 *
 * Cold until warmth is proven; slow start from one when warm; see section 6.2
 * of docs/design.md. The caller passes monotonic times.
 */
#define WINDOW_PROOF_MS 5000	  /* life of a proof of warmth */
#define WINDOW_LATE_FACTOR 4	  /* times the median that counts as late */
#define WINDOW_LATE_IN_A_ROW 2	  /* late first tokens that end the proof */
#define WINDOW_REPORT_MAX_MS 5000 /* older load reports prove nothing */

typedef enum window_report_state {
	WINDOW_REPORT_COLD,
	WINDOW_REPORT_WARM,
	WINDOW_REPORT_LEAVING
} window_report_state_t;

/* A load report of the endpoint. */
typedef struct window_report {
	uint64_t boot; /* hash of the boot id; another value: a restart */
	window_report_state_t state;
	unsigned running;
	unsigned waiting;
	/* Lag that the report states plus the round trip of the poll, so that
	 * now - age_ms is never later than the measurement. */
	int64_t age_ms;
} window_report_t;

typedef struct window {
	unsigned max_in_flight;
	unsigned limit;	    /* when warm */
	unsigned in_flight; /* exact */
	bool proven;	    /* warmth has been proven and not voided */
	int64_t proven_until_ms;
	bool leaving;
	bool boot_known;
	uint64_t boot;
	unsigned late_in_a_row;
	double median_first_token_ms; /* 0: not learned yet */
	unsigned median_samples;
	unsigned reported_waiting;
	bool reported_cold; /* the newest report said cold */
	/* The endpoint may have restarted unseen. A cold engine may answer its
	 * few requests in time, so only a report can prove warmth. */
	bool needs_report;
	int64_t reported_cold_ms; /* when that was measured */
	int64_t reported_ms;	  /* when the newest report was measured */
	int64_t voided_ms;	  /* evidence up to this time is void */
	unsigned lost;		  /* may still run at the endpoint */
	int64_t lost_until_ms;	  /* ends all of `lost` */
} window_t;

void window_init(window_t *window, unsigned max_in_flight);
void window_set_max(window_t *window, unsigned max_in_flight);

bool window_is_warm(const window_t *window, int64_t now_ms);

/* Requests that may be in flight now, given the usable cold share. */
unsigned window_limit(const window_t *window, int64_t now_ms,
		      unsigned cold_units);

/* True when one more request may be sent now. */
bool window_may_send(const window_t *window, int64_t now_ms,
		     unsigned cold_units);

void window_on_send(window_t *window);
/* Ends one request in flight. Without any in flight, it does nothing. */
void window_on_end(window_t *window);
/*
 * Ends one request in flight that the endpoint may still be running, such as
 * one whose connection broke. It counts against the cold share until
 * `until_ms`, the time at which the endpoint ends it on its own.
 */
void window_on_lost(window_t *window, int64_t now_ms, int64_t until_ms);
/*
 * A first token arrived `first_token_ms` after the send. Call it before
 * window_on_end(), since the window grows only up to twice the requests in
 * flight that the endpoint has been seen to serve. Requests sent before the
 * last event that voided the proof prove nothing.
 */
void window_on_first_token(window_t *window, int64_t now_ms,
			   int64_t first_token_ms);
void window_on_refused(window_t *window); /* engine refused: halve */
/* Connection broke: cold. In-flight requests end one by one as usual. */
void window_on_broken(window_t *window, int64_t now_ms);
/* No first token in time. The first token of the same request must not be
 * reported later, or it counts as late twice. */
void window_on_silence(window_t *window, int64_t now_ms);
/*
 * A load report arrived. It proves warmth from its measurement on for
 * WINDOW_PROOF_MS, unless it was measured before the last event that voided the
 * proof. While the newest report says cold, first tokens prove nothing.
 */
void window_on_report(window_t *window, int64_t now_ms,
		      const window_report_t *report);
/* The process was paused: back to slow start, proofs void. */
void window_on_pause(window_t *window, int64_t now_ms);

#endif
