#ifndef REQUEST_RANKING_H
#define REQUEST_RANKING_H

#include "coordination/balance.h"
#include "request/request.h"

/*
 * ranking - which engines have read, or should read, a prompt's shared parts
 *
 * All hosts rank the endpoints for a prompt in the same way, by highest random
 * weight. What the first ones can't take goes to the next in rank, so that few
 * engines read a shared part; the later in the rank, the less likely one has
 * read it. Where this host knows which engines have read the parts (see
 * prefixmap.h), any other engine may copy them from one of these, which costs
 * a fraction of reading them once more.
 */
#define RANKING_SIZE 4
#define RANKING_COPY_SOURCES 2

typedef struct ranking {
	const endpoint_t *endpoints[RANKING_SIZE]; /* NULL after the last */
	double weights[RANKING_SIZE];
	/* Engines that have read most of the shared parts, so that each engine
	 * has another one to copy them from; NULL after the last. */
	const endpoint_t *copy_sources[RANKING_COPY_SOURCES];
	uint64_t source_tokens[RANKING_COPY_SOURCES];
} ranking_t;

/* A number in [0, 1) that all hosts give to the same number and endpoint. */
double ranking_rendezvous_weight(const endpoint_t *endpoint, uint64_t number);

/* Ranks the first `count` of the router's candidates. */
ranking_t ranking_make(const request_t *request, size_t count);

bool ranking_contains(const ranking_t *ranking, const endpoint_t *endpoint);

/* Sets which tokens of the prompt the endpoint would read, which of these other
 * engines have read, and which it would copy. */
void ranking_set_tokens(const ranking_t *ranking, const request_t *request,
			const endpoint_t *endpoint, balance_option_t *option);

/*
 * The engine that `chosen` should copy shared parts from; NULL: none. One is
 * named even if the chosen engine seems to have all parts: it may have given
 * them up since, and copies only what it lacks.
 */
const endpoint_t *ranking_find_source(const ranking_t *ranking,
				      const endpoint_t *chosen);

#endif
