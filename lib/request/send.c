#include "request/request_internal.h"

#include "base/metrics.h"
#include "base/plog.h"
#include "request/caller.h"
#include "request/channel.h"
#include "request/choose.h"
#include "request/crashes.h"
#include "request/notices.h"
#include "request/pacing.h"
#include "request/waiting.h"

/* Failed sends of any kind after which a request is given up. */
#define SEND_MAX_FAILURES 4
/* The same for endpoints that could not be connected to, which costs little:
 * many crash at once, and each host finds out by itself. */
#define SEND_MAX_UNCONNECTED 8
/* Sends whose connection broke before an answer began, after which a request is
 * given up: it may be what crashes the endpoints. */
#define SEND_MAX_BROKEN 2
/* A repeatable request is sent again after this multiple of the service's mean
 * response time, but not before this fraction of the route's target. */
#define SEND_STALL_FACTOR 4.0
#define SEND_STALL_TARGET_FRACTION 0.5
/* A resumable stream moves to another endpoint after this many latency targets
 * without a first event, or this many pause targets without the next one. */
#define SEND_FIRST_EVENT_TARGETS 2
#define SEND_PAUSE_TARGETS 4
#define SEND_MIN_PAUSE_MS 700
/* Time until another endpoint is looked for again. */
#define SEND_REPLACE_RETRY_MS 100
/* Weight of the latest request in the moving average of the time that requests
 * spend at an endpoint. */
#define SEND_MEAN_WEIGHT 0.1
/* Time in which an endpoint notices a cancelled request and stops it. */
#define SEND_CANCEL_NOTICE_MS 500

static void on_progress_timer(void *user);

void request_release_backlog(request_t *request, endpoint_t *endpoint)
{
	endpoint->backlog_tokens -= request->backlog_tokens;
	request->backlog_tokens = 0;
}

static void update_mean(double *mean, double sample)
{
	*mean = *mean > 0.0 ? *mean + SEND_MEAN_WEIGHT * (sample - *mean) :
			      sample;
}

/* Updates the mean time that requests of the service spend at an endpoint. */
static void record_busy_time(const request_t *request)
{
	service_stats_t *stats = request_stats(request);
	double ms = (double)(request_now_ms(request) - request->sent_ms);

	if (!request->sent_ms)
		return;
	update_mean(&stats->busy_ms, ms);
	update_mean(&stats->lane_busy_ms[request->endpoint->express], ms);
}

/* Counts the send's stream, also one that didn't end, for the speed of its
 * endpoint. */
static void record_speed(const request_t *request)
{
	double pause_ms = pauses_quiet_ms(&request->pauses);

	if (pause_ms <= 0.0)
		return;
	metrics_inc(METRIC_SPEED_SAMPLES);
	endpoint_add_quiet_pause(request->endpoint, pause_ms,
				 request_now_ms(request));
}

void request_end_span(const request_t *request, trace_span_t **span,
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
	/* Still open only if the send neither completed nor failed. */
	request_end_span(request, &request->send_span, OUTCOME_UNKNOWN,
			 "cancelled");
	loop_timer_cancel(request->router->loop, &request->progress_timer);
	request_release_backlog(request, endpoint);
	endpoint->in_flight--;
	record_busy_time(request);
	record_speed(request);
	request->endpoint = NULL;
	endpoint_unref(endpoint);
	waiting_on_capacity(request->router);
}

void request_cancel_send(request_t *request)
{
	if (request->channel)
		channel_cancel(request->channel);
	request->channel = NULL;
	release_send(request);
}

