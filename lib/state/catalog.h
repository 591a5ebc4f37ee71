#ifndef STATE_CATALOG_H
#define STATE_CATALOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/str.h"

/*
 * catalog - one version of the operators' configuration, ready for lookups
 *
 * A catalog is filled by a decoder through the catalog_add functions, sealed by
 * catalog_seal(), and immutable from then on. All strings that are passed in
 * are copied.
 */
typedef enum catalog_kind {
	CATALOG_REPEATABLE,   /* may run any number of times */
	CATALOG_AT_MOST_ONCE, /* may run once */
	CATALOG_STREAM	      /* events; runs once unless `resumable` */
} catalog_kind_t;

/* Regions in which something may be served; count 0: in all of them. */
typedef struct catalog_regions {
	const str_t *names;
	size_t count;
} catalog_regions_t;

typedef struct catalog_split {
	str_t service;
	unsigned weight;
} catalog_split_t;

typedef struct catalog_route {
	str_t name;
	str_t host;
	str_t prefix; /* of the path; ends with a slash */
	catalog_kind_t kind;
	bool resumable; /* streams: may go on at another endpoint */
	bool is_public; /* needs no key */
	bool affinity;	/* requests name the parts of their prompt */
	unsigned timeout_ms;
	unsigned target_ms;	  /* until the answer, or its first event */
	unsigned pause_target_ms; /* between events */
	unsigned priority;	  /* 0 is the highest */
	unsigned max_attempts;	  /* endpoints that may run one request */
	unsigned group;		  /* customers may be kept to some groups */
	/* Waiting for room: how long, how many, and how often against more
	 * urgent requests. */
	bool waits_to_end;	    /* else for a part of the target only */
	unsigned max_waiting;	    /* 0: no bound */
	unsigned floor_percent;	    /* share of the sends while it waits */
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
	double cold_per_s;	  /* requests that a cold endpoint bears */
	bool copies_parts;  /* engines copy read prompt parts from others */
	bool bounded;	    /* an endpoint takes no more than its slots */
	bool proves_warmth; /* endpoints are cold unless warmth.h knows
			     * better; each host has units of the limit */
} catalog_service_t;

typedef struct catalog_customer {
	str_t name;
	bool has_priority;
	unsigned priority; /* goes before the route's */
	catalog_regions_t regions;
	uint32_t groups;	  /* of routes, a bit each; 0: all */
	unsigned max_in_progress; /* requests at one host; 0: no bound */
	unsigned weight; /* of its turns among those that wait; 0: none */
} catalog_customer_t;

typedef struct catalog_limits {
	size_t head_bytes;
	size_t body_bytes;
	unsigned head_timeout_ms;
	unsigned idle_timeout_ms;
} catalog_limits_t;

typedef struct catalog catalog_t;

/* An empty catalog with one reference. */
catalog_t *catalog_create(int64_t version);
catalog_t *catalog_ref(catalog_t *catalog);
void catalog_unref(catalog_t *catalog);

void catalog_set_limits(catalog_t *catalog, const catalog_limits_t *limits);
void catalog_add_route(catalog_t *catalog, const catalog_route_t *route);
void catalog_add_service(catalog_t *catalog, const catalog_service_t *service);
void catalog_add_customer(catalog_t *catalog,
			  const catalog_customer_t *customer, const str_t *keys,
			  size_t key_count);

/* States that requests need keys even when there are no customers. */
void catalog_require_keys(catalog_t *catalog);
void catalog_seal(catalog_t *catalog);

int64_t catalog_version(const catalog_t *catalog);
size_t catalog_route_count(const catalog_t *catalog);
/* One more than the largest priority of a route. */
unsigned catalog_priority_levels(const catalog_t *catalog);
const catalog_limits_t *catalog_get_limits(const catalog_t *catalog);
bool catalog_requires_keys(const catalog_t *catalog);

/* The route of `host` with the longest prefix of `path`; NULL if none. */
const catalog_route_t *catalog_find_route(const catalog_t *catalog, str_t host,
					  str_t path);

/* The customer that holds the key; NULL if none does. */
const catalog_customer_t *catalog_find_customer(const catalog_t *catalog,
						str_t key);
const catalog_service_t *catalog_find_service(const catalog_t *catalog,
					      str_t name);

/*
 * The service for a request of this route: by weight, the same one for the
 * same `draw`. A view with ptr NULL when the route has no service.
 */
str_t catalog_pick_service(const catalog_route_t *route, uint64_t draw);

bool catalog_allows_region(const catalog_regions_t *regions, str_t region);

#endif
