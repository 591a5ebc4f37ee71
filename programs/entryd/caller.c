#include "entryd.h"

#include <openssl/sha.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/metrics.h"
#include "base/plog.h"
#include "protocol/enginep.h"

#define CHAT_PATH "/v1/chat/completions"
#define SERVICES_PATH "/v1/services/"
#define HEALTH_PATH "/healthz"
#define TRACE_HEADER "traceparent"
#define MS_PER_S 1000

/* A refusal found before any dispatcher was asked. */
typedef struct refusal {
	int status;
	const char *step;
	const char *message;
	int64_t retry_after_s;
} refusal_t;

/* Who calls, copied from the sheet. */
typedef struct caller {
	char name[SHEET_NAME_BYTES];
	unsigned weight;
	unsigned max_in_flight;
	uint32_t classes;
} caller_t;

static pthread_key_t thread_key;
static pthread_once_t thread_key_once = PTHREAD_ONCE_INIT;

static void unregister_thread(void *unused)
{
	(void)unused;
	store_unregister_thread();
}

static void create_thread_key(void)
{
	pthread_key_create(&thread_key, unregister_thread);
}

/* Worker threads belong to the HTTP library; each registers on first use. */
static void register_thread(void)
{
	pthread_once(&thread_key_once, create_thread_key);
	if (pthread_getspecific(thread_key))
		return;
	store_register_thread();
	pthread_setspecific(thread_key, &thread_key);
}

static void refuse(httpd_call_t *call, const refusal_t *refusal)
{
	httpd_error_t error = {
		.status = refusal->status,
		.outcome = "not-run",
		.step = refusal->step,
		.peer = httpd_peer(call),
		.message = str_from(refusal->message),
		.retry_after_s = refusal->retry_after_s,
	};

	plog_write(PLOG_REQUEST_INVALID, "peer=%s step=\"%s\" message=\"%s\"",
		   error.peer, error.step, refusal->message);
	httpd_answer_error(call, &error);
}

static void refuse_unauthorized(httpd_call_t *call)
{
	refusal_t refusal = {401, "authenticate", "missing or wrong key", 0};

	metrics_add(METRIC_UNAUTHORIZED, STR_LIT("callers"), 1);
	plog_write(PLOG_CALLER_UNAUTHORIZED, "peer=%s", httpd_peer(call));
	refuse(call, &refusal);
}

static void copy_caller(const sheet_customer_t *customer, caller_t *caller)
{
	str_copy(caller->name, sizeof(caller->name), customer->name);
	caller->weight = customer->weight;
	caller->max_in_flight = customer->max_in_flight;
	caller->classes = customer->classes;
}

static bool find_caller(entryd_t *d, const httpd_call_t *call, caller_t *caller)
{
	str_t key = httpd_bearer(call);
	str_t claimed = httpd_header(call, "X-Peridot-Customer");
	uint8_t digest[SHA256_DIGEST_LENGTH];
	const sheet_customer_t *customer;

	if (!key.len)
		return false;
	SHA256((const uint8_t *)key.ptr, key.len, digest);
	store_read_lock();
	customer = sheet_find_customer(store_sheet(d->base.store), digest);
	if (customer)
		copy_caller(customer, caller);
	store_read_unlock();
	if (!customer)
		return false;
	return !claimed.len || str_equals(claimed, str_from(caller->name));
}

static bool has_sheet(entryd_t *d)
{
	return store_version(d->base.store, NULL) != 0;
}

/* Answers and returns false when the caller may not go on. */
static bool admit_caller(entryd_t *d, httpd_call_t *call, caller_t *caller)
{
	refusal_t leaving = {503, "admit", "the host is leaving", 1};
	refusal_t no_sheet = {503, "admit", "no sheet is in force yet", 1};

	if (atomic_load(&d->leaving)) {
		refuse(call, &leaving);
		return false;
	}
	if (!has_sheet(d)) {
		refuse(call, &no_sheet);
		return false;
	}
	if (!find_caller(d, call, caller)) {
		refuse_unauthorized(call);
		return false;
	}
	return true;
}

