#ifndef COORDINATION_PLACEMENT_H
#define COORDINATION_PLACEMENT_H

#include "base/str.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * placement - choice among endpoints and among dispatchers
 *
 * Own counts come before lagging reports; prefix affinity is bounded by load;
 * the home domain comes first. See section 6.8 of docs/design.md.
 */
#define PLACEMENT_AFFINITY_BYTES 256
#define PLACEMENT_AFFINITY_LOAD 1.25 /* times the mean */

/* An endpoint that may take the request now. */
typedef struct placement_endpoint {
	str_t name;
	unsigned in_flight;
	unsigned limit;
	unsigned reported_waiting;
	double median_first_token_ms;
} placement_endpoint_t;

/* Index of the endpoint to use, or -1 for none with room. Affinity 0: none. */
int placement_pick_endpoint(const placement_endpoint_t *endpoints, size_t count,
			    uint64_t affinity);

/* A dispatcher with endpoints of the pool. */
typedef struct placement_dispatcher {
	str_t host;
	bool same_domain;
	bool same_region;
	unsigned warm;
	unsigned window; /* 0: no wait can be promised; the last choice */
	unsigned in_flight;
	unsigned queued;
	int64_t wait_ms;
	bool tried; /* refused this request already */
} placement_dispatcher_t;

/*
 * Index of the dispatcher to use, or -1. Own domain when its wait is within
 * `target_ms`; else the shortest wait in the region; another region only with
 * `cross_region` and when no dispatcher of the region meets the target.
 */
int placement_pick_dispatcher(const placement_dispatcher_t *dispatchers,
			      size_t count, int64_t target_ms,
			      bool cross_region, uint64_t affinity);

/* Hash of the first PLACEMENT_AFFINITY_BYTES of a prompt; 0 when empty. */
uint64_t placement_affinity(str_t prompt);

#endif
