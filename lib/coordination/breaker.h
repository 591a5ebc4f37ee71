#ifndef COORDINATION_BREAKER_H
#define COORDINATION_BREAKER_H

#include <stdbool.h>
#include <stdint.h>

/*
 * breaker - circuit breaker of an endpoint, by its responses to this host
 *
 * The breaker opens after consecutive failures, and at once when the endpoint
 * is unreachable. After a pause it is half-open: it admits one trial request at
 * a time. Each further failure doubles the pause. The breaker also tracks the
 * share of recent requests that failed, so that endpoints that fail only some
 * of their requests are avoided.
 */
#define BREAKER_FAILURES_TO_OPEN 2
#define BREAKER_MIN_PAUSE_MS 200
#define BREAKER_MAX_PAUSE_MS 2000

typedef struct breaker {
	double failure_share; /* of recent requests, at updated_ms */
	unsigned failures_in_row;
	int64_t open_until_ms;
	int64_t updated_ms; /* last update of failure_share */
} breaker_t;

typedef enum breaker_fault {
	BREAKER_REQUEST_FAILED, /* one request failed or was interrupted */
	BREAKER_UNREACHABLE	/* connection failed, or no data arrived */
} breaker_fault_t;

void breaker_on_success(breaker_t *breaker, int64_t now_ms);
void breaker_on_fault(breaker_t *breaker, breaker_fault_t fault,
		      int64_t now_ms);

/* Whether sending is blocked. The first send after the pause is a trial. */
bool breaker_is_open(const breaker_t *breaker, int64_t now_ms);

/* Blocks further sends for a pause when this one is a trial. */
void breaker_on_send(breaker_t *breaker, int64_t now_ms);

/* Share of recent requests that failed; decays exponentially over time. */
double breaker_failure_share(const breaker_t *breaker, int64_t now_ms);

#endif
