#include "request/pacing.h"

#include "base/metrics.h"
#include "base/plog.h"
#include "coordination/rendezvous.h"
#include "request/limits.h"

/* The membership table changes this slowly. */
#define UPDATE_INTERVAL_MS 1000

static void set_place(const router_t *router, endpoint_t *endpoint)
{
	str_t names[GOSSIP_MAX_MEMBERS + 1];
	size_t count = limits_list_hosts(router, endpoint, 0, names);
	const char *self = gossip_self(router->gossip)->name;

	endpoint->share_hosts = count;
	/* A host that isn't one of them comes after them and has no unit. */
	endpoint->share_rank = str_equals(names[0], str_from(self)) ?
				       rendezvous_rank((str_t)STR_LIT("pace"),
						       str_from(endpoint->id),
						       names, count, 0) :
				       count;
}

static void update_place(const router_t *router, endpoint_t *endpoint)
{
	int64_t now_ms = router_now_ms(router);

	if (endpoint->share_updated_ms &&
	    now_ms - endpoint->share_updated_ms < UPDATE_INTERVAL_MS)
		return;
	endpoint->share_updated_ms = now_ms;
	if (router->gossip) {
		set_place(router, endpoint);
	} else {
		endpoint->share_hosts = 1;
		endpoint->share_rank = 0;
	}
}

static pace_view_t make_view(const router_t *router, endpoint_t *endpoint)
{
	unsigned all = endpoint_load(endpoint, router_now_ms(router)).in_flight;

	if (endpoint->pace.cap || endpoint->pace.restart_ms)
		update_place(router, endpoint);
	return (pace_view_t){.slots = endpoint->slots,
			     .own_in_flight = endpoint->in_flight,
			     .all_in_flight = all,
			     .hosts = endpoint->share_hosts,
			     .rank = endpoint->share_rank};
}

/* Logs when a limit by the pace begins and when it ends. */
static void report(endpoint_t *endpoint, const pace_view_t *view)
{
	const pace_t *pace = &endpoint->pace;

	if (endpoint->pace_reported == (pace->cap != 0))
		return;
	endpoint->pace_reported = pace->cap != 0;
	if (pace->cap)
		metrics_inc(METRIC_PACE_STARTS);
	plog_write(PLOG_ENDPOINT_PACED,
		   "endpoint=%s cap=%u slots=%u in_flight=%u faults=%u",
		   endpoint->id, pace->cap, view->slots, view->all_in_flight,
		   pace->faults);
}

bool pacing_allows(router_t *router, endpoint_t *endpoint)
{
	pace_t *pace = &endpoint->pace;
	pace_view_t view;

	if (!pace->cap && !pace->restart_ms && !endpoint->pace_reported)
		return true;
	view = make_view(router, endpoint);
	/* A limit that began and ended since the last request is logged too. */
	report(endpoint, &view);
	pace_update(pace, &view, router_now_ms(router));
	report(endpoint, &view);
	return pace_allows(pace, &view);
}

static bool may_use_cold(const router_t *router)
{
	return !router->gossip || router_now_ms(router) - router->started_ms >=
					  PACING_COLD_QUARANTINE_MS;
}

unsigned pacing_cold_share(const router_t *router, endpoint_t *endpoint,
			   double cold_per_s)
{
	const router_bounds_t *bounds = &router->bounds;
	unsigned share =
		coldgate_share(cold_per_s, bounds->cold_overshoot,
			       bounds->cold_slack, router->domain_hosts);

	if (!may_use_cold(router))
		return 0;
	if (share)
		return share;
	update_place(router, endpoint);
	return coldgate_dealt_share(cold_per_s, bounds->cold_overshoot,
				    bounds->cold_slack, endpoint->share_rank);
}

void pacing_on_answer(const request_t *request, double taken_ms)
{
	endpoint_t *endpoint = request->endpoint;
	pace_view_t view = make_view(request->router, endpoint);

	pace_on_answer(&endpoint->pace, &view,
		       taken_ms <= request->admission.route->target_ms,
		       router_now_ms(request->router));
}

void pacing_on_failure(const request_t *request, send_failure_t failure)
{
	endpoint_t *endpoint = request->endpoint;

	if (failure == SEND_OUTDATED)
		return;
	pace_on_fault(&endpoint->pace, endpoint->slots,
		      router_now_ms(request->router));
	if (failure == SEND_NOT_CONNECTED)
		pace_restart_at(&endpoint->pace,
				endpoint->breaker.open_until_ms);
}
