#include "dispatchd.h"

#include <stdio.h>
#include <stdlib.h>

#include "base/metrics.h"
#include "base/plog.h"
#include "protocol/completion.h"

/* A request that was left at an endpoint counts against a cold share until its
 * deadline and this long: for the way there and the engine's clock. */
#define CANCEL_SETTLE_MS 2000
#define CANCEL_TIMEOUT_MS 1000
#define URL_BYTES 256
#define RETRY_REFUSED_MS 1000

static int64_t now_ms(const request_t *r)
{
	return mclock_now_ms(r->d->base.clock);
}

static int64_t left_ms(const request_t *r)
{
	int64_t left = r->entry.deadline_ms - now_ms(r);

	return left > 1 ? left : 1;
}

static void release_slot(request_t *r)
{
	if (!r->endpoint)
		return;
	window_on_end(&r->endpoint->window);
	r->endpoint->users--;
	r->endpoint = NULL;
}

/* As release_slot(), for a request that may still run at the endpoint. */
static void lose_slot(request_t *r, int64_t until_ms)
{
	if (!r->endpoint)
		return;
	window_on_lost(&r->endpoint->window, now_ms(r), until_ms);
	r->endpoint->users--;
	r->endpoint = NULL;
}

/* Occupies a slot of the endpoint. */
static void take_slot(request_t *r, endpoint_t *e)
{
	r->state = REQUEST_SENT;
	request_count_body(r, false);
	r->endpoint = e;
	r->sent_ms = now_ms(r);
	r->first_token_seen = false;
	r->may_run_on = false;
	e->users++;
	window_on_send(&e->window);
	metrics_add(METRIC_SENDS, str_from(e->name), 1);
	trace_set(r->span, "peridot.endpoint", str_from(e->name));
}

static void mark_broken(request_t *r)
{
	endpoint_t *e = r->endpoint;

	window_on_broken(&e->window, now_ms(r));
	e->broken_ms = now_ms(r);
	r->may_run_on = true;
}

static void send_start(request_t *r, unsigned status, const char *type)
{
	msg_t msg = {.kind = MSG_START};

	if (r->started)
		return;
	r->started = true;
	msg.u.start = (msg_start_t){r->id, str_from(r->endpoint->name), status,
				    str_from(type)};
	client_send(r->client, &msg);
}

static void send_chunk(request_t *r, uint64_t offset, str_t bytes)
{
	msg_t msg = {.kind = MSG_CHUNK};

	msg.u.chunk = (msg_chunk_t){r->id, offset, bytes};
	client_send(r->client, &msg);
}

static void note_first_token(request_t *r)
{
	if (r->first_token_seen)
		return;
	r->first_token_seen = true;
	window_on_first_token(&r->endpoint->window, now_ms(r),
			      now_ms(r) - r->sent_ms);
}

static int take_event(void *user, const enginep_event_t *event)
{
	request_t *r = user;
	buf_t wire = BUF_INIT;

	if (event->done)
		return 0;
	if (!event->has_id || event->id > r->next_offset)
		return -1; /* a gap: the stream must be resumed */
	if (event->id < r->next_offset)
		return 0; /* delivered before the stream was resumed */
	note_first_token(r);
	if (r->stream) {
		enginep_sse_format(&wire, event);
		send_chunk(r, event->id, buf_view(&wire));
	} else if (completion_add(&r->completion, event->data, NULL)) {
		return -1;
	}
	r->next_offset++;
	r->tokens++;
	buf_release(&wire);
	return 0;
}

static void on_head(void *user, const fetch_head_t *head)
{
	request_t *r = user;

	r->head = *head;
	if (r->kind == MSG_MODEL && r->stream && head->http_status == 200)
		send_start(r, 200, "text/event-stream");
}

