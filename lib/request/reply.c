#include "request/request_internal.h"

#include "base/plog.h"
#include "request/answer.h"
#include "request/caller.h"
#include "request/channel.h"
#include "request/crashes.h"
#include "request/pacing.h"

/* Responses up to this size are buffered until they are complete, so that a
 * failed one can be replaced. The total over all requests fits the memory of a
 * small host. */
#define REPLY_BUFFER_BYTES (128 * 1024)
#define REPLY_MAX_BUFFERED_BYTES (8 * 1024 * 1024)
/* A longer event is treated as one that never ends. */
#define REPLY_MAX_EVENT_BYTES (128 * 1024)
/* Weights of the latest response in moving averages. */
#define REPLY_MEAN_WEIGHT 0.1
#define REPLY_EXCESS_WEIGHT 0.3
#define REPLY_SPEED_WEIGHT 0.05
/* Only prompts of at least this size are used to estimate the prefill speed,
 * which is clamped to the two bounds. */
#define REPLY_SPEED_MIN_PROMPT_TOKENS 3000
#define REPLY_MIN_TOKENS_PER_MS 10.0
#define REPLY_MAX_TOKENS_PER_MS 1000.0

static bool is_event_stream(const request_t *request, const reply_t *reply)
{
	return request->head->method != HTTP_HEAD &&
	       request->admission.route->kind == CATALOG_STREAM &&
	       reply->status == 200 && reply->is_events;
}

/* A long content type is compared up to its first bytes. */
static str_t stream_type(const reply_t *reply)
{
	str_t type = reply->content_type;

	if (type.len >= REQUEST_CONTENT_TYPE_BYTES)
		type.len = REQUEST_CONTENT_TYPE_BYTES - 1;
	return type;
}

/* True when the caller has a part of an earlier response, and this one does not
 * go on with it: only a stream of events can be continued. */
static bool is_no_continuation(const request_t *request, const reply_t *reply)
{
	return request->is_continuation &&
	       (!request->event_count || !is_event_stream(request, reply) ||
		!str_equals(stream_type(reply),
			    str_from(request->stream_type)));
}

void request_on_reply_head(request_t *request, const http1_head_t *head,
			   const reply_t *reply)
{
	endpoint_t *endpoint = request->endpoint;
	int64_t now_ms = request_now_ms(request);

	(void)head;
	request->last_progress_ms = now_ms;
	request->reply = *reply;
	request->reply_head = head;
	request->is_continuation = request->state == REQUEST_ANSWERING;
	if (reply->cold_ms > 0 &&
	    now_ms + reply->cold_ms > endpoint->cold_until_ms)
		endpoint->cold_until_ms = now_ms + reply->cold_ms;
	if (reply->boot_id.len)
		warmth_on_answer(&endpoint->warmth, reply->boot_id,
				 reply->cold_ms > 0, request->sent_ms, now_ms);
}

static double mean(double before, double sample, double weight)
{
	return before > 0.0 ? before + weight * (sample - before) : sample;
}

/* Updates the prefill speed of the service's usual engine from a long prompt
 * that was the only prefill of its engine. */
static void update_prefill_speed(const request_t *request, double taken_ms)
{
	service_stats_t *stats = request_stats(request);
	double prefill_ms =
		taken_ms - request->round_trip_ms - ROUTER_ENGINE_BASE_MS;
	double speed;

	if (!request->prefills_alone ||
	    request->prefill_tokens < REPLY_SPEED_MIN_PROMPT_TOKENS)
		return;
	speed = prefill_ms > 1.0 ?
			(double)request->prefill_tokens / prefill_ms :
			REPLY_MAX_TOKENS_PER_MS;
	if (speed < REPLY_MIN_TOKENS_PER_MS)
		speed = REPLY_MIN_TOKENS_PER_MS;
	if (speed > REPLY_MAX_TOKENS_PER_MS)
		speed = REPLY_MAX_TOKENS_PER_MS;
	speed *= request->endpoint->slowness;
	stats->prefill_tokens_per_ms =
		mean(stats->prefill_tokens_per_ms, speed, REPLY_SPEED_WEIGHT);
}

/* Updates the estimates for the endpoint and its service after the first event,
 * or after a response without events. */
