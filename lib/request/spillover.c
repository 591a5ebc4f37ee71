#include "request/spillover.h"

#include "base/plog.h"

/* An engine that spends more of its time than this on prefill counts as full,
 * since long prompts wait for it. */
#define FULL_PREFILL_SHARE 0.6
#define MS_PER_S 1000.0

/* Slots that the endpoint's requests take, or its prefill if that is more. */
static double used_slots(const endpoint_t *endpoint,
			 const service_stats_t *service, int64_t now_ms)
{
	load_t load = endpoint_load(endpoint, now_ms);
	double prefill_share = (double)load.tokens_per_s /
			       (service->prefill_tokens_per_ms * MS_PER_S);
	double by_prefill =
		endpoint->slots * prefill_share / FULL_PREFILL_SHARE;

	return by_prefill > load.in_flight ? by_prefill : load.in_flight;
}

static void measure(const router_t *router, const service_stats_t *service,
		    spill_room_t *own, spill_room_t *others)
{
	const fleet_t *fleet = router->fleet;
	int64_t now_ms = router_now_ms(router);
	int index = fleet_find_service(fleet, str_from(service->name));

	for (size_t i = 0; i < fleet_count(fleet); i++) {
		const endpoint_t *endpoint = fleet_at(fleet, i);
		const fleet_domain_t *domain =
			fleet_domain_at(fleet, endpoint->domain_index);
		spill_room_t *room = others;

		if ((int)endpoint->service_index != index ||
		    endpoint->state != ENDPOINT_READY || !domain->region ||
		    domain->evacuated)
			continue;
		if (str_equals(str_from(domain->region), router->region))
			room = own;
		room->slots += endpoint->slots;
		room->used += used_slots(endpoint, service, now_ms);
		room->endpoints++;
	}
}

static void log_change(const service_stats_t *service, const spill_room_t *own,
		       const spill_room_t *others)
{
	plog_write(PLOG_REGION_SPILLS,
		   "service=%s share=%.2f used=%.0f slots=%.0f "
		   "others_used=%.0f others_slots=%.0f",
		   service->name, service->spill.share, own->used, own->slots,
		   others->used, others->slots);
}

void spillover_update(router_t *router)
{
	int64_t now_ms = router_now_ms(router);

	for (service_stats_t *service = router->services; service;
	     service = service->next) {
		spill_room_t own = {0}, others = {0};
		bool spilled = service->spill.share > 0.0;

		measure(router, service, &own, &others);
		spill_update(&service->spill, &own, &others, now_ms);
		if (spilled != (service->spill.share > 0.0))
			log_change(service, &own, &others);
	}
}