static int on_data(void *user, str_t bytes)
{
	request_t *r = user;
	err_t err;

	if (r->kind == MSG_MODEL && r->head.http_status == 200)
		return enginep_sse_feed(&r->sse, bytes, take_event, r, &err);
	if (r->answer.len + bytes.len > MAX_ANSWER_BYTES)
		return -1;
	buf_append_str(&r->answer, bytes);
	return 0;
}

/* Feeds what the request has taught about lengths and speed. */
static void learn(request_t *r)
{
	class_info_t *info = class_find(r->d, str_from(r->class_name));
	double took = (double)(now_ms(r) - r->sent_ms);
	double tokens = r->tokens ? (double)r->tokens : 1;

	if (info)
		estimate_add(&info->tokens, tokens);
	estimate_add(&r->pool->ms_per_token, took / tokens);
	metrics_add(METRIC_TOKENS, str_from(r->class_name), r->tokens);
}

static void complete(request_t *r, unsigned status, const char *type,
		     str_t body)
{
	endpoint_t *e = r->endpoint;
	char peer[SHEET_NAME_BYTES];
	request_result_t result = {
		.outcome = MSG_COMPLETED,
		.step = "answer",
		.peer = peer,
		.http_status = status,
		.message = "",
	};

	str_copy(peer, sizeof(peer), str_from(e->name));
	send_start(r, status, type);
	if (body.len)
		send_chunk(r, 0, body);
	e->seen_ms = now_ms(r);
	release_slot(r);
	request_end(r, &result);
}

static void complete_model(request_t *r)
{
	buf_t whole = BUF_INIT;

	learn(r);
	if (!r->stream)
		completion_format(&r->completion, r->id_text, &whole);
	complete(r, 200, r->stream ? "text/event-stream" : "application/json",
		 buf_view(&whole));
	buf_release(&whole);
}

/* Ends a request whose endpoint failed it. */
static void fail(request_t *r, msg_outcome_t outcome, const char *step,
		 const char *message, bool retry_elsewhere)
{
	char peer[SHEET_NAME_BYTES];
	request_result_t result = {
		.outcome = outcome,
		.step = step,
		.peer = peer,
		.http_status = outcome == MSG_NOT_RUN ? 503 :
			       outcome == MSG_UNKNOWN ? 504 :
							502,
		.message = message,
		.retry_after_ms = RETRY_REFUSED_MS,
		.retry_elsewhere = retry_elsewhere,
	};

	str_copy(peer, sizeof(peer), str_from(r->endpoint->name));
	metrics_add(METRIC_ENDPOINT_ERRORS, str_from(peer), 1);
	plog_write(PLOG_ENDPOINT_FAILED,
		   "endpoint=%s id=%s step=\"%s\" message=\"%s\"", peer,
		   r->id_text, step, message);
	if (outcome != MSG_NOT_RUN && r->may_run_on)
		lose_slot(r, r->entry.deadline_ms + CANCEL_SETTLE_MS);
	else
		release_slot(r);
	request_end(r, &result);
}

/* The engine did not take the request: back into the queue, or on. */
static void refused(request_t *r)
{
	pool_t *pool = r->pool;
	bool again = ++r->refusals < MAX_ENGINE_REFUSALS &&
		     r->entry.deadline_ms > now_ms(r) && r->client;

	metrics_add(METRIC_ENDPOINT_REFUSALS, str_from(r->endpoint->name), 1);
	window_on_refused(&r->endpoint->window);
	if (!again) {
		fail(r, MSG_NOT_RUN, "send", "refused by the endpoint", true);
		return;
	}
	release_slot(r);
	buf_reset(&r->answer);
	r->state = REQUEST_QUEUED;
	request_count_body(r, true);
	queue_push_back(pool->queue, &r->entry);
}

static bool can_resume(const request_t *r)
{
	return r->tokens && r->resumes < MAX_RESUMES && r->client &&
	       r->entry.deadline_ms > now_ms(r);
}

