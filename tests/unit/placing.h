#ifndef PLACING_H
#define PLACING_H

#include "coordination/balance.h"
#include "request/choose.h"

/*
 * placing - decisions under load patterns, without a network: a router with
 * endpoints in three domains of three regions, and requests that are only
 * placed.
 */
#define DOMAINS 3
#define ENGINES 3 /* in each domain */
#define START_MS 100000
/* Prompt tokens by which an engine counts as reading all the time: two seconds
 * at the speed that is assumed at first. */
#define FULL_TOKENS (uint64_t)(2000 * ROUTER_INITIAL_PREFILL_TOKENS_PER_MS)

extern mclock_manual_t clock_now;
extern loop_t *loop;
extern router_t *router;
extern catalog_t *catalog;
extern request_t request;
/* Whether engines copy read parts from each other. */
extern bool copies_parts;
/* Whether engines are asked for their state, as on the native interface. */
extern bool asks_engines;

void add_catalog(int64_t version);
endpoint_t *add_engine(int domain, int index, int64_t cold_ms);
void placing_set_up(void);
void placing_tear_down(void);
const request_t *make_request(unsigned thing, unsigned shared, unsigned own);
endpoint_t *place(unsigned thing, unsigned shared, unsigned own);
endpoint_t *must_place(unsigned thing, unsigned shared, unsigned own);
void note_read(const endpoint_t *engine, unsigned thing, unsigned shared);
choice_t choose(unsigned thing, unsigned shared, unsigned own);

#endif
