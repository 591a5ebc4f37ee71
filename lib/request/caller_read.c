#include <sys/epoll.h>

#include "base/metrics.h"
#include "base/plog.h"
#include "request/caller_internal.h"
#include "transport/httptext.h"

/* Pipelined bytes above which reading pauses until the running request ends. */
#define PIPELINED_BYTES 65536
/* The same while the memory for callers' buffers is short. */
#define PRESSURE_PIPELINED_BYTES 4096
/* Retry-After of a request that could not be read to its end, plus a random
 * part of up to the same time. */
#define RETRY_MS 500
/* Input counts as progress in steps of this size, and of this part of the body
 * that has arrived: a caller that sends single bytes makes none. */
#define PROGRESS_BYTES 1024
#define PROGRESS_DIVISOR 32

static void on_body(http1_t *http, str_t data);

const http1_ops_t caller_http_ops = {on_body};

void caller_answer_unread(caller_t *caller, unsigned status, const char *reason,
			  int64_t retry_after_ms)
{
	buf_t out = BUF_INIT;
	own_reply_t reply = {.status = status,
			     .outcome = OUTCOME_NOT_RUN,
			     .step = "read",
			     .reason = reason,
			     .retry_after_ms = retry_after_ms,
			     .close = true};
	const dialect_t *dialect = caller->router->dialect;

	dialect->ops->write_own_reply(dialect, NULL, &reply, &out);
	if (caller->http.head.complete && caller->http.head.method == HTTP_HEAD)
		httptext_drop_body(&out);
	tcp_send(&caller->tcp, buf_view(&out));
	buf_release(&out);
	http1_release(&caller->http);
	caller_release_body(caller);
	caller_begin_close(caller);
}

void caller_reject(caller_t *caller, unsigned status, const char *reason,
		   int64_t retry_after_ms)
{
	char peer[ADDRESS_BYTES];

	tcp_peer(&caller->tcp, peer);
	metrics_add(METRIC_INVALID_INPUT, STR_LIT("callers"), 1);
	plog_write(PLOG_REQUEST_INVALID,
		   "peer=%s step=read status=%u reason=\"%s\"", peer, status,
		   reason);
	caller_answer_unread(caller, status, reason, retry_after_ms);
}

static void reject(caller_t *caller, unsigned status, const char *reason)
{
	caller_reject(caller, status, reason, -1);
}

int64_t caller_retry_ms(caller_t *caller)
{
	return RETRY_MS + (int64_t)(router_random(caller->router) % RETRY_MS);
}

void caller_on_timeout(caller_t *caller)
{
	if (caller->request)
		return;
	if (caller->closing || !http1_has_begun(&caller->http)) {
		/* An orderly close would make the part that was sent of a
		 * response without a length look complete. */
		if (tcp_unsent(&caller->tcp))
			tcp_reset_on_close(&caller->tcp);
		caller_destroy(caller);
		return;
	}
	reject(caller, 408, "the request did not arrive in time");
}

static void on_body(http1_t *http, str_t data)
{
	caller_t *caller =
		(caller_t *)((char *)http - offsetof(caller_t, http));
	callermem_t *mem = &caller->router->caller_memory;
	size_t cap = buf_grown_cap(&caller->body, data.len);

	if (caller->too_large ||
	    caller->body.len + data.len > caller_limits(caller).body_bytes) {
		caller->too_large = true;
		return;
	}
	if (!callermem_may_grow(mem, &caller->memory, cap))
		caller_make_body_room(caller, cap);
	if (!callermem_may_grow(mem, &caller->memory, cap)) {
		caller->body_memory_full = true;
		return;
	}
	buf_append_str(&caller->body, data);
	caller_account(caller);
}

/* True when there is no memory for the buffers of this connection. Rejects the
 * request then. */
static bool reject_without_room(caller_t *caller)
{
	const callermem_t *mem = &caller->router->caller_memory;

	caller_account(caller);
	if (!caller->memory.buffer_bytes || !callermem_is_exceeded(mem))
		return false;
	caller_make_buffer_room(caller);
	if (!callermem_is_exceeded(mem))
		return false;
	caller_reject(caller, 503, "no room for the request",
		      caller_retry_ms(caller));
	return true;
}

/* Rejects a request that is beyond the limits; true if it was. */
static bool reject_beyond_limits(caller_t *caller)
{
	const http1_head_t *head = &caller->http.head;

	if (caller->too_large ||
	    (head->has_content_length &&
	     head->content_length > caller_limits(caller).body_bytes)) {
		reject(caller, 413, "the body is too large");
		return true;
	}
	if (caller->body_memory_full) {
		caller_reject(caller, 503, "no room for the body",
			      caller_retry_ms(caller));
		return true;
	}
	return reject_without_room(caller);
}

