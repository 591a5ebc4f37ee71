#include "request/request_internal.h"

#include <stdlib.h>
#include <xxhash.h>

#include "base/metrics.h"
#include "base/plog.h"
#include "request/answer.h"
#include "request/caller.h"
#include "request/channel.h"
#include "request/choose.h"
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
					&request->call);
	/* Until the route's timeout is known. */
	request->ends_ms =
		request->arrived_ms + (request->call.deadline_ms >= 0 ?
					       request->call.deadline_ms :
					       REQUEST_DEFAULT_MS);
	request->draw = XXH64(request->call.id.ptr, request->call.id.len, 0);
	caller->request = request;
	router->request_count++;
	request_dispatch(request);
}

static void release(request_t *request)
{
	router_t *router = request->router;

	loop_timer_cancel(router->loop, &request->end_timer);
	loop_timer_cancel(router->loop, &request->progress_timer);
	waiting_remove(request);
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

static void release_send(request_t *request)
{
	endpoint_t *endpoint = request->endpoint;

	if (!endpoint)
		return;
	loop_timer_cancel(request->router->loop, &request->progress_timer);
	request_release_backlog(request, endpoint);
	endpoint->in_flight--;
	request->endpoint = NULL;
	endpoint_unref(endpoint);
}

static void cancel_send(request_t *request)
{
	if (request->channel)
		channel_cancel(request->channel);
	request->channel = NULL;
	release_send(request);
}

void request_finish(request_t *request)
{
	cancel_send(request);
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
	request_finish(request);
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

static int64_t retry_after(request_t *request)
{
	int64_t ms = request->router->catalog ? REQUEST_RETRY_MS :
						REQUEST_START_RETRY_MS;

	return ms + (int64_t)(router_random(request->router) % (uint64_t)ms);
}

/* Gives the final answer of a request that no endpoint answered. */
static void conclude(request_t *request, const char *reason)
{
	if (request->state == REQUEST_ANSWERING)
		answer_break_off(request, reason);
	else if (!request->runs)
		answer_not_run(request, reason, retry_after(request));
	else
		answer_failed(
			request,
			request_now_ms(request) >= request->ends_ms ? 504 : 502,
			reason);
}

static void on_end_timer(void *user)
{
	request_t *request = user;

	cancel_send(request);
	conclude(request, "time is over");
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
		return true;
	}
	if (request->state == REQUEST_ANSWERING)
		answer_break_off(request, "no longer allowed");
	else if (request->runs)
		answer_failed(request, 502, "no longer allowed");
	else if (verdict == ADMIT_NO_CATALOG)
		answer_not_run(request, "no configuration yet",
			       retry_after(request));
	else if (verdict == ADMIT_NO_ROUTE)
		answer_failed(request, 404, "no such route");
	else
		answer_failed(request, 401, "unknown key");
	return false;
}

/* True while the request may still wait for this part of its target. */
static bool may_wait(const request_t *request, double part)
{
	double waited_ms =
		(double)(request_now_ms(request) - request->arrived_ms);

	return request->state != REQUEST_ANSWERING &&
	       waited_ms < part * request->admission.route->target_ms;
}

static void start_send(request_t *request, const choice_t *choice)
{
	endpoint_t *endpoint = choice->endpoint;

	request->endpoint = endpoint;
	endpoint_ref(endpoint);
	endpoint->in_flight++;
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

bool request_is_outdated(const request_t *request)
{
	const router_t *router = request->router;
	const endpoint_t *endpoint = request->endpoint;

	return request->catalog != router->catalog ||
	       (endpoint->state != ENDPOINT_READY &&
		endpoint->state != ENDPOINT_LINGERING) ||
	       fleet_is_evacuated(router->fleet, str_from(endpoint->domain));
}

void request_dispatch(request_t *request)
{
	choose_result_t result;
	choice_t choice;

	if (!admit(request))
		return;
	result = choose_endpoint(request, &choice);
	if ((result == CHOOSE_LATER && may_wait(request, REQUEST_WAIT_PART)) ||
	    (result == CHOOSE_OK && choose_is_saturated(request, &choice) &&
	     may_wait(request, REQUEST_SATURATED_WAIT_PART))) {
		waiting_add(request);
		return;
	}
	if (result != CHOOSE_OK)
		conclude(request, "no endpoint may take the request");
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
	    request->runs >= route->max_attempts)
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
		   endpoint_is_cold(request->endpoint, request->sent_ms),
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
	judge_endpoint(request, failure);
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
