#ifndef COORDINATION_BREAKER_H
#define COORDINATION_BREAKER_H

#include <stdbool.h>
#include <stdint.h>

/*
 * breaker - judgement of an endpoint by the answers it gave to this host
 *
 * A breaker opens after failures in a row and lets one request through at a
 * time once its pause has passed; the pause doubles with each further failure.
 * Besides it keeps the share of recent requests that failed, by which endpoints
 * that fail only a part of their requests are avoided.
 */
#define BREAKER_FAILURES_TO_OPEN 2
#define BREAKER_MIN_PAUSE_MS 200
#define BREAKER_MAX_PAUSE_MS 2000

typedef struct breaker {
	double failure_share; /* share of recent requests that failed */
	unsigned failures_in_row;
	int64_t open_until_ms;
	int64_t updated_ms; /* last change of `failing` */
} breaker_t;

typedef enum breaker_fault {
	BREAKER_REQUEST_FAILED, /* one request failed or was cut off */
	BREAKER_UNREACHABLE	/* no connection, or silence */
} breaker_fault_t;

void breaker_on_success(breaker_t *breaker, int64_t now_ms);
void breaker_on_fault(breaker_t *breaker, breaker_fault_t fault,
		      int64_t now_ms);

/* True while nothing should be sent; a send after the pause is a trial. */
bool breaker_is_open(const breaker_t *breaker, int64_t now_ms);

/* Marks a trial, so that no second one starts before it has ended. */
void breaker_on_send(breaker_t *breaker, int64_t now_ms);

/* Share of recent requests that failed, faded by the time since. */
double breaker_failure_share(const breaker_t *breaker, int64_t now_ms);

#endif