/* Goes on with a broken stream at the same engine, if that is possible. */
static bool try_resume(request_t *r)
{
	endpoint_t *e = r->endpoint;

	if (!can_resume(r))
		return false;
	r->resumes++;
	release_slot(r);
	if (transfer_resume(r, e))
		return true;
	take_slot(r, e);
	return false;
}

/* The answer of a model ended without [DONE]. */
static void model_broke_off(request_t *r, const fetch_result_t *result)
{
	bool answered =
		result->code == ERR_OK && result->head.http_status >= 400;

	if (!result->may_have_left) {
		mark_broken(r);
		fail(r, r->next_offset ? MSG_FAILED : MSG_NOT_RUN, "connect",
		     result->message, true);
		return;
	}
	if (answered) {
		fail(r, MSG_FAILED, r->next_offset ? "resume stream" : "answer",
		     "the engine reported an error", !r->next_offset);
		return;
	}
	if (result->code != ERR_BAD_STATE)
		mark_broken(r);
	/* The engine does not stop because its answer is not read. */
	r->may_run_on = true;
	if (try_resume(r))
		return;
	if (r->next_offset)
		fail(r, MSG_FAILED, "answer", "the stream broke off", true);
	else
		fail(r, MSG_UNKNOWN, "answer", result->message, true);
}

static void model_done(request_t *r, const fetch_result_t *result)
{
	int status = result->head.http_status;

	if (enginep_sse_is_done(&r->sse)) {
		complete_model(r);
		return;
	}
	/* Only a request without delivered events may run again or end with
	 * the engine's own error: the rest of a stream is not another run. */
	if (result->has_head && result->head.refused && status == 503 &&
	    !r->next_offset) {
		refused(r);
		return;
	}
	if (result->code == ERR_OK && status >= 400 && status < 500 &&
	    !r->next_offset) {
		complete(r, (unsigned)status, result->head.content_type,
			 buf_view(&r->answer));
		return;
	}
	model_broke_off(r, result);
}

static void call_done(request_t *r, const fetch_result_t *result)
{
	int status = result->head.http_status;

	if (result->code == ERR_OK) {
		/* A plain service has no tokens; its answer shows that it is
		 * in time. */
		note_first_token(r);
		learn(r);
		if (result->head.refused && status == 503) {
			fail(r, MSG_NOT_RUN, "send", "refused by the endpoint",
			     true);
			return;
		}
		if (status >= 500) {
			fail(r, MSG_FAILED, "answer",
			     "the service reported an error", false);
			return;
		}
		complete(r, (unsigned)status, result->head.content_type,
			 buf_view(&r->answer));
		return;
	}
	mark_broken(r);
	if (!result->may_have_left)
		fail(r, MSG_NOT_RUN, "connect", result->message, true);
	else
		fail(r, MSG_UNKNOWN, "answer", result->message, r->repeatable);
}

static void on_done(void *user, const fetch_result_t *result)
{
	request_t *r = user;
	dispatchd_t *d = r->d;

	r->fetch = NULL;
	if (r->kind == MSG_MODEL)
		model_done(r, result);
	else
		call_done(r, result);
	requests_dispatch(d);
}

static const fetch_ops_t transfer_ops = {on_head, on_data, on_done};

static void format_traceparent(const request_t *r, char *line, size_t size)
{
	char parent[TRACE_PARENT_BYTES];

	trace_format(trace_context_of(r->span), parent);
	snprintf(line, size, "traceparent: %s", parent);
}

