#ifndef COORDINATION_RETRYAFTER_H
#define COORDINATION_RETRYAFTER_H

#include <stdint.h>

/*
 * retryafter - when a refused caller had better come back
 *
 * Callers wait for a time to return up to a third of what they have left, and
 * most come back once only. Room at endpoints is there again within a fraction
 * of a second. What a host lacks entirely, a configuration or all endpoints of
 * a service, is missing for seconds where the configuration service is away or
 * its records have lapsed: callers that have the time return spread over some
 * seconds, so that many of them find it.
 */
#define RETRYAFTER_DEADLINE_DIVISOR 3

typedef enum retryafter_cause {
	RETRYAFTER_BUSY,  /* endpoints have no room now */
	RETRYAFTER_ABSENT /* no configuration or no endpoint is known */
} retryafter_cause_t;

/* Time in ms to return after, for a caller that waits for `left_ms` more;
 * `random` spreads it. */
int64_t retryafter_ms(retryafter_cause_t cause, int64_t left_ms,
		      uint64_t random);

/* The same where every endpoint asked for a pause, the first of which ends in
 * `paused_ms`: none comes back before it, nor all at once after it. */
int64_t retryafter_pause_ms(int64_t paused_ms, uint64_t random);

#endif
