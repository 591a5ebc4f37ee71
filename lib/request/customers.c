#include "request/customers.h"

#include <stdlib.h>
#include <xxhash.h>

#include "base/metrics.h"
#include "base/plog.h"

/* A generated token takes an engine longer than one of the prompt. */
#define OUTPUT_TOKEN_WEIGHT 4.0

/* A customer with requests in progress. */
typedef struct customer_load {
	char *name;
	unsigned in_progress;
	double next_virtual_start; /* lower bound for its next request */
	struct customer_load *next;
} customer_load_t;

static customer_load_t **find(router_t *router, str_t name)
{
	customer_load_t **at = &router->customers;

	while (*at && !str_equals(str_from((*at)->name), name))
		at = &(*at)->next;
	return at;
}

static customer_load_t *get(router_t *router, str_t name)
{
	customer_load_t **at = find(router, name);
	customer_load_t *load = *at;

	if (load)
		return load;
	load = calloc(1, sizeof(*load));
	if (!load || !(load->name = str_dup(name)))
		abort();
	*at = load;
	return load;
}

bool customers_add_request(request_t *request)
{
	const catalog_customer_t *customer = request->admission.customer;
	customer_load_t *load;

	if (!customer || (!customer->max_in_progress && !customer->weight))
		return true;
	load = get(request->router, customer->name);
	if (customer->max_in_progress &&
	    load->in_progress >= customer->max_in_progress)
		return false;
	load->in_progress++;
	request->customer_load = load;
	return true;
}

void customers_remove_request(request_t *request)
{
	customer_load_t *load = request->customer_load;
	customer_load_t **at;

	request->customer_load = NULL;
	if (!load || --load->in_progress)
		return;
	at = find(request->router, str_from(load->name));
	*at = load->next;
	free(load->name);
	free(load);
}

void customers_set_queue_order(request_t *request)
{
	const catalog_customer_t *customer = request->admission.customer;
	customer_load_t *load = request->customer_load;
	double virtual_now = request->router->virtual_time;

	if (!load || !customer || !customer->weight)
		return;
	request->fair_order = load->next_virtual_start > virtual_now ?
				      load->next_virtual_start :
				      virtual_now;
	load->next_virtual_start = request->fair_order + 1.0 / customer->weight;
}

static uint32_t hash_name(str_t name)
{
	return (uint32_t)XXH64(name.ptr, name.len, 0);
}

static uint32_t service_id(const request_t *request)
{
	return hash_name(request->admission.service_name);
}

static uint32_t customer_id(const request_t *request)
{
	return hash_name(request->admission.customer->name);
}

/* What the request uses of its service, at most. */
static double get_amount(const request_t *request)
{
	const catalog_route_t *route = request->admission.route;
	uint64_t output_tokens = request->call.output_tokens;

	if (route->kind != CATALOG_STREAM)
		return 1.0;
	if (route->max_output_tokens &&
	    (!output_tokens || output_tokens > route->max_output_tokens))
		output_tokens = route->max_output_tokens;
	return 1.0 + (double)request->call.prompt_tokens +
	       OUTPUT_TOKEN_WEIGHT * (double)output_tokens;
}

void customers_on_demand(const request_t *request)
{
	const catalog_customer_t *customer = request->admission.customer;

	if (customer)
		custshare_on_demand(request->router->custshare,
				    service_id(request), customer_id(request),
				    customer->weight, get_amount(request),
				    router_now_ms(request->router));
}

void customers_on_short(const request_t *request)
{
	if (request->admission.customer)
		custshare_on_short(request->router->custshare,
				   service_id(request),
				   router_now_ms(request->router));
}

/* Logs a customer that has come to be over its share. */
static void note_over_share(const request_t *request)
{
	str_t name = request->admission.customer->name;

	metrics_add(METRIC_OVER_SHARE, name, 1);
	if (custshare_note_over(request->router->custshare, service_id(request),
				customer_id(request),
				router_now_ms(request->router)))
		plog_write(PLOG_CUSTOMER_OVER_SHARE,
			   "customer=%" STR_FMT " service=%" STR_FMT
			   " excess=%.1f",
			   STR_ARG(name),
			   STR_ARG(request->admission.service_name),
			   request->share_excess);
}

void customers_update_excess(request_t *request)
{
	bool was_over = request->share_excess > 0.0;

	if (!request->admission.customer)
		return;
	request->share_excess = custshare_excess(
		request->router->custshare, service_id(request),
		customer_id(request), router_now_ms(request->router));
	if (request->share_excess > 0.0 && !was_over)
		note_over_share(request);
}

void customers_on_send(const request_t *request)
{
	if (request->admission.customer)
		custshare_on_use(request->router->custshare,
				 service_id(request), customer_id(request),
				 get_amount(request),
				 router_now_ms(request->router));
	if (request->fair_order > request->router->virtual_time)
		request->router->virtual_time = request->fair_order;
}

void customers_free(router_t *router)
{
	while (router->customers) {
		customer_load_t *load = router->customers;

		router->customers = load->next;
		free(load->name);
		free(load);
	}
}
