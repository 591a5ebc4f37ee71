#include "request/choose.h"

#include <math.h>

#include "coordination/balance.h"
#include "request/channel.h"
#include "request/notices.h"
#include "request/probe.h"
#include "request/ranking.h"

/* Excess times are forgotten, so that a slow endpoint is tried again. */
#define CHOOSE_EXCESS_HALF_LIFE_MS 1500.0
/* A failed request loses this part of its target. */
#define CHOOSE_FAIL_PART 1.5
/* An engine that reads for more of its time than this gets no long prompt for
 * a while: beyond it streams there take so long that they miss their end. */
#define CHOOSE_SATURATED_SHARE 0.6

/* What a request may use of each domain, found once a decision. */
typedef struct places {
	bool allowed[FLEET_MAX_DOMAINS + 1];
	balance_distance_t distance[FLEET_MAX_DOMAINS + 1];
} places_t;

static balance_distance_t distance_of(const router_t *router,
				      const fleet_domain_t *domain)
{
	if (str_equals(str_from(domain->name), router->domain))
		return BALANCE_SAME_DOMAIN;
	return str_equals(str_from(domain->region), router->region) ?
		       BALANCE_SAME_REGION :
		       BALANCE_OTHER_REGION;
}

static void find_places(const request_t *request, places_t *places)
{
	const router_t *router = request->router;

	for (size_t i = 0; i <= FLEET_MAX_DOMAINS; i++) {
		const fleet_domain_t *domain =
			fleet_domain_at(router->fleet, i);
		str_t region = str_from(domain->region ? domain->region : "");

		places->allowed[i] = !domain->evacuated &&
				     admit_region(&request->admission, region);
		places->distance[i] = distance_of(router, domain);
	}
}

/* True when this host may send to a cold endpoint now. */
static bool may_send_cold(const request_t *request, const endpoint_t *endpoint,
			  int64_t now_ms)
{
	const router_t *router = request->router;
	const catalog_service_t *service = request->admission.service;
	unsigned share;

	if (!service || service->cold_per_s <= 0.0)
		return true;
	if (!str_equals(str_from(endpoint->domain), router->domain))
		return false;
	share = coldgate_share(service->cold_per_s,
			       router->bounds.cold_overshoot,
			       router->bounds.cold_slack, router->domain_hosts);
	return coldgate_allows(&endpoint->gate, share, now_ms);
}

bool choose_is_cold(const request_t *request, const endpoint_t *endpoint,
		    int64_t now_ms)
{
	const catalog_service_t *service = request->admission.service;

	if (service && service->cold_until_proven)
		return !warmth_is_proven(&endpoint->warmth, now_ms);
	return endpoint_is_cold(endpoint, now_ms);
}

/* True when the endpoint is warm, or this host has a part of its cold limit
 * left. An engine that refused work or isn't known to be warm is asked. */
static bool may_send_now(const request_t *request, endpoint_t *endpoint,
			 int64_t now_ms)
{
	const catalog_service_t *service = request->admission.service;

	if (service && service->cold_until_proven &&
	    endpoint->warmth.refusing) {
		probe_start(request->router, endpoint);
		return false;
	}
	if (!choose_is_cold(request, endpoint, now_ms))
		return true;
	if (!service || !service->cold_until_proven)
		return may_send_cold(request, endpoint, now_ms);
	probe_start(request->router, endpoint);
	return endpoint->in_flight + warmth_lost(&endpoint->warmth, now_ms) <
	       endpoint->cold_units;
}

static bool is_candidate(const request_t *request, const endpoint_t *endpoint,
			 int service, const places_t *places)
{
	return (endpoint->state == ENDPOINT_READY ||
		endpoint->state == ENDPOINT_LINGERING) &&
	       (int)endpoint->service_index == service &&
	       places->allowed[endpoint->domain_index] &&
	       notices_check(request->router, endpoint) != NOTICE_LEAVING &&
	       !request_was_tried(request, endpoint);
}

/* Lists the endpoints that may get the request, whether now or later. */
static size_t list_candidates(const request_t *request, const places_t *places)
{
	router_t *router = request->router;
	const fleet_t *fleet = router->fleet;
	int service =
		fleet_find_service(fleet, request->admission.service_name);
	endpoint_t **list = router_candidates(router);
	size_t count = 0;

	for (size_t i = 0; i < fleet_count(fleet); i++) {
		endpoint_t *endpoint = fleet_at(fleet, i);

		if (is_candidate(request, endpoint, service, places))
			list[count++] = endpoint;
	}
	return count;
}

static bool has_room(const request_t *request, const endpoint_t *endpoint,
		     int64_t now_ms)
{
	const catalog_service_t *service = request->admission.service;

	if (service && service->limited_to_slots &&
	    endpoint_load(endpoint, now_ms).in_flight >= endpoint->slots)
		return false;
	return endpoint->idle_channels ||
	       endpoint->channel_count <
		       channel_limit(request->router,
				     request->admission.service);
}

static double excess_now(const endpoint_t *endpoint, int64_t now_ms)
{
	double age = (double)(now_ms - endpoint->excess_updated_ms);

	if (endpoint->excess_ms <= 0.0)
		return 0.0;
	return endpoint->excess_ms * exp2(-age / CHOOSE_EXCESS_HALF_LIFE_MS);
}