static const sheet_class_t *take_class(exchange_t *x, const sheet_t *sheet,
				       int index)
{
	const sheet_class_t *row = &sheet->classes[index];

	str_copy(x->class_name, sizeof(x->class_name), row->name);
	x->class_index = (unsigned)index;
	x->timeout_ms = row->timeout_ms;
	x->first_token_ms = row->first_token_ms;
	x->cross_region = row->cross_region;
	return row;
}

static bool may_use_class(const caller_t *caller, int index)
{
	return caller->classes >> index & 1;
}

/* Fills the exchange from the sheet. NULL, or what is wrong. */
static const refusal_t *resolve_model(exchange_t *x, const sheet_t *sheet,
				      const caller_t *caller, str_t class_name,
				      const enginep_chat_t *chat)
{
	static const refusal_t no_class = {
		400, "classify", "X-Peridot-Class is missing or unknown", 0};
	static const refusal_t forbidden = {
		403, "classify", "the customer may not use this class", 0};
	static const refusal_t no_model = {404, "classify", "unknown model", 0};
	int index = sheet_find_class(sheet, class_name);
	const sheet_class_t *row;

	if (index < 0)
		return &no_class;
	if (!may_use_class(caller, index))
		return &forbidden;
	if (sheet_find_pool(sheet, SHEET_POOL_MODEL, str_from(chat->model)) < 0)
		return &no_model;
	row = take_class(x, sheet, index);
	snprintf(x->pool, sizeof(x->pool), "model/%.*s", SHEET_NAME_BYTES - 1,
		 chat->model);
	x->cost_tokens = row->max_tokens;
	if (chat->max_tokens && (uint64_t)chat->max_tokens < x->cost_tokens)
		x->cost_tokens = (uint64_t)chat->max_tokens;
	return NULL;
}

static const refusal_t *resolve_call(exchange_t *x, const sheet_t *sheet,
				     const caller_t *caller, str_t service,
				     str_t name)
{
	static const refusal_t unknown = {404, "classify",
					  "unknown service or call", 0};
	static const refusal_t forbidden = {
		403, "classify", "the customer may not use this call", 0};
	int index = sheet_find_pool(sheet, SHEET_POOL_SERVICE, service);
	const sheet_call_t *row;

	if (index < 0)
		return &unknown;
	row = sheet_find_call(&sheet->pools[index], name);
	if (!row)
		return &unknown;
	if (!may_use_class(caller, (int)row->class_index))
		return &forbidden;
	take_class(x, sheet, (int)row->class_index);
	x->repeatable = row->repeatable;
	snprintf(x->pool, sizeof(x->pool), "service/%" STR_FMT,
		 STR_ARG(service));
	str_copy(x->service, sizeof(x->service), service);
	str_copy(x->call, sizeof(x->call), name);
	x->cost_tokens = 1;
	return NULL;
}

static int64_t to_seconds(int64_t ms)
{
	return (ms + MS_PER_S - 1) / MS_PER_S;
}

static void answer_error(exchange_t *x, httpd_call_t *call)
{
	const ending_t *ending = &x->ending;
	httpd_error_t error = {
		.status = (int)ending->http_status,
		.outcome = msg_outcome_name(ending->outcome),
		.step = ending->step,
		.peer = ending->peer,
		.message = str_from(ending->message),
		.retry_after_s = to_seconds(ending->retry_after_ms),
	};

	if (error.status < 400)
		error.status = 502;
	if (*ending->ticket)
		httpd_add_header(call, "X-Peridot-Ticket",
				 str_from(ending->ticket));
	httpd_answer_error(call, &error);
}

static void answer_whole(exchange_t *x, httpd_call_t *call)
{
	const ending_t *ending = &x->ending;

	if (ending->outcome != MSG_COMPLETED) {
		answer_error(x, call);
		return;
	}
	httpd_add_header(call, "X-Peridot-Outcome", STR_LIT("completed"));
	httpd_answer(call, (int)ending->http_status,
		     *ending->content_type ? ending->content_type :
					     "application/json",
		     buf_view(&ending->answer));
}

