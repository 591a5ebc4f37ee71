#ifndef COORDINATION_COLDUNITS_H
#define COORDINATION_COLDUNITS_H

#include "coordination/coldshare.h"
#include "state/fleet.h"

/*
 * coldunits - this host's units of each engine's cold limit, kept up to date
 */
typedef struct coldunits_self {
	str_t host;
	str_t address; /* as the sheet lists it among the cold hosts */
} coldunits_self_t;

/* Sets the units of all endpoints that the sheet has. */
void coldunits_update(fleet_t *fleet, const sheet_t *sheet,
		      const coldunits_self_t *self,
		      const coldshare_time_t *time);

/* Call before a sheet is replaced: units that move to this host may be used
 * only once their former holder has none in use any more. */
void coldunits_save_previous(fleet_t *fleet);

#endif
