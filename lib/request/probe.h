#ifndef REQUEST_PROBE_H
#define REQUEST_PROBE_H

#include "request/router.h"

/*
 * probe - asks an engine for its state, which is no request to it
 *
 * A host without a share of an engine's cold limit may only send to it once it
 * is known to be warm. It asks when a request needs to know, so that what is
 * asked is bounded by the requests, not by hosts times engines.
 */
#define PROBE_TIMEOUT_MS 1000
/* At least so long between two questions to one engine. */
#define PROBE_MIN_INTERVAL_MS 100

/* Asks unless a question is on its way or the last one was just now. */
void probe_start(router_t *router, endpoint_t *endpoint);

/* Ends all questions. */
void probe_stop_all(router_t *router);

#endif
