#ifndef REQUEST_ADMIT_H
#define REQUEST_ADMIT_H

#include "request/dialect.h"
#include "state/catalog.h"

/*
 * admit - whether the configuration lets a request through, and on what terms
 */
typedef enum admit_verdict {
	ADMIT_OK,
	ADMIT_NO_CATALOG, /* nothing is known yet; says nothing of the call */
	ADMIT_NO_ROUTE,
	ADMIT_NO_SERVICE, /* the route doesn't serve what the call asks for */
	ADMIT_NO_KEY,	  /* missing, unknown, or of another customer */
	ADMIT_FORBIDDEN	  /* the customer may not use the route */
} admit_verdict_t;

typedef struct admission {
	const catalog_route_t *route;
	const catalog_customer_t *customer; /* NULL for a public route */
	const catalog_service_t *service;   /* NULL when it isn't listed */
	str_t service_name;
	unsigned priority; /* 0 is the highest */
} admission_t;

/*
 * Looks the call up in the catalog. `draw` picks among the services of a route
 * that is split; a request keeps its draw.
 */
admit_verdict_t admit_check(const catalog_t *catalog, const call_t *call,
			    uint64_t draw, admission_t *admission);

/* True when an endpoint in `region` may get the request. */
bool admit_allows_region(const admission_t *admission, str_t region);

/* True when a request that has run may be run once more. */
bool admit_may_repeat(const admission_t *admission);

#endif
