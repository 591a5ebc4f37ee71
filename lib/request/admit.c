#include "request/admit.h"

/* Selects the service; empty when the route lacks the requested one. */
static str_t pick_service(const catalog_route_t *route, const call_t *call,
			  uint64_t hash)
{
	if (!call->service.ptr)
		return catalog_pick_service(route, hash);
	for (size_t i = 0; i < route->split_count; i++)
		if (str_equals(route->splits[i].service, call->service))
			return route->splits[i].service;
	return (str_t){NULL, 0};
}

static bool is_own_key(const catalog_customer_t *customer, const call_t *call)
{
	return !call->customer.ptr ||
	       str_equals(customer->name, call->customer);
}

static bool may_use(const catalog_customer_t *customer,
		    const catalog_route_t *route)
{
	return !customer->groups || (customer->groups >> route->group & 1);
}

static unsigned priority_of(const catalog_t *catalog,
			    const admission_t *admission)
{
	const catalog_customer_t *customer = admission->customer;

	/* Customers' priorities rank first; the route's priority orders
	 * requests of equal customers' priority. */
	if (!customer || !customer->has_priority)
		return admission->route->priority;
	return admission->route->priority +
	       customer->priority * catalog_priority_levels(catalog);
}

admit_verdict_t admit_check(const catalog_t *catalog, const call_t *call,
			    uint64_t hash, admission_t *admission)
{
	*admission = (admission_t){0};
	if (!catalog)
		return ADMIT_NO_CATALOG;
	admission->route = catalog_find_route(catalog, call->host, call->path);
	if (!admission->route)
		return ADMIT_NO_ROUTE;
	if (catalog_requires_keys(catalog) && call->key.ptr)
		admission->customer = catalog_find_customer(catalog, call->key);
	if (catalog_requires_keys(catalog) && !admission->customer &&
	    !admission->route->is_public)
		return ADMIT_NO_KEY;
	if (admission->customer && !is_own_key(admission->customer, call))
		return ADMIT_NO_KEY;
	if (admission->customer &&
	    !may_use(admission->customer, admission->route))
		return ADMIT_FORBIDDEN;
	admission->service_name = pick_service(admission->route, call, hash);
	if (call->service.ptr && !admission->service_name.ptr)
		return ADMIT_NO_SERVICE;
	admission->service =
		catalog_find_service(catalog, admission->service_name);
	admission->priority = priority_of(catalog, admission);
	return ADMIT_OK;
}

bool admit_allows_region(const admission_t *admission, str_t region)
{
	return catalog_allows_region(&admission->route->regions, region) &&
	       (!admission->customer ||
		catalog_allows_region(&admission->customer->regions, region));
}

bool admit_may_retry(const admission_t *admission)
{
	switch (admission->route->kind) {
	case CATALOG_IDEMPOTENT:
		return true;
	case CATALOG_STREAM:
		return admission->route->resumable;
	case CATALOG_AT_MOST_ONCE:
		break;
	}
	return false;
}
