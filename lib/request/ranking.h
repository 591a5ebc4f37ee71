#ifndef REQUEST_RANKING_H
#define REQUEST_RANKING_H

#include "coordination/balance.h"
#include "request/request.h"

/*
 * ranking - which engines have, or should have, a prompt's shared prefix cached
 *
 * All hosts rank the endpoints for a prompt in the same way, by rendezvous
 * hashing. Requests that the first endpoints can't take go to the next in rank,
 * so that few engines prefill a shared prefix; the lower the rank, the less
 * likely an engine has it cached. Where this host knows which engines have the
 * prefix in their KV cache (see prefixmap.h), any other engine may copy it from
 * one of these, which costs a fraction of another prefill.
 */
#define RANKING_SIZE 4
#define RANKING_PREFIX_SOURCES 2

typedef struct ranking {
	const endpoint_t *endpoints[RANKING_SIZE]; /* NULL after the last */
	double weights[RANKING_SIZE];
	/* Engines with the longest cached shared prefix; two, so that each of
	 * them has another one to copy from. NULL after the last. */
	const endpoint_t *prefix_sources[RANKING_PREFIX_SOURCES];
	uint64_t source_tokens[RANKING_PREFIX_SOURCES]; /* cached shared ones */
} ranking_t;

/* The rendezvous hash of an endpoint and a key, in [0, 1); the same on all
 * hosts. */
double ranking_rendezvous_weight(const endpoint_t *endpoint, uint64_t key);

/* Ranks the first `count` of the router's candidates. */
ranking_t ranking_make(const request_t *request, size_t count);

bool ranking_contains(const ranking_t *ranking, const endpoint_t *endpoint);

/* Sets how many tokens of the prompt the endpoint would prefill, how many of
 * these other engines have cached, and how many it would copy. */
void ranking_set_tokens(const ranking_t *ranking, const request_t *request,
			const endpoint_t *endpoint, balance_option_t *option);

/*
 * The engine that `chosen` should copy the shared prefix from; NULL: none. One
 * is returned even if the chosen engine seems to have the whole prefix: it may
 * have evicted a part since, and copies only what it lacks.
 */
const endpoint_t *ranking_find_source(const ranking_t *ranking,
				      const endpoint_t *chosen);

#endif
