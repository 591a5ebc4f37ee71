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
#include "request/crashes.h"
#include "request/customers.h"
#include "request/waiting.h"

/* Used when neither the caller nor the route states a timeout. */
#define REQUEST_DEFAULT_TIMEOUT_MS 30000
/* Fraction of the route's target that a request waits for a free endpoint. */
#define REQUEST_WAIT_FRACTION 0.125
/* The same for an engine saturated with prefill; the request is sent to it when
 * this time is over. */
#define REQUEST_SATURATED_WAIT_FRACTION 0.7
#define OVER_SHARE_REASON "others use less than their share of the service"
#define BLOCKED_REASON "the request, or a part of its prompt, crashes endpoints"

#define RATE_LIMITED_REASON "the endpoints accept no more requests a second"

static void on_deadline(void *user);

int64_t request_now_ms(const request_t *request)
{
	return router_now_ms(request->router);
}

service_stats_t *request_stats(const request_t *request)
{
	return router_service_stats(request->router,
				    request->admission.service_name);
}

/* Sets the deadline by the timeout of the route or of the caller, whichever is
 * shorter. */
static void set_deadline(request_t *request)
{
	int64_t ms = request->call.timeout_ms;

	if (ms < 0 || ms > (int64_t)request->admission.route->timeout_ms)
		ms = request->admission.route->timeout_ms;
	if (ms <= 0)
		ms = REQUEST_DEFAULT_TIMEOUT_MS;
	request->deadline_ms = request->arrived_ms + ms;
	loop_timer_set(request->router->loop, &request->deadline_timer, ms,
		       on_deadline, request);
}

static void assign_id(request_t *request)
{
	router_t *router = request->router;

	snprintf(request->id, sizeof(request->id), "%016llx%016llx",
		 (unsigned long long)router_random(router),
		 (unsigned long long)router_random(router));
	request->call.id = str_from(request->id);
}

static int64_t retry_after(const request_t *request)
{
	bool is_absent =
		!request->router->catalog || request->no_eligible_endpoint;
	int64_t pause_left_ms =
		request->paused_until_ms - request_now_ms(request);

	if (request->rate_limited)
		return retryafter_limited_ms(pause_left_ms,
					     request->deadline_ms -
						     request_now_ms(request),
					     !request->admission.priority,
					     router_random(request->router));
	if (pause_left_ms > 0)
		return retryafter_pause_ms(pause_left_ms,
					   router_random(request->router));
	if (request->share_excess > 0.0 && !is_absent)
		return retryafter_over_share_ms(
			custshare_recovery_ms(request->share_excess),
			router_random(request->router));
	return retryafter_ms(is_absent ? RETRYAFTER_ABSENT : RETRYAFTER_BUSY,
			     request->deadline_ms - request_now_ms(request),
			     router_random(request->router));
}

/* Answers an invalid request, which no host could serve. */
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
	if (router->dialect->ops->assigns_ids && !request->call.id.len)
		assign_id(request);
	/* Holds until admit() knows the route's timeout. */
	request->deadline_ms =
		request->arrived_ms + (request->call.timeout_ms >= 0 ?
					       request->call.timeout_ms :
					       REQUEST_DEFAULT_TIMEOUT_MS);
	request->id_hash = XXH64(request->call.id.ptr, request->call.id.len, 0);
	crashes_read_inputs(request);
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

static void destroy(request_t *request)
{
	router_t *router = request->router;

	loop_timer_cancel(router->loop, &request->deadline_timer);
	loop_timer_cancel(router->loop, &request->progress_timer);
	waiting_remove(request);
	customers_remove_request(request);
	catalog_unref(request->catalog);
	router->held_response_bytes -= request->buffered_bytes;
	buf_release(&request->answer);
	events_release(&request->events);
	router->request_count--;
	request->ended = true;
	router_defer_free(router, request);
}

