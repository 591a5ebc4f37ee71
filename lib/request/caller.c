#include "request/caller_internal.h"

#include <stdlib.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "base/metrics.h"

/* Limits until the first configuration (see catalog.h) is loaded. */
#define CALLER_HEAD_BYTES 16384
#define CALLER_BODY_BYTES (4 * 1024 * 1024)
#define CALLER_HEAD_TIMEOUT_MS 3000
#define CALLER_IDLE_TIMEOUT_MS 15000
/* How long input is discarded after the last response. */
#define CALLER_LINGER_MS 1000
/* Unsent output of a caller above which the host pauses reading the response
 * from the endpoint, and further requests of the caller. */
#define CALLER_SLOW_BYTES 65536
/* The same while the unsent output of all callers exceeds
 * CALLER_MAX_UNSENT_BYTES, which fits the memory of a small host, or the memory
 * for callers' buffers is short. */
#define CALLER_PRESSURE_BYTES 4096
#define CALLER_MAX_UNSENT_BYTES (8 * 1024 * 1024)
/* A connection counts as idle only after this time: its first request may
 * still be in transit. */
#define CALLER_FIRST_REQUEST_MS 250
/* Body buffers above this size are freed between requests. */
#define CALLER_KEEP_BODY_BYTES 4096
/* Output counts as progress in steps of this size. */
#define CALLER_PROGRESS_BYTES 1024

catalog_limits_t caller_limits(const caller_t *caller)
{
	if (caller->router->catalog)
		return *catalog_get_limits(caller->router->catalog);
	return (catalog_limits_t){.head_bytes = CALLER_HEAD_BYTES,
				  .body_bytes = CALLER_BODY_BYTES,
				  .head_timeout_ms = CALLER_HEAD_TIMEOUT_MS,
				  .idle_timeout_ms = CALLER_IDLE_TIMEOUT_MS};
}

bool caller_is_closed(const caller_t *caller)
{
	return caller->tcp.fd < 0;
}

static void on_timer(void *user)
{
	caller_on_timeout(user);
}

void caller_set_timer(caller_t *caller, int64_t ms)
{
	loop_timer_set(caller->router->loop, &caller->timer, ms, on_timer,
		       caller);
}

void caller_progressed(caller_t *caller)
{
	caller->progress_ms = router_now_ms(caller->router);
	caller->progress_bytes = 0;
	caller->progress_written = caller->tcp.written;
}

void caller_account(caller_t *caller)
{
	router_t *router = caller->router;
	size_t unsent = tcp_unsent(&caller->tcp);

	router->unsent_response_bytes += unsent - caller->counted_unsent;
	caller->counted_unsent = unsent;
	callermem_set(&router->caller_memory, &caller->memory, caller->body.cap,
		      caller->pipelined.cap + caller->tcp.out.cap +
			      http1_capacity(&caller->http));
	caller_watch_memory(router);
}

void caller_destroy(caller_t *caller)
{
	router_t *router = caller->router;

	if (caller_is_closed(caller))
		return;
	loop_timer_cancel(router->loop, &caller->timer);
	loop_timer_cancel(router->loop, &caller->parse_timer);
	tcp_close(&caller->tcp);
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
	buf_release(&caller->body);
	buf_release(&caller->pipelined);
	caller_account(caller);
	router->caller_count--;
	router_defer_free(router, caller);
}

/* Shuts down the sending side and discards further input: closing with unread
 * bytes would reset the connection, and the caller might lose the response. */
static void begin_linger(caller_t *caller)
{
	caller->lingering = true;
	tcp_shutdown_write(&caller->tcp);
	caller_set_timer(caller, CALLER_LINGER_MS);
}

void caller_begin_close(caller_t *caller)
{
	caller->closing = true;
	buf_release(&caller->pipelined);
	caller_account(caller);
	tcp_set_reading(&caller->tcp, true);
	if (!tcp_unsent(&caller->tcp))
		begin_linger(caller);
	else
		caller_set_timer(caller, caller_limits(caller).idle_timeout_ms);
}

void caller_release_body(caller_t *caller)
{
	buf_release(&caller->body);
	caller_account(caller);
}

static void clear_body(caller_t *caller)
{
	buf_reset(&caller->body);
	if (caller->body.cap > CALLER_KEEP_BODY_BYTES)
		buf_release(&caller->body);
}

