#ifndef REQUEST_SPILLOVER_H
#define REQUEST_SPILLOVER_H

#include "request/router.h"

/*
 * spillover - measures the room of regions for spill.h
 */

/* Updates the spilled share of each service from the loads of its endpoints. */
void spillover_update(router_t *router);

#endif
