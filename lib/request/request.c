#include "request/request.h"

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
/* Answers up to this size are held until they are whole. */
#define REQUEST_HOLD_BYTES (256 * 1024)
/* A repeatable request is sent again when its answer takes this many times the
 * usual one, or this part of its target. */
#define REQUEST_SILENCE_TIMES 4.0
#define REQUEST_SILENCE_PART 0.5
/* A stream that can be resumed goes on elsewhere after this many targets
 * without its first event, or pause targets between two. */
#define REQUEST_FIRST_EVENT_TARGETS 2
#define REQUEST_PAUSE_TARGETS 4
#define REQUEST_MIN_PAUSE_MS 700
/* Weight of the newest answer in mean times. */
#define REQUEST_MEAN_WEIGHT 0.1
#define REQUEST_EXCESS_WEIGHT 0.3
#define REQUEST_SPEED_WEIGHT 0.05
/* Prompts that tell an engine's speed, and the bounds of it in tokens a ms. */
#define REQUEST_SPEED_MIN_TOKENS 3000
#define REQUEST_SPEED_MIN 10.0
#define REQUEST_SPEED_MAX 1000.0

static void on_end_timer(void *user);
static void on_progress_timer(void *user);

static int64_t now_of(const request_t *request)
{
	return router_now_ms(request->router);
}

static service_stats_t *stats_of(const request_t *request)
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
	request->ends_ms = request->arrived_ms + REQUEST_DEFAULT_MS;
	router->dialect->ops->read_call(router->dialect, request->head,
					&request->call);
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

/* The endpoint has read the prompt, or never will. */
static void release_backlog(request_t *request, endpoint_t *endpoint)
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
	release_backlog(request, endpoint);
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
		   (long long)(now_of(request) - request->arrived_ms),
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
		answer_failed(request,
			      now_of(request) >= request->ends_ms ? 504 : 502,
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
			repeats_on_request(&stats_of(request)->repeats,
					   now_of(request));
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
	double waited_ms = (double)(now_of(request) - request->arrived_ms);

	return request->state != REQUEST_ANSWERING &&
	       waited_ms < part * request->admission.route->target_ms;
}

static void start_send(request_t *request, const choice_t *choice)
{
	endpoint_t *endpoint = choice->endpoint;

	request->endpoint = endpoint;
	endpoint_ref(endpoint);
	endpoint->in_flight++;
	request->backlog_tokens = choice->unread_tokens;
	request->alone = choice->alone;
	request->trip_ms = choice->trip_ms;
	request->reading_share = choice->reading_share;
	request->unread_tokens = choice->unread_tokens;
	endpoint->backlog_tokens += choice->unread_tokens;
	endpoint_count_tokens(endpoint, choice->unread_tokens, now_of(request));
	request->expected_ms = choice->expected_ms;
	request->state = request->state == REQUEST_ANSWERING ?
				 REQUEST_ANSWERING :
				 REQUEST_SENT;
	coldgate_on_send(&endpoint->gate, now_of(request));
	breaker_on_send(&endpoint->breaker, now_of(request));
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
		 !repeats_take(&stats_of(request)->repeats, now_of(request)))
		conclude(request, "no further send is allowed");
	else
		send_to(request, &choice);
}