static bool start_model(request_t *r, endpoint_t *e)
{
	char url[URL_BYTES];
	char traceparent[TRACE_PARENT_BYTES + 16];
	const char *headers[] = {traceparent, NULL};
	enginep_request_t fields = {
		.request_id = str_from(r->id_text),
		.priority = (int)r->tier,
		.max_tokens = r->max_tokens,
		.timeout_ms = left_ms(r),
	};
	fetch_request_t request = {.method = "POST",
				   .url = url,
				   .headers = headers,
				   .timeout_ms = left_ms(r)};
	buf_t body = BUF_INIT;
	err_t err;

	if (enginep_build_request((str_t){r->body, r->body_len}, &fields, &body,
				  &err)) {
		buf_release(&body);
		return false;
	}
	snprintf(url, sizeof(url), "http://%s/v1/chat/completions", e->address);
	format_traceparent(r, traceparent, sizeof(traceparent));
	request.body = buf_view(&body);
	/* On a kept connection libcurl repeats the request by itself when the
	 * engine dies, and reports only how the second attempt ended. */
	request.fresh = true;
	r->fetch = fetch_start(r->d->fetcher, &request, &transfer_ops, r);
	buf_release(&body);
	return r->fetch != NULL;
}

static bool start_call(request_t *r, endpoint_t *e)
{
	char url[URL_BYTES];
	char traceparent[TRACE_PARENT_BYTES + 16];
	char key[TICKET_TEXT_BYTES + 32];
	const char *headers[] = {traceparent, r->ticket ? key : NULL, NULL};
	fetch_request_t request = {
		.method = "POST",
		.url = url,
		.headers = headers,
		.body = {r->body, r->body_len},
		.timeout_ms = left_ms(r) * CALL_LINGER_FACTOR,
		.fresh = true,
	};

	snprintf(url, sizeof(url), "http://%s/%s", e->address, r->call);
	snprintf(key, sizeof(key), "Idempotency-Key: %s",
		 r->ticket ? r->ticket : "");
	format_traceparent(r, traceparent, sizeof(traceparent));
	r->fetch = fetch_start(r->d->fetcher, &request, &transfer_ops, r);
	return r->fetch != NULL;
}

bool transfer_start(request_t *r, endpoint_t *e)
{
	bool started =
		r->kind == MSG_MODEL ? start_model(r, e) : start_call(r, e);

	if (started)
		take_slot(r, e);
	return started;
}

bool transfer_resume(request_t *r, endpoint_t *e)
{
	char url[URL_BYTES];
	fetch_request_t request = {
		.method = "GET", .url = url, .timeout_ms = left_ms(r)};

	enginep_sse_release(&r->sse);
	enginep_sse_init(&r->sse);
	snprintf(url, sizeof(url), "http://%s/v1/streams/%s?offset=%llu",
		 e->address, r->id_text, (unsigned long long)r->next_offset);
	r->fetch = fetch_start(r->d->fetcher, &request, &transfer_ops, r);
	if (!r->fetch)
		return false;
	take_slot(r, e);
	/* The stream goes on; its next event is no first token. */
	r->first_token_seen = true;
	return true;
}

static void ignore_result(void *user, const fetch_result_t *result)
{
	(void)user;
	(void)result;
}

static void tell_engine(const request_t *r)
{
	static const fetch_ops_t ops = {NULL, NULL, ignore_result};
	char url[URL_BYTES];
	fetch_request_t request = {.method = "DELETE",
				   .url = url,
				   .timeout_ms = CANCEL_TIMEOUT_MS};

	snprintf(url, sizeof(url), "http://%s/v1/streams/%s",
		 r->endpoint->address, r->id_text);
	fetch_start(r->d->fetcher, &request, &ops, NULL);
}

/* The engine may not hear of the end; its own time limit is the deadline. */
static void leave_engine(request_t *r)
{
	int64_t end_ms = r->entry.deadline_ms > now_ms(r) ?
				 r->entry.deadline_ms :
				 now_ms(r);

	fetch_cancel(r->fetch);
	r->fetch = NULL;
	lose_slot(r, end_ms + CANCEL_SETTLE_MS);
}

void transfer_cancel(request_t *r)
{
	if (r->kind == MSG_MODEL)
		tell_engine(r);
	leave_engine(r);
}

void transfer_abandon(request_t *r)
{
	if (!r->next_offset)
		transfer_cancel(r);
	else
		leave_engine(r);
}
