#include "request/request_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <xxhash.h>

#include "base/metrics.h"
#include "base/plog.h"
#include "coordination/retryafter.h"
#include "request/answer.h"
#include "request/caller.h"
#include "request/channel.h"
#include "request/choose.h"
#include "request/customers.h"
#include "request/waiting.h"

/* Used when neither the caller nor the route says how long to wait. */
#define REQUEST_DEFAULT_MS 30000
/* Part of the target that a request may wait for an endpoint to have room. */
#define REQUEST_WAIT_PART 0.125
/* The same for an engine that reads too much; then it is sent all the same. */
#define REQUEST_SATURATED_WAIT_PART 0.7
static void on_end_timer(void *user);

int64_t request_now_ms(const request_t *request)
{
	return router_now_ms(request->router);
}

service_stats_t *request_stats(const request_t *request)
{
	return router_service(request->router, request->admission.service_name);
}

/* The route's timeout and the caller's patience, whichever ends first. */
static void set_end(request_t *request)
{
	int64_t ms = request->call.deadline_ms;

	if (ms < 0 || ms > (int64_t)request->admission.route->timeout_ms)
		ms = request->admission.route->timeout_ms;
	if (ms <= 0)
		ms = REQUEST_DEFAULT_MS;
	request->ends_ms = request->arrived_ms + ms;
	loop_timer_set(request->router->loop, &request->end_timer, ms,
		       on_end_timer, request);
}

static void give_id(request_t *request)
{
	router_t *router = request->router;

	snprintf(request->id, sizeof(request->id), "%016llx%016llx",
		 (unsigned long long)router_random(router),
		 (unsigned long long)router_random(router));
	request->call.id = str_from(request->id);
}

static int64_t retry_after(const request_t *request)
{
	bool is_absent = !request->router->catalog || request->lacks_endpoints;
	int64_t paused_ms = request->opens_ms - request_now_ms(request);

	if (paused_ms > 0)
		return retryafter_pause_ms(paused_ms,
					   router_random(request->router));
	return retryafter_ms(is_absent ? RETRYAFTER_ABSENT : RETRYAFTER_BUSY,
			     request->ends_ms - request_now_ms(request),
			     router_random(request->router));
}

/* The call itself is faulty: no host could serve it. */
static void refuse_call(request_t *request, unsigned status, const char *fault)
{
	metrics_add(METRIC_INVALID_INPUT, STR_LIT("callers"), 1);
	answer_failed(request, status, fault);
}

void request_start(router_t *router, caller_t *caller)
{
	request_t *request = calloc(1, sizeof(*request));

	if (!request)
		abort();
	request->router = router;
	request->caller = caller;
	request->head = &caller->http.head;
	request->body = buf_view(&caller->body);
	request->arrived_ms = router_now_ms(router);
	router->dialect->ops->read_call(router->dialect, request->head,
					request->body, &request->call);
	if (router->dialect->ops->names_requests && !request->call.id.len)
		give_id(request);
	/* Until the route's timeout is known. */
	request->ends_ms =
		request->arrived_ms + (request->call.deadline_ms >= 0 ?
					       request->call.deadline_ms :
					       REQUEST_DEFAULT_MS);
	request->draw = XXH64(request->call.id.ptr, request->call.id.len, 0);
	caller->request = request;
	router->request_count++;
	if (router->tracer)
		request->span = router->tracer->ops->begin_request(
			router->tracer, &request->call);
	if (request->call.is_health_check)
		answer_health(request, router_is_ready(router));
	else if (request->call.fault)
		refuse_call(request, request->call.fault_status,
			    request->call.fault);
	else if (router->leaving)
		answer_not_run(request, 503, "the host is leaving",
			       retry_after(request));
	else
		request_dispatch(request);
}

static void release(request_t *request)
{
	router_t *router = request->router;

	loop_timer_cancel(router->loop, &request->end_timer);
	loop_timer_cancel(router->loop, &request->progress_timer);
	waiting_remove(request);
	customers_leave(request);
	catalog_unref(request->catalog);
	router->held_bytes -= request->held_bytes;
	buf_release(&request->answer);
	events_release(&request->events);
	router->request_count--;
	request->ended = true;
	router_free_later(router, request);
}

void request_finish(request_t *request, outcome_t outcome, const char *reason)
{
	request_end_span(request, &request->send_span, outcome, reason);
	request_end_span(request, &request->span, outcome, reason);
	request_cancel_send(request);
	release(request);
}

void request_abandon(request_t *request)
{
	plog_write(PLOG_REQUEST_ABANDONED,
		   "id=%" STR_FMT " ms=%lld sends=%u endpoint=%s",
		   STR_ARG(request->call.id),
		   (long long)(request_now_ms(request) - request->arrived_ms),
		   request->sends,
		   request->endpoint ? request->endpoint->id : "-");
	metrics_inc(METRIC_ABANDONED);
	request_note_cancelled(request);
	request_finish(request, OUTCOME_UNKNOWN, "the caller left");
}

void request_conclude(request_t *request, const char *reason)
{
	if (request->state == REQUEST_ANSWERING)
		answer_break_off(request, reason);
	else if (!request->runs)
		answer_not_run(request, 503, reason, retry_after(request));
	else
		answer_failed(
			request,
			request_now_ms(request) >= request->ends_ms ? 504 : 502,
			reason);
}

static void on_end_timer(void *user)
{
	request_t *request = user;

	request_note_cancelled(request);
	request_cancel_send(request);
	request_conclude(request, "time is over");
}

