#include "request/ranking.h"

#include "request/notices.h"

/* Expected part of a shared prefix that an engine of each rank lacks. */
static const double uncached_fractions[RANKING_SIZE] = {0.0, 0.3, 0.6, 0.8};
/* A shorter shared prefix is not copied: a copy takes some ms itself. */
#define RANKING_MIN_COPY_TOKENS 100

double ranking_rendezvous_weight(const endpoint_t *endpoint, uint64_t key)
{
	uint64_t x = (endpoint->hash ^ key) * 0x9e3779b97f4a7c15ull;

	x ^= x >> 32;
	x *= 0xd6e8feb86659fd93ull;
	return (double)(x >> 11) / 9007199254740992.0; /* 2^53 */
}

/* Tokens at the start of the prompt that the endpoint has cached. */
static uint64_t cached_tokens(const request_t *request,
			      const endpoint_t *endpoint)
{
	return prefixmap_cached_tokens(&request->router->prefixes,
				       endpoint->process_hash,
				       &request->call.parts);
}

/* Part of a prompt's shared tokens that the endpoint is expected to lack, by
 * its rank. */
static double uncached_fraction(const ranking_t *ranking,
				const endpoint_t *endpoint)
{
	for (size_t i = 0; i < RANKING_SIZE; i++)
		if (ranking->endpoints[i] == endpoint)
			return uncached_fractions[i];
	return 1.0;
}

void ranking_set_tokens(const ranking_t *ranking, const request_t *request,
			const endpoint_t *endpoint, balance_option_t *option)
{
	uint64_t total = request->call.prompt_tokens;
	uint64_t cached = cached_tokens(request, endpoint);
	uint64_t shared = prompt_parts_shared_tokens(&request->call.parts);
	uint64_t uncached = total > cached ? total - cached : 0;
	uint64_t uncached_shared = shared > cached ? shared - cached : 0;
	double fraction = uncached_fraction(ranking, endpoint);

	if (uncached_shared > uncached)
		uncached_shared = uncached;
	if (ranking->source_tokens[0] > cached) {
		option->copied_tokens = ranking->source_tokens[0] - cached;
		if (option->copied_tokens > uncached_shared)
			option->copied_tokens = uncached_shared;
		uncached_shared -= option->copied_tokens;
		uncached -= option->copied_tokens;
	}
	option->recomputed_tokens =
		(uint64_t)((double)uncached_shared * fraction);
	option->prefill_tokens =
		uncached - uncached_shared + option->recomputed_tokens;
}

/* True when the endpoint is on the lane for prompts of this length. */
static bool is_on_lane(const request_t *request, const endpoint_t *endpoint)
{
	return balance_lane_charge_ms(request->call.prompt_tokens,
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

/* True when other engines may copy KV cache from this one. */
static bool may_be_source(const router_t *router, const endpoint_t *endpoint,
			  int64_t now_ms)
{
	return endpoint->state == ENDPOINT_READY &&
	       endpoint_limit_per_s(endpoint) <= 0.0 &&
	       notices_check(router, endpoint) == NOTICE_OPEN &&
	       !breaker_is_open(&endpoint->breaker, now_ms);
}

/* Keeps the engines with the most cached shared tokens. */
static void add_prefix_source(ranking_t *ranking, const endpoint_t *endpoint,
			      uint64_t tokens)
{
	if (tokens > ranking->source_tokens[0]) {
		ranking->prefix_sources[1] = ranking->prefix_sources[0];
		ranking->source_tokens[1] = ranking->source_tokens[0];
		ranking->prefix_sources[0] = endpoint;
		ranking->source_tokens[0] = tokens;
	} else if (tokens > ranking->source_tokens[1]) {
		ranking->prefix_sources[1] = endpoint;
		ranking->source_tokens[1] = tokens;
	}
}

static void find_prefix_sources(ranking_t *ranking, const request_t *request,
				size_t count)
{
	const router_t *router = request->router;
	uint64_t shared = prompt_parts_shared_tokens(&request->call.parts);
	int64_t now_ms = router_now_ms(router);

	for (size_t i = 0; i < count; i++) {
		const endpoint_t *endpoint = router->candidates[i];
		uint64_t cached = cached_tokens(request, endpoint);

		if (cached >= RANKING_MIN_COPY_TOKENS &&
		    may_be_source(router, endpoint, now_ms))
			add_prefix_source(ranking, endpoint,
					  cached < shared ? cached : shared);
	}
}

/* Rendezvous hashing: removing an endpoint moves only its own prompts. An
 * endpoint that limits its rate is left out: most requests of a prefix that
 * ranked it first would miss the cache elsewhere. */
ranking_t ranking_make(const request_t *request, size_t count)
{
	const router_t *router = request->router;
	const catalog_service_t *service = request->admission.service;
	const prompt_parts_t *parts = &request->call.parts;
	ranking_t ranking = {.prefix_sources = {NULL}};

	if (parts->count < 2)
		return ranking;
	for (size_t i = 0; i < count; i++) {
		const endpoint_t *endpoint = router->candidates[i];
		double weight;

		if (endpoint_limit_per_s(endpoint) > 0.0)
			continue;
		weight = ranking_rendezvous_weight(
			endpoint, parts->hashes[parts->count - 2]);
		if (is_on_lane(request, endpoint))
			weight += 1.0; /* ranks above all endpoints of the other
					  lane */
		insert(&ranking, endpoint, weight);
	}
	if (service && service->copies_kv_cache)
		find_prefix_sources(&ranking, request, count);
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
	return ranking->prefix_sources[0] == chosen ?
		       ranking->prefix_sources[1] :
		       ranking->prefix_sources[0];
}
