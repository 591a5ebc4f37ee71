#include "request/ranking.h"

#include "request/notices.h"

static const double unread_parts[RANKING_SIZE] = {0.0, 0.3, 0.6, 0.8};
/* Shared parts of fewer tokens are read: a copy takes some ms, too. */
#define RANKING_MIN_COPY_TOKENS 100

double ranking_preference(const endpoint_t *endpoint, uint64_t number)
{
	uint64_t x = (endpoint->hash ^ number) * 0x9e3779b97f4a7c15ull;

	x ^= x >> 32;
	x *= 0xd6e8feb86659fd93ull;
	return (double)(x >> 11) / 9007199254740992.0; /* 2^53 */
}

/* Tokens at the start of the prompt that the endpoint has read. */
static uint64_t cached_tokens(const request_t *request,
			      const endpoint_t *endpoint)
{
	return prefixmap_cached(&request->router->prefixes,
				endpoint->process_hash, &request->call.parts);
}

/* Part of a prompt's shared tokens that the endpoint has not read, as far as
 * its rank tells. */
static double unread_part(const ranking_t *ranking, const endpoint_t *endpoint)
{
	for (size_t i = 0; i < RANKING_SIZE; i++)
		if (ranking->endpoints[i] == endpoint)
			return unread_parts[i];
	return 1.0;
}

void ranking_set_tokens(const ranking_t *ranking, const request_t *request,
			const endpoint_t *endpoint, balance_option_t *option)
{
	uint64_t total = request->call.prompt_tokens;
	uint64_t cached = cached_tokens(request, endpoint);
	uint64_t shared = prompt_parts_shared(&request->call.parts);
	uint64_t unread = total > cached ? total - cached : 0;
	uint64_t unread_shared = shared > cached ? shared - cached : 0;
	double part = unread_part(ranking, endpoint);

	if (unread_shared > unread)
		unread_shared = unread;
	if (ranking->held_tokens[0] > cached) {
		option->copied_tokens = ranking->held_tokens[0] - cached;
		if (option->copied_tokens > unread_shared)
			option->copied_tokens = unread_shared;
		unread_shared -= option->copied_tokens;
		unread -= option->copied_tokens;
	}
	option->repeated_tokens = (uint64_t)((double)unread_shared * part);
	option->unread_tokens =
		unread - unread_shared + option->repeated_tokens;
}

/* True when the endpoint's lane is the prompt's own. */
static bool is_on_lane(const request_t *request, const endpoint_t *endpoint)
{
	return balance_lane_charge(request->call.prompt_tokens,
				   endpoint->express) <= 0.0;
}

static void insert(ranking_t *ranking, const endpoint_t *endpoint,
		   double weight)
{
	size_t at = RANKING_SIZE;

	while (at && (!ranking->endpoints[at - 1] ||
		      ranking->weights[at - 1] < weight))
		at--;
	for (size_t i = RANKING_SIZE - 1; i > at; i--) {
		ranking->endpoints[i] = ranking->endpoints[i - 1];
		ranking->weights[i] = ranking->weights[i - 1];
	}
	if (at == RANKING_SIZE)
		return;
	ranking->endpoints[at] = endpoint;
	ranking->weights[at] = weight;
}

/* True when other engines may copy what this one has read. */
static bool may_be_source(const router_t *router, const endpoint_t *endpoint,
			  int64_t now_ms)
{
	return endpoint->state == ENDPOINT_READY &&
	       notices_check(router, endpoint) == NOTICE_OPEN &&
	       !breaker_is_open(&endpoint->breaker, now_ms);
}

/* Keeps the engines that have read most of the shared parts. */
static void note_holder(ranking_t *ranking, const endpoint_t *endpoint,
			uint64_t tokens)
{
	if (tokens > ranking->held_tokens[0]) {
		ranking->holders[1] = ranking->holders[0];
		ranking->held_tokens[1] = ranking->held_tokens[0];
		ranking->holders[0] = endpoint;
		ranking->held_tokens[0] = tokens;
	} else if (tokens > ranking->held_tokens[1]) {
		ranking->holders[1] = endpoint;
		ranking->held_tokens[1] = tokens;
	}
}

static void look_for_holders(ranking_t *ranking, const request_t *request,
			     size_t count)
{
	const router_t *router = request->router;
	uint64_t shared = prompt_parts_shared(&request->call.parts);
	int64_t now_ms = router_now_ms(router);

	for (size_t i = 0; i < count; i++) {
		const endpoint_t *endpoint = router->candidates[i];
		uint64_t cached = cached_tokens(request, endpoint);

		if (cached >= RANKING_MIN_COPY_TOKENS &&
		    may_be_source(router, endpoint, now_ms))
			note_holder(ranking, endpoint,
				    cached < shared ? cached : shared);
	}
}

/* Highest random weight: removing an endpoint moves only its own prompts. */
ranking_t ranking_make(const request_t *request, size_t count)
{
	const router_t *router = request->router;
	const catalog_service_t *service = request->admission.service;
	const prompt_parts_t *parts = &request->call.parts;
	ranking_t ranking = {.holders = {NULL}};

	if (parts->count < 2)
		return ranking;
	for (size_t i = 0; i < count; i++) {
		const endpoint_t *endpoint = router->candidates[i];
		double weight;

		weight = ranking_preference(endpoint,
					    parts->hashes[parts->count - 2]);
		if (is_on_lane(request, endpoint))
			weight += 1.0; /* before all others */
		insert(&ranking, endpoint, weight);
	}
	if (service && service->copies_kv_cache)
		look_for_holders(&ranking, request, count);
	return ranking;
}

bool ranking_contains(const ranking_t *ranking, const endpoint_t *endpoint)
{
	for (size_t i = 0; i < RANKING_SIZE; i++)
		if (ranking->endpoints[i] == endpoint)
			return true;
	return false;
}

const endpoint_t *ranking_find_source(const ranking_t *ranking,
				      const endpoint_t *chosen)
{
	return ranking->holders[0] == chosen ? ranking->holders[1] :
					       ranking->holders[0];
}
