#ifndef COORDINATION_RETRYAFTER_H
#define COORDINATION_RETRYAFTER_H

#include <stdbool.h>
#include <stdint.h>

/*
 * retryafter - time after which a refused caller should retry
 *
 * Callers accept a retry time of up to a third of the time that they have left,
 * and most retry only once. The functions below may return more than that
 * third: answer_not_run() limits the value. Endpoints have capacity again
 * within a fraction of a second. A missing configuration, or a service without
 * endpoints, lasts for seconds when the configuration service is unavailable or
 * its records have expired: the retries of callers that have enough time are
 * spread over several seconds, so that many of them succeed.
 */
/* A caller's time left, divided by this, is the longest retry time that it
 * accepts. */
#define RETRYAFTER_TIME_LEFT_DIVISOR 3

typedef enum retryafter_cause {
	RETRYAFTER_BUSY,  /* endpoints have no capacity now */
	RETRYAFTER_ABSENT /* no configuration or no endpoint is known */
} retryafter_cause_t;

/* Time in ms until the retry. `random` spreads the retries of different
 * callers. `left_ms` is the time that the caller has left; RETRYAFTER_BUSY
 * ignores it. */
int64_t retryafter_ms(retryafter_cause_t cause, int64_t left_ms,
		      uint64_t random);

/* Time in ms until the retry when every endpoint asked for a pause. The first
 * of these pauses ends in `paused_ms` ms; retries come after its end and are
 * spread over time. */
int64_t retryafter_pause_ms(int64_t paused_ms, uint64_t random);

/*
 * Time in ms until the retry when endpoints limit their rate, and this host may
 * send the next request in `next_ms` ms. More callers are refused than the
 * endpoints can serve soon, so the retries are spread over the time that the
 * callers accept: urgent ones over its first half, the others over the second.
 */
int64_t retryafter_limited_ms(int64_t next_ms, int64_t left_ms, bool is_urgent,
			      uint64_t random);

/*
 * Time in ms until the retry of a customer over its share, which is back at its
 * share in `recovery_ms` ms. Retries are spread over this time: at once they
 * would bring it over its share again.
 */
int64_t retryafter_over_share_ms(int64_t recovery_ms, uint64_t random);

#endif
