#include "request/waiting.h"

#include <xxhash.h>

#include "request/customers.h"

#define WAITING_RETRY_MS 20

uint64_t request_class_id(const request_t *request)
{
	str_t name = request->admission.route->name;

	return XXH64(name.ptr, name.len, 0);
}

/* The class's entry when it has a floor or a queue limit; otherwise NULL. */
static floors_class_t *find_class(const request_t *request)
{
	const catalog_route_t *route = request->admission.route;

	if (!route->floor_percent && !route->max_waiting)
		return NULL;
	return floors_get(&request->router->floors, request_class_id(request),
			  route->floor_percent);
}

static void count_waiting(const request_t *request, int delta)
{
	floors_class_t *class = find_class(request);

	if (class)
		class->waiting += (unsigned)delta;
}

/* Removes the request from the list and from its class's count. */
static void unlink_request(request_t *request)
{
	router_t *router = request->router;

	if (request->prev)
		request->prev->next = request->next;
	else
		router->waiting = request->next;
	if (request->next)
		request->next->prev = request->prev;
	request->prev = request->next = NULL;
	request->in_waiting_list = false;
	count_waiting(request, -1);
}

static request_t *find_due(const router_t *router)
{
	const floors_class_t *due = floors_due(&router->floors);
	request_t *at = router->waiting;

	while (due && at &&
	       (!at->waits_for_capacity || request_class_id(at) != due->id))
		at = at->next;
	return due ? at : NULL;
}

static void redispatch(request_t *request)
{
	unlink_request(request);
	request_dispatch(request);
}

static void on_retry(void *user)
{
	router_t *router = user;
	request_t *due = find_due(router);
	request_t *list;

	if (due) {
		due->floor_is_due = true;
		redispatch(due);
	}
	/* Requests that have to keep waiting add themselves to the new list. */
	list = router->waiting;
	router->waiting = NULL;
	while (list) {
		request_t *request = list;

		list = request->next;
		if (list)
			list->prev = NULL;
		request->prev = request->next = NULL;
		request->in_waiting_list = false;
		count_waiting(request, -1);
		request_dispatch(request);
	}
}

static bool is_over_share(const request_t *request)
{
	return request->share_excess > 0.0;
}

/* Arrival, and later the further the customer is over its share. */
static int64_t queued_ms(const request_t *request)
{
	return request->arrived_ms + custshare_delay_ms(request->share_excess);
}

static bool goes_before(const request_t *a, const request_t *b)
{
	if (a->admission.priority != b->admission.priority)
		return a->admission.priority < b->admission.priority;
	if (is_over_share(a) != is_over_share(b))
		return is_over_share(b);
	if (is_over_share(a))
		return queued_ms(a) < queued_ms(b);
	if (a->fair_order != b->fair_order)
		return a->fair_order < b->fair_order;
	return a->arrived_ms < b->arrived_ms;
}

void waiting_add(request_t *request, bool for_capacity)
{
	router_t *router = request->router;
	request_t *before = NULL;
	request_t *at = router->waiting;

	customers_on_short(request);
	request->waits_for_capacity = for_capacity;
	while (at && !goes_before(request, at)) {
		before = at;
		at = at->next;
	}
	request->prev = before;
	request->next = at;
	if (before)
		before->next = request;
	else
		router->waiting = request;
	if (at)
		at->prev = request;
	request->in_waiting_list = true;
	count_waiting(request, 1);
	if (!router->wait_timer.due_ms)
		loop_timer_set(router->loop, &router->wait_timer,
			       WAITING_RETRY_MS, on_retry, router);
}

void waiting_remove(request_t *request)
{
	if (request->in_waiting_list)
		unlink_request(request);
}

static bool is_same_service(const request_t *a, const request_t *b)
{
	return str_equals(a->admission.service_name, b->admission.service_name);
}

bool waiting_is_blocked(const request_t *request)
{
	for (const request_t *at = request->router->waiting;
	     at && goes_before(at, request); at = at->next)
		if (at->waits_for_capacity && is_same_service(at, request))
			return true;
	return false;
}

bool waiting_yields(const request_t *request)
{
	const request_t *at = request->router->waiting;

	if (!is_over_share(request))
		return false;
	for (; at && at->admission.priority <= request->admission.priority;
	     at = at->next)
		if (!is_over_share(at) && is_same_service(at, request))
			return true;
	return false;
}

request_t *waiting_find_displaceable(const request_t *request)
{
	request_t *last = NULL;

	if (is_over_share(request))
		return NULL;
	for (request_t *at = request->router->waiting; at; at = at->next)
		if (is_over_share(at) &&
		    request_class_id(at) == request_class_id(request) &&
		    at->state == REQUEST_WAITING && !at->possible_runs)
			last = at;
	return last;
}

bool waiting_is_full(const request_t *request)
{
	const floors_class_t *class = find_class(request);
	unsigned max = request->admission.route->max_waiting;

	return class && max && class->waiting >= max;
}

/* Number of requests that the service's ready endpoints can run at once. */
static unsigned count_slots(const request_t *request)
{
	const fleet_t *fleet = request->router->fleet;
	unsigned slots = 0;

	for (size_t i = 0; i < fleet_count(fleet); i++) {
		const endpoint_t *endpoint = fleet_at(fleet, i);

		if (endpoint->state == ENDPOINT_READY &&
		    str_equals(str_from(endpoint->service),
			       request->admission.service_name))
			slots += endpoint->slots;
	}
	return slots;
}

int64_t waiting_expected_ms(const request_t *request)
{
	router_t *router = request->router;
	double busy_ms =
		router_service_stats(router, request->admission.service_name)
			->busy_ms;
	unsigned slots = count_slots(request);
	unsigned ahead = 0;

	for (const request_t *at = router->waiting; at; at = at->next)
		if (is_same_service(at, request) && goes_before(at, request))
			ahead++;
	/* All hosts compete for the same slots, so assume queues of equal
	 * length. */
	return (int64_t)(busy_ms * ahead * router->all_hosts /
			 (slots ? slots : 1));
}

void waiting_on_capacity(router_t *router)
{
	for (const request_t *at = router->waiting; at; at = at->next)
		if (at->waits_for_capacity) {
			loop_timer_set(router->loop, &router->wait_timer, 0,
				       on_retry, router);
			return;
		}
}

void waiting_on_send(const request_t *request)
{
	floors_on_send(&request->router->floors, request_class_id(request));
	customers_on_send(request);
}
