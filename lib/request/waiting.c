#include "request/waiting.h"

#define WAITING_RETRY_MS 20

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
	request->in_waiting = false;
}

static void on_retry(void *user)
{
	router_t *router = user;
	request_t *list = router->waiting;

	/* Those that must wait on add themselves to a new list, in order. */
	router->waiting = NULL;
	while (list) {
		request_t *request = list;

		list = request->next;
		if (list)
			list->prev = NULL;
		request->prev = request->next = NULL;
		request->in_waiting = false;
		request_dispatch(request);
	}
}

static bool goes_before(const request_t *a, const request_t *b)
{
	if (a->admission.priority != b->admission.priority)
		return a->admission.priority < b->admission.priority;
	return a->arrived_ms < b->arrived_ms;
}

void waiting_add(request_t *request)
{
	router_t *router = request->router;
	request_t *before = NULL;
	request_t *at = router->waiting;

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
	request->in_waiting = true;
	if (!router->wait_timer.due_ms)
		loop_timer_set(router->loop, &router->wait_timer,
			       WAITING_RETRY_MS, on_retry, router);
}

void waiting_remove(request_t *request)
{
	if (request->in_waiting)
		unlink_request(request);
}
