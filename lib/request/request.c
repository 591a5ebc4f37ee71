#include "request/request_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <xxhash.h>

#include "base/metrics.h"
#include "base/plog.h"
#include "request/answer.h"
#include "request/caller.h"
#include "request/channel.h"
#include "request/choose.h"
#include "request/customers.h"
#include "request/waiting.h"

/* Used when neither the caller nor the route says how long to wait. */
#define REQUEST_DEFAULT_MS 30000
/* Sends of one request that failed in any way before it is given up. */
#define REQUEST_MAX_FAILURES 4
/* Part of the target that a request may wait for an endpoint to have room. */
#define REQUEST_WAIT_PART 0.125
/* The same for an engine that reads too much; then it is sent all the same. */
#define REQUEST_SATURATED_WAIT_PART 0.7
/* Time to return that a refused caller gets, spread by as much again. */
#define REQUEST_RETRY_MS 250
/* The same while no configuration is known: it takes longer to come. */
#define REQUEST_START_RETRY_MS 800
/* A repeatable request is sent again when its answer takes this many times the
 * usual one, or this part of its target. */
#define REQUEST_SILENCE_TIMES 4.0
#define REQUEST_SILENCE_PART 0.5
/* A stream that can be resumed goes on elsewhere after this many targets
 * without its first event, or pause targets between two. */
#define REQUEST_FIRST_EVENT_TARGETS 2
#define REQUEST_PAUSE_TARGETS 4
#define REQUEST_MIN_PAUSE_MS 700
/* Weight of the newest request in the mean time at an endpoint. */
#define REQUEST_BUSY_WEIGHT 0.1
/* An endpoint may run a cancelled request for so much longer. */
#define REQUEST_CANCEL_MS 500

static void on_end_timer(void *user);
static void on_progress_timer(void *user);

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
	int64_t ms = request->router->catalog ? REQUEST_RETRY_MS :
						REQUEST_START_RETRY_MS;

	return ms + (int64_t)(router_random(request->router) % (uint64_t)ms);
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
	buf_release(&request->answer);
	events_release(&request->events);
	router->request_count--;
	request->ended = true;
	router_free_later(router, request);
}

void request_release_backlog(request_t *request, endpoint_t *endpoint)
{
	endpoint->backlog_tokens -= request->backlog_tokens;
	request->backlog_tokens = 0;
}

/* How long requests of the service stay at an endpoint. */
static void learn_busy(const request_t *request)
{
	service_stats_t *stats = request_stats(request);
	double ms = (double)(request_now_ms(request) - request->sent_ms);

	if (!request->sent_ms)
		return;
	stats->busy_ms =
		stats->busy_ms > 0.0 ?
			stats->busy_ms +
				REQUEST_BUSY_WEIGHT * (ms - stats->busy_ms) :
			ms;
}

static void end_span(const request_t *request, trace_span_t **span,
		     outcome_t outcome, const char *reason)
{
	const tracer_t *tracer = request->router->tracer;

	if (*span)
		tracer->ops->end(tracer, *span, outcome, reason);
	*span = NULL;
}

static void release_send(request_t *request)
{
	endpoint_t *endpoint = request->endpoint;

	if (!endpoint)
		return;
	/* A send that did not answer the request has ended by a failure. */
	end_span(request, &request->send_span, OUTCOME_UNKNOWN, "cancelled");
	loop_timer_cancel(request->router->loop, &request->progress_timer);
	request_release_backlog(request, endpoint);
	endpoint->in_flight--;
	learn_busy(request);
	request->endpoint = NULL;
	endpoint_unref(endpoint);
	waiting_on_room(request->router);
}

static void cancel_send(request_t *request)
{
	if (request->channel)
		channel_cancel(request->channel);
	request->channel = NULL;
	release_send(request);
}

void request_finish(request_t *request, outcome_t outcome, const char *reason)
{
	end_span(request, &request->send_span, outcome, reason);
	end_span(request, &request->span, outcome, reason);
	cancel_send(request);
	release(request);
}

