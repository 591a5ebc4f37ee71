#include "state/fleet_internal.h"

#include <stdlib.h>

#include "base/plog.h"

/* An endpoint whose slowness leaves this range, on either side, is reported as
 * unusual, until it is back in the narrower one. */
#define FLEET_UNUSUAL_SLOWNESS 1.4
#define FLEET_USUAL_SLOWNESS 1.2
/* Endpoints of a service that are reported in one update; others follow later.
 */
#define FLEET_MAX_REPORTS 8

/* The samples of all hosts, which include this host's; or its own while these
 * are more, as on a host that others can't reach. */
static speed_sums_t known_speed(const endpoint_t *endpoint, int64_t now_ms)
{
	speed_sums_t own = speed_at(&endpoint->own_speed, now_ms);
	speed_sums_t fleet = speed_at(&endpoint->fleet_speed, now_ms);

	return own.weight > fleet.weight ? own : fleet;
}

void endpoint_add_quiet_pause(endpoint_t *endpoint, double pause_ms,
			      int64_t now_ms)
{
	speed_sums_t sample = {0.0, 0.0};

	speed_sums_add_pause(&sample, pause_ms);
	speed_add(&endpoint->own_speed, &sample, now_ms);
	speed_sums_add(&endpoint->unsent_speed, &sample);
}

double endpoint_quiet_pause_ms(const endpoint_t *endpoint, int64_t now_ms)
{
	speed_sums_t sums = known_speed(endpoint, now_ms);

	return speed_pause_ms(&sums);
}

static bool is_beyond(double slowness, double bound)
{
	return slowness > bound || slowness < 1.0 / bound;
}

/* Logs an endpoint that has become unusual, or usual again. */
static void report(endpoint_t *endpoint, unsigned *reports, int64_t now_ms)
{
	bool unusual =
		is_beyond(endpoint->slowness, endpoint->has_unusual_speed ?
						      FLEET_USUAL_SLOWNESS :
						      FLEET_UNUSUAL_SLOWNESS);

	if (unusual == endpoint->has_unusual_speed ||
	    *reports == FLEET_MAX_REPORTS)
		return;
	(*reports)++;
	endpoint->has_unusual_speed = unusual;
	plog_write(PLOG_ENDPOINT_SPEED,
		   "endpoint=%s slowness=%.2f pause_ms=%.1f unusual=%d",
		   endpoint->id, endpoint->slowness,
		   endpoint_quiet_pause_ms(endpoint, now_ms), unusual);
}

/* RETURN VALUE: whether this has changed. */
static bool update_is_slow(endpoint_t *endpoint)
{
	bool is_slow = endpoint->slowness > (endpoint->is_slow ?
						     FLEET_USUAL_SLOWNESS :
						     FLEET_UNUSUAL_SLOWNESS);
	bool changed = is_slow != endpoint->is_slow;

	endpoint->is_slow = is_slow;
	return changed;
}

static double find_reference_ms(const fleet_t *fleet, unsigned service,
				speed_sums_t *list, int64_t now_ms)
{
	size_t count = 0;

	for (size_t i = 0; i < fleet->count; i++)
		if (fleet->endpoints[i]->service_index == service)
			list[count++] =
				known_speed(fleet->endpoints[i], now_ms);
	return speed_reference_ms(list, count);
}

static void update_service(fleet_t *fleet, unsigned service,
			   double reference_ms, int64_t now_ms)
{
	unsigned reports = 0;

	for (size_t i = 0; i < fleet->count; i++) {
		endpoint_t *endpoint = fleet->endpoints[i];
		speed_sums_t sums;

		if (endpoint->service_index != service)
			continue;
		sums = known_speed(endpoint, now_ms);
		endpoint->slowness = speed_slowness(&sums, reference_ms);
		report(endpoint, &reports, now_ms);
		if (update_is_slow(endpoint))
			fleet->express_is_stale = true;
	}
}

void fleet_update_slowness(fleet_t *fleet, int64_t now_ms)
{
	speed_sums_t *list = malloc((fleet->count + 1) * sizeof(*list));

	if (!list)
		abort();
	for (unsigned service = 0; service < fleet->service_count; service++) {
		fleet->quiet_pauses_ms[service] =
			find_reference_ms(fleet, service, list, now_ms);
		update_service(fleet, service, fleet->quiet_pauses_ms[service],
			       now_ms);
	}
	free(list);
}

double fleet_quiet_pause_ms(const fleet_t *fleet, str_t service)
{
	int index = fleet_find_service(fleet, service);

	return index < 0 ? 0.0 : fleet->quiet_pauses_ms[index];
}
