#include "request/choose.h"

#include <math.h>

#include "coordination/balance.h"
#include "request/channel.h"
#include "request/limits.h"
#include "request/notices.h"
#include "request/pacing.h"
#include "request/probe.h"
#include "request/ranking.h"

/* The time by which an endpoint's responses exceeded the expected time decays,
 * so that an endpoint that was slow is tried again. */
#define CHOOSE_EXCESS_HALF_LIFE_MS 1500.0
/* Expected cost of a failed request, as a multiple of its target latency. */
#define CHOOSE_FAILURE_COST_FACTOR 1.5
/* An engine that spends more of its time than this on prefill gets no long
 * prompt for now: more prefill would make streams there miss their deadlines.
 */
#define CHOOSE_SATURATED_SHARE 0.6

/* Assumed time until a host without a part of an endpoint's rate gets one. */
#define CHOOSE_NO_UNIT_MS 1000

/* Eligibility and distance of each domain, computed once per choice. */
typedef struct domain_limits {
	bool allowed[FLEET_MAX_DOMAINS + 1];
	balance_distance_t distance[FLEET_MAX_DOMAINS + 1];
} domain_limits_t;

static balance_distance_t get_distance(const router_t *router,
				       const fleet_domain_t *domain)
{
	if (str_equals(str_from(domain->name), router->domain))
		return BALANCE_SAME_DOMAIN;
	return str_equals(str_from(domain->region), router->region) ?
		       BALANCE_SAME_REGION :
		       BALANCE_OTHER_REGION;
}

static void check_domains(const request_t *request, domain_limits_t *domains)
{
	const router_t *router = request->router;

	for (size_t i = 0; i <= FLEET_MAX_DOMAINS; i++) {
		const fleet_domain_t *domain =
			fleet_domain_at(router->fleet, i);
		str_t region = str_from(domain->region ? domain->region : "");

		domains->allowed[i] =
			!domain->evacuated &&
			admit_allows_region(&request->admission, region);
		domains->distance[i] = get_distance(router, domain);
	}
}

/* True when the endpoint has no cold limit, or this host's share of the limit
 * is not used up. Only hosts in the endpoint's domain have a share. */
static bool has_cold_share(const request_t *request, endpoint_t *endpoint,
			   int64_t now_ms)
{
	const router_t *router = request->router;
	const catalog_service_t *service = request->admission.service;

	if (!service || service->cold_per_s <= 0.0)
		return true;
	if (!str_equals(str_from(endpoint->domain), router->domain))
		return false;
	return coldgate_allows(
		&endpoint->sends,
		pacing_cold_share(router, endpoint, service->cold_per_s),
		now_ms);
}

bool choose_is_cold(const request_t *request, const endpoint_t *endpoint,
		    int64_t now_ms)
{
	const catalog_service_t *service = request->admission.service;

	if (service && service->cold_until_proven)
		return !warmth_is_proven(&endpoint->warmth, now_ms);
	return endpoint_is_cold(endpoint, now_ms);
}

/* True when the endpoint is warm or its cold limit has room; false while an
 * engine refuses work. Starts a probe of an engine that refused work or isn't
 * proven to be warm. */
static bool is_warm_enough(const request_t *request, endpoint_t *endpoint,
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
		return has_cold_share(request, endpoint, now_ms);
	probe_start(request->router, endpoint);
	return endpoint->in_flight +
		       warmth_orphaned(&endpoint->warmth, now_ms) <
	       endpoint->cold_units;
}

/* Where a cold limit is named, it is the pace of an endpoint that starts. */
static bool may_send_now(const request_t *request, endpoint_t *endpoint,
			 int64_t now_ms)
{
	const catalog_service_t *service = request->admission.service;

	return is_warm_enough(request, endpoint, now_ms) &&
	       ((service && service->cold_per_s > 0.0) ||
		pacing_allows(request->router, endpoint));
}

static bool is_eligible(const request_t *request, const endpoint_t *endpoint,
			int service, const domain_limits_t *domains)
{
	return (endpoint->state == ENDPOINT_READY ||
		endpoint->state == ENDPOINT_LINGERING) &&
	       (int)endpoint->service_index == service &&
	       domains->allowed[endpoint->domain_index] &&
	       notices_check(request->router, endpoint) != NOTICE_LEAVING &&
	       endpoint != request->endpoint &&
	       !request_was_tried(request, endpoint);
}

/* Lists the endpoints that are eligible, also those that are at a limit now. */
static size_t find_candidates(const request_t *request,
			      const domain_limits_t *domains)
{
	router_t *router = request->router;
	const fleet_t *fleet = router->fleet;
	int service =
		fleet_find_service(fleet, request->admission.service_name);
	endpoint_t **list = router_reserve_candidates(router);
	size_t count = 0;

	for (size_t i = 0; i < fleet_count(fleet); i++) {
		endpoint_t *endpoint = fleet_at(fleet, i);

		if (is_eligible(request, endpoint, service, domains))
			list[count++] = endpoint;
	}
	return count;
}