static balance_option_t describe(const request_t *request,
				 const ranking_t *ranking,
				 const endpoint_t *endpoint,
				 balance_distance_t distance, int64_t now_ms)
{
	const catalog_service_t *service = request->admission.service;
	bool engine = service && service->slots;
	load_t load = endpoint_load(endpoint, now_ms);
	balance_option_t option = {
		.distance = distance,
		.in_flight = load.in_flight,
		.sends_since =
			request->router->send_count - endpoint->last_send_seq,
		.reported_in_flight = endpoint->total_load.in_flight,
		.slots = endpoint->slots,
		.excess_ms = excess_now(endpoint, now_ms),
		.failing = breaker_failing(&endpoint->breaker, now_ms),
		.last_resort = endpoint->state == ENDPOINT_LINGERING ||
			       notices_check(request->router, endpoint) ==
				       NOTICE_LAST_RESORT ||
			       breaker_is_open(&endpoint->breaker, now_ms)};

	if (engine) {
		option.backlog_tokens = load.backlog_tokens;
		option.tokens_per_s = (double)load.tokens_per_s;
		ranking_set_tokens(ranking, request, endpoint, &option);
		option.service_ms = ROUTER_ENGINE_BASE_MS;
		if (lanes_follow(request->router->all_hosts))
			option.busy_ms =
				router_service(request->router,
					       request->admission.service_name)
					->lane_busy_ms[endpoint->express];
		option.lane_ms = balance_lane_charge(
			request->call.prompt_tokens, endpoint->express);
	} else {
		option.service_ms =
			router_service(request->router,
				       request->admission.service_name)
				->service_ms;
	}
	return option;
}

bool choose_is_saturated(const request_t *request, const choice_t *choice)
{
	return request->router->policy->ops->holds_long_prompts &&
	       request->call.prompt_tokens >= BALANCE_LONG_PROMPT_TOKENS &&
	       choice->reading_share > CHOOSE_SATURATED_SHARE;
}

/* The search for the cheapest endpoint of a request. */
typedef struct search {
	const request_t *request;
	places_t places;
	ranking_t ranking;
	balance_rates_t rates;
	int64_t now_ms;
	double share; /* of the endpoints to look at */
	double best_cost;
	bool any_busy; /* an endpoint has no room, but not by a pause */
	choose_result_t result;
	choice_t *choice;
} search_t;

/* Homes of the prompt, and others as the request's draw has it. */
static bool is_looked_at(const search_t *search, const endpoint_t *endpoint)
{
	return search->share >= 1.0 ||
	       ranking_contains(&search->ranking, endpoint) ||
	       ranking_preference(endpoint, search->request->draw) <
		       search->share;
}

/* True when the endpoint asked for a pause; notes when it ends. */
static bool is_paused(search_t *search, const endpoint_t *endpoint)
{
	const router_t *router = search->request->router;
	choice_t *choice = search->choice;
	int64_t opens_ms;

	if (notices_check(router, endpoint) != NOTICE_PAUSED)
		return false;
	opens_ms = notice_opens_ms(endpoint_notice(endpoint), search->now_ms);
	if (!choice->opens_ms || opens_ms < choice->opens_ms)
		choice->opens_ms = opens_ms;
	if (search->result == CHOOSE_NONE)
		search->result = CHOOSE_LATER;
	return true;
}

static void consider(search_t *search, endpoint_t *endpoint)
{
	const request_t *request = search->request;
	const policy_t *policy = request->router->policy;
	choice_t *choice = search->choice;
	balance_option_t option;
	double cost;

	if (is_paused(search, endpoint))
		return;
	if (!has_room(request, endpoint, search->now_ms) ||
	    !may_send_now(request, endpoint, search->now_ms)) {
		search->any_busy = true;
		if (search->result == CHOOSE_NONE &&
		    !endpoint->warmth.unreachable)
			search->result = CHOOSE_LATER;
		return;
	}
	option = describe(request, &search->ranking, endpoint,
			  search->places.distance[endpoint->domain_index],
			  search->now_ms);
	cost = policy->ops->cost(policy, &option, &search->rates);
	if (choice->endpoint && cost >= search->best_cost)
		return;
	search->best_cost = cost;
	search->result = CHOOSE_OK;
	choice->endpoint = endpoint;
	choice->unread_tokens = option.unread_tokens;
	choice->reading_share = balance_reading_share(&option, &search->rates);
	choice->alone = !option.backlog_tokens;
	choice->trip_ms = balance_trip_ms(option.distance);
	choice->expected_ms =
		balance_expected_ms(&option, &search->rates) - option.excess_ms;
}

static void look(search_t *search, size_t count)
{
	const router_t *router = search->request->router;

	for (size_t i = 0; i < count; i++)
		if (is_looked_at(search, router->candidates[i]))
			consider(search, router->candidates[i]);
}

choose_result_t choose_endpoint(const request_t *request, choice_t *choice)
{
	router_t *router = request->router;
	search_t search = {.request = request,
			   .now_ms = router_now_ms(router),
			   .share = balance_sample_share(router->all_hosts),
			   .result = CHOOSE_NONE,
			   .choice = choice};
	size_t count;

	search.rates = (balance_rates_t){
		.tokens_per_ms =
			router_service(router, request->admission.service_name)
				->tokens_per_ms,
		.fail_cost_ms =
			CHOOSE_FAIL_PART * request->admission.route->target_ms};
	*choice = (choice_t){.endpoint = NULL};
	fleet_update_express(router->fleet);
	find_places(request, &search.places);
	count = list_candidates(request, &search.places);
	search.ranking = ranking_make(request, count);
	look(&search, count);
	if (!choice->endpoint && search.share < 1.0) {
		search.share = 1.0;
		look(&search, count);
	}
	if (search.any_busy)
		choice->opens_ms = 0;
	if (choice->endpoint)
		choice->source =
			ranking_find_source(&search.ranking, choice->endpoint);
	return search.result;
}