static void update_estimates(request_t *request)
{
	endpoint_t *endpoint = request->endpoint;
	service_stats_t *stats = request_stats(request);
	int64_t now_ms = request_now_ms(request);
	double taken_ms = (double)(now_ms - request->sent_ms);
	double excess_ms = taken_ms - request->expected_ms;

	if (request->admission.route->kind != CATALOG_STREAM)
		stats->service_ms =
			mean(stats->service_ms, taken_ms, REPLY_MEAN_WEIGHT);
	else if (!request->call.not_streamed)
		update_prefill_speed(request, taken_ms);
	endpoint->excess_ms +=
		REPLY_EXCESS_WEIGHT *
		((excess_ms > 0.0 ? excess_ms : 0.0) - endpoint->excess_ms);
	endpoint->excess_updated_ms = now_ms;
	if (request->prefix_uncached)
		prefixnews_add_parts(&request->router->prefix_keys,
				     endpoint->process_hash,
				     &request->call.parts);
	request->prefix_uncached = false;
	pacing_on_answer(request, taken_ms);
	request_release_backlog(request, endpoint);
}

static void record_pause(request_t *request)
{
	int64_t now_ms = request_now_ms(request);
	int64_t pause_ms = now_ms - request->last_event_ms;

	if (request->last_event_ms && pause_ms > request->longest_pause_ms)
		request->longest_pause_ms = pause_ms;
	request->last_event_ms = now_ms;
}

/*
 * Checks for the events by which the wire format marks the end of a stream.
 *
 * RETURN VALUE: true for an error event, which isn't passed to the caller.
 */
static bool check_end_event(request_t *request, const event_t *event)
{
	const dialect_ops_t *ops = request->router->dialect->ops;

	if (ops->last_event &&
	    str_equals(event->data, str_from(ops->last_event)))
		request->stream_is_complete = true;
	if (!ops->error_event ||
	    !str_equals(event->type, str_from(ops->error_event)))
		return false;
	request->stream_has_failed = true;
	return true;
}

/* A response that ends with its connection may be one that a crash cut. */
static bool is_framed(const request_t *request, const http1_head_t *head)
{
	return head->chunked || head->has_content_length ||
	       request->head->method == HTTP_HEAD;
}

/* Notes when the response of the current send began, and that it goes on. */
static void note_progress(request_t *request)
{
	int64_t now_ms = request_now_ms(request);

	if (!request->answer_began_ms)
		request->answer_began_ms = now_ms;
	if (now_ms - request->answer_began_ms >= CRASHBOARD_BEGIN_MS)
		crashes_on_sound(request);
}

/* An event without an id can't be placed after those of an earlier response. */
static bool is_misplaced(const request_t *request, const event_t *event)
{
	return request->is_continuation && !event->id.ptr && event->data.ptr &&
	       !request->stream_is_complete;
}

static void pass_event(request_t *request, const event_t *event)
{
	if (request->stream_has_failed || check_end_event(request, event))
		return;
	if (is_misplaced(request, event)) {
		request->stream_has_failed = true;
		return;
	}
	if (event->id.ptr &&
	    !event_id_is_after(event->id, str_from(request->last_event_id)))
		return;
	if (!request->event_count) {
		request->first_event_ms = request_now_ms(request);
		update_estimates(request);
	}
	record_pause(request);
	note_progress(request);
	request->last_progress_ms = request_now_ms(request);
	request->event_count++;
	request->has_unnumbered_events |= !event->id.ptr && event->data.ptr;
	if (event->id.ptr)
		str_copy(request->last_event_id, sizeof(request->last_event_id),
			 event->id);
	buf_append_str(&request->answer, event->text);
}

static void begin_stream(request_t *request)
{
	str_copy(request->stream_type, sizeof(request->stream_type),
		 stream_type(&request->reply));
	answer_begin(request, request->reply_head);
}

static void pass_events(request_t *request, str_t data)
{
	event_t event;

	uint64_t count_before = request->event_count;

	events_feed(&request->events, data);
	buf_reset(&request->answer);
	while (events_next(&request->events, &event))
		pass_event(request, &event);
	if (request->event_count > count_before)
		pauses_on_events(
			&request->pauses,
			(unsigned)(request->event_count - count_before),
			request_now_ms(request));
	if (!request->answer.len)
		return;
	if (request->state != REQUEST_ANSWERING)
		begin_stream(request);
	answer_part(request, buf_view(&request->answer));
	if (caller_is_slow(request->caller)) {
		pauses_on_held_back(&request->pauses);
		channel_set_reading(request->channel, false);
	}
}

static void update_buffered_bytes(request_t *request)
{
	size_t buffered = request->answer.cap + request->events.bytes.cap;

	request->router->held_response_bytes +=
		buffered - request->buffered_bytes;
	request->buffered_bytes = buffered;
}

