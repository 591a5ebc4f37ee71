#ifndef REQUEST_ADMIT_H
#define REQUEST_ADMIT_H

#include "request/dialect.h"
#include "state/catalog.h"

/*
 * admit - whether the catalog permits a request, and with which route, service
 * and priority
 */
typedef enum admit_verdict {
	ADMIT_OK,
	ADMIT_NO_CATALOG, /* none is loaded yet; the request may be valid */
	ADMIT_NO_ROUTE,
	ADMIT_NO_SERVICE, /* the route lacks the requested service */
	ADMIT_NO_KEY,	  /* missing, unknown, or of another customer */
	ADMIT_FORBIDDEN	  /* the customer may not use the route */
} admit_verdict_t;

typedef struct admission {
	const catalog_route_t *route;
	const catalog_customer_t *customer; /* NULL for a public route */
	const catalog_service_t *service;   /* NULL when the catalog lacks it */
	str_t service_name;
	unsigned priority; /* 0 is the highest */
} admission_t;

/*
 * Looks the call up in the catalog. `hash` is the request's id_hash, which
 * selects a service of a traffic split and is the same for all its sends.
 */
admit_verdict_t admit_check(const catalog_t *catalog, const call_t *call,
			    uint64_t hash, admission_t *admission);

/* True when route and customer allow endpoints in `region`. */
bool admit_allows_region(const admission_t *admission, str_t region);

/* True when a request that an endpoint may have executed can be sent again:
 * its route is idempotent or its stream resumable. */
bool admit_may_retry(const admission_t *admission);

#endif