/* The endpoint learns of the end only when it sees the connection close. */
static void note_cancelled(request_t *request)
{
	int64_t now_ms = request_now_ms(request);

	if (request->endpoint)
		warmth_on_lost(&request->endpoint->warmth, now_ms,
			       now_ms + REQUEST_CANCEL_MS);
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
	note_cancelled(request);
	request_finish(request, OUTCOME_UNKNOWN, "the caller left");
}

bool request_was_tried(const request_t *request, const endpoint_t *endpoint)
{
	for (unsigned i = 0; i < request->tried_count; i++)
		if (request->tried[i] == endpoint->hash)
			return true;
	return false;
}

static void add_tried(request_t *request, const endpoint_t *endpoint)
{
	if (request->tried_count < REQUEST_MAX_TRIED)
		request->tried[request->tried_count++] = endpoint->hash;
}

/* Gives the final answer of a request that no endpoint answered. */
static void conclude(request_t *request, const char *reason)
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

	note_cancelled(request);
	cancel_send(request);
	conclude(request, "time is over");
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

/* True while the request may still wait for this part of its target; a stream
 * that broke off waits from its last event on. */
static bool may_wait(const request_t *request, double part)
{
	int64_t since_ms = request->state == REQUEST_ANSWERING ?
				   request->progress_ms :
				   request->arrived_ms;

	return (double)(request_now_ms(request) - since_ms) <
	       part * request->admission.route->target_ms;
}

static void start_send(request_t *request, const choice_t *choice)
{
	endpoint_t *endpoint = choice->endpoint;

	request->endpoint = endpoint;
	endpoint_ref(endpoint);
	str_copy(request->last_endpoint, sizeof(request->last_endpoint),
		 str_from(endpoint->id));
	if (request->span)
		request->send_span = request->router->tracer->ops->begin_send(
			request->router->tracer, request->span, endpoint->id,
			request->trace_context);
	endpoint->in_flight++;
	waiting_on_send(request);
	endpoint->last_send = ++request->router->send_count;
	request->backlog_tokens = choice->unread_tokens;
	request->alone = choice->alone;
	request->trip_ms = choice->trip_ms;
	request->reading_share = choice->reading_share;
	request->unread_tokens = choice->unread_tokens;
	endpoint->backlog_tokens += choice->unread_tokens;
	endpoint_count_tokens(endpoint, choice->unread_tokens,
			      request_now_ms(request));
	request->expected_ms = choice->expected_ms;
	request->state = request->state == REQUEST_ANSWERING ?
				 REQUEST_ANSWERING :
				 REQUEST_SENT;
	coldgate_on_send(&endpoint->gate, request_now_ms(request));
	breaker_on_send(&endpoint->breaker, request_now_ms(request));
	prefixmap_on_send(&request->router->prefixes, endpoint->hash,
			  &request->call.parts);
}

static void send_to(request_t *request, const choice_t *choice)
{
	err_t err = {0};

	start_send(request, choice);
	if (!channel_send(request, choice->endpoint, &err))
		return;
	plog_write(PLOG_ENDPOINT_FAILED,
		   "id=%" STR_FMT " endpoint=%s step=%s peer=%s error=%s",
		   STR_ARG(request->call.id), choice->endpoint->id, err.step,
		   err.peer, err.message);
	request_on_failure(request, SEND_NOT_CONNECTED);
}

/* True when the endpoint isn't known to be warm any more, and has more of this
 * host's requests than this host's share of its cold limit. */
static bool is_above_cold_units(const request_t *request)
{
	const catalog_service_t *service = request->admission.service;
	const endpoint_t *endpoint = request->endpoint;
	int64_t now_ms = request_now_ms(request);

	return service && service->proves_warmth &&
	       !warmth_is_proven(&endpoint->warmth, now_ms) &&
	       endpoint->in_flight + warmth_lost(&endpoint->warmth, now_ms) >
		       endpoint->cold_units;
}

bool request_is_outdated(const request_t *request)
{
	const router_t *router = request->router;
	const endpoint_t *endpoint = request->endpoint;

	return request->catalog != router->catalog ||
	       is_above_cold_units(request) ||
	       (endpoint->state != ENDPOINT_READY &&
		endpoint->state != ENDPOINT_LINGERING) ||
	       fleet_is_evacuated(router->fleet, str_from(endpoint->domain));
}

