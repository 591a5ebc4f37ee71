#ifndef PLACING_H
#define PLACING_H

#include "coordination/balance.h"
#include "request/choose.h"

/*
 * placing - fixture for tests of endpoint selection under load patterns: a
 * router with engines in three domains, each in a region of its own. Requests
 * are assigned to engines but not sent.
 */
#define DOMAINS 3
#define ENGINES_PER_DOMAIN 3
#define START_MS 100000
/* Prompt tokens sent at once that make an engine count as fully busy with
 * prefill: 2 s of prefill at the initial estimate of its speed. */
#define FULL_PREFILL_TOKENS \
	(uint64_t)(2000 * ROUTER_INITIAL_PREFILL_TOKENS_PER_MS)

extern mclock_manual_t manual_clock;
extern loop_t *loop;
extern router_t *router;
extern catalog_t *catalog;
extern request_t request;
/* Whether engines copy cached prefixes from each other. */
extern bool engines_copy_kv_cache;
/* Whether engines count as cold until a response proves that they are warm, as
 * on the native interface. */
extern bool engines_cold_until_proven;
/* The cold limit that the configuration names; 0: none. */
extern double engines_cold_per_s;

void add_catalog(int64_t version);
endpoint_t *add_engine(int domain, int index, int64_t cold_ms);
void placing_set_up(void);
void placing_tear_down(void);
const request_t *make_request(unsigned prefix_id, unsigned shared_tokens,
			      unsigned own_tokens);
endpoint_t *find_endpoint(unsigned prefix_id, unsigned shared_tokens,
			  unsigned own_tokens);
endpoint_t *require_endpoint(unsigned prefix_id, unsigned shared_tokens,
			     unsigned own_tokens);
void mark_prefix_cached(const endpoint_t *engine, unsigned prefix_id,
			unsigned shared_tokens);
choice_t choose(unsigned prefix_id, unsigned shared_tokens,
		unsigned own_tokens);

#endif