/* How long the present send may go without progress; 0: without a limit. */
static int64_t patience(const request_t *request)
{
	const catalog_route_t *route = request->admission.route;
	double usual_ms = stats_of(request)->service_ms;
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
	int64_t silent_ms = now_of(request) - request->progress_ms;

	if (!limit_ms)
		return;
	if (silent_ms < limit_ms || caller_is_slow(request->caller)) {
		watch_progress(request, limit_ms - silent_ms > 0 ?
						limit_ms - silent_ms :
						limit_ms);
		return;
	}
	if (!repeats_left(&stats_of(request)->repeats, 0, now_of(request)))
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
	request->sent_ms = now_of(request);
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

static bool is_event_stream(const request_t *request, const reply_t *reply)
{
	return request->admission.route->kind == CATALOG_STREAM &&
	       reply->status == 200;
}

void request_on_reply_head(request_t *request, const http1_head_t *head,
			   const reply_t *reply)
{
	endpoint_t *endpoint = request->endpoint;
	int64_t now_ms = now_of(request);

	(void)head;
	request->progress_ms = now_ms;
	request->reply = *reply;
	request->reply_head = head;
	if (reply->cold_ms > 0 &&
	    now_ms + reply->cold_ms > endpoint->cold_until_ms)
		endpoint->cold_until_ms = now_ms + reply->cold_ms;
}

static double mean(double before, double sample, double weight)
{
	return before > 0.0 ? before + weight * (sample - before) : sample;
}

/* A long prompt that nothing else was read beside tells the engine's speed. */
static void learn_speed(const request_t *request, double taken_ms)
{
	service_stats_t *stats = stats_of(request);
	double reading_ms = taken_ms - request->trip_ms - ROUTER_ENGINE_BASE_MS;
	double speed;

	if (!request->alone ||
	    request->unread_tokens < REQUEST_SPEED_MIN_TOKENS)
		return;
	speed = reading_ms > 1.0 ? (double)request->unread_tokens / reading_ms :
				   REQUEST_SPEED_MAX;
	if (speed < REQUEST_SPEED_MIN)
		speed = REQUEST_SPEED_MIN;
	if (speed > REQUEST_SPEED_MAX)
		speed = REQUEST_SPEED_MAX;
	stats->tokens_per_ms =
		mean(stats->tokens_per_ms, speed, REQUEST_SPEED_WEIGHT);
}

/* The first event or the answer has come: what it tells of the endpoint. */
static void learn(request_t *request)
{
	endpoint_t *endpoint = request->endpoint;
	service_stats_t *stats = stats_of(request);
	int64_t now_ms = now_of(request);
	double taken_ms = (double)(now_ms - request->sent_ms);
	double excess_ms = taken_ms - request->expected_ms;

	if (request->admission.route->kind != CATALOG_STREAM)
		stats->service_ms =
			mean(stats->service_ms, taken_ms, REQUEST_MEAN_WEIGHT);
	else
		learn_speed(request, taken_ms);
	endpoint->excess_ms +=
		REQUEST_EXCESS_WEIGHT *
		((excess_ms > 0.0 ? excess_ms : 0.0) - endpoint->excess_ms);
	endpoint->excess_set_ms = now_ms;
	release_backlog(request, endpoint);
}

static void note_pause(request_t *request)
{
	int64_t now_ms = now_of(request);
	int64_t pause_ms = now_ms - request->last_event_ms;

	if (request->last_event_ms && pause_ms > request->longest_pause_ms)
		request->longest_pause_ms = pause_ms;
	request->last_event_ms = now_ms;
}

static void pass_event(request_t *request, const event_t *event)
{
	if (event->id.ptr &&
	    !event_id_is_after(event->id, str_from(request->last_event_id)))
		return;
	if (!request->event_count) {
		request->first_event_ms = now_of(request);
		learn(request);
	}
	note_pause(request);
	request->event_count++;
	if (event->id.ptr)
		str_copy(request->last_event_id, sizeof(request->last_event_id),
			 event->id);
	buf_append_str(&request->answer, event->text);
}

static void pass_events(request_t *request, str_t data)
{
	event_t event;

	events_feed(&request->events, data);
	buf_reset(&request->answer);
	while (events_next(&request->events, &event))
		pass_event(request, &event);
	if (!request->answer.len)
		return;
	if (request->state != REQUEST_ANSWERING)
		answer_begin(request, request->reply_head);
	answer_part(request, buf_view(&request->answer));
	if (caller_is_slow(request->caller))
		channel_set_reading(request->channel, false);
}

void request_on_reply_body(request_t *request, str_t data)
{
	const reply_t *reply = &request->reply;

	request->progress_ms = now_of(request);
	if (reply->not_run || reply->misdirected)
		return;
	if (is_event_stream(request, reply)) {
		pass_events(request, data);
		return;
	}
	if (request->state == REQUEST_ANSWERING) {
		answer_part(request, data);
		if (caller_is_slow(request->caller))
			channel_set_reading(request->channel, false);
		return;
	}
	buf_append_str(&request->answer, data);
	if (request->answer.len > REQUEST_HOLD_BYTES) {
		answer_begin(request, request->reply_head);
		answer_part(request, buf_view(&request->answer));
		buf_release(&request->answer);
	}
}

void request_resume_reading(request_t *request)
{
	request->progress_ms = now_of(request);
	channel_set_reading(request->channel, true);
}

static void on_success(request_t *request)
{
	breaker_on_success(&request->endpoint->breaker, now_of(request));
	if (!request->event_count)
		learn(request);
}

static void end_stream(request_t *request, const http1_head_t *head)
{
	if (events_rest(&request->events).len) {
		request_on_failure(request, SEND_LOST);
		return;
	}
	on_success(request);
	if (request->state != REQUEST_ANSWERING)
		answer_begin(request, head);
	answer_end(request);
}

/* True when a request that an endpoint failed may be sent to another one. */
static bool may_send_again(const request_t *request)
{
	const catalog_route_t *route = request->admission.route;

	if (now_of(request) >= request->ends_ms ||
	    request->failures >= REQUEST_MAX_FAILURES)
		return false;
	return !request->runs || (admit_may_repeat(&request->admission) &&
				  request->runs < route->max_attempts);
}

void request_on_reply_end(request_t *request, const http1_head_t *head,
			  const reply_t *reply)
{
	if (reply->not_run || reply->misdirected) {
		request_on_failure(request, SEND_NOT_RUN);
		return;
	}
	if (is_event_stream(request, reply)) {
		end_stream(request, head);
		return;
	}
	if (request->state == REQUEST_ANSWERING && request->event_count) {
		/* A resumed stream got an answer that isn't a stream. */
		request_on_failure(request, SEND_FAILED);
		return;
	}
	if (reply->status >= 500 && may_send_again(request) &&
	    repeats_left(&stats_of(request)->repeats, 0, now_of(request))) {
		request_on_failure(request, SEND_FAILED);
		return;
	}
	if (reply->status >= 500)
		breaker_on_fault(&request->endpoint->breaker,
				 BREAKER_REQUEST_FAILED, now_of(request));
	else
		on_success(request);
	if (request->state == REQUEST_ANSWERING)
		answer_end(request);
	else
		answer_whole(request, head, reply);
}

static void judge_endpoint(request_t *request, send_failure_t failure)
{
	breaker_t *breaker = &request->endpoint->breaker;
	int64_t now_ms = now_of(request);

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
	case SEND_LOST:
	case SEND_FAILED:
		breaker_on_fault(breaker, BREAKER_REQUEST_FAILED, now_ms);
		return;
	}
}

static const char *failure_name(send_failure_t failure)
{
	static const char *const names[] = {"not connected", "not run", "lost",
					    "silent", "failed"};

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
		   (long long)(now_of(request) - request->arrived_ms));
	judge_endpoint(request, failure);
	add_tried(request, request->endpoint);
	release_send(request);
	events_clear(&request->events);
	buf_reset(&request->answer);
	if (may_send_again(request))
		request_dispatch(request);
	else
		conclude(request, failure_name(failure));
}