/* Lets a request wait that may do so until its end, unless others fill the
 * queue or it would wait too long; then it had better return later. */
static void queue_up(request_t *request)
{
	int64_t expected_ms = waiting_expected_ms(request);
	int64_t left_ms = request->ends_ms - request_now_ms(request);
	bool is_full = waiting_is_full(request);

	if (request->was_queued || request->runs ||
	    (!is_full && expected_ms <= left_ms)) {
		request->was_queued = true;
		waiting_add(request, true);
		return;
	}
	if (expected_ms < REQUEST_RETRY_MS)
		expected_ms = retry_after(request);
	answer_not_run(request, 503,
		       is_full ? "too many requests of the class wait" :
				 "the expected wait is too long",
		       expected_ms);
}

/* True when the request waits or was answered instead of being sent. */
static bool hold(request_t *request, choose_result_t result,
		 const choice_t *choice)
{
	if (result == CHOOSE_LATER && request->admission.route->waits_to_end)
		queue_up(request);
	else if (result == CHOOSE_LATER && may_wait(request, REQUEST_WAIT_PART))
		waiting_add(request, true);
	else if (result == CHOOSE_OK && choose_is_saturated(request, choice) &&
		 may_wait(request, REQUEST_SATURATED_WAIT_PART))
		waiting_add(request, false);
	else
		return false;
	return true;
}

/* Requests that wait for the same room go first, if they are more urgent. */
static bool is_behind_others(const request_t *request)
{
	const catalog_service_t *service = request->admission.service;

	return service && service->bounded && !request->is_due &&
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
	if (hold(request, result, &choice))
		return;
	if (result != CHOOSE_OK)
		conclude(request, "no endpoint may take the request");
	else if (request->was_queued && !has_time(request, &choice))
		conclude(request, "too little time is left");
	else if (request->sends &&
		 !repeats_take(&request_stats(request)->repeats,
			       request_now_ms(request)))
		conclude(request, "no further send is allowed");
	else
		send_to(request, &choice);
}

/* How long the present send may go without progress; 0: without a limit. */
static int64_t patience(const request_t *request)
{
	const catalog_route_t *route = request->admission.route;
	double usual_ms = request_stats(request)->service_ms;
	int64_t ms;

	if (!admit_may_repeat(&request->admission) ||
	    request->call.wants_whole || request->runs >= route->max_attempts)
		return 0;
	if (route->kind == CATALOG_REPEATABLE) {
		ms = (int64_t)(usual_ms * REQUEST_SILENCE_TIMES);
		return ms > route->target_ms * REQUEST_SILENCE_PART ?
			       ms :
			       (int64_t)(route->target_ms *
					 REQUEST_SILENCE_PART);
	}
	ms = request->event_count ?
		     (int64_t)route->pause_target_ms * REQUEST_PAUSE_TARGETS :
		     (int64_t)route->target_ms * REQUEST_FIRST_EVENT_TARGETS;
	return ms > REQUEST_MIN_PAUSE_MS ? ms : REQUEST_MIN_PAUSE_MS;
}

static void watch_progress(request_t *request, int64_t ms)
{
	loop_timer_set(request->router->loop, &request->progress_timer, ms,
		       on_progress_timer, request);
}

static void on_progress_timer(void *user)
{
	request_t *request = user;
	int64_t limit_ms = patience(request);
	int64_t silent_ms = request_now_ms(request) - request->progress_ms;

	if (!limit_ms)
		return;
	if (silent_ms < limit_ms || caller_is_slow(request->caller)) {
		watch_progress(request, limit_ms - silent_ms > 0 ?
						limit_ms - silent_ms :
						limit_ms);
		return;
	}
	if (!repeats_left(&request_stats(request)->repeats, 0,
			  request_now_ms(request)))
		return;
	channel_cancel(request->channel);
	request->channel = NULL;
	request_on_failure(request, SEND_SILENT);
}