void request_note_cancelled(request_t *request)
{
	int64_t now_ms = request_now_ms(request);

	if (request->endpoint)
		warmth_on_orphaned(&request->endpoint->warmth, now_ms,
				   now_ms + SEND_CANCEL_NOTICE_MS);
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
	endpoint->last_send_seq = ++request->router->send_count;
	request->backlog_tokens = choice->prefill_tokens;
	request->prefills_alone = choice->prefills_alone;
	str_copy(request->prefix_source, sizeof(request->prefix_source),
		 str_from(choice->prefix_source ?
				  choice->prefix_source->address :
				  ""));
	request->round_trip_ms = choice->round_trip_ms;
	request->prefill_share = choice->prefill_share;
	request->prefill_tokens = choice->prefill_tokens;
	endpoint->backlog_tokens += choice->prefill_tokens;
	endpoint_count_tokens(endpoint, choice->prefill_tokens,
			      request_now_ms(request));
	request->expected_ms = choice->expected_ms;
	request->answer_began_ms = 0;
	request->reported_sound = false;
	request->noted_stalled = false;
	pauses_reset(&request->pauses);
	request->state = request->state == REQUEST_ANSWERING ?
				 REQUEST_ANSWERING :
				 REQUEST_SENT;
	sendring_add(&endpoint->sends, request_now_ms(request));
	if (endpoint->notice_entry)
		notice_on_send(&endpoint->notice_entry->notice,
			       request_now_ms(request));
	breaker_on_send(&endpoint->breaker, request_now_ms(request));
	pace_on_send(&endpoint->pace, request_now_ms(request));
	request->prefix_uncached =
		prefixmap_cached_tokens(&request->router->prefixes,
					endpoint->process_hash,
					&request->call.parts) <
		prompt_parts_shared_tokens(&request->call.parts);
	prefixmap_on_send(&request->router->prefixes, endpoint->process_hash,
			  &request->call.parts);
}

void request_send_to(request_t *request, const choice_t *choice)
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

/* True when the endpoint is no longer known to be warm, and has more requests
 * of this host than this host's share of its cold limit allows. */
static bool exceeds_cold_units(const request_t *request)
{
	const catalog_service_t *service = request->admission.service;
	const endpoint_t *endpoint = request->endpoint;
	int64_t now_ms = request_now_ms(request);

	return service && service->cold_until_proven &&
	       !warmth_is_proven(&endpoint->warmth, now_ms) &&
	       endpoint->in_flight +
			       warmth_orphaned(&endpoint->warmth, now_ms) >
		       endpoint->cold_units;
}

bool request_is_outdated(const request_t *request)
{
	const router_t *router = request->router;
	const endpoint_t *endpoint = request->endpoint;

	return request->catalog != router->catalog ||
	       exceeds_cold_units(request) ||
	       notices_forbid_send(router, endpoint) ||
	       crashes_find_block(request) ||
	       (endpoint->state != ENDPOINT_READY &&
		endpoint->state != ENDPOINT_LINGERING) ||
	       fleet_is_evacuated(router->fleet, str_from(endpoint->domain));
}

/* True when the caller has a part of the response after which another can't go
 * on: a part that is no stream, or events without ids. */
static bool has_final_part(const request_t *request)
{
	return request->state == REQUEST_ANSWERING &&
	       (!request->event_count || request->has_unnumbered_events);
}

/* RETURN VALUE: time in ms that the current send may make no progress; 0 for no
 * limit. */
static int64_t progress_limit_ms(const request_t *request)
{
	const catalog_route_t *route = request->admission.route;
	double mean_ms = request_stats(request)->service_ms;
	int64_t ms;

	if (!admit_may_retry(&request->admission) ||
	    request->call.not_streamed || has_final_part(request) ||
	    request->possible_runs >= route->max_attempts)
		return 0;
	if (route->kind == CATALOG_IDEMPOTENT) {
		ms = (int64_t)(mean_ms * SEND_STALL_FACTOR);
		return ms > route->target_ms * SEND_STALL_TARGET_FRACTION ?
			       ms :
			       (int64_t)(route->target_ms *
					 SEND_STALL_TARGET_FRACTION);
	}
	ms = request->event_count ?
		     (int64_t)route->event_gap_target_ms * SEND_PAUSE_TARGETS :
		     (int64_t)route->target_ms * SEND_FIRST_EVENT_TARGETS;
	return ms > SEND_MIN_PAUSE_MS ? ms : SEND_MIN_PAUSE_MS;
}