static bool has_capacity(const request_t *request, const endpoint_t *endpoint,
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

static double decayed_excess_ms(const endpoint_t *endpoint, int64_t now_ms)
{
	double age = (double)(now_ms - endpoint->excess_updated_ms);

	if (endpoint->excess_ms <= 0.0)
		return 0.0;
	return endpoint->excess_ms * exp2(-age / CHOOSE_EXCESS_HALF_LIFE_MS);
}

static balance_option_t make_option(const request_t *request,
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
		.sends_since_last =
			request->router->send_count - endpoint->last_send_seq,
		.reported_in_flight = endpoint->total_load.in_flight,
		.slots = endpoint->slots,
		.excess_ms = decayed_excess_ms(endpoint, now_ms),
		.failure_share =
			breaker_failure_share(&endpoint->breaker, now_ms),
		.last_resort = endpoint->state == ENDPOINT_LINGERING ||
			       notices_check(request->router, endpoint) ==
				       NOTICE_LAST_RESORT ||
			       breaker_is_open(&endpoint->breaker, now_ms)};

	if (engine) {
		option.backlog_tokens = load.backlog_tokens;
		option.prefill_tokens_per_s = (double)load.tokens_per_s;
		ranking_set_tokens(ranking, request, endpoint, &option);
		option.service_ms = ROUTER_ENGINE_BASE_MS;
		option.slowness = endpoint->slowness;
		if (lanes_follow_load(request->router->all_hosts))
			option.busy_ms =
				router_service_stats(
					request->router,
					request->admission.service_name)
					->lane_busy_ms[endpoint->express];
		option.lane_charge_ms = balance_lane_charge_ms(
			request->call.prompt_tokens, endpoint->express);
	} else {
		option.service_ms =
			router_service_stats(request->router,
					     request->admission.service_name)
				->service_ms;
	}
	return option;
}

bool choose_is_saturated(const request_t *request, const choice_t *choice)
{
	return request->router->policy->ops->holds_long_prompts &&
	       (request->call.prompt_tokens >= BALANCE_LONG_PROMPT_TOKENS ||
		request->share_excess > 0.0) &&
	       choice->prefill_share > CHOOSE_SATURATED_SHARE;
}

/* The search for the cheapest endpoint of a request. */
typedef struct search {
	const request_t *request;
	const service_stats_t *stats;
	domain_limits_t domains;
	ranking_t ranking;
	balance_rates_t rates;
	int64_t now_ms;
	double sample_share; /* part of the endpoints to evaluate */
	bool stays_on_lane;  /* considers no endpoint of the other lane */
	/* Of streams, see decode.h. */
	double quiet_pause_ms;
	double expected_events;
	double best_cost;
	bool any_at_limit; /* an endpoint is full, cold or refusing work */
	choose_result_t result;
	choice_t *choice;
} search_t;

/* True for the prompt's ranked endpoints and for a sample of the others, which
 * the request's `id_hash` selects. */
static bool is_sampled(const search_t *search, const endpoint_t *endpoint)
{
	if (search->stays_on_lane &&
	    balance_lane_charge_ms(search->request->call.prompt_tokens,
				   endpoint->express) > 0.0)
		return false;
	return search->sample_share >= 1.0 ||
	       ranking_contains(&search->ranking, endpoint) ||
	       ranking_rendezvous_weight(endpoint, search->request->id_hash) <
		       search->sample_share;
}

/* Notes that the endpoint accepts no request of this host until `until_ms`. */
static void note_hold(search_t *search, int64_t until_ms)
{
	choice_t *choice = search->choice;

	if (!choice->paused_until_ms || until_ms < choice->paused_until_ms)
		choice->paused_until_ms = until_ms;
	if (search->result == CHOOSE_NONE)
		search->result = CHOOSE_LATER;
}

static bool is_paused(search_t *search, const endpoint_t *endpoint)
{
	if (notices_check(search->request->router, endpoint) != NOTICE_PAUSED)
		return false;
	note_hold(search, notice_next_send_ms(endpoint_notice(endpoint),
					      search->now_ms));
	return true;
}

/* True when this host's part of the rate that the endpoint accepts is used up.
 */
static bool is_rate_limited(search_t *search, const endpoint_t *endpoint)
{
	int64_t next_ms = limits_next_send_ms(
		endpoint, search->request->admission.priority);

	if (next_ms <= search->now_ms)
		return false;
	/* Without any part of it, the time of the next request is unknown. */
	if (next_ms == INT64_MAX)
		next_ms = search->now_ms + CHOOSE_NO_UNIT_MS;
	note_hold(search, next_ms);
	search->choice->rate_limited = true;
	return true;
}

