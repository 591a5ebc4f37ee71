#ifndef REQUEST_ROUTER_H
#define REQUEST_ROUTER_H

#include "coordination/crashboard.h"
#include "coordination/decode.h"
#include "coordination/custshare.h"
#include "coordination/floors.h"
#include "coordination/gossip.h"
#include "coordination/policy.h"
#include "coordination/prefixmap.h"
#include "coordination/prefixnews.h"
#include "coordination/retrybudget.h"
#include "coordination/shortage.h"
#include "request/callermem.h"
#include "request/dialect.h"
#include "request/tracer.h"
#include "state/catalog.h"
#include "state/fleet.h"
#include "transport/loop.h"

/*
 * router - state shared by all requests of a host
 *
 * A router owns the active catalog, the endpoints, and the counters that limit
 * requests. A request passes through the modules of this folder in this order:
 * caller (read), admit, choose, channel (send), answer (respond, finish). All
 * of them run on the loop's thread.
 */

/* Limits from the operator's settings, see platform/settings.h. */
typedef struct router_bounds {
	double retry_budget_ratio;
	double retry_budget_slack;
	int64_t retry_budget_window_ms;
	double cold_overshoot;
	double cold_slack;
	int64_t drain_ms; /* time in which hosts stop sending to a
			     leaving endpoint */
} router_bounds_t;

typedef struct router_options {
	loop_t *loop;
	const dialect_t *dialect;
	const policy_t *policy; /* NULL: policy_default() */
	const tracer_t *tracer; /* NULL: no spans */
	str_t domain;
	str_t region;
	router_bounds_t bounds;
	callermem_limits_t caller_limits; /* max_callers 0: defaults */
} router_options_t;

/* Statistics and the retry budget of one service. */
typedef struct service_stats {
	char *name;
	retrybudget_t retry_budget;
	double service_ms;	/* non-engine services: mean response time */
	double busy_ms;		/* mean time a request occupies an endpoint */
	double lane_busy_ms[2]; /* busy_ms of bulk [0] and express [1] lanes */
	double prefill_tokens_per_ms; /* prefill rate of the usual engine; that
					 of others is lower by the factor
					 endpoint->slowness */
	shortage_t shortage;	      /* engines: whether slots are short */
	decode_stats_t decode;	      /* engines: what streams have shown */
	struct service_stats *next;
} service_stats_t;

/* Passes the crashes that this host finds on to other hosts. */
typedef struct crash_observer {
	void (*on_crash)(void *user, const crash_report_t *report);
	void *user;
	uint32_t host; /* id of this host in reports */
} crash_observer_t;

/* Passes the rates that endpoints state in responses to this host on to other
 * hosts. */
typedef struct limit_observer {
	void (*on_change)(void *user, const endpoint_t *endpoint);
	void *user;
} limit_observer_t;

struct request;
struct caller;
struct crashcheck;
struct customer_load;
struct probe;

#define ROUTER_READ_BYTES 16384
/* Time to an engine's first token, apart from queueing and prefill. */
#define ROUTER_ENGINE_BASE_MS 45.0
/* Prefill rate of an engine assumed before any measurement. */
#define ROUTER_INITIAL_PREFILL_TOKENS_PER_MS 90.0

typedef struct router {
	loop_t *loop;
	const mclock_t *clock;
	const dialect_t *dialect;
	const policy_t *policy;
	const tracer_t *tracer;
	str_t domain;
	str_t region;
	router_bounds_t bounds;
	catalog_t *catalog; /* NULL until the first one is loaded */
	fleet_t *fleet;
	prefixmap_t prefixes;
	prefixnews_t prefix_keys; /* keys not yet sent to other hosts */
	service_stats_t *services;
	/* Numbers of hosts, this one included. */
	unsigned domain_hosts;
	unsigned all_hosts;
	bool stopping;
	bool leaving; /* refuses new requests */
	/* Of a router that is stopping, see router_stop(). */
	int64_t late_ms;
	int64_t end_ms;
	int64_t started_ms;
	callermem_t caller_memory; /* buffers of callers' connections */
	loop_timer_t caller_memory_timer;
	/* Endpoint output buffered and not yet passed to callers. */
	size_t held_response_bytes;
	/* Written to callers but not yet accepted by their sockets. */
	size_t unsent_response_bytes;
	size_t caller_count;
	size_t request_count;
	uint64_t send_count;
	struct caller *callers;
	struct request *waiting; /* see waiting.h; most urgent first */
	floors_t floors;
	struct probe *probes; /* in progress */
	crashboard_t *crashes;
	crash_observer_t crash_observer;
	limit_observer_t limit_observer;
	int64_t limits_updated_ms;
	const gossip_t *gossip; /* membership; NULL: there are no other hosts */
	struct crashcheck *crash_checks; /* in progress */
	unsigned crash_check_count;
	struct customer_load *customers; /* those with requests in progress */
	custshare_t *custshare;		 /* what customers use of services */
	/* Of the weighted fair queue among customers: the highest virtual start
	 * time of a request that was sent. */
	double virtual_time;
	loop_timer_t wait_timer;
	loop_timer_t tick_timer;
	uint64_t random;
	/* Scratch list for one choice; see router_reserve_candidates(). */
	endpoint_t **candidates;
	size_t candidate_cap;
	char *read_buffer; /* ROUTER_READ_BYTES; valid until the next read */
	buf_t scratch;	   /* for building one message */
	void **deferred_frees; /* objects to free at the next tick */
	size_t deferred_free_count, deferred_free_cap;
} router_t;

router_t *router_create(const router_options_t *options);
void router_free(router_t *router);

/*
 * Replaces the active catalog unless the new one's version is not higher.
 *
 * RETURN VALUE: whether the catalog is now active; the router then holds its
 * own reference.
 */
bool router_set_catalog(router_t *router, catalog_t *catalog);

/* Sets the numbers of hosts that share the limits of a domain and of the fleet.
 */
void router_set_host_counts(router_t *router, unsigned domain_hosts,
			    unsigned all_hosts);

/* Returns the statistics of a service; creates them on first use. */
service_stats_t *router_service_stats(router_t *router, str_t name);

/* Returns `candidates`, grown to hold all endpoints. */
endpoint_t **router_reserve_candidates(router_t *router);

int64_t router_now_ms(const router_t *router);

/* A pseudo-random number for spreading load; not cryptographically secure. */
uint64_t router_random(router_t *router);

/*
 * Frees an object at the next tick, when no function that uses it is still on
 * the stack: a connection may end in the middle of its own callback.
 */
void router_defer_free(router_t *router, void *object);

/*
 * Frees these objects now if there are many. To be called at the end of a
 * callback of the loop: requests that are answered at once, one behind the
 * other, would take much memory until the next tick.
 */
void router_free_deferred(router_t *router);

bool router_is_ready(const router_t *router);

/*
 * Marks the router as stopping: each response then closes its connection. From
 * `late_ms` on, requests that may not be complete at `end_ms`, when the host
 * ends those in progress, are refused.
 */
void router_stop(router_t *router, int64_t late_ms, int64_t end_ms);

#endif
