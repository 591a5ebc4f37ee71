#include "protocol/native.h"

#include <openssl/sha.h>
#include <stdio.h>

#include "protocol/chat.h"
#include "transport/httptext.h"

#define HEADER_PREFIX STR_LIT("X-Peridot-")
#define HEADER_CLASS STR_LIT("X-Peridot-Class")
#define HEADER_CUSTOMER STR_LIT("X-Peridot-Customer")
#define HEADER_OUTCOME STR_LIT("X-Peridot-Outcome")
#define HEADER_REQUEST STR_LIT("X-Peridot-Request")
#define HEADER_ENDPOINT STR_LIT("X-Peridot-Endpoint")
#define HEADER_BOOT STR_LIT("X-Peridot-Boot")
#define HEADER_PRIORITY STR_LIT("X-Peridot-Priority")
#define HEADER_TIMEOUT STR_LIT("X-Peridot-Timeout-Ms")
#define HEADER_MAX_TOKENS STR_LIT("X-Peridot-Max-Tokens")
#define HEADER_NOT_RUN STR_LIT("X-Peridot-Not-Run")
#define HEADER_LEAVING STR_LIT("X-Peridot-Leaving")
#define HEADER_LIMIT STR_LIT("X-Peridot-Limit")
#define HEADER_COLD STR_LIT("X-Peridot-Cold-Ms")
#define HEADER_TRACE STR_LIT("traceparent")
#define HEADER_LAST_EVENT STR_LIT("Last-Event-ID")
#define HEADER_AUTHORIZATION STR_LIT("Authorization")
#define HEADER_CONTENT_TYPE STR_LIT("Content-Type")
#define HEADER_CONTENT_LENGTH STR_LIT("Content-Length")
#define EVENTS_TYPE STR_LIT("text/event-stream")
#define CHAT_ROUTE STR_LIT(NATIVE_CHAT_PATH "/")
#define MS_PER_S 1000
#define STATUS_MISDIRECTED 421
#define STATUS_UNAVAILABLE 503

void native_append_customer_key(buf_t *out, const uint8_t *digest, size_t len)
{
	for (size_t i = 0; i < len; i++)
		buf_printf(out, "%02x", digest[i]);
}

void native_append_call_path(buf_t *out, str_t service, str_t call)
{
	buf_append_str(out, STR_LIT(NATIVE_SERVICES_PATH));
	buf_append_str(out, service);
	buf_append_str(out, STR_LIT("/"));
	buf_append_str(out, call);
	buf_append_str(out, STR_LIT("/"));
}

static void set_fault(call_t *call, unsigned status, const char *fault)
{
	str_copy(call->text, sizeof(call->text), str_from(fault));
	call->fault = call->text;
	call->fault_status = status;
}

/* Copies `text` into call->text and sets `view` to the copy; false when it
 * doesn't fit. `used` counts the bytes of call->text in use. */
static bool store_text(call_t *call, size_t *used, str_t text, str_t *view)
{
	if (sizeof(call->text) - *used <= text.len)
		return false;
	memcpy(call->text + *used, text.ptr, text.len);
	*view = (str_t){call->text + *used, text.len};
	*used += text.len + 1;
	return true;
}

static void read_key(const http1_head_t *head, call_t *call, size_t *used)
{
	str_t key = httptext_bearer(head);
	uint8_t digest[SHA256_DIGEST_LENGTH];
	buf_t hex = BUF_INIT;

	if (!key.len)
		return;
	SHA256((const uint8_t *)key.ptr, key.len, digest);
	native_append_customer_key(&hex, digest, sizeof(digest));
	store_text(call, used, buf_view(&hex), &call->key);
	buf_release(&hex);
}

static void read_chat(const http1_head_t *head, str_t body, call_t *call,
		      size_t *used)
{
	buf_t service = BUF_INIT;
	chat_t chat;
	err_t err;

	call->host = httptext_value(head, HEADER_CLASS);
	call->path = CHAT_ROUTE;
	if (!call->host.len) {
		set_fault(call, 400, "X-Peridot-Class is missing");
		return;
	}
	if (chat_parse(body, &chat, &err)) {
		set_fault(call, 400, err.message);
		return;
	}
	buf_printf(&service, NATIVE_MODEL_PREFIX "%s", chat.model);
	store_text(call, used, buf_view(&service), &call->service);
	buf_release(&service);
	call->parts = chat.parts;
	call->prompt_tokens = chat.prompt_tokens;
	call->output_tokens = chat.max_tokens;
	call->not_streamed = !chat.stream;
}

/* The catalog path of a plain service's call ends with a slash. */
static void read_service(str_t path, call_t *call, size_t *used)
{
	buf_t route = BUF_INIT;

	buf_append_str(&route, path);
	buf_append_str(&route, STR_LIT("/"));
	call->host = STR_LIT("");
	if (!store_text(call, used, buf_view(&route), &call->path))
		set_fault(call, 404, "the path is too long");
	buf_release(&route);
}