static void start_progress_timer(request_t *request, int64_t ms)
{
	loop_timer_set(request->router->loop, &request->progress_timer, ms,
		       on_progress_timer, request);
}

/* Counts the current send against the endpoint's breaker, once. */
static void note_stalled(request_t *request)
{
	if (request->noted_stalled)
		return;
	request->noted_stalled = true;
	breaker_on_fault(&request->endpoint->breaker, BREAKER_UNREACHABLE,
			 request_now_ms(request));
}

/* Gives the current send up for one to another endpoint. While there is none
 * the send goes on: its response may still arrive in time. */
static void replace_stalled_send(request_t *request)
{
	note_stalled(request);
	if (request->failures + 1 >= SEND_MAX_FAILURES ||
	    !request_may_move(request)) {
		start_progress_timer(request, SEND_REPLACE_RETRY_MS);
		return;
	}
	channel_cancel(request->channel);
	request->channel = NULL;
	request_on_failure(request, SEND_STALLED);
}

static void on_progress_timer(void *user)
{
	request_t *request = user;
	int64_t limit_ms = progress_limit_ms(request);
	int64_t stalled_ms =
		request_now_ms(request) - request->last_progress_ms;

	if (!limit_ms)
		return;
	if (stalled_ms < limit_ms || caller_is_slow(request->caller))
		start_progress_timer(request, limit_ms - stalled_ms > 0 ?
						      limit_ms - stalled_ms :
						      limit_ms);
	else
		replace_stalled_send(request);
}

void request_on_sent(request_t *request)
{
	int64_t limit_ms;
	char parts[PROMPTPARTS_TEXT_BYTES];

	request->sends++;
	request->possible_runs++;
	request->sent_ms = request_now_ms(request);
	request->last_progress_ms = request->sent_ms;
	request->last_break = SEND_BREAK_NONE;
	limit_ms = progress_limit_ms(request);
	if (limit_ms)
		start_progress_timer(request, limit_ms);
	metrics_add(METRIC_SENDS, request->admission.service_name, 1);
	prompt_parts_print(&request->call.parts, parts);
	plog_write(
		PLOG_REQUEST_SENT,
		"id=%" STR_FMT " endpoint=%s send=%u wait_ms=%lld "
		"left_ms=%lld expected_ms=%.0f in_flight=%u total=%u unread=%llu "
		"backlog=%llu reading=%.2f express=%d source=%s cold=%d limit=%g "
		"version=%lld parts=%s",
		STR_ARG(request->call.id), request->endpoint->id,
		request->sends,
		(long long)(request->sent_ms - request->arrived_ms),
		(long long)(request->deadline_ms - request->sent_ms),
		request->expected_ms, request->endpoint->in_flight,
		endpoint_load(request->endpoint, request->sent_ms).in_flight,
		(unsigned long long)request->prefill_tokens,
		(unsigned long long)request->endpoint->backlog_tokens,
		request->prefill_share, request->endpoint->express,
		request->prefix_source[0] ? request->prefix_source : "-",
		choose_is_cold(request, request->endpoint, request->sent_ms),
		endpoint_limit_per_s(request->endpoint),
		(long long)catalog_version(request->catalog), parts);
}

bool request_may_send_again(const request_t *request)
{
	const catalog_route_t *route = request->admission.route;

	if (has_final_part(request))
		return false;
	if (request_now_ms(request) >= request->deadline_ms ||
	    request->failures >= SEND_MAX_FAILURES ||
	    request->unconnected >= SEND_MAX_UNCONNECTED ||
	    request->broken_sends >= SEND_MAX_BROKEN)
		return false;
	return !request->possible_runs ||
	       (admit_may_retry(&request->admission) &&
		request->possible_runs < route->max_attempts);
}

