#include "request/customers.h"

#include <stdlib.h>

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

void customers_on_send(const request_t *request)
{
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