static void on_parse_timer(void *user)
{
	caller_t *caller = user;
	router_t *router = caller->router;

	caller_parse_kept(caller);
	router_free_deferred(router);
}

/* Goes on with input that waited for the caller to read. */
static void resume_input(caller_t *caller)
{
	if (caller->request || caller->closing || caller_output_waits(caller))
		return;
	if (caller->pipelined.len)
		caller_parse_kept(caller);
	else
		tcp_set_reading(&caller->tcp, true);
}

/* Continues after the socket has accepted output. */
static void on_output(caller_t *caller)
{
	caller_account(caller);
	if (!tcp_unsent(&caller->tcp) ||
	    caller->tcp.written - caller->progress_written >=
		    CALLER_PROGRESS_BYTES) {
		caller_progressed(caller);
		if (!caller->request &&
		    (caller->closing || !http1_has_begun(&caller->http)))
			caller_set_timer(caller,
					 caller_limits(caller).idle_timeout_ms);
	}
	if (caller->closing && !caller->lingering && !tcp_unsent(&caller->tcp))
		begin_linger(caller);
	else if (caller->request && caller->request->channel &&
		 !caller_is_slow(caller))
		request_resume_reading(caller->request);
	resume_input(caller);
}

static void handle_events(caller_t *caller, uint32_t events)
{
	if (events & EPOLLOUT) {
		if (!tcp_flush(&caller->tcp)) {
			caller_destroy(caller);
			return;
		}
		on_output(caller);
	}
	if (events & (EPOLLIN | EPOLLHUP | EPOLLERR))
		caller_read(caller, events);
}

static void on_io(void *user, uint32_t events)
{
	caller_t *caller = user;
	router_t *router = caller->router;

	handle_events(caller, events);
	router_free_deferred(router);
}

static void open_caller(router_t *router, int fd)
{
	caller_t *caller = calloc(1, sizeof(*caller));

	if (!caller)
		abort();
	caller->router = router;
	caller->opened_ms = router_now_ms(router);
	tcp_open(&caller->tcp, router->loop, fd, on_io, caller);
	http1_init(&caller->http, &caller_http_ops, HTTP_REQUEST,
		   caller_limits(caller).head_bytes);
	caller->next = router->callers;
	if (caller->next)
		caller->next->prev = caller;
	router->callers = caller;
	router->caller_count++;
	caller_progressed(caller);
	caller_set_timer(caller, caller_limits(caller).idle_timeout_ms);
}

void caller_accept(router_t *router, int listen_fd)
{
	int fd;

	while ((fd = tcp_accept(listen_fd)) >= 0) {
		if (router->caller_count <
			    router->caller_memory.limits.max_callers ||
		    caller_make_connection_room(router)) {
			open_caller(router, fd);
			continue;
		}
		metrics_inc(METRIC_CALLERS_REFUSED);
		close(fd);
	}
}

void caller_send(caller_t *caller, str_t data)
{
	if (!tcp_unsent(&caller->tcp))
		caller_progressed(caller);
	tcp_send(&caller->tcp, data);
	caller_account(caller);
}

bool caller_is_slow(const caller_t *caller)
{
	const router_t *router = caller->router;
	bool low_memory =
		router->unsent_response_bytes > CALLER_MAX_UNSENT_BYTES ||
		callermem_is_pressed(&router->caller_memory);

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
		caller_begin_close(caller);
		return;
	}
	http1_next(&caller->http);
	caller->answered = true;
	caller_account(caller);
	if (!tcp_unsent(&caller->tcp))
		caller_progressed(caller);
	caller_set_timer(caller, caller_limits(caller).idle_timeout_ms);
	/* Input that was kept is parsed before more is read. */
	tcp_set_reading(&caller->tcp,
			!caller->pipelined.len && !caller_output_waits(caller));
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
		caller_begin_close(caller);
		return;
	}
	tcp_reset_on_close(&caller->tcp);
	caller_destroy(caller);
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
			caller_begin_close(caller);
	}
}

static void end_request(caller_t *caller)
{
	static const char reason[] = "the host stops";

	if (caller->request)
		request_fail(caller->request, reason);
	else if (!caller->closing && http1_has_begun(&caller->http))
		caller_answer_unread(caller, 503, reason,
				     caller_retry_ms(caller));
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
		caller_destroy(router->callers);
}
