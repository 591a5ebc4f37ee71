#include "request/caller.h"

#include <stdlib.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "base/metrics.h"
#include "base/plog.h"
#include "transport/httptext.h"

/* Connections; fits the file descriptor limit of a small host. */
#define CALLER_MAX 2500
/* Bodies of all requests together; fits the memory of a small host. */
#define CALLER_MAX_BODY_BYTES (48 * 1024 * 1024)
/* Limits until the first configuration (see catalog.h) is loaded. */
#define CALLER_HEAD_BYTES 16384
#define CALLER_BODY_BYTES (4 * 1024 * 1024)
#define CALLER_HEAD_TIMEOUT_MS 3000
#define CALLER_IDLE_TIMEOUT_MS 15000
/* How long input is discarded after the last response. */
#define CALLER_LINGER_MS 1000
/* Pipelined bytes above which reading pauses until the running request ends. */
#define CALLER_PIPELINED_BYTES 65536
/* Unsent output of a caller above which the host pauses reading the response
 * from the endpoint. */
#define CALLER_SLOW_BYTES 65536
/* The same while the unsent output of all callers exceeds
 * CALLER_MAX_UNSENT_BYTES, which fits the memory of a small host. */
#define CALLER_PRESSURE_BYTES 4096
#define CALLER_MAX_UNSENT_BYTES (8 * 1024 * 1024)
/* A connection counts as idle only after this time: its first request may
 * still be in transit. */
#define CALLER_FIRST_REQUEST_MS 250
/* Body buffers above this size are freed between requests. */
#define CALLER_KEEP_BODY_BYTES 4096
/* Retry-After of a request that could not be read to its end, plus a random
 * part of up to the same time. */
#define CALLER_RETRY_MS 500

static void on_timer(void *user);
static void on_parse_timer(void *user);

static catalog_limits_t limits_of(const caller_t *caller)
{
	if (caller->router->catalog)
		return *catalog_get_limits(caller->router->catalog);
	return (catalog_limits_t){.head_bytes = CALLER_HEAD_BYTES,
				  .body_bytes = CALLER_BODY_BYTES,
				  .head_timeout_ms = CALLER_HEAD_TIMEOUT_MS,
				  .idle_timeout_ms = CALLER_IDLE_TIMEOUT_MS};
}

static bool is_closed(const caller_t *caller)
{
	return caller->tcp.fd < 0;
}

static void set_timer(caller_t *caller, int64_t ms)
{
	loop_timer_set(caller->router->loop, &caller->timer, ms, on_timer,
		       caller);
}

static void update_unsent(caller_t *caller)
{
	size_t unsent = tcp_unsent(&caller->tcp);

	caller->router->unsent_response_bytes +=
		unsent - caller->counted_unsent;
	caller->counted_unsent = unsent;
}

static void destroy(caller_t *caller)
{
	router_t *router = caller->router;

	if (is_closed(caller))
		return;
	loop_timer_cancel(router->loop, &caller->timer);
	loop_timer_cancel(router->loop, &caller->parse_timer);
	tcp_close(&caller->tcp);
	update_unsent(caller);
	if (caller->request)
		request_abandon(caller->request);
	caller->request = NULL;
	if (caller->prev)
		caller->prev->next = caller->next;
	else
		router->callers = caller->next;
	if (caller->next)
		caller->next->prev = caller->prev;
	http1_release(&caller->http);
	router->request_body_bytes -= caller->body.len;
	buf_release(&caller->body);
	buf_release(&caller->pipelined);
	router->caller_count--;
	router_defer_free(router, caller);
}

/* Shuts down the sending side and discards further input: closing with unread
 * bytes would reset the connection, and the caller might lose the response. */
static void begin_linger(caller_t *caller)
{
	caller->lingering = true;
	tcp_shutdown_write(&caller->tcp);
	set_timer(caller, CALLER_LINGER_MS);
}

static void begin_close(caller_t *caller)
{
	caller->closing = true;
	buf_release(&caller->pipelined);
	tcp_set_reading(&caller->tcp, true);
	if (!tcp_unsent(&caller->tcp))
		begin_linger(caller);
	else
		set_timer(caller, limits_of(caller).idle_timeout_ms);
}

/* Answers a request that was not read to its end, and closes the connection.
 * `retry_after_ms` may be -1 for none. */
static void answer_unread(caller_t *caller, unsigned status, const char *reason,
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
	begin_close(caller);
}

/* Answers a request that is malformed, too large or late, or whose body exceeds
 * the memory for bodies. Logs and counts it as invalid input. */
