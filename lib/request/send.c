#include "request/request_internal.h"

#include "base/metrics.h"
#include "base/plog.h"
#include "request/caller.h"
#include "request/channel.h"
#include "request/choose.h"
#include "request/notices.h"
#include "request/waiting.h"

/* Sends of one request that failed in any way before it is given up. */
#define SEND_MAX_FAILURES 4
/* A repeatable request is sent again when its answer takes this many times the
 * usual one, or this part of its target. */
#define SEND_SILENCE_TIMES 4.0
#define SEND_SILENCE_PART 0.5
/* A stream that can be resumed goes on elsewhere after this many targets
 * without its first event, or pause targets between two. */
#define SEND_FIRST_EVENT_TARGETS 2
#define SEND_PAUSE_TARGETS 4
#define SEND_MIN_PAUSE_MS 700
/* Weight of the newest request in the mean time at an endpoint. */
#define SEND_BUSY_WEIGHT 0.1
/* An endpoint may run a cancelled request for so much longer. */
#define SEND_CANCEL_MS 500

static void on_progress_timer(void *user);

void request_release_backlog(request_t *request, endpoint_t *endpoint)
{
	endpoint->backlog_tokens -= request->backlog_tokens;
	request->backlog_tokens = 0;
}

static void follow(double *mean, double sample)
{
	*mean = *mean > 0.0 ? *mean + SEND_BUSY_WEIGHT * (sample - *mean) :
			      sample;
}

/* How long requests of the service stay at an endpoint. */
static void learn_busy(const request_t *request)
{
	service_stats_t *stats = request_stats(request);
	double ms = (double)(request_now_ms(request) - request->sent_ms);

	if (!request->sent_ms)
		return;
	follow(&stats->busy_ms, ms);
	follow(&stats->lane_busy_ms[request->endpoint->express], ms);
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
	/* A send that did not answer the request has ended by a failure. */
	request_end_span(request, &request->send_span, OUTCOME_UNKNOWN,
			 "cancelled");
	loop_timer_cancel(request->router->loop, &request->progress_timer);
	request_release_backlog(request, endpoint);
	endpoint->in_flight--;
	learn_busy(request);
	request->endpoint = NULL;
	endpoint_unref(endpoint);
	waiting_on_room(request->router);
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
		warmth_on_lost(&request->endpoint->warmth, now_ms,
			       now_ms + SEND_CANCEL_MS);
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
	request->backlog_tokens = choice->unread_tokens;
	request->alone = choice->alone;
	str_copy(request->source, sizeof(request->source),
		 str_from(choice->source ? choice->source->address : ""));
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
	if (endpoint->notice_entry)
		notice_on_send(&endpoint->notice_entry->notice,
			       request_now_ms(request));
	breaker_on_send(&endpoint->breaker, request_now_ms(request));
	request->reads_shared =
		prefixmap_cached(&request->router->prefixes,
				 endpoint->process_hash, &request->call.parts) <
		prompt_parts_shared(&request->call.parts);
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

/* True when the endpoint isn't known to be warm any more, and has more of this
 * host's requests than this host's share of its cold limit. */
static bool is_above_cold_units(const request_t *request)
{
	const catalog_service_t *service = request->admission.service;
	const endpoint_t *endpoint = request->endpoint;
	int64_t now_ms = request_now_ms(request);

	return service && service->cold_until_proven &&
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
	       notices_forbid(router, endpoint) ||
	       (endpoint->state != ENDPOINT_READY &&
		endpoint->state != ENDPOINT_LINGERING) ||
	       fleet_is_evacuated(router->fleet, str_from(endpoint->domain));
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
	if (route->kind == CATALOG_IDEMPOTENT) {
		ms = (int64_t)(usual_ms * SEND_SILENCE_TIMES);
		return ms > route->target_ms * SEND_SILENCE_PART ?
			       ms :
			       (int64_t)(route->target_ms * SEND_SILENCE_PART);
	}
	ms = request->event_count ?
		     (int64_t)route->event_gap_target_ms * SEND_PAUSE_TARGETS :
		     (int64_t)route->target_ms * SEND_FIRST_EVENT_TARGETS;
	return ms > SEND_MIN_PAUSE_MS ? ms : SEND_MIN_PAUSE_MS;
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
		   "backlog=%llu reading=%.2f source=%s cold=%d version=%lld",
		   STR_ARG(request->call.id), request->endpoint->id,
		   request->sends,
		   (long long)(request->sent_ms - request->arrived_ms),
		   (long long)(request->ends_ms - request->sent_ms),
		   request->expected_ms, request->endpoint->in_flight,
		   (unsigned long long)request->unread_tokens,
		   (unsigned long long)request->endpoint->backlog_tokens,
		   request->reading_share,
		   request->source[0] ? request->source : "-",
		   choose_is_cold(request, request->endpoint, request->sent_ms),
		   (long long)catalog_version(request->catalog));
}

bool request_may_send_again(const request_t *request)
{
	const catalog_route_t *route = request->admission.route;

	if (request_now_ms(request) >= request->ends_ms ||
	    request->failures >= SEND_MAX_FAILURES)
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
		/* A pause that was asked for says all that the breaker would
		 * guess. */
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

/* What a failure tells of an endpoint that may have started anew. */
static void judge_warmth(request_t *request, send_failure_t failure)
{
	warmth_t *warmth = &request->endpoint->warmth;
	int64_t now_ms = request_now_ms(request);

	if (failure == SEND_NOT_RUN)
		warmth_set_refusing(warmth, true);
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
	request_end_span(request, &request->send_span,
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
		request_conclude(request, failure_name(failure));
}
