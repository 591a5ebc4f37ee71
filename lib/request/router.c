#include "request/router.h"

#include <stdlib.h>

#include "base/plog.h"
#include "request/channel.h"
#include "request/crashcheck.h"
#include "request/crashes.h"
#include "request/customers.h"
#include "request/limits.h"
#include "request/probe.h"
#include "request/request.h"

#define ROUTER_TICK_MS 250
/* Objects that wait to be freed above which they are freed before the tick. */
#define ROUTER_MAX_DEFERRED 64
/* Numbers of hosts assumed to share a limit until gossip reports members. */
#define ROUTER_DEFAULT_DOMAIN_HOSTS 4
#define ROUTER_DEFAULT_ALL_HOSTS 12
/* Of a host that exchanges nothing with others. */
#define ROUTER_DEFAULT_HOST_ID 1

static void run_deferred_frees(router_t *router)
{
	for (size_t i = 0; i < router->deferred_free_count; i++)
		free(router->deferred_frees[i]);
	router->deferred_free_count = 0;
}

void router_defer_free(router_t *router, void *object)
{
	if (router->deferred_free_count == router->deferred_free_cap) {
		void **grown;

		router->deferred_free_cap =
			router->deferred_free_cap ?
				router->deferred_free_cap * 2 :
				64;
		grown = realloc(router->deferred_frees,
				router->deferred_free_cap * sizeof(*grown));
		if (!grown)
			abort();
		router->deferred_frees = grown;
	}
	router->deferred_frees[router->deferred_free_count++] = object;
}

void router_free_deferred(router_t *router)
{
	if (router->deferred_free_count > ROUTER_MAX_DEFERRED)
		run_deferred_frees(router);
}

static void update_lanes(const router_t *router, int64_t now_ms)
{
	if (!lanes_follow_load(router->all_hosts)) {
		fleet_reset_lanes(router->fleet);
		return;
	}
	for (const service_stats_t *service = router->services; service;
	     service = service->next)
		fleet_update_lanes(router->fleet, str_from(service->name),
				   service->prefill_tokens_per_ms, now_ms);
}

/* Compares the requests in flight at each service's engines with their slots.
 */
static void update_shortages(const router_t *router, int64_t now_ms)
{
	for (service_stats_t *service = router->services; service;
	     service = service->next) {
		int index = fleet_find_service(router->fleet,
					       str_from(service->name));
		uint64_t in_flight = 0, slots = 0;

		for (size_t i = 0; i < fleet_count(router->fleet); i++) {
			const endpoint_t *endpoint = fleet_at(router->fleet, i);

			if ((int)endpoint->service_index != index ||
			    endpoint->state != ENDPOINT_READY)
				continue;
			in_flight += endpoint_load(endpoint, now_ms).in_flight;
			slots += endpoint->slots;
		}
		shortage_update(&service->shortage, in_flight, slots);
	}
}

static void on_tick(void *user)
{
	router_t *router = user;
	int64_t now_ms = router_now_ms(router);

	fleet_expire_lingering(router->fleet, now_ms);
	update_lanes(router, now_ms);
	update_shortages(router, now_ms);
	fleet_update_slowness(router->fleet, now_ms);
	crashes_update(router);
	limits_on_tick(router);
	for (size_t i = 0; i < fleet_count(router->fleet); i++)
		channel_retire_idle(router, fleet_at(router->fleet, i));
	plog_flush();
	run_deferred_frees(router);
	loop_timer_set(router->loop, &router->tick_timer, ROUTER_TICK_MS,
		       on_tick, router);
}

static void on_endpoint_gone(void *user, endpoint_t *endpoint)
{
	channel_drop_idle(user, endpoint);
}

router_t *router_create(const router_options_t *options)
{
	router_t *router = calloc(1, sizeof(*router));
	fleet_observer_t observer = {on_endpoint_gone, router};

	if (!router)
		abort();
	router->loop = options->loop;
	router->clock = loop_clock(options->loop);
	router->dialect = options->dialect;
	router->tracer = options->tracer;
	router->policy = options->policy ? options->policy : policy_default();
	router->domain = options->domain;
	router->region = options->region;
	router->bounds = options->bounds;
	router->caller_memory.limits =
		options->caller_limits.max_callers ?
			options->caller_limits :
			callermem_limits(UINT64_MAX, UINT64_MAX / 2);
	router->fleet = fleet_create(&observer);
	router->crashes = crashboard_create();
	router->crash_observer.host = ROUTER_DEFAULT_HOST_ID;
	crashboard_set_host(router->crashes, ROUTER_DEFAULT_HOST_ID,
			    CRASHBOARD_BEGIN_MS);
	router->custshare = custshare_create(router_now_ms(router));
	router->read_buffer = malloc(ROUTER_READ_BYTES);
	if (!router->read_buffer)
		abort();
	router->started_ms = router_now_ms(router);
	router->random =
		(uint64_t)mclock_now_us(router->clock) ^ (uintptr_t)router;
	router_set_host_counts(router, ROUTER_DEFAULT_DOMAIN_HOSTS,
			       ROUTER_DEFAULT_ALL_HOSTS);
	on_tick(router);
	return router;
}