static void reject_with_retry(caller_t *caller, unsigned status,
			      const char *reason, int64_t retry_after_ms)
{
	char peer[ADDRESS_BYTES];

	tcp_peer(&caller->tcp, peer);
	metrics_add(METRIC_INVALID_INPUT, STR_LIT("callers"), 1);
	plog_write(PLOG_REQUEST_INVALID,
		   "peer=%s step=read status=%u reason=\"%s\"", peer, status,
		   reason);
	answer_unread(caller, status, reason, retry_after_ms);
}

static void reject(caller_t *caller, unsigned status, const char *reason)
{
	reject_with_retry(caller, status, reason, -1);
}

/* RETURN VALUE: a Retry-After with jitter, for a request that another host, or
 * this one a little later, can take. */
static int64_t retry_ms(caller_t *caller)
{
	return CALLER_RETRY_MS +
	       (int64_t)(router_random(caller->router) % CALLER_RETRY_MS);
}

/* Answers 503 with a Retry-After when no memory is left for the body. */
static void reject_body(caller_t *caller)
{
	reject_with_retry(caller, 503, "no room for the body",
			  retry_ms(caller));
}

static void on_timer(void *user)
{
	caller_t *caller = user;

	if (caller->request)
		return;
	if (caller->closing || !http1_has_begun(&caller->http))
		destroy(caller);
	else
		reject(caller, 408, "the request did not arrive in time");
}

static void on_body(http1_t *http, str_t data)
{
	caller_t *caller =
		(caller_t *)((char *)http - offsetof(caller_t, http));

	router_t *router = caller->router;

	if (caller->too_large ||
	    caller->body.len + data.len > limits_of(caller).body_bytes) {
		caller->too_large = true;
		return;
	}
	if (router->request_body_bytes + data.len > CALLER_MAX_BODY_BYTES) {
		caller->body_memory_full = true;
		return;
	}
	router->request_body_bytes += data.len;
	buf_append_str(&caller->body, data);
}

static const http1_ops_t http_ops = {on_body};

static void clear_body(caller_t *caller)
{
	caller->router->request_body_bytes -= caller->body.len;
	buf_reset(&caller->body);
	if (caller->body.cap > CALLER_KEEP_BODY_BYTES)
		buf_release(&caller->body);
}

/* Checks limits and sets timeouts after a part of a message was read. */
static void on_partial(caller_t *caller)
{
	const http1_head_t *head = &caller->http.head;
	catalog_limits_t limits = limits_of(caller);

	if (!http1_has_begun(&caller->http))
		return;
	if (caller->too_large || (head->has_content_length &&
				  head->content_length > limits.body_bytes)) {
		reject(caller, 413, "the body is too large");
		return;
	}
	if (caller->body_memory_full) {
		reject_body(caller);
		return;
	}
	if (!head->complete) {
		/* The first bytes of a head shorten the idle timeout to the
		 * head timeout. Later bytes don't extend it. */
		if (!caller->timer.due_ms ||
		    caller->timer.due_ms > router_now_ms(caller->router) +
						   limits.head_timeout_ms)
			set_timer(caller, limits.head_timeout_ms);
		return;
	}
	set_timer(caller, limits.idle_timeout_ms);
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
	if (caller->too_large) {
		reject(caller, 413, "the body is too large");
		return;
	}
	if (caller->body_memory_full) {
		reject_body(caller);
		return;
	}
	loop_timer_cancel(caller->router->loop, &caller->timer);
	request_start(caller->router, caller);
}

/* Parses bytes until a request runs or the connection closes.
 *
 * RETURN VALUE: the bytes that are left. */
static str_t parse(caller_t *caller, str_t data)
{
	while (data.len && !caller->request && !is_closed(caller) &&
	       !caller->closing) {
		size_t consumed;
		http1_result_t result =
			http1_feed(&caller->http, data, &consumed);

		data = (str_t){data.ptr + consumed, data.len - consumed};
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
	if (is_closed(caller) || caller->closing)
		return;
	buf_append_str(&caller->pipelined, data);
	tcp_set_reading(&caller->tcp,
			caller->pipelined.len <= CALLER_PIPELINED_BYTES);
}

static void parse_pipelined(caller_t *caller)
{
	buf_t bytes = caller->pipelined;

	caller->pipelined = (buf_t)BUF_INIT;
	keep_input(caller, parse(caller, buf_view(&bytes)));
	buf_release(&bytes);
}

static void on_parse_timer(void *user)
{
	parse_pipelined(user);
}

/* Parses received bytes, behind those that were received before them. */
static void take_input(caller_t *caller, str_t data)
{
	if (!caller->pipelined.len) {
		keep_input(caller, parse(caller, data));
		return;
	}
	keep_input(caller, data);
	parse_pipelined(caller);
}

static void read_input(caller_t *caller)
{
	char *buffer = caller->router->read_buffer;
	size_t len;

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
		destroy(caller);
		return;
	}
}

