#ifndef REQUEST_PROBE_H
#define REQUEST_PROBE_H

#include "request/router.h"

/*
 * probe - queries an engine's state without sending it a request
 *
 * A host without a share of an engine's cold limit may send to it only once it
 * is known to be warm. The host probes on demand, when a request could use the
 * engine, so that the number of probes is bounded by the number of requests and
 * not by hosts times engines.
 */
#define PROBE_TIMEOUT_MS 1000
/* Minimum time between two probes of one engine. */
#define PROBE_MIN_INTERVAL_MS 100

/* Starts a probe unless one is in progress or the last one is too recent. */
void probe_start(router_t *router, endpoint_t *endpoint);

/* Cancels all probes. */
void probe_stop_all(router_t *router);

#endif