/* The last events of a stream say how it ended. */
static void end_stream(exchange_t *x, httpd_call_t *call)
{
	const ending_t *ending = &x->ending;
	buf_t tail = BUF_INIT;

	if (ending->outcome == MSG_COMPLETED) {
		buf_append_str(&tail, STR_LIT(": outcome completed\n\n"
					      "data: [DONE]\n\n"));
	} else {
		buf_printf(&tail,
			   "event: error\ndata: {\"error\":{\"outcome\":\"%s\"",
			   msg_outcome_name(ending->outcome));
		buf_append_str(&tail, STR_LIT(",\"step\":"));
		buf_append_json(&tail, str_from(ending->step));
		buf_append_str(&tail, STR_LIT(",\"peer\":"));
		buf_append_json(&tail, str_from(ending->peer));
		buf_append_str(&tail, STR_LIT(",\"message\":"));
		buf_append_json(&tail, str_from(ending->message));
		buf_printf(&tail, ",\"retry_after_s\":%lld}}\n\n",
			   (long long)to_seconds(ending->retry_after_ms));
	}
	if (!httpd_stream_write(call, buf_view(&tail)))
		httpd_stream_end(call);
	buf_release(&tail);
}

static void note_first_token(exchange_t *x)
{
	int64_t took = mclock_now_ms(x->d->base.clock) - x->started_ms;

	metrics_add(took <= x->first_token_ms ? METRIC_TARGET_MET :
						METRIC_TARGET_MISSED,
		    str_from(x->class_name), 1);
}

static void note_end(exchange_t *x, trace_span_t *span, bool had_token)
{
	const ending_t *ending = &x->ending;

	if (!had_token && ending->outcome == MSG_COMPLETED)
		note_first_token(x);
	else if (!had_token && *ending->ticket == '\0')
		metrics_add(METRIC_TARGET_MISSED, str_from(x->class_name), 1);
	if (ending->outcome == MSG_NOT_RUN)
		metrics_add(METRIC_REFUSED, str_from(x->class_name), 1);
	metrics_add(METRIC_OUTCOMES,
		    str_from(msg_outcome_name(ending->outcome)), 1);
	trace_set(span, "peridot.outcome",
		  str_from(msg_outcome_name(ending->outcome)));
	trace_set_int(span, "peridot.attempts", x->attempts);
	if (ending->outcome != MSG_COMPLETED)
		trace_set_status(span, TRACE_STATUS_ERROR,
				 str_from(ending->message));
}

/* Tells the loop that the caller is gone and waits for the end. */
static void abandon(exchange_t *x)
{
	event_t *event;
	bool ended = false;

	loop_call(x->d->base.loop, route_cancel, x);
	while (!ended) {
		event = exchange_wait(x, HANGUP_POLL_MS);
		if (!event)
			continue;
		ended = event->kind == EVENT_END;
		event_free(event);
	}
}

/* Writes events to the caller until the end. False: the caller is gone. */
static bool deliver(exchange_t *x, httpd_call_t *call, bool *streaming)
{
	event_t *event;
	bool ended = false;

	while (!ended) {
		event = exchange_wait(x, HANGUP_POLL_MS);
		if (!event) {
			if (httpd_is_hung_up(call))
				return false;
			continue;
		}
		ended = event->kind == EVENT_END;
		if (!ended && !*streaming) {
			note_first_token(x);
			httpd_add_header(call, "X-Peridot-Outcome",
					 STR_LIT("streaming"));
			httpd_stream_begin(call, 200, "text/event-stream");
			*streaming = true;
		}
		if (!ended &&
		    httpd_stream_write(call, buf_view(&event->bytes))) {
			event_free(event);
			return false;
		}
		event_free(event);
	}
	return true;
}

static void run_exchange(exchange_t *x, httpd_call_t *call, trace_span_t *span)
{
	bool streaming = false;

	metrics_add(METRIC_REQUESTS, str_from(x->class_name), 1);
	trace_set(span, "peridot.class", str_from(x->class_name));
	trace_format(trace_context_of(span), x->traceparent);
	loop_post(x->d->base.loop, route_begin, x);
	if (!deliver(x, call, &streaming))
		abandon(x);
	else if (streaming)
		end_stream(x, call);
	else
		answer_whole(x, call);
	note_end(x, span, streaming);
}

static void set_caller(exchange_t *x, const caller_t *caller)
{
	str_copy(x->customer, sizeof(x->customer), str_from(caller->name));
	x->customer_weight = caller->weight;
	x->customer_limit = caller->max_in_flight;
	x->started_ms = mclock_now_ms(x->d->base.clock);
}