static void on_io(void *user, uint32_t events)
{
	caller_t *caller = user;

	if (events & EPOLLOUT) {
		if (!tcp_flush(&caller->tcp)) {
			destroy(caller);
			return;
		}
		update_unsent(caller);
		if (caller->closing && !caller->lingering &&
		    !tcp_unsent(&caller->tcp))
			begin_linger(caller);
		else if (caller->request && caller->request->channel &&
			 !caller_is_slow(caller))
			request_resume_reading(caller->request);
	}
	if (events & (EPOLLIN | EPOLLHUP | EPOLLERR))
		read_input(caller);
}

static void open_caller(router_t *router, int fd)
{
	caller_t *caller = calloc(1, sizeof(*caller));

	if (!caller)
		abort();
	caller->router = router;
	caller->opened_ms = router_now_ms(router);
	tcp_open(&caller->tcp, router->loop, fd, on_io, caller);
	http1_init(&caller->http, &http_ops, HTTP_REQUEST,
		   limits_of(caller).head_bytes);
	caller->next = router->callers;
	if (caller->next)
		caller->next->prev = caller;
	router->callers = caller;
	router->caller_count++;
	set_timer(caller, limits_of(caller).idle_timeout_ms);
}

void caller_accept(router_t *router, int listen_fd)
{
	int fd;

	while ((fd = tcp_accept(listen_fd)) >= 0) {
		if (router->caller_count < CALLER_MAX) {
			open_caller(router, fd);
			continue;
		}
		metrics_inc(METRIC_CALLERS_REFUSED);
		close(fd);
	}
}

void caller_send(caller_t *caller, str_t data)
{
	tcp_send(&caller->tcp, data);
	update_unsent(caller);
}

bool caller_is_slow(const caller_t *caller)
{
	bool low_memory =
		caller->router->unsent_response_bytes > CALLER_MAX_UNSENT_BYTES;

	return tcp_unsent(&caller->tcp) >
	       (low_memory ? CALLER_PRESSURE_BYTES : CALLER_SLOW_BYTES);
}

bool caller_must_close(const caller_t *caller)
{
	return !caller->http.head.keep_alive ||
	       (caller->router->stopping && !caller->pipelined.len);
}

void caller_answered(caller_t *caller, bool close)
{
	caller->request = NULL;
	caller->sent_continue = false;
	clear_body(caller);
	if (close) {
		begin_close(caller);
		return;
	}
	http1_next(&caller->http);
	set_timer(caller, limits_of(caller).idle_timeout_ms);
	tcp_set_reading(&caller->tcp, true);
	/* Deferred, since a function that uses the ended request may be on the
	 * stack. */
	if (caller->pipelined.len)
		loop_timer_set(caller->router->loop, &caller->parse_timer, 0,
			       on_parse_timer, caller);
}

void caller_abort(caller_t *caller, bool reset)
{
	caller->request = NULL;
	if (!reset) {
		begin_close(caller);
		return;
	}
	tcp_reset_on_close(&caller->tcp);
	destroy(caller);
}

/* True when the connection has no request in progress and none to be read. */
static bool is_idle(const caller_t *caller)
{
	int64_t age_ms = router_now_ms(caller->router) - caller->opened_ms;

	return !caller->request && !caller->closing && !caller->pipelined.len &&
	       !http1_has_begun(&caller->http) &&
	       age_ms >= CALLER_FIRST_REQUEST_MS &&
	       !tcp_has_input(&caller->tcp);
}

void caller_close_idle(router_t *router)
{
	caller_t *next;

	for (caller_t *caller = router->callers; caller; caller = next) {
		next = caller->next;
		if (is_idle(caller))
			begin_close(caller);
	}
}

static void end_request(caller_t *caller)
{
	static const char reason[] = "the host stops";

	if (caller->request)
		request_fail(caller->request, reason);
	else if (!caller->closing && http1_has_begun(&caller->http))
		answer_unread(caller, 503, reason, retry_ms(caller));
}

void caller_end_requests(router_t *router)
{
	caller_t *next;

	for (caller_t *caller = router->callers; caller; caller = next) {
		next = caller->next;
		end_request(caller);
	}
}

void caller_close_all(router_t *router)
{
	while (router->callers)
		destroy(router->callers);
}