static void read_call(const dialect_t *dialect, const http1_head_t *head,
		      str_t body, call_t *call)
{
	str_t path = httptext_path(head);
	bool is_chat = str_equals(path, STR_LIT(NATIVE_CHAT_PATH));
	size_t used = 0;

	(void)dialect;
	call->id = httptext_value(head, HEADER_REQUEST);
	call->customer = httptext_value(head, HEADER_CUSTOMER);
	call->trace = httptext_value(head, HEADER_TRACE);
	call->last_event_id = httptext_value(head, HEADER_LAST_EVENT);
	call->timeout_ms = httptext_read_ms(head, HEADER_TIMEOUT);
	call->path = path;
	if (str_equals(path, STR_LIT(NATIVE_HEALTH_PATH))) {
		call->is_health_check = true;
		return;
	}
	if (!is_chat && !str_starts_with(path, STR_LIT(NATIVE_SERVICES_PATH))) {
		set_fault(call, 404, "unknown path");
		return;
	}
	if (head->method != HTTP_POST) {
		set_fault(call, 405, "the method must be POST");
		return;
	}
	read_key(head, call, &used);
	if (is_chat)
		read_chat(head, body, call, &used);
	else
		read_service(path, call, &used);
}

/* Fields that only the router may set, and the customer's credentials. */
static bool is_reserved_field(str_t name)
{
	str_t prefix = HEADER_PREFIX;

	if (name.len >= prefix.len &&
	    http1_name_equals((str_t){name.ptr, prefix.len}, prefix))
		return true;
	return http1_name_equals(name, HEADER_AUTHORIZATION) ||
	       http1_name_equals(name, HEADER_LAST_EVENT) ||
	       http1_name_equals(name, HEADER_TRACE);
}

static void append_if_set(buf_t *out, str_t name, str_t value)
{
	if (value.len)
		httptext_append_field(out, name, value);
}

/* Target of the request to the endpoint: the chat path, or the last segment of
 * a plain service's path with its leading slash. */
static str_t endpoint_target(const call_t *call)
{
	size_t end = call->path.len - 1;
	size_t start = end;

	if (call->service.ptr)
		return STR_LIT(NATIVE_CHAT_PATH);
	while (start && call->path.ptr[start - 1] != '/')
		start--;
	return (str_t){call->path.ptr + start - 1, end - start + 1};
}

static void write_call(const dialect_t *dialect, const http1_head_t *head,
		       const call_t *call, const send_params_t *params,
		       buf_t *out)
{
	str_t resume_after = params->resume_after.len ? params->resume_after :
							call->last_event_id;

	(void)dialect;
	httptext_append_request(out, head, endpoint_target(call));
	for (size_t i = 0; i < head->field_count; i++)
		if (!http1_is_hop_by_hop_field(head, i) &&
		    !is_reserved_field(http1_field_name(head, i)))
			httptext_append_field(out, http1_field_name(head, i),
					      http1_field_value(head, i));
	httptext_append_field(out, HEADER_REQUEST, call->id);
	httptext_append_field(out, HEADER_ENDPOINT, params->endpoint_id);
	append_if_set(out, HEADER_BOOT, params->boot_id);
	append_if_set(out, HEADER_CUSTOMER, params->customer);
	append_if_set(out, HEADER_LAST_EVENT, resume_after);
	append_if_set(out, HEADER_TRACE,
		      params->trace.len ? params->trace : call->trace);
	httptext_append_number(out, HEADER_PRIORITY, params->priority);
	httptext_append_number(out, HEADER_TIMEOUT,
			       params->left_ms > 1 ? params->left_ms : 1);
	if (params->max_output_tokens)
		httptext_append_number(out, HEADER_MAX_TOKENS,
				       params->max_output_tokens);
	httptext_append_number(out, HEADER_CONTENT_LENGTH,
			       (int64_t)params->body_len);
	buf_append_str(out, STR_LIT("\r\n"));
}

static void read_reply(const dialect_t *dialect, const http1_head_t *head,
		       reply_t *reply)
{
	str_t type = httptext_value(head, HEADER_CONTENT_TYPE);

	(void)dialect;
	*reply = (reply_t){
		.status = head->status,
		.id = httptext_value(head, HEADER_REQUEST),
		.stamped = true, /* responses in this format have no stamp */
		.not_run = http1_find(head, HEADER_NOT_RUN).ptr != NULL,
		.misdirected = head->status == STATUS_MISDIRECTED,
		.encoded = httptext_is_encoded(head),
		.is_events = str_starts_with(type, EVENTS_TYPE),
		.content_type = type,
		.cold_ms = httptext_read_ms(head, HEADER_COLD),
		.boot_id = httptext_value(head, HEADER_BOOT),
		.leaving = http1_find(head, HEADER_LEAVING).ptr != NULL,
		.keep_alive_ms = httptext_keep_alive_ms(head)};
	reply->names_limit =
		httptext_read_lowest(head, HEADER_LIMIT, &reply->limit_per_s);
	if (reply->status == STATUS_UNAVAILABLE)
		reply->wants_pause =
			httptext_retry_after(head, &reply->pause_ms);
}