static void cancel_send(request_t *request, send_failure_t failure)
{
	channel_cancel(request->channel);
	request->channel = NULL;
	request_on_failure(request, failure);
}

/* Cancels the send when an incomplete event has become too long. */
static void check_event(request_t *request)
{
	size_t len = events_rest(&request->events).len;

	if (len <= REPLY_MAX_EVENT_BYTES)
		return;
	plog_write(PLOG_ANSWER_TOO_LONG, "endpoint=%s event=%zu",
		   request->endpoint->id, len);
	cancel_send(request, SEND_LOST);
}

static void receive_events(request_t *request, str_t data)
{
	pass_events(request, data);
	update_buffered_bytes(request);
	check_event(request);
}

static bool must_stream(const request_t *request)
{
	return request->answer.len > REPLY_BUFFER_BYTES ||
	       request->router->held_response_bytes > REPLY_MAX_BUFFERED_BYTES;
}

/* Each complete event counts as progress of a stream, each byte as progress of
 * any other response. */
void request_on_reply_body(request_t *request, str_t data)
{
	if (is_no_continuation(request, &request->reply)) {
		cancel_send(request, SEND_FAILED);
		return;
	}
	if (is_event_stream(request, &request->reply)) {
		receive_events(request, data);
		return;
	}
	request->last_progress_ms = request_now_ms(request);
	note_progress(request);
	if (request->state == REQUEST_ANSWERING) {
		answer_part(request, data);
		if (caller_is_slow(request->caller))
			channel_set_reading(request->channel, false);
		return;
	}
	buf_append_str(&request->answer, data);
	if (must_stream(request)) {
		answer_begin(request, request->reply_head);
		answer_part(request, buf_view(&request->answer));
		buf_release(&request->answer);
	}
	update_buffered_bytes(request);
}

void request_resume_reading(request_t *request)
{
	request->last_progress_ms = request_now_ms(request);
	channel_set_reading(request->channel, true);
}

/* Notes how the endpoint decoded a complete stream. */
static void note_decoded(const request_t *request)
{
	double quiet_pause_ms = fleet_quiet_pause_ms(
		request->router->fleet, request->admission.service_name);

	decode_on_stream(
		&request_stats(request)->decode, request_class_id(request),
		(double)request->event_count, (double)request->longest_pause_ms,
		quiet_pause_ms * request->endpoint->slowness);
}

static void on_success(request_t *request, const http1_head_t *head)
{
	if (!request->answer_began_ms)
		request->answer_began_ms = request_now_ms(request);
	if (is_framed(request, head))
		crashes_on_sound(request);
	else
		crashes_on_lost(request);
	breaker_on_success(&request->endpoint->breaker,
			   request_now_ms(request));
	if (!request->event_count)
		update_estimates(request);
	else
		note_decoded(request);
}

static void end_stream(request_t *request, const http1_head_t *head)
{
	bool has_last_event = request->router->dialect->ops->last_event != NULL;

	if (request->stream_has_failed) {
		request->stream_has_failed = false;
		request_on_failure(request, SEND_FAILED);
		return;
	}
	if (events_rest(&request->events).len ||
	    (!request->event_count && !is_framed(request, head)) ||
	    (has_last_event && !request->stream_is_complete)) {
		request_on_failure(request, SEND_LOST);
		return;
	}
	on_success(request, head);
	if (request->state != REQUEST_ANSWERING)
		answer_begin(request, head);
	answer_end(request);
}

void request_on_reply_end(request_t *request, const http1_head_t *head,
			  const reply_t *reply)
{
	if (reply->not_run || reply->misdirected) {
		request_on_failure(request, SEND_NOT_RUN);
		return;
	}
	if (is_no_continuation(request, reply)) {
		request_on_failure(request, SEND_FAILED);
		return;
	}
	if (is_event_stream(request, reply)) {
		end_stream(request, head);
		return;
	}
	if (reply->status >= 500 && request_may_send_again(request) &&
	    retrybudget_available(&request_stats(request)->retry_budget, 0,
				  request_now_ms(request))) {
		request_on_failure(request, SEND_FAILED);
		return;
	}
	if (reply->status >= 500) {
		breaker_on_fault(&request->endpoint->breaker,
				 BREAKER_REQUEST_FAILED,
				 request_now_ms(request));
		pacing_on_failure(request, SEND_FAILED);
	} else {
		on_success(request, head);
	}
	if (request->state == REQUEST_ANSWERING)
		answer_end(request);
	else
		answer_whole(request, head, reply);
}