void request_finish(request_t *request, outcome_t outcome, const char *reason)
{
	request_end_span(request, &request->send_span, outcome, reason);
	request_end_span(request, &request->span, outcome, reason);
	request_cancel_send(request);
	destroy(request);
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

void request_fail(request_t *request, const char *reason)
{
	if (request->state == REQUEST_ANSWERING)
		answer_abort(request, reason);
	else if (!request->possible_runs)
		answer_not_run(request, 503, reason, retry_after(request));
	else
		answer_failed(request,
			      request_now_ms(request) >= request->deadline_ms ?
				      504 :
				      502,
			      reason);
}

static void on_deadline(void *user)
{
	request_t *request = user;

	request_note_cancelled(request);
	request_cancel_send(request);
	request_fail(request, "time is over");
}

/* RETURN VALUE: false when the customer is at its limit; the request was
 * answered. */
static bool admit_customer(request_t *request)
{
	if (customers_add_request(request)) {
		customers_set_queue_order(request);
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

/*
 * Checks the request against the current catalog.
 *
 * RETURN VALUE: false when it isn't admitted; it was answered.
 */
static bool admit(request_t *request)
{
	router_t *router = request->router;
	bool first = !request->catalog;
	admit_verdict_t verdict;

	if (router->catalog && router->catalog != request->catalog) {
		catalog_unref(request->catalog);
		request->catalog = catalog_ref(router->catalog);
	}
	verdict = admit_check(request->catalog, &request->call,
			      request->id_hash, &request->admission);
	if (verdict == ADMIT_OK) {
		if (first) {
			set_deadline(request);
			retrybudget_on_request(
				&request_stats(request)->retry_budget,
				request_now_ms(request));
			customers_on_demand(request);
		}
		return !first || admit_customer(request);
	}
	if (request->state == REQUEST_ANSWERING)
		answer_abort(request, "no longer allowed");
	else if (request->possible_runs)
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

/* True when waiting until `until_ms` stays within `fraction` of the route's
 * target. The time of an interrupted stream counts from its last event. */
static bool may_wait(const request_t *request, double fraction,
		     int64_t until_ms)
{
	int64_t since_ms = request->state == REQUEST_ANSWERING ?
				   request->last_progress_ms :
				   request->arrived_ms;

	return (double)(until_ms - since_ms) <
	       fraction * request->admission.route->target_ms;
}

/* Refuses a waiting request of a customer over its share so that this one can
 * take its place. RETURN VALUE: false when there is none. */
static bool displace_waiting(const request_t *request)
{
	request_t *displaced = waiting_find_displaceable(request);

	if (!displaced)
		return false;
	answer_not_run(displaced, 503, OVER_SHARE_REASON,
		       retry_after(displaced));
	return true;
}

/* Queues a request that may wait until its deadline. When the queue is full or
 * the expected wait is too long, answers 503 with a Retry-After instead. */
static void queue_request(request_t *request)
{
	int64_t pause_left_ms =
		request->paused_until_ms - request_now_ms(request);
	int64_t expected_ms = waiting_expected_ms(request);
	int64_t left_ms = request->deadline_ms - request_now_ms(request);
	int64_t min_ms = retry_after(request);
	bool is_full = waiting_is_full(request);

	if (expected_ms < pause_left_ms)
		expected_ms = pause_left_ms;
	if (is_full && !request->was_queued && !request->possible_runs &&
	    expected_ms <= left_ms && displace_waiting(request))
		is_full = false;
	if (request->was_queued || request->possible_runs ||
	    (!is_full && expected_ms <= left_ms)) {
		request->was_queued = true;
		waiting_add(request, true);
		return;
	}
	if (expected_ms < min_ms)
		expected_ms = min_ms;
	answer_not_run(request, 503,
		       is_full ? "too many requests of the class wait" :
				 "the expected wait is too long",
		       expected_ms);
}

/* True when the endpoint has no time for the request now, or others wait for it
 * whose customers are within their share. */
static bool should_wait(const request_t *request, const choice_t *choice)
{
	return choose_is_saturated(request, choice) ||
	       (request->share_excess > 0.0 && !request->floor_is_due &&
		request->state != REQUEST_ANSWERING && waiting_yields(request));
}

/* RETURN VALUE: true when the request was queued or answered, false when it is
 * to be sent or failed now. */
static bool wait_or_refuse(request_t *request, choose_result_t result,
			   const choice_t *choice)
{
	int64_t now_ms = request_now_ms(request);
	int64_t until_ms = choice->paused_until_ms > now_ms ?
				   choice->paused_until_ms :
				   now_ms;

	if (result == CHOOSE_LATER &&
	    request->admission.route->waits_until_deadline)
		queue_request(request);
	else if (result == CHOOSE_LATER &&
		 may_wait(request, REQUEST_WAIT_FRACTION, until_ms))
		waiting_add(request, true);
	else if (result == CHOOSE_OK && should_wait(request, choice) &&
		 may_wait(request, REQUEST_SATURATED_WAIT_FRACTION, now_ms))
		waiting_add(request, false);
	else
		return false;
	return true;
}

/* True when a more urgent request waits for capacity of the same service. */
static bool has_more_urgent_waiting(const request_t *request)
{
	const catalog_service_t *service = request->admission.service;

	return service && service->limited_to_slots && !request->floor_is_due &&
	       request->state != REQUEST_ANSWERING &&
	       waiting_is_blocked(request);
}

/* False when the response is expected after the deadline: running the request
 * would waste the endpoint's time. */
static bool has_time(const request_t *request, const choice_t *choice)
{
	return request->state == REQUEST_ANSWERING ||
	       (double)(request->deadline_ms - request_now_ms(request)) >
		       choice->expected_ms;
}

/* RETURN VALUE: true when the request has an input that crashes endpoints; it
 * was answered. */
static bool refuse_blocked(request_t *request)
{
	const crash_block_t *block = crashes_find_block(request);

	if (!block)
		return false;
	metrics_inc(METRIC_BLOCKED);
	if (request->state == REQUEST_ANSWERING || request->possible_runs)
		request_fail(request, BLOCKED_REASON);
	else
		answer_blocked(request, BLOCKED_REASON,
			       block->until_ms - request_now_ms(request));
	return true;
}

/*
 * True when the request may still run when the stopping host ends. A stream may
 * take until its deadline, any other request about the route's target.
 */
static bool may_outlast_host(const request_t *request)
{
	const router_t *router = request->router;
	const catalog_route_t *route = request->admission.route;
	int64_t now_ms = request_now_ms(request);
	int64_t left_ms = request->deadline_ms - now_ms;

	if (!router->stopping || now_ms < router->late_ms)
		return false;
	if (route->kind != CATALOG_STREAM &&
	    left_ms > (int64_t)route->target_ms)
		left_ms = route->target_ms;
	return now_ms + left_ms > router->end_ms;
}

/* Refuses a request that came too late in a stop, unless an endpoint may run it
 * already.
 *
 * RETURN VALUE: true when it was answered. */
static bool refuse_late(request_t *request)
{
	if (request->sends || !may_outlast_host(request))
		return false;
	answer_not_run(request, 503, "the host stops before it may be done",
		       retry_after(request));
	return true;
}

/* True when the current catalog, which the request may not have been checked
 * against, permits it. */
static bool is_still_allowed(const request_t *request)
{
	admission_t admission;

	return admit_check(request->router->catalog, &request->call,
			   request->id_hash, &admission) == ADMIT_OK;
}

bool request_may_move(const request_t *request)
{
	int64_t now_ms = request_now_ms(request);
	choice_t choice;

	return is_still_allowed(request) && !crashes_find_block(request) &&
	       !has_more_urgent_waiting(request) &&
	       choose_endpoint(request, &choice) == CHOOSE_OK &&
	       !choose_is_saturated(request, &choice) &&
	       !breaker_is_open(&choice.endpoint->breaker, now_ms) &&
	       has_time(request, &choice) &&
	       retrybudget_available(&request_stats(request)->retry_budget, 0,
				     now_ms);
}

void request_dispatch(request_t *request)
{
	choose_result_t result = CHOOSE_LATER;
	choice_t choice = {.endpoint = NULL};

	if (!admit(request) || refuse_blocked(request) || refuse_late(request))
		return;
	customers_update_excess(request);
	if (!has_more_urgent_waiting(request))
		result = choose_endpoint(request, &choice);
	request->no_eligible_endpoint =
		result == CHOOSE_NONE && !request->tried_count;
	request->paused_until_ms =
		result == CHOOSE_LATER ? choice.paused_until_ms : 0;
	request->rate_limited = result == CHOOSE_LATER && choice.rate_limited;
	if (result == CHOOSE_OK && choice.slots_taken &&
	    request->admission.service->slots)
		customers_on_short(request);
	if (wait_or_refuse(request, result, &choice))
		return;
	if (result != CHOOSE_OK)
		request_fail(request,
			     request->rate_limited ?
				     RATE_LIMITED_REASON :
				     "no endpoint may take the request");
	else if (request->was_queued && !has_time(request, &choice))
		request_fail(request, "too little time is left");
	else if (request->sends &&
		 !retrybudget_take(&request_stats(request)->retry_budget,
				   request_now_ms(request)))
		request_fail(request, "no further send is allowed");
	else
		request_send_to(request, &choice);
}
