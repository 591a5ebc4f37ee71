#ifndef REQUEST_PACING_H
#define REQUEST_PACING_H

#include "request/request.h"

/*
 * pacing - applies the pace of endpoints that have started or recovered
 *
 * See pace.h. Computes this host's place among the hosts that share an
 * endpoint's limits, by rendezvous hashing over the membership table.
 */
/* A host that has started doesn't know all others yet, and sends nothing to
 * endpoints with a cold limit. */
#define PACING_COLD_QUARANTINE_MS 3000

/* Whether the endpoint's pace has room for one more request of this host. */
bool pacing_allows(router_t *router, endpoint_t *endpoint);

/* Requests that this host may send to the cold endpoint per window, see
 * coldgate.h. */
unsigned pacing_cold_share(const router_t *router, endpoint_t *endpoint,
			   double cold_per_s);

/* The endpoint has begun to answer `taken_ms` after the request was sent. */
void pacing_on_answer(const request_t *request, double taken_ms);

/* Call it after the endpoint's breaker has counted the failure. */
void pacing_on_failure(const request_t *request, send_failure_t failure);

#endif