/* Fields of an endpoint's response that are not forwarded to the caller. */
static bool is_internal_field(str_t name)
{
	return is_reserved_field(name) &&
	       !http1_name_equals(name, HEADER_REQUEST);
}

static void write_reply(const dialect_t *dialect, const http1_head_t *head,
			const reply_params_t *params, buf_t *out)
{
	(void)dialect;
	httptext_append_status(out, head->status);
	for (size_t i = 0; i < head->field_count; i++)
		if (!http1_is_hop_by_hop_field(head, i) &&
		    !is_internal_field(http1_field_name(head, i)))
			httptext_append_field(out, http1_field_name(head, i),
					      http1_field_value(head, i));
	if (!http1_find(head, HEADER_REQUEST).ptr)
		append_if_set(out, HEADER_REQUEST, params->id);
	httptext_append_field(out, HEADER_OUTCOME,
			      str_from(outcome_name(params->outcome)));
	if (params->framing == REPLY_LENGTH)
		httptext_append_number(out, HEADER_CONTENT_LENGTH,
				       (int64_t)params->body_len);
	else if (params->framing == REPLY_CHUNKED)
		buf_append_str(out, STR_LIT("Transfer-Encoding: chunked\r\n"));
	if (params->close)
		buf_append_str(out, STR_LIT("Connection: close\r\n"));
	buf_append_str(out, STR_LIT("\r\n"));
}

static int64_t retry_after_s(const own_reply_t *reply)
{
	int64_t ms = reply->retry_after_ms;

	if (ms <= 0)
		return reply->status == 429 || reply->status == 503 ? 1 : 0;
	return (ms + MS_PER_S - 1) / MS_PER_S;
}

static void append_error(buf_t *out, const own_reply_t *reply)
{
	buf_printf(out, "{\"error\":{\"outcome\":\"%s\",\"step\":\"%s\"",
		   outcome_name(reply->outcome), reply->step);
	buf_append_str(out, STR_LIT(",\"peer\":"));
	buf_append_json(out, str_from(reply->peer ? reply->peer : ""));
	buf_append_str(out, STR_LIT(",\"message\":"));
	buf_append_json(out, str_from(reply->reason));
	buf_printf(out, ",\"retry_after_s\":%lld}}",
		   (long long)retry_after_s(reply));
}

static void write_own_reply(const dialect_t *dialect, const call_t *call,
			    const own_reply_t *reply, buf_t *out)
{
	bool is_error = reply->status >= 400;
	buf_t body = BUF_INIT;

	(void)dialect;
	if (is_error)
		append_error(&body, reply);
	else
		buf_append_str(&body, STR_LIT("ok"));
	buf_append_str(&body, STR_LIT("\n"));
	httptext_append_status(out, reply->status);
	if (call)
		append_if_set(out, HEADER_REQUEST, call->id);
	httptext_append_field(out, HEADER_OUTCOME,
			      str_from(outcome_name(reply->outcome)));
	if (retry_after_s(reply))
		httptext_append_number(out, STR_LIT("Retry-After"),
				       retry_after_s(reply));
	httptext_append_field(out, HEADER_CONTENT_TYPE,
			      is_error ? STR_LIT("application/json") :
					 STR_LIT("text/plain"));
	httptext_append_number(out, HEADER_CONTENT_LENGTH, (int64_t)body.len);
	if (reply->close)
		buf_append_str(out, STR_LIT("Connection: close\r\n"));
	buf_append_str(out, STR_LIT("\r\n"));
	buf_append_str(out, buf_view(&body));
	buf_release(&body);
}

static void write_stream_error(const dialect_t *dialect,
			       const own_reply_t *reply, buf_t *out)
{
	(void)dialect;
	buf_append_str(out, STR_LIT("event: error\ndata: "));
	append_error(out, reply);
	buf_append_str(out, STR_LIT("\n\n"));
}

static void write_probe(const dialect_t *dialect, const char *endpoint_id,
			buf_t *out)
{
	(void)dialect;
	buf_append_str(out, STR_LIT("GET " NATIVE_LOAD_PATH " HTTP/1.1\r\n"
				    "Host: engine\r\nConnection: close\r\n"));
	httptext_append_field(out, HEADER_ENDPOINT, str_from(endpoint_id));
	buf_append_str(out, STR_LIT("\r\n"));
}

static const dialect_ops_t ops = {
	.assigns_ids = true,
	.last_event = "[DONE]",
	.error_event = "error",
	.read_call = read_call,
	.write_call = write_call,
	.read_reply = read_reply,
	.write_reply = write_reply,
	.write_own_reply = write_own_reply,
	.write_stream_error = write_stream_error,
	.write_probe = write_probe,
};

const dialect_t *native_dialect(void)
{
	static const dialect_t dialect = {&ops};

	return &dialect;
}
