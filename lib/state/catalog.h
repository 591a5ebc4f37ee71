#ifndef STATE_CATALOG_H
#define STATE_CATALOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/str.h"

/*
 * catalog - one version of the operators' configuration, indexed for lookups
 *
 * A catalog is filled by a decoder through the catalog_add functions, sealed by
 * catalog_seal(), and immutable from then on. All strings that are passed in
 * are copied.
 */
typedef enum catalog_kind {
	CATALOG_IDEMPOTENT,   /* may be executed any number of times */
	CATALOG_AT_MOST_ONCE, /* may be executed once */
	CATALOG_STREAM /* event stream; executed once unless `resumable` */
} catalog_kind_t;

/* Regions in which a route or customer may be served; count 0: all regions. */
typedef struct catalog_regions {
	const str_t *names;
	size_t count;
} catalog_regions_t;

/* A service's share of a route's requests. */
typedef struct catalog_split {
	str_t service;
	unsigned weight;
} catalog_split_t;

typedef struct catalog_route {
	str_t name;
	str_t host;
	str_t prefix; /* of the path; ends with a slash */
	catalog_kind_t kind;
	bool resumable; /* streams: may continue at another endpoint */
	bool is_public; /* requests need no API key */
	bool affinity;	/* requests list their prompt parts */
	unsigned timeout_ms;
	unsigned target_ms;	      /* to the response or its first event */
	unsigned event_gap_target_ms; /* between events */
	unsigned priority;	      /* 0 is the highest */
	unsigned max_attempts;	      /* endpoints that may execute a request */
	unsigned group;		      /* see `groups` of catalog_customer_t */
	/* Queueing while no endpoint has a free slot. */
	bool waits_until_deadline; /* else for a part of `target_ms` only */
	unsigned max_waiting;	   /* requests at one host; 0: no bound */
	unsigned floor_percent;	   /* guaranteed share of sends, see floors.h */
	unsigned max_output_tokens; /* 0: no bound */
	const catalog_split_t *splits;
	size_t split_count;
	catalog_regions_t regions;
} catalog_route_t;

typedef struct catalog_service {
	str_t name;
	str_t health_path;
	unsigned max_connections; /* to one endpoint, from all callers */
	unsigned slots;		  /* of one model engine; 0: a plain service */
	int64_t cold_ms;	  /* how long an endpoint stays cold */
	double cold_per_s;	  /* requests that a cold endpoint can take */
	bool copies_kv_cache;	  /* engines copy it from each other */
	bool limited_to_slots;	  /* at most `slots` requests in flight */
	/* Endpoints count as cold until a response proves them warm, see
	 * warmth.h; each host has units of an endpoint's cold limit. */
	bool cold_until_proven;
} catalog_service_t;

typedef struct catalog_customer {
	str_t name;
	bool has_priority;
	unsigned priority; /* overrides the route's */
	catalog_regions_t regions;
	uint32_t groups; /* allowed route groups, one bit each; 0: all */
	unsigned max_in_progress; /* requests at one host; 0: no bound */
	unsigned weight;	  /* in weighted fair queueing; 0: not used */
} catalog_customer_t;

typedef struct catalog_limits {
	size_t head_bytes;
	size_t body_bytes;
	unsigned head_timeout_ms;
	unsigned idle_timeout_ms;
} catalog_limits_t;

typedef struct catalog catalog_t;

/* RETURN VALUE: an empty catalog with one reference. */
catalog_t *catalog_create(int64_t version);
catalog_t *catalog_ref(catalog_t *catalog);
void catalog_unref(catalog_t *catalog);

void catalog_set_limits(catalog_t *catalog, const catalog_limits_t *limits);
void catalog_add_route(catalog_t *catalog, const catalog_route_t *route);
void catalog_add_service(catalog_t *catalog, const catalog_service_t *service);
void catalog_add_customer(catalog_t *catalog,
			  const catalog_customer_t *customer, const str_t *keys,
			  size_t key_count);

/* Makes requests need API keys even when there are no customers. */
void catalog_require_keys(catalog_t *catalog);
void catalog_seal(catalog_t *catalog);

int64_t catalog_version(const catalog_t *catalog);
size_t catalog_route_count(const catalog_t *catalog);
size_t catalog_customer_count(const catalog_t *catalog);
/* Number of API keys of all customers. */
size_t catalog_key_count(const catalog_t *catalog);
/* One more than the largest priority of a route. */
unsigned catalog_priority_levels(const catalog_t *catalog);
size_t catalog_service_count(const catalog_t *catalog);

/* Entries in the order in which they were added; `index` is below the count. */
const catalog_route_t *catalog_get_route(const catalog_t *catalog,
					 size_t index);
const catalog_service_t *catalog_get_service(const catalog_t *catalog,
					     size_t index);
const catalog_customer_t *catalog_get_customer(const catalog_t *catalog,
					       size_t index);
/* RETURN VALUE: an API key, with the customer that was added with it. */
str_t catalog_get_key(const catalog_t *catalog, size_t index,
		      const catalog_customer_t **customer);
const catalog_limits_t *catalog_get_limits(const catalog_t *catalog);
bool catalog_requires_keys(const catalog_t *catalog);

/* The route of `host` with the longest prefix of `path`; NULL if none. */
const catalog_route_t *catalog_find_route(const catalog_t *catalog, str_t host,
					  str_t path);

/* The customer that owns the API key; NULL if none does. */
const catalog_customer_t *catalog_find_customer(const catalog_t *catalog,
						str_t key);
const catalog_service_t *catalog_find_service(const catalog_t *catalog,
					      str_t name);

/*
 * Picks a service of the route by weight; the same `hash` picks the same one.
 *
 * RETURN VALUE: the service's name; ptr NULL when the route has no service.
 */
str_t catalog_pick_service(const catalog_route_t *route, uint64_t hash);

bool catalog_allows_region(const catalog_regions_t *regions, str_t region);

#endif
