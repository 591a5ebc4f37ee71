#ifndef STATE_FLEET_INTERNAL_H
#define STATE_FLEET_INTERNAL_H

#include "state/fleet.h"

/*
 * fleet_internal - definitions shared by fleet.c, fleet_lanes.c, fleet_speed.c
 *
 * fleet.c maintains the list of endpoints; fleet_lanes.c marks them as express
 * or bulk; fleet_speed.c compares their speeds.
 */
#define FLEET_MS_PER_S 1000.0

struct fleet {
	fleet_observer_t observer;
	endpoint_t **endpoints;
	size_t count, cap;
	/* The last one is shared by all domains that did not fit. */
	fleet_domain_t domains[FLEET_MAX_DOMAINS + 1];
	size_t domain_count;
	char **services;
	lanes_t *lanes; /* of each service */
	/* The express share of each service at the last marking. */
	double *marked_express_shares;
	/* Of each service, see fleet_quiet_pause_ms(). */
	double *quiet_pauses_ms;
	size_t service_count;
	int64_t first_put_ms;  /* of the first record; 0: none yet */
	bool express_is_stale; /* endpoints must be marked again */
	noticetable_t notices;
};

#endif