/* Counts the request for its customer; false when it was answered. */
static bool enter(request_t *request)
{
	if (customers_enter(request)) {
		customers_queue(request);
		return true;
	}
	answer_not_run(request, 429, "the customer has too many in progress",
		       retry_after(request));
	return false;
}

static void refuse_key(request_t *request)
{
	metrics_add(METRIC_UNAUTHORIZED, STR_LIT("callers"), 1);
	answer_failed(request, 401, "unknown key");
}

/* Looks the request up in the newest catalog; false when it was answered. */
static bool admit(request_t *request)
{
	router_t *router = request->router;
	bool first = !request->catalog;
	admit_verdict_t verdict;

	if (router->catalog && router->catalog != request->catalog) {
		catalog_unref(request->catalog);
		request->catalog = catalog_ref(router->catalog);
	}
	verdict = admit_check(request->catalog, &request->call, request->draw,
			      &request->admission);
	if (verdict == ADMIT_OK) {
		if (first) {
			set_end(request);
			repeats_on_request(&request_stats(request)->repeats,
					   request_now_ms(request));
		}
		return !first || enter(request);
	}
	if (request->state == REQUEST_ANSWERING)
		answer_break_off(request, "no longer allowed");
	else if (request->runs)
		answer_failed(request, 502, "no longer allowed");
	else if (verdict == ADMIT_NO_CATALOG)
		answer_not_run(request, 503, "no configuration yet",
			       retry_after(request));
	else if (verdict == ADMIT_NO_ROUTE)
		answer_failed(request, 404, "no such route");
	else if (verdict == ADMIT_NO_SERVICE)
		answer_failed(request, 404, "no such service");
	else if (verdict == ADMIT_FORBIDDEN)
		answer_failed(request, 403, "the customer may not use this");
	else
		refuse_key(request);
	return false;
}

/* True while the request may still wait for this part of its target, until
 * `until_ms` at least; a stream that broke off waits from its last event on. */
static bool may_wait(const request_t *request, double part, int64_t until_ms)
{
	int64_t since_ms = request->state == REQUEST_ANSWERING ?
				   request->progress_ms :
				   request->arrived_ms;

	return (double)(until_ms - since_ms) <
	       part * request->admission.route->target_ms;
}

/* Lets a request wait that may do so until its end, unless others fill the
 * queue or it would wait too long; then it had better return later. */
static void queue_up(request_t *request)
{
	int64_t paused_ms = request->opens_ms - request_now_ms(request);
	int64_t expected_ms = waiting_expected_ms(request);
	int64_t left_ms = request->ends_ms - request_now_ms(request);
	int64_t least_ms = retry_after(request);
	bool is_full = waiting_is_full(request);

	if (expected_ms < paused_ms)
		expected_ms = paused_ms;
	if (request->was_queued || request->runs ||
	    (!is_full && expected_ms <= left_ms)) {
		request->was_queued = true;
		waiting_add(request, true);
		return;
	}
	if (expected_ms < least_ms)
		expected_ms = least_ms;
	answer_not_run(request, 503,
		       is_full ? "too many requests of the class wait" :
				 "the expected wait is too long",
		       expected_ms);
}

/* True when the request waits or was answered instead of being sent. */
static bool hold(request_t *request, choose_result_t result,
		 const choice_t *choice)
{
	int64_t now_ms = request_now_ms(request);
	int64_t opens_ms =
		choice->opens_ms > now_ms ? choice->opens_ms : now_ms;

	if (result == CHOOSE_LATER &&
	    request->admission.route->waits_until_deadline)
		queue_up(request);
	else if (result == CHOOSE_LATER &&
		 may_wait(request, REQUEST_WAIT_PART, opens_ms))
		waiting_add(request, true);
	else if (result == CHOOSE_OK && choose_is_saturated(request, choice) &&
		 may_wait(request, REQUEST_SATURATED_WAIT_PART, now_ms))
		waiting_add(request, false);
	else
		return false;
	return true;
}

/* Requests that wait for the same room go first, if they are more urgent. */
static bool is_behind_others(const request_t *request)
{
	const catalog_service_t *service = request->admission.service;

	return service && service->limited_to_slots && !request->is_due &&
	       request->state != REQUEST_ANSWERING && waiting_blocks(request);
}

/* A request that waited long had better not take an endpoint's time for an
 * answer that can't come any more. */
static bool has_time(const request_t *request, const choice_t *choice)
{
	return request->state == REQUEST_ANSWERING ||
	       (double)(request->ends_ms - request_now_ms(request)) >
		       choice->expected_ms;
}

void request_dispatch(request_t *request)
{
	choose_result_t result = CHOOSE_LATER;
	choice_t choice = {.endpoint = NULL};

	if (!admit(request))
		return;
	if (!is_behind_others(request))
		result = choose_endpoint(request, &choice);
	request->lacks_endpoints =
		result == CHOOSE_NONE && !request->tried_count;
	request->opens_ms = result == CHOOSE_LATER ? choice.opens_ms : 0;
	if (hold(request, result, &choice))
		return;
	if (result != CHOOSE_OK)
		request_conclude(request, "no endpoint may take the request");
	else if (request->was_queued && !has_time(request, &choice))
		request_conclude(request, "too little time is left");
	else if (request->sends &&
		 !repeats_take(&request_stats(request)->repeats,
			       request_now_ms(request)))
		request_conclude(request, "no further send is allowed");
	else
		request_send_to(request, &choice);
}
