#include "request/answer.h"

#include <assert.h>
#include <stdio.h>

#include "base/histogram.h"
#include "base/metrics.h"
#include "base/plog.h"
#include "coordination/retryafter.h"
#include "request/caller.h"
#include "transport/httptext.h"

/* A limited retry time below this is left out of the response. */
#define ANSWER_MIN_RETRY_MS 50
#define ANSWER_STATUS_BYTES 8

static void log_end(const request_t *request, unsigned status,
		    outcome_t outcome, const char *reason)
{
	int64_t now_ms = router_now_ms(request->router);
	char text[ANSWER_STATUS_BYTES];

	snprintf(text, sizeof(text), "%u", status);
	metrics_add(METRIC_ANSWERS, str_from(text), 1);
	metrics_add(METRIC_OUTCOMES, str_from(outcome_name(outcome)), 1);
	if (outcome == OUTCOME_NOT_RUN && request->admission.route)
		metrics_add(METRIC_REFUSED, request->admission.route->name, 1);
	histogram_observe(HISTOGRAM_ANSWER, now_ms - request->arrived_ms);
	if (request->first_event_ms)
		histogram_observe(HISTOGRAM_FIRST_EVENT,
				  request->first_event_ms -
					  request->arrived_ms);
	plog_write(PLOG_REQUEST_ENDED,
		   "id=%" STR_FMT " route=%" STR_FMT
		   " status=%u reason=\"%s\" ms=%lld first_ms=%lld "
		   "pause_ms=%lld events=%llu sends=%u runs=%u version=%lld",
		   STR_ARG(request->call.id),
		   STR_ARG(request->admission.route ?
				   request->admission.route->name :
				   (str_t)STR_LIT("-")),
		   status, reason, (long long)(now_ms - request->arrived_ms),
		   (long long)(request->first_event_ms ?
				       request->first_event_ms -
					       request->arrived_ms :
				       -1),
		   (long long)request->longest_pause_ms,
		   (unsigned long long)request->event_count, request->sends,
		   request->possible_runs,
		   (long long)(request->catalog ?
				       catalog_version(request->catalog) :
				       -1));
}

static void finish(request_t *request, bool close, outcome_t outcome,
		   const char *reason)
{
	caller_t *caller = request->caller;

	request_finish(request, outcome, reason);
	caller_answered(caller, close);
}

/* RETURN VALUE: the step of processing at which the request ended. */
static const char *step_of(const request_t *request)
{
	if (!request->admission.service_name.ptr)
		return "admit";
	return request->sends ? "send" : "place";
}

/* RETURN VALUE: the outcome of a request that no endpoint has answered. */
static outcome_t outcome_of(const request_t *request)
{
	if (!request->possible_runs)
		return OUTCOME_NOT_RUN;
	return request->last_failure == SEND_FAILED ? OUTCOME_FAILED :
						      OUTCOME_UNKNOWN;
}

static own_reply_t make_reply(const request_t *request, unsigned status,
			      const char *reason)
{
	return (own_reply_t){.status = status,
			     .outcome = outcome_of(request),
			     .step = step_of(request),
			     .peer = request->last_endpoint,
			     .reason = reason,
			     .retry_after_ms = -1,
			     .close = caller_must_close(request->caller)};
}

static void send_own_reply(request_t *request, const own_reply_t *reply)
{
	const dialect_t *dialect = request->router->dialect;
	buf_t out = BUF_INIT;

	assert(request->state != REQUEST_ANSWERING);
	log_end(request, reply->status, reply->outcome, reply->reason);
	dialect->ops->write_own_reply(dialect, &request->call, reply, &out);
	if (request->head->method == HTTP_HEAD)
		httptext_drop_body(&out);
	caller_send(request->caller, buf_view(&out));
	buf_release(&out);
	finish(request, reply->close, reply->outcome, reply->reason);
}

void answer_health(request_t *request, bool is_ready)
{
	own_reply_t reply =
		make_reply(request, is_ready ? 200 : 503,
			   is_ready ? "ready" : "leaving or not configured");

	if (is_ready)
		reply.outcome = OUTCOME_COMPLETED;
	send_own_reply(request, &reply);
}

void answer_not_run(request_t *request, unsigned status, const char *reason,
		    int64_t retry_after_ms)
{
	int64_t left_ms = request->deadline_ms - router_now_ms(request->router);
	int64_t max_retry_ms = left_ms / RETRYAFTER_TIME_LEFT_DIVISOR;
	const catalog_route_t *route = request->admission.route;
	own_reply_t reply = make_reply(request, status, reason);

	assert(!request->possible_runs);
	reply.retry_after_ms = retry_after_ms;
	/* On a route that queues until the deadline, the caller retries with a
	 * new deadline: its current time left doesn't limit the wait. */
	if (!route || !route->waits_until_deadline) {
		if (reply.retry_after_ms > max_retry_ms)
			reply.retry_after_ms = max_retry_ms;
		if (reply.retry_after_ms < ANSWER_MIN_RETRY_MS)
			reply.retry_after_ms = -1;
	}
	send_own_reply(request, &reply);
}

