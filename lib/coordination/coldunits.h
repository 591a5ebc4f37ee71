#ifndef COORDINATION_COLDUNITS_H
#define COORDINATION_COLDUNITS_H

#include "coordination/coldshare.h"
#include "state/fleet.h"

/*
 * coldunits - stores this host's units of each cold limit in the fleet
 *
 * coldshare computes the units; this module keeps them in the endpoints.
 */
typedef struct coldunits_self {
	str_t host;
	str_t address; /* as the sheet lists it among the cold hosts */
} coldunits_self_t;

/* Sets the units of all endpoints in the sheet. Endpoints that the sheet lacks
 * keep theirs until nativeroutes_apply() removes them from the fleet. */
void coldunits_update(fleet_t *fleet, const sheet_t *sheet,
		      const coldunits_self_t *self,
		      const coldshare_time_t *time);

/* Saves the current units of all endpoints. Call it before a sheet is replaced:
 * this host may use reassigned units only when the former owner has stopped
 * using them (see coldshare_usable_units()). */
void coldunits_save_previous(fleet_t *fleet);

#endif