void router_free(router_t *router)
{
	if (!router)
		return;
	loop_timer_cancel(router->loop, &router->tick_timer);
	loop_timer_cancel(router->loop, &router->wait_timer);
	loop_timer_cancel(router->loop, &router->caller_memory_timer);
	for (size_t i = 0; i < fleet_count(router->fleet); i++)
		channel_drop_idle(router, fleet_at(router->fleet, i));
	probe_stop_all(router);
	crashcheck_stop_all(router);
	crashboard_free(router->crashes);
	fleet_free(router->fleet);
	catalog_unref(router->catalog);
	while (router->services) {
		service_stats_t *service = router->services;

		router->services = service->next;
		free(service->name);
		free(service);
	}
	customers_free(router);
	custshare_free(router->custshare);
	run_deferred_frees(router);
	free(router->deferred_frees);
	free(router->candidates);
	free(router->read_buffer);
	buf_release(&router->scratch);
	free(router);
}

bool router_set_catalog(router_t *router, catalog_t *catalog)
{
	if (router->catalog &&
	    catalog_version(catalog) <= catalog_version(router->catalog))
		return false;
	catalog_unref(router->catalog);
	router->catalog = catalog_ref(catalog);
	plog_write(PLOG_CATALOG_ACTIVE,
		   "version=%lld routes=%zu customers=%zu keys=%zu",
		   (long long)catalog_version(catalog),
		   catalog_route_count(catalog),
		   catalog_customer_count(catalog), catalog_key_count(catalog));
	return true;
}

void router_set_host_counts(router_t *router, unsigned domain_hosts,
			    unsigned all_hosts)
{
	router->domain_hosts = domain_hosts;
	router->all_hosts = all_hosts;
	for (service_stats_t *service = router->services; service;
	     service = service->next)
		retrybudget_set_allowance(&service->retry_budget,
					  router->bounds.retry_budget_slack,
					  all_hosts);
}

service_stats_t *router_service_stats(router_t *router, str_t name)
{
	service_stats_t *service = router->services;

	while (service && !str_equals(str_from(service->name), name))
		service = service->next;
	if (service)
		return service;
	service = calloc(1, sizeof(*service));
	if (!service || !(service->name = str_dup(name)))
		abort();
	retrybudget_init(&service->retry_budget,
			 router->bounds.retry_budget_ratio,
			 router->bounds.retry_budget_window_ms);
	retrybudget_set_allowance(&service->retry_budget,
				  router->bounds.retry_budget_slack,
				  router->all_hosts);
	service->prefill_tokens_per_ms = ROUTER_INITIAL_PREFILL_TOKENS_PER_MS;
	service->next = router->services;
	router->services = service;
	return service;
}

endpoint_t **router_reserve_candidates(router_t *router)
{
	size_t count = fleet_count(router->fleet);
	endpoint_t **grown;

	if (count <= router->candidate_cap)
		return router->candidates;
	grown = realloc(router->candidates, count * sizeof(*grown));
	if (!grown)
		abort();
	router->candidates = grown;
	router->candidate_cap = count;
	return grown;
}

int64_t router_now_ms(const router_t *router)
{
	return mclock_now_ms(router->clock);
}

uint64_t router_random(router_t *router)
{
	/* splitmix64 */
	uint64_t x = router->random += 0x9e3779b97f4a7c15ull;

	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ull;
	x = (x ^ (x >> 27)) * 0x94d049bb133111ebull;
	return x ^ (x >> 31);
}

bool router_is_ready(const router_t *router)
{
	return !router->stopping && !router->leaving && router->catalog &&
	       fleet_count(router->fleet);
}

void router_stop(router_t *router, int64_t late_ms, int64_t end_ms)
{
	router->stopping = true;
	router->late_ms = late_ms;
	router->end_ms = end_ms;
}