void request_withdraw(request_t *request)
{
	request_note_cancelled(request);
	request_cancel_send(request);
	request_dispatch(request);
}

static void update_breaker(request_t *request, send_failure_t failure)
{
	breaker_t *breaker = &request->endpoint->breaker;
	int64_t now_ms = request_now_ms(request);

	switch (failure) {
	case SEND_NOT_CONNECTED:
		breaker_on_fault(breaker, BREAKER_UNREACHABLE, now_ms);
		return;
	case SEND_STALLED:
		note_stalled(request);
		return;
	case SEND_NOT_RUN:
		/* The endpoint's own pause replaces the breaker's back-off. */
		if (!request->reply.wants_pause)
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

/* Updates what is known of the endpoint's warmth: after a failure it may have
 * restarted. */
static void update_warmth(request_t *request, send_failure_t failure)
{
	warmth_t *warmth = &request->endpoint->warmth;
	int64_t now_ms = request_now_ms(request);

	if (failure == SEND_NOT_RUN)
		warmth_set_refusing(warmth, true);
	if (failure == SEND_NOT_CONNECTED)
		warmth_on_unreachable(warmth, now_ms);
	if (failure == SEND_LOST)
		warmth_invalidate(warmth, now_ms);
	if (failure == SEND_LOST || failure == SEND_STALLED)
		warmth_on_orphaned(warmth, now_ms, request->deadline_ms);
}

static const char *failure_name(send_failure_t failure)
{
	static const char *const names[] = {"not connected", "outdated",
					    "not run",	     "lost",
					    "silent",	     "failed"};

	return names[failure];
}

static const char *break_name(send_break_t cause)
{
	static const char *const names[] = {"none", "closed", "reset",
					    "timed-out"};

	return names[cause];
}

static void log_failure(const request_t *request, send_failure_t failure)
{
	char parts[PROMPTPARTS_TEXT_BYTES];

	prompt_parts_print(&request->call.parts, parts);
	plog_write(PLOG_SEND_FAILED,
		   "id=%" STR_FMT " endpoint=%s failure=\"%s\" status=%u "
		   "sends=%u runs=%u ms=%lld break=%s events=%llu parts=%s",
		   STR_ARG(request->call.id), request->endpoint->id,
		   failure_name(failure),
		   failure == SEND_FAILED || failure == SEND_NOT_RUN ?
			   request->reply.status :
			   0,
		   request->sends, request->possible_runs,
		   (long long)(request_now_ms(request) - request->arrived_ms),
		   break_name(request->last_break),
		   (unsigned long long)request->event_count, parts);
}

static bool broke_before_answer(const request_t *request)
{
	return !request->answer_began_ms &&
	       (request->last_break == SEND_BREAK_CLOSED ||
		request->last_break == SEND_BREAK_RESET);
}

void request_on_failure(request_t *request, send_failure_t failure)
{
	if (failure == SEND_NOT_CONNECTED)
		request->unconnected++;
	else
		request->failures++;
	if (failure == SEND_NOT_RUN)
		request->possible_runs--;
	log_failure(request, failure);
	request->last_failure = failure;
	request_end_span(request, &request->send_span,
			 failure == SEND_LOST || failure == SEND_STALLED ?
				 OUTCOME_UNKNOWN :
			 failure == SEND_FAILED ? OUTCOME_FAILED :
						  OUTCOME_NOT_RUN,
			 failure_name(failure));
	update_breaker(request, failure);
	pacing_on_failure(request, failure);
	update_warmth(request, failure);
	if (failure == SEND_LOST) {
		request->broken_sends += broke_before_answer(request);
		crashes_on_lost(request);
	}
	if (failure != SEND_OUTDATED)
		add_tried(request, request->endpoint);
	release_send(request);
	events_clear(&request->events);
	buf_reset(&request->answer);
	if (request_may_send_again(request))
		request_dispatch(request);
	else
		request_fail(request, failure_name(failure));
}
