#ifndef STATE_FLEET_INTERNAL_H
#define STATE_FLEET_INTERNAL_H

#include "state/fleet.h"

/*
 * fleet_internal - shared by the modules of the fleet
 *
 * fleet.c keeps the endpoints as records change them; fleet_lanes.c marks them
 * as express or bulk.
 */
#define FLEET_MS_PER_S 1000.0

struct fleet {
	fleet_observer_t observer;
	endpoint_t **endpoints;
	size_t count, cap;
	/* The last one stands for all that did not fit. */
	fleet_domain_t domains[FLEET_MAX_DOMAINS + 1];
	size_t domain_count;
	char **services;
	lanes_t *lanes;	       /* of each service */
	double *marked_shares; /* by which endpoints were marked last */
	size_t service_count;
	bool marks_are_stale;
	noticebook_t notices;
};

#endif