/* Charge for how the endpoint would decode the request's stream. */
static double forecast_charge_ms(const search_t *search,
				 const endpoint_t *endpoint,
				 const balance_option_t *option)
{
	const request_t *request = search->request;
	const catalog_route_t *route = request->admission.route;
	decode_stream_t stream = {
		.events = search->expected_events,
		.left_ms = (double)(request->deadline_ms - search->now_ms),
		.gap_target_ms = route->event_gap_target_ms,
		.miss_charge_ms = search->rates.failure_cost_ms};
	decode_engine_t engine = {
		.quiet_pause_ms = search->quiet_pause_ms * endpoint->slowness,
		.prefill_share = balance_prefill_share(option, &search->rates),
		.expected_ms = balance_expected_ms(option, &search->rates)};

	if (route->kind != CATALOG_STREAM || request->call.not_streamed)
		return 0.0;
	return decode_charge_ms(&search->stats->decode, &stream, &engine);
}

static void evaluate(search_t *search, endpoint_t *endpoint)
{
	const request_t *request = search->request;
	const policy_t *policy = request->router->policy;
	choice_t *choice = search->choice;
	balance_option_t option;
	double cost;

	if (is_paused(search, endpoint) || is_rate_limited(search, endpoint))
		return;
	if (!has_capacity(request, endpoint, search->now_ms) ||
	    !may_send_now(request, endpoint, search->now_ms)) {
		search->any_at_limit = true;
		if (search->result == CHOOSE_NONE &&
		    !endpoint->warmth.unreachable)
			search->result = CHOOSE_LATER;
		return;
	}
	option = make_option(request, &search->ranking, endpoint,
			     search->domains.distance[endpoint->domain_index],
			     search->now_ms);
	if (request->call.prompt_tokens)
		option.decode_charge_ms =
			forecast_charge_ms(search, endpoint, &option);
	cost = policy->ops->cost(policy, &option, &search->rates);
	if (choice->endpoint && cost >= search->best_cost)
		return;
	search->best_cost = cost;
	search->result = CHOOSE_OK;
	choice->endpoint = endpoint;
	choice->prefill_tokens = option.prefill_tokens;
	choice->prefill_share = balance_prefill_share(&option, &search->rates);
	choice->prefills_alone = !option.backlog_tokens;
	choice->slots_taken = option.slots && option.in_flight >= option.slots;
	choice->round_trip_ms = balance_round_trip_ms(option.distance);
	/* Without the excess, which is measured against this time. */
	choice->expected_ms =
		balance_expected_ms(&option, &search->rates) - option.excess_ms;
}

static void evaluate_candidates(search_t *search, size_t count)
{
	const router_t *router = search->request->router;

	for (size_t i = 0; i < count; i++)
		if (is_sampled(search, router->candidates[i]))
			evaluate(search, router->candidates[i]);
}

/*
 * Narrows the search to a few endpoints of the request's lane while slots are
 * short. Requests with a long shared prefix are spread by it already, and would
 * have it read again elsewhere.
 */
static void sample_if_short(search_t *search, size_t count)
{
	const request_t *request = search->request;
	double share = shortage_sample_share(&search->stats->shortage, count);

	if (prompt_parts_shared_tokens(&request->call.parts) >=
		    BALANCE_LONG_PROMPT_TOKENS ||
	    request->state == REQUEST_ANSWERING ||
	    share >= search->sample_share)
		return;
	search->sample_share = share;
	search->stays_on_lane = true;
}

choose_result_t choose_endpoint(const request_t *request, choice_t *choice)
{
	router_t *router = request->router;
	search_t search = {
		.request = request,
		.stats = router_service_stats(router,
					      request->admission.service_name),
		.now_ms = router_now_ms(router),
		.sample_share = balance_sample_share(router->all_hosts),
		.result = CHOOSE_NONE,
		.choice = choice};
	size_t count;

	search.rates = (balance_rates_t){
		.prefill_tokens_per_ms = search.stats->prefill_tokens_per_ms,
		.failure_cost_ms = CHOOSE_FAILURE_COST_FACTOR *
				   request->admission.route->target_ms};
	*choice = (choice_t){.endpoint = NULL};
	fleet_update_express(router->fleet);
	check_domains(request, &search.domains);
	count = find_candidates(request, &search.domains);
	sample_if_short(&search, count);
	search.quiet_pause_ms = fleet_quiet_pause_ms(
		router->fleet, request->admission.service_name);
	search.expected_events = decode_expected_events(
		&search.stats->decode, request_class_id(request));
	search.ranking = ranking_make(request, count);
	evaluate_candidates(&search, count);
	if (!choice->endpoint && search.sample_share < 1.0) {
		search.sample_share = 1.0;
		search.stays_on_lane = false;
		evaluate_candidates(&search, count);
	}
	if (search.any_at_limit)
		choice->paused_until_ms = 0;
	if (search.any_at_limit || choice->endpoint)
		choice->rate_limited = false;
	if (choice->endpoint)
		choice->prefix_source =
			ranking_find_source(&search.ranking, choice->endpoint);
	return search.result;
}
