#include "request/admit.h"

admit_verdict_t admit_check(const catalog_t *catalog, const call_t *call,
			    uint64_t draw, admission_t *admission)
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
	admission->service_name = catalog_pick_service(admission->route, draw);
	admission->service =
		catalog_find_service(catalog, admission->service_name);
	admission->priority = admission->route->priority;
	/* The customer's priority goes first, the route's orders its requests.
	 */
	if (admission->customer && admission->customer->has_priority)
		admission->priority += admission->customer->priority *
				       catalog_priority_levels(catalog);
	return ADMIT_OK;
}

bool admit_region(const admission_t *admission, str_t region)
{
	return catalog_allows_region(&admission->route->regions, region) &&
	       (!admission->customer ||
		catalog_allows_region(&admission->customer->regions, region));
}

bool admit_may_repeat(const admission_t *admission)
{
	switch (admission->route->kind) {
	case CATALOG_REPEATABLE:
		return true;
	case CATALOG_STREAM:
		return admission->route->resumable;
	case CATALOG_AT_MOST_ONCE:
		break;
	}
	return false;
}