/* Checks limits and sets timeouts after a part of a message was read. */
static void on_partial(caller_t *caller)
{
	const http1_head_t *head = &caller->http.head;
	catalog_limits_t limits = caller_limits(caller);

	if (!http1_has_begun(&caller->http) || reject_beyond_limits(caller))
		return;
	if (!head->complete) {
		/* The first bytes of a head shorten the idle timeout to the
		 * head timeout. Later bytes don't extend it. */
		if (!caller->timer.due_ms ||
		    caller->timer.due_ms > router_now_ms(caller->router) +
						   limits.head_timeout_ms)
			caller_set_timer(caller, limits.head_timeout_ms);
		return;
	}
	caller_set_timer(caller, limits.idle_timeout_ms);
	if (!caller->sent_continue &&
	    http1_name_equals(http1_find(head, STR_LIT("Expect")),
			      STR_LIT("100-continue"))) {
		caller->sent_continue = true;
		tcp_send(&caller->tcp,
			 STR_LIT("HTTP/1.1 100 Continue\r\n\r\n"));
	}
}

static void on_message(caller_t *caller)
{
	if (reject_beyond_limits(caller))
		return;
	loop_timer_cancel(caller->router->loop, &caller->timer);
	request_start(caller->router, caller);
}

static void count_progress(caller_t *caller, bool had_begun, size_t len)
{
	size_t part = caller->body.len / PROGRESS_DIVISOR;
	size_t step = part > PROGRESS_BYTES ? part : PROGRESS_BYTES;

	caller->progress_bytes += len;
	if (!had_begun || caller->progress_bytes >= step)
		caller_progressed(caller);
}

bool caller_output_waits(const caller_t *caller)
{
	return caller_is_slow(caller);
}

/* Parses bytes until a request runs, the caller must read first, or the
 * connection closes.
 *
 * RETURN VALUE: the bytes that are left. */
static str_t parse(caller_t *caller, str_t data)
{
	while (data.len && !caller->request && !caller_is_closed(caller) &&
	       !caller->closing && !caller_output_waits(caller)) {
		bool had_begun = http1_has_begun(&caller->http);
		size_t consumed;
		http1_result_t result =
			http1_feed(&caller->http, data, &consumed);

		data = (str_t){data.ptr + consumed, data.len - consumed};
		count_progress(caller, had_begun, consumed);
		if (result == HTTP1_MESSAGE)
			on_message(caller);
		else if (result == HTTP1_HEAD_TOO_LARGE)
			reject(caller, 431, "the head is too large");
		else if (result == HTTP1_MALFORMED)
			reject(caller, 400, "the request is malformed");
		else
			on_partial(caller);
	}
	return data;
}

/* Keeps bytes that can't be parsed yet; drops them when the connection closes.
 */
static void keep_input(caller_t *caller, str_t data)
{
	const callermem_t *mem = &caller->router->caller_memory;
	size_t max_bytes = callermem_is_pressed(mem) ?
				   PRESSURE_PIPELINED_BYTES :
				   PIPELINED_BYTES;

	if (caller_is_closed(caller) || caller->closing)
		return;
	buf_append_str(&caller->pipelined, data);
	tcp_set_reading(&caller->tcp, caller->pipelined.len <= max_bytes &&
					      !caller_output_waits(caller));
}

void caller_parse_kept(caller_t *caller)
{
	buf_t bytes = caller->pipelined;

	caller->pipelined = (buf_t)BUF_INIT;
	keep_input(caller, parse(caller, buf_view(&bytes)));
	buf_release(&bytes);
	caller_account(caller);
}

/* Parses received bytes, behind those that were received before them. */
static void take_input(caller_t *caller, str_t data)
{
	if (!caller->pipelined.len) {
		keep_input(caller, parse(caller, data));
		caller_account(caller);
		return;
	}
	keep_input(caller, data);
	caller_parse_kept(caller);
}

/* True when input can't be parsed yet and must stay with the kernel, since the
 * memory for callers' buffers is short. */
static bool must_leave_input(const caller_t *caller)
{
	return !caller->closing &&
	       (caller->request || caller->pipelined.len ||
		caller_output_waits(caller)) &&
	       callermem_is_pressed(&caller->router->caller_memory);
}

void caller_read(caller_t *caller, uint32_t events)
{
	char *buffer = caller->router->read_buffer;
	size_t len;

	if (!(events & (EPOLLHUP | EPOLLERR)) && must_leave_input(caller)) {
		tcp_set_reading(&caller->tcp, false);
		return;
	}
	switch (tcp_read(&caller->tcp, buffer, ROUTER_READ_BYTES, &len)) {
	case TCP_READ_DATA:
		if (!caller->closing)
			take_input(caller, (str_t){buffer, len});
		return;
	case TCP_READ_AGAIN:
		return;
	case TCP_READ_END:
	case TCP_READ_BROKEN:
	case TCP_READ_TIMED_OUT:
		caller_destroy(caller);
		return;
	}
}