void answer_blocked(request_t *request, const char *reason,
		    int64_t retry_after_ms)
{
	own_reply_t reply = make_reply(request, 503, reason);

	assert(!request->possible_runs);
	reply.retry_after_ms = retry_after_ms;
	send_own_reply(request, &reply);
}

void answer_failed(request_t *request, unsigned status, const char *reason)
{
	own_reply_t reply = make_reply(request, status, reason);

	send_own_reply(request, &reply);
}

static void send_head(request_t *request, const http1_head_t *head,
		      const reply_params_t *params, str_t body)
{
	const dialect_t *dialect = request->router->dialect;
	buf_t *out = &request->router->scratch;

	buf_reset(out);
	dialect->ops->write_reply(dialect, head, params, out);
	buf_append_str(out, body);
	caller_send(request->caller, buf_view(out));
}

/* Frames the response to a HEAD request like the endpoint, which states what
 * the response to a GET request would be. */
static void frame_without_body(const request_t *request,
			       const http1_head_t *head, reply_params_t *params)
{
	if (head->has_content_length) {
		params->body_len = (size_t)head->content_length;
		return;
	}
	params->framing =
		request->head->minor >= 1 ? REPLY_CHUNKED : REPLY_UNTIL_CLOSE;
	params->close |= params->framing == REPLY_UNTIL_CLOSE;
}

void answer_whole(request_t *request, const http1_head_t *head,
		  const reply_t *reply)
{
	reply_params_t params = {.framing = REPLY_LENGTH,
				 .body_len = request->answer.len,
				 .close = caller_must_close(request->caller),
				 .id = request->call.id,
				 .outcome = reply->status >= 500 ?
						    OUTCOME_FAILED :
						    OUTCOME_COMPLETED};

	if (request->head->method == HTTP_HEAD)
		frame_without_body(request, head, &params);
	log_end(request, reply->status, params.outcome, "answered");
	send_head(request, head, &params, buf_view(&request->answer));
	finish(request, params.close, params.outcome, "answered");
}

void answer_begin(request_t *request, const http1_head_t *head)
{
	bool chunked = request->head->minor >= 1;
	reply_params_t params = {
		.framing = chunked ? REPLY_CHUNKED : REPLY_UNTIL_CLOSE,
		.close = !chunked || caller_must_close(request->caller),
		.outcome = OUTCOME_STREAMING,
		.id = request->call.id};

	request->state = REQUEST_ANSWERING;
	request->chunked = chunked;
	request->closes_connection = params.close;
	send_head(request, head, &params, (str_t){NULL, 0});
}

void answer_part(request_t *request, str_t data)
{
	buf_t *out = &request->router->scratch;

	if (!data.len)
		return;
	if (!request->chunked) {
		caller_send(request->caller, data);
		return;
	}
	buf_reset(out);
	buf_printf(out, "%zx\r\n", data.len);
	buf_append_str(out, data);
	buf_append_str(out, STR_LIT("\r\n"));
	caller_send(request->caller, buf_view(out));
}

void answer_end(request_t *request)
{
	log_end(request, 200, OUTCOME_COMPLETED, "answered");
	if (request->chunked)
		caller_send(request->caller, STR_LIT("0\r\n\r\n"));
	finish(request,
	       request->closes_connection || caller_must_close(request->caller),
	       OUTCOME_COMPLETED, "answered");
}

/* Sends an error event, if the wire format has one and the stream has begun. */
static void send_stream_error(request_t *request, outcome_t outcome,
			      const char *reason)
{
	const dialect_t *dialect = request->router->dialect;
	own_reply_t reply = make_reply(request, 0, reason);
	buf_t event = BUF_INIT;

	if (!dialect->ops->write_stream_error || !request->event_count)
		return;
	reply.outcome = outcome;
	dialect->ops->write_stream_error(dialect, &reply, &event);
	answer_part(request, buf_view(&event));
	buf_release(&event);
}

void answer_abort(request_t *request, const char *reason)
{
	caller_t *caller = request->caller;
	bool chunked = request->chunked;

	/* The caller received only a part: the response has failed even if an
	 * endpoint still runs the request. */
	log_end(request, 0, OUTCOME_FAILED, reason);
	send_stream_error(request, OUTCOME_FAILED, reason);
	request_finish(request, OUTCOME_FAILED, reason);
	caller_abort(caller, !chunked);
}
