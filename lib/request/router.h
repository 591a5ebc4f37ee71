#ifndef REQUEST_ROUTER_H
#define REQUEST_ROUTER_H

#include "coordination/floors.h"
#include "coordination/policy.h"
#include "coordination/prefixmap.h"
#include "coordination/prefixnews.h"
#include "coordination/repeats.h"
#include "request/dialect.h"
#include "request/tracer.h"
#include "state/catalog.h"
#include "state/fleet.h"
#include "transport/loop.h"

/*
 * router - what all requests of a host share
 *
 * A router owns the catalog in force, the endpoints, and the counts by which
 * requests are limited. The life of a request goes through the modules of this
 * folder in one direction: caller (read), admit, choose, channel (send), answer
 * (answer, end). All run on the loop's thread.
 */

/* Figures that the operators of the hosts set, see platform/settings.h. */
typedef struct router_bounds {
	double repeat_ratio;
	double repeat_slack;
	int64_t repeat_window_ms;
	double cold_overshoot;
	double cold_slack;
	int64_t drain_ms; /* time to stop sending to a leaving endpoint */
} router_bounds_t;

typedef struct router_options {
	loop_t *loop;
	const dialect_t *dialect;
	const policy_t *policy; /* NULL: policy_default() */
	const tracer_t *tracer; /* NULL: no spans */
	str_t domain;
	str_t region;
	router_bounds_t bounds;
} router_options_t;

/* What is learned of a service as a whole. */
typedef struct service_stats {
	char *name;
	repeats_t repeats;
	double service_ms;	/* plain services: mean time of an answer */
	double busy_ms;		/* mean time that a request is at an endpoint */
	double lane_busy_ms[2]; /* the same at bulk and at express ones */
	double tokens_per_ms;	/* engines: prompt tokens read in a ms */
	struct service_stats *next;
} service_stats_t;

struct request;
struct caller;
struct customer_load;
struct probe;

#define ROUTER_READ_BYTES 16384
/* Until an engine's first token, besides reading the prompt. */
#define ROUTER_ENGINE_BASE_MS 45.0
/* Prompt tokens that an engine reads in a ms, as a first guess. */
#define ROUTER_TOKENS_PER_MS 90.0

typedef struct router {
	loop_t *loop;
	const mclock_t *clock;
	const dialect_t *dialect;
	const policy_t *policy;
	const tracer_t *tracer;
	str_t domain;
	str_t region;
	router_bounds_t bounds;
	catalog_t *catalog; /* NULL until the first one is known */
	fleet_t *fleet;
	prefixmap_t prefixes;
	prefixnews_t prefix_news; /* to be told to other hosts */
	service_stats_t *services;
	unsigned domain_hosts; /* hosts of this domain, this one included */
	unsigned all_hosts;
	bool stopping;
	bool leaving; /* refuses new requests */
	int64_t started_ms;
	size_t body_bytes;   /* of requests, kept until they are answered */
	size_t held_bytes;   /* of answers, not passed on yet */
	size_t unsent_bytes; /* of answers, that callers have not taken yet */
	size_t caller_count;
	size_t request_count;
	uint64_t send_count;
	struct caller *callers;
	struct request *waiting; /* no endpoint may be used now, by urgency */
	floors_t floors;
	struct probe *probes;		 /* questions on their way */
	struct customer_load *customers; /* with requests in progress */
	double turn; /* of the last sent request that had one */
	loop_timer_t wait_timer;
	loop_timer_t tick_timer;
	uint64_t random;
	/* Endpoints that one decision weighs; see router_candidates(). */
	endpoint_t **candidates;
	size_t candidate_cap;
	char *read_buffer; /* ROUTER_READ_BYTES, for one read at a time */
	buf_t scratch;	   /* for one message being put together */
	void **garbage;	   /* freed at the next tick */
	size_t garbage_count, garbage_cap;
} router_t;

router_t *router_create(const router_options_t *options);
void router_free(router_t *router);

/* Puts a catalog in force unless it is older than the present one. */
bool router_set_catalog(router_t *router, catalog_t *catalog);

/* States how many hosts share what is limited over all of them. */
void router_set_hosts(router_t *router, unsigned domain_hosts,
		      unsigned all_hosts);

service_stats_t *router_service(router_t *router, str_t name);

/* The list `candidates`, with room for all endpoints. */
endpoint_t **router_candidates(router_t *router);

int64_t router_now_ms(const router_t *router);

/* A pseudo-random number; for spreading, not for secrets. */
uint64_t router_random(router_t *router);

/*
 * Frees an object once no function that uses it can still be on the stack: a
 * connection may end in the middle of its own callback.
 */
void router_free_later(router_t *router, void *object);

/* True when the host can serve requests. */
bool router_is_ready(const router_t *router);

/* Marks the router as stopping: answers close their connections. */
void router_stop(router_t *router);

#endif
