#ifndef COORDINATION_RETRYAFTER_H
#define COORDINATION_RETRYAFTER_H

#include <stdint.h>

/*
 * retryafter - time after which a refused caller should retry
 *
 * Callers accept a retry time of up to a third of the time that they have left,
 * and most retry only once. Endpoints have capacity again within a fraction of
 * a second. A missing configuration, or a service without endpoints, lasts for
 * seconds when the configuration service is unavailable or its records have
 * expired: the retries of callers that have enough time are spread over several
 * seconds, so that many of them succeed.
 */
#define RETRYAFTER_DEADLINE_DIVISOR 3

typedef enum retryafter_cause {
	RETRYAFTER_BUSY,  /* endpoints have no capacity now */
	RETRYAFTER_ABSENT /* no configuration or no endpoint is known */
} retryafter_cause_t;

/* Time in ms until the retry, for a caller that has `left_ms` left. `random`
 * spreads the retries. */
int64_t retryafter_ms(retryafter_cause_t cause, int64_t left_ms,
		      uint64_t random);

/* The same when every endpoint asked for a pause. The first pause ends in
 * `paused_ms`: retries come after it and are spread over time. */
int64_t retryafter_pause_ms(int64_t paused_ms, uint64_t random);

#endif
