#include "state/catalogcheck.h"

#include <stdarg.h>
#include <stdio.h>

#define REASON_BYTES 256

typedef struct review {
	const catalog_t *catalog;
	buf_t *out;
	catalogcheck_result_t *result;
} review_t;

static void add_line(review_t *review, const char *severity, const char *kind,
		     str_t name, const char *format, va_list values)
{
	char reason[REASON_BYTES];

	vsnprintf(reason, sizeof(reason), format, values);
	buf_printf(review->out, "%s: %s %" STR_FMT ": %s\n", severity, kind,
		   STR_ARG(name), reason);
}

__attribute__((format(printf, 4, 5))) static void add_error(
	review_t *review, const char *kind, str_t name, const char *format, ...)
{
	va_list values;

	review->result->errors++;
	va_start(values, format);
	add_line(review, "error", kind, name, format, values);
	va_end(values);
}

__attribute__((format(printf, 4, 5))) static void add_warning(
	review_t *review, const char *kind, str_t name, const char *format, ...)
{
	va_list values;

	review->result->warnings++;
	va_start(values, format);
	add_line(review, "warning", kind, name, format, values);
	va_end(values);
}

/* Looks the route up by its own prefix, as for a request. */
static void check_match(review_t *review, const catalog_route_t *route)
{
	str_t prefix = route->prefix;
	const catalog_route_t *found;

	if (!prefix.len || prefix.ptr[0] != '/' ||
	    prefix.ptr[prefix.len - 1] != '/') {
		add_error(review, "route", route->name,
			  "never matches: its prefix does not begin and end "
			  "with a slash");
		return;
	}
	found = catalog_find_route(review->catalog, route->host, prefix);
	if (found != route)
		add_error(review, "route", route->name,
			  "never matches: route %" STR_FMT
			  " has the same host and prefix",
			  STR_ARG(found->name));
}

static void check_splits(review_t *review, const catalog_route_t *route)
{
	uint64_t total = 0;

	if (!route->split_count)
		add_error(review, "route", route->name, "names no service");
	for (size_t i = 0; i < route->split_count; i++)
		total += route->splits[i].weight;
	for (size_t i = 0; i < route->split_count; i++) {
		const catalog_split_t *split = &route->splits[i];

		if (!catalog_find_service(review->catalog, split->service))
			add_error(review, "route", route->name,
				  "service %" STR_FMT " does not exist",
				  STR_ARG(split->service));
		if (!split->weight && total)
			add_warning(review, "route", route->name,
				    "service %" STR_FMT
				    " gets no request: its weight is 0",
				    STR_ARG(split->service));
	}
	if (route->split_count && !total)
		add_warning(review, "route", route->name,
			    "all weights are 0: service %" STR_FMT
			    " gets every request",
			    STR_ARG(route->splits[0].service));
}

static void check_times(review_t *review, const catalog_route_t *route)
{
	bool may_repeat = route->kind == CATALOG_IDEMPOTENT ||
			  (route->kind == CATALOG_STREAM && route->resumable);

	if (!route->timeout_ms)
		add_error(review, "route", route->name, "its timeout is 0");
	else if (route->target_ms > route->timeout_ms)
		add_warning(review, "route", route->name,
			    "target of %u ms is above the timeout of %u ms",
			    route->target_ms, route->timeout_ms);
	if (route->timeout_ms && route->event_gap_target_ms > route->timeout_ms)
		add_warning(review, "route", route->name,
			    "allowed pause of %u ms is above the timeout of "
			    "%u ms",
			    route->event_gap_target_ms, route->timeout_ms);
	if (!route->max_attempts)
		add_warning(review, "route", route->name,
			    "its number of attempts is 0");
	if (route->max_attempts > 1 && !may_repeat)
		add_warning(review, "route", route->name,
			    "%u attempts have no effect: its requests may run "
			    "once",
			    route->max_attempts);
}

static bool have_common_region(const catalog_regions_t *a,
			       const catalog_regions_t *b)
{
	if (!a->count || !b->count)
		return true;
	for (size_t i = 0; i < a->count; i++)
		if (catalog_allows_region(b, a->names[i]))
			return true;
	return false;
}

static void check_customer(review_t *review, const catalog_customer_t *customer)
{
	for (size_t i = 0; i < catalog_route_count(review->catalog); i++) {
		const catalog_route_t *route =
			catalog_get_route(review->catalog, i);

		if (!route->is_public &&
		    !have_common_region(&customer->regions, &route->regions))
			add_warning(review, "customer", customer->name,
				    "can't use route %" STR_FMT
				    ": they have no region in common",
				    STR_ARG(route->name));
	}
}

/* A key belongs to the customer whom a request with it gets. Keys are secret
 * and stay out of the report. */
static void check_keys(review_t *review)
{
	for (size_t i = 0; i < catalog_key_count(review->catalog); i++) {
		const catalog_customer_t *customer, *found;
		str_t key = catalog_get_key(review->catalog, i, &customer);

		found = catalog_find_customer(review->catalog, key);
		if (found != customer)
			add_error(review, "customer", customer->name,
				  "a key of it belongs to customer %" STR_FMT,
				  STR_ARG(found->name));
	}
}

static bool is_named_by_route(const catalog_t *catalog, str_t service)
{
	for (size_t i = 0; i < catalog_route_count(catalog); i++) {
		const catalog_route_t *route = catalog_get_route(catalog, i);

		for (size_t j = 0; j < route->split_count; j++)
			if (str_equals(route->splits[j].service, service))
				return true;
	}
	return false;
}

static void check_service(review_t *review, const catalog_service_t *service)
{
	const catalog_t *catalog = review->catalog;

	if (catalog_find_service(catalog, service->name) != service)
		add_error(review, "service", service->name,
			  "has no effect: there is one of the same name");
	if (!is_named_by_route(catalog, service->name))
		add_warning(review, "service", service->name,
			    "no route names it");
	if (service->cold_ms && service->cold_per_s <= 0.0)
		add_warning(review, "service", service->name,
			    "is cold for %lld ms with a limit of 0 a second",
			    (long long)service->cold_ms);
	if (service->slots > service->max_connections)
		add_warning(review, "service", service->name,
			    "%u slots are above %u connections", service->slots,
			    service->max_connections);
}

void catalogcheck_review(const catalog_t *catalog, buf_t *out,
			 catalogcheck_result_t *result)
{
	review_t review = {catalog, out, result};
	const catalog_limits_t *limits = catalog_get_limits(catalog);

	for (size_t i = 0; i < catalog_route_count(catalog); i++) {
		const catalog_route_t *route = catalog_get_route(catalog, i);

		check_match(&review, route);
		check_splits(&review, route);
		check_times(&review, route);
	}
	for (size_t i = 0; i < catalog_service_count(catalog); i++)
		check_service(&review, catalog_get_service(catalog, i));
	for (size_t i = 0; i < catalog_customer_count(catalog); i++)
		check_customer(&review, catalog_get_customer(catalog, i));
	check_keys(&review);
	if (limits->head_timeout_ms > limits->idle_timeout_ms)
		add_warning(&review, "limits", STR_LIT("head"),
			    "timeout of %u ms is above the idle timeout of "
			    "%u ms",
			    limits->head_timeout_ms, limits->idle_timeout_ms);
}