void request_on_sent(request_t *request)
{
	int64_t limit_ms;

	request->sends++;
	request->runs++;
	request->sent_ms = request_now_ms(request);
	request->progress_ms = request->sent_ms;
	limit_ms = patience(request);
	if (limit_ms)
		watch_progress(request, limit_ms);
	metrics_add(METRIC_SENDS, request->admission.service_name, 1);
	plog_write(PLOG_REQUEST_SENT,
		   "id=%" STR_FMT " endpoint=%s send=%u wait_ms=%lld "
		   "left_ms=%lld expected_ms=%.0f in_flight=%u unread=%llu "
		   "backlog=%llu reading=%.2f cold=%d version=%lld",
		   STR_ARG(request->call.id), request->endpoint->id,
		   request->sends,
		   (long long)(request->sent_ms - request->arrived_ms),
		   (long long)(request->ends_ms - request->sent_ms),
		   request->expected_ms, request->endpoint->in_flight,
		   (unsigned long long)request->unread_tokens,
		   (unsigned long long)request->endpoint->backlog_tokens,
		   request->reading_share,
		   choose_is_cold(request, request->endpoint, request->sent_ms),
		   (long long)catalog_version(request->catalog));
}

bool request_may_send_again(const request_t *request)
{
	const catalog_route_t *route = request->admission.route;

	if (request_now_ms(request) >= request->ends_ms ||
	    request->failures >= REQUEST_MAX_FAILURES)
		return false;
	return !request->runs || (admit_may_repeat(&request->admission) &&
				  request->runs < route->max_attempts);
}

static void judge_endpoint(request_t *request, send_failure_t failure)
{
	breaker_t *breaker = &request->endpoint->breaker;
	int64_t now_ms = request_now_ms(request);

	switch (failure) {
	case SEND_NOT_CONNECTED:
	case SEND_SILENT:
		breaker_on_fault(breaker, BREAKER_UNREACHABLE, now_ms);
		return;
	case SEND_NOT_RUN:
		breaker_on_fault(breaker,
				 request->reply.misdirected ?
					 BREAKER_UNREACHABLE :
					 BREAKER_REQUEST_FAILED,
				 now_ms);
		return;
	case SEND_OUTDATED:
		return;
	case SEND_LOST:
	case SEND_FAILED:
		breaker_on_fault(breaker, BREAKER_REQUEST_FAILED, now_ms);
		return;
	}
}

/* What a failure tells of an endpoint that may have started anew. */
static void judge_warmth(request_t *request, send_failure_t failure)
{
	warmth_t *warmth = &request->endpoint->warmth;
	int64_t now_ms = request_now_ms(request);

	if (failure == SEND_NOT_CONNECTED)
		warmth_on_unreachable(warmth, now_ms);
	if (failure == SEND_LOST)
		warmth_void(warmth, now_ms);
	if (failure == SEND_LOST || failure == SEND_SILENT)
		warmth_on_lost(warmth, now_ms, request->ends_ms);
}

static const char *failure_name(send_failure_t failure)
{
	static const char *const names[] = {"not connected", "outdated",
					    "not run",	     "lost",
					    "silent",	     "failed"};

	return names[failure];
}

void request_on_failure(request_t *request, send_failure_t failure)
{
	request->failures++;
	if (failure == SEND_NOT_RUN)
		request->runs--;
	plog_write(PLOG_SEND_FAILED,
		   "id=%" STR_FMT " endpoint=%s failure=\"%s\" status=%u "
		   "sends=%u runs=%u ms=%lld",
		   STR_ARG(request->call.id), request->endpoint->id,
		   failure_name(failure),
		   failure == SEND_FAILED || failure == SEND_NOT_RUN ?
			   request->reply.status :
			   0,
		   request->sends, request->runs,
		   (long long)(request_now_ms(request) - request->arrived_ms));
	request->last_failure = failure;
	end_span(request, &request->send_span,
		 failure == SEND_LOST || failure == SEND_SILENT ?
			 OUTCOME_UNKNOWN :
		 failure == SEND_FAILED ? OUTCOME_FAILED :
					  OUTCOME_NOT_RUN,
		 failure_name(failure));
	judge_endpoint(request, failure);
	judge_warmth(request, failure);
	if (failure != SEND_OUTDATED)
		add_tried(request, request->endpoint);
	release_send(request);
	events_clear(&request->events);
	buf_reset(&request->answer);
	if (request_may_send_again(request))
		request_dispatch(request);
	else
		conclude(request, failure_name(failure));
}
