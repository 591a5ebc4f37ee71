#include "coordination/coldunits.h"

void coldunits_update(fleet_t *fleet, const sheet_t *sheet,
		      const coldunits_self_t *self,
		      const coldshare_time_t *time)
{
	for (size_t i = 0; i < sheet->endpoint_count; i++) {
		const sheet_endpoint_t *sheet_endpoint = &sheet->endpoints[i];
		endpoint_t *endpoint = fleet_find(fleet, sheet_endpoint->name);

		if (endpoint)
			endpoint->cold_units = coldshare_usable_units(
				sheet, sheet_endpoint, self->host,
				self->address, time,
				endpoint->previous_cold_units);
	}
}

void coldunits_save_previous(fleet_t *fleet)
{
	for (size_t i = 0; i < fleet_count(fleet); i++) {
		endpoint_t *endpoint = fleet_at(fleet, i);

		endpoint->previous_cold_units = endpoint->cold_units;
	}
}