static void handle_chat(entryd_t *d, httpd_call_t *call, const caller_t *caller,
			str_t body, trace_span_t *span)
{
	exchange_t *x = exchange_create(d);
	const refusal_t *refusal;
	enginep_chat_t chat;
	err_t err = {0};

	set_caller(x, caller);
	x->kind = MSG_MODEL;
	x->repeatable = true;
	x->body = body;
	if (enginep_parse_chat(body, &chat, &err)) {
		refusal_t malformed = {400, err.step, err.message, 0};

		metrics_add(METRIC_INVALID_INPUT, STR_LIT("callers"), 1);
		refuse(call, &malformed);
		goto done;
	}
	x->stream = chat.stream;
	x->affinity = placement_affinity((str_t){chat.prefix, chat.prefix_len});
	store_read_lock();
	refusal = resolve_model(x, store_sheet(d->base.store), caller,
				httpd_header(call, "X-Peridot-Class"), &chat);
	store_read_unlock();
	if (refusal)
		refuse(call, refusal);
	else
		run_exchange(x, call, span);
done:
	exchange_free(x);
}

static void handle_service(entryd_t *d, httpd_call_t *call,
			   const caller_t *caller, str_t body,
			   trace_span_t *span)
{
	str_t path = httpd_path(call);
	size_t prefix = sizeof(SERVICES_PATH) - 1;
	str_t rest = {path.ptr + prefix, path.len - prefix};
	const char *slash = memchr(rest.ptr, '/', rest.len);
	size_t service_len = slash ? (size_t)(slash - rest.ptr) : rest.len;
	str_t service = {rest.ptr, service_len};
	str_t name = slash ? (str_t){slash + 1, rest.len - service_len - 1} :
			     STR_LIT("");
	exchange_t *x = exchange_create(d);
	const refusal_t *refusal;

	set_caller(x, caller);
	x->kind = MSG_CALL;
	x->body = body;
	x->ticket = httpd_header(call, "X-Peridot-Ticket");
	store_read_lock();
	refusal = resolve_call(x, store_sheet(d->base.store), caller, service,
			       name);
	store_read_unlock();
	/* A repeatable call needs no ticket; one that is sent is ignored. */
	if (x->repeatable)
		x->ticket = STR_LIT("");
	if (refusal)
		refuse(call, refusal);
	else
		run_exchange(x, call, span);
	exchange_free(x);
}

static void handle_post(entryd_t *d, httpd_call_t *call, bool is_chat)
{
	trace_span_t *span = trace_begin("entry", TRACE_KIND_SERVER,
					 httpd_header(call, TRACE_HEADER));
	buf_t body = BUF_INIT;
	caller_t caller;
	err_t err = {0};

	if (!admit_caller(d, call, &caller))
		goto done;
	if (httpd_read_body(call, &body, &err)) {
		httpd_answer_body_error(call, &err);
		goto done;
	}
	if (is_chat)
		handle_chat(d, call, &caller, buf_view(&body), span);
	else
		handle_service(d, call, &caller, buf_view(&body), span);
done:
	buf_release(&body);
	trace_end(span);
}

static void handle_health(entryd_t *d, httpd_call_t *call)
{
	refusal_t away = {503, "health", "leaving or without a sheet", 1};

	if (atomic_load(&d->leaving) || !has_sheet(d))
		refuse(call, &away);
	else
		httpd_answer(call, 200, "text/plain", STR_LIT("ok\n"));
}

void caller_handle(void *user, httpd_call_t *call)
{
	static const refusal_t unknown = {404, "route", "unknown path", 0};
	static const refusal_t method = {405, "route", "method not allowed", 0};
	entryd_t *d = user;
	str_t path = httpd_path(call);
	bool is_chat = str_equals(path, STR_LIT(CHAT_PATH));

	register_thread();
	if (str_equals(path, STR_LIT(HEALTH_PATH))) {
		handle_health(d, call);
		return;
	}
	if (!is_chat && !str_starts_with(path, STR_LIT(SERVICES_PATH))) {
		refuse(call, &unknown);
		return;
	}
	if (!str_equals(httpd_method(call), STR_LIT("POST"))) {
		refuse(call, &method);
		return;
	}
	atomic_fetch_add(&d->exchange_count, 1);
	handle_post(d, call, is_chat);
	atomic_fetch_sub(&d->exchange_count, 1);
}
