#include "request/channel_internal.h"

#include <stdlib.h>
#include <sys/epoll.h>

#include "base/plog.h"
#include "request/crashes.h"
#include "request/limits.h"
#include "request/notices.h"

/* The request states the time that was left when connecting began; a longer
 * connect would make that value wrong. */
#define CHANNEL_CONNECT_TIMEOUT_MS 450
/* Unacknowledged bytes or unanswered keep-alive probes break a connection after
 * this time. */
#define CHANNEL_UNACKED_TIMEOUT_MS 1500
/* A request that may run only once takes an idle connection only if it was used
 * this recently: endpoints may close older ones without notice. */
#define CHANNEL_FRESH_MS 1000
#define CHANNEL_MAX_HEAD_BYTES 32768
/* Interim responses, and those to other requests, before a request's own. */
#define CHANNEL_MAX_STRAY_ANSWERS 8
/* Body bytes of refusals and of responses to other requests. */
#define CHANNEL_MAX_DISCARDED_BYTES 65536

static void on_io(void *user, uint32_t events);

static bool is_closed(const channel_t *channel)
{
	return channel->tcp.fd < 0;
}

void channel_destroy(channel_t *channel)
{
	router_t *router = channel->router;

	if (is_closed(channel))
		return;
	loop_timer_cancel(router->loop, &channel->connect_timer);
	tcp_close(&channel->tcp);
	http1_release(&channel->http);
	channel->endpoint->channel_count--;
	endpoint_unref(channel->endpoint);
	router_defer_free(router, channel);
}

static void fail(channel_t *channel, send_failure_t failure)
{
	request_t *request = channel->request;

	channel->request = NULL;
	channel_destroy(channel);
	if (!request)
		return;
	request->channel = NULL;
	request_on_failure(request, failure);
}

static void on_connect_timeout(void *user)
{
	fail(user, SEND_NOT_CONNECTED);
}

static bool is_refusal(const reply_t *reply)
{
	return reply->not_run || reply->misdirected;
}

/* True when the head of a refusal has arrived, which is enough to know that the
 * request did not run. */
static bool was_refused(const channel_t *channel)
{
	return channel->head_read && !channel->for_other_request &&
	       !channel->untrusted && is_refusal(&channel->reply);
}

/* Fails the send because its connection broke. */
static void fail_broken(channel_t *channel, send_break_t cause)
{
	if (channel->request)
		channel->request->last_break = cause;
	if (!channel->tcp.written)
		fail(channel, SEND_NOT_CONNECTED);
	else
		fail(channel, was_refused(channel) ? SEND_NOT_RUN : SEND_LOST);
}

/* Parses the response head and sets `for_other_request` and `untrusted`; see
 * channel_t. */
static void classify(channel_t *channel)
{
	const dialect_t *dialect = channel->router->dialect;
	reply_t *reply = &channel->reply;
	str_t own_id = channel->request->call.id;
	bool success, trusted;

	channel->head_read = true;
	dialect->ops->read_reply(dialect, &channel->http.head, reply);
	notices_apply(channel->router, channel->endpoint, reply);
	crashes_on_reply(channel->router, channel->endpoint,
			 channel->opened_ms);
	success = reply->status >= 200 && reply->status < 300;
	channel->for_other_request =
		reply->status < 200 ||
		(reply->id.ptr && !str_equals(reply->id, own_id));
	/* A response without an id may belong to an earlier request on the
	 * connection, and a refusal promises nothing unless it names the
	 * request. */
	channel->untrusted =
		!channel->for_other_request &&
		((!reply->id.ptr && own_id.ptr &&
		  (channel->answers.answers || is_refusal(reply))) ||
		 (success && (!reply->stamped || reply->encoded)));
	trusted = !channel->for_other_request && !channel->untrusted;
	limits_apply(channel->router, channel->endpoint, reply, trusted,
		     channel->request->sent_ms);
	if (trusted)
		request_on_reply_head(channel->request, &channel->http.head,
				      reply);
}

static void on_body(http1_t *http, str_t data)
{
	channel_t *channel =
		(channel_t *)((char *)http - offsetof(channel_t, http));

	if (!channel->request)
		return;
	if (!channel->head_read)
		classify(channel);
	if (channel->for_other_request || channel->untrusted ||
	    is_refusal(&channel->reply))
		channel->discarded_bytes += data.len;
	else
		request_on_reply_body(channel->request, data);
}

static const http1_ops_t http_ops = {on_body};

static void reset_response(channel_t *channel)
{
	http1_next(&channel->http);
	channel->head_read = false;
	channel->for_other_request = false;
	channel->untrusted = false;
}

/* True when a late copy of an earlier response on the connection would be taken
 * for that to the request: it has the same id, or the request has none. */
static bool may_confuse(const channel_t *channel, const request_t *request)
{
	return request->call.id.ptr ?
		       answerlog_has(&channel->answers, request->id_hash) :
		       channel->answers.answers > 0;
}

/* Ends the send after the request's complete response. `rest` more bytes were
 * received; `at_end` means that the endpoint closed the connection. */
static void on_answer(channel_t *channel, size_t rest, bool at_end)
{
	request_t *request = channel->request;
	bool reusable = !rest && !at_end && channel->http.head.keep_alive &&
			(channel->reply.id.ptr || !request->call.id.ptr) &&
			!tcp_unsent(&channel->tcp) &&
			!answerlog_is_full(&channel->answers) &&
			channel->endpoint->state != ENDPOINT_GONE &&
			notices_check(channel->router, channel->endpoint) !=
				NOTICE_LEAVING;

	channel->request = NULL;
	request->channel = NULL;
	answerlog_add(&channel->answers, request->id_hash,
		      is_refusal(&channel->reply));
	request_on_reply_end(request, &channel->http.head, &channel->reply);
	if (!reusable) {
		channel_destroy(channel);
		return;
	}
	channel_keep_idle(channel);
	reset_response(channel);
}

/* Fails the send after too many stray responses or discarded bytes. */
static void fail_too_long(channel_t *channel)
{
	plog_write(PLOG_ANSWER_TOO_LONG, "endpoint=%s strays=%u ignored=%zu",
		   channel->endpoint->id, channel->stray_answers,
		   channel->discarded_bytes);
	fail(channel, was_refused(channel) ? SEND_NOT_RUN : SEND_LOST);
}

/* RETURN VALUE: true when the connection still waits for the response to its
 * request. */
static bool on_message(channel_t *channel, size_t rest, bool at_end)
{
	if (!channel->head_read)
		classify(channel);
	if (channel->for_other_request) {
		plog_write(PLOG_ANSWER_FOREIGN, "endpoint=%s status=%u",
			   channel->endpoint->id, channel->reply.status);
		reset_response(channel);
		if (++channel->stray_answers <= CHANNEL_MAX_STRAY_ANSWERS)
			return true;
		fail_too_long(channel);
		return false;
	}
	if (channel->untrusted) {
		fail(channel, SEND_LOST);
		return false;
	}
	on_answer(channel, rest, at_end);
	return false;
}

static void feed(channel_t *channel, str_t data)
{
	while (data.len) {
		size_t consumed;
		http1_result_t result =
			http1_feed(&channel->http, data, &consumed);

		if (!channel->request || is_closed(channel))
			return; /* the request ended in a callback */
		data = (str_t){data.ptr + consumed, data.len - consumed};
		if (result == HTTP1_MESSAGE) {
			if (!on_message(channel, data.len, false))
				return;
			continue;
		}
		if (result == HTTP1_MORE && channel->http.head.complete &&
		    !channel->head_read)
			classify(channel);
		if (result != HTTP1_MORE || channel->untrusted) {
			fail(channel, SEND_LOST);
			return;
		}
		if (channel->discarded_bytes > CHANNEL_MAX_DISCARDED_BYTES) {
			fail_too_long(channel);
			return;
		}
	}
}

/* Ends a response without a length, unless the endpoint closed the connection
 * before it had taken the whole request: it may have failed then. */
static void on_end(channel_t *channel)
{
	if (!tcp_is_acknowledged(&channel->tcp)) {
		fail_broken(channel, SEND_BREAK_CLOSED);
		return;
	}
	if (channel->request)
		channel->request->last_break = SEND_BREAK_CLOSED;
	if (http1_finish(&channel->http) == HTTP1_MESSAGE && channel->request) {
		if (on_message(channel, 0, true))
			fail(channel, SEND_LOST);
		return;
	}
	fail_broken(channel, SEND_BREAK_CLOSED);
}

static void read_input(channel_t *channel)
{
	char *buffer = channel->router->read_buffer;
	size_t len;

	if (!channel->request) {
		/* The endpoint has closed the idle connection, or sent bytes
		 * that belong to no request. */
		channel_unlink_idle(channel);
		channel_destroy(channel);
		return;
	}
	switch (tcp_read(&channel->tcp, buffer, ROUTER_READ_BYTES, &len)) {
	case TCP_READ_DATA:
		feed(channel, (str_t){buffer, len});
		return;
	case TCP_READ_AGAIN:
		if (channel->tcp.write_broken)
			fail_broken(channel, SEND_BREAK_RESET);
		return;
	case TCP_READ_END:
		on_end(channel);
		return;
	case TCP_READ_BROKEN:
		fail_broken(channel, SEND_BREAK_RESET);
		return;
	case TCP_READ_TIMED_OUT:
		fail_broken(channel, SEND_BREAK_TIMED_OUT);
		return;
	}
}

static bool on_connected(channel_t *channel)
{
	if (request_is_outdated(channel->request)) {
		fail(channel, SEND_OUTDATED);
		return false;
	}
	if (tcp_connect_result(&channel->tcp)) {
		fail(channel, SEND_NOT_CONNECTED);
		return false;
	}
	if (channel->tcp.early_input) {
		plog_write(PLOG_ANSWER_FOREIGN, "endpoint=%s status=0",
			   channel->endpoint->id);
		fail(channel, SEND_NOT_CONNECTED);
		return false;
	}
	loop_timer_cancel(channel->router->loop, &channel->connect_timer);
	tcp_set_dead_peer_timeout(&channel->tcp, CHANNEL_UNACKED_TIMEOUT_MS);
	request_on_sent(channel->request);
	return true;
}

static void on_io(void *user, uint32_t events)
{
	channel_t *channel = user;

	if (channel->tcp.connecting && !on_connected(channel))
		return;
	/* An endpoint may answer early and take no more of the request: what
	 * it sent is read before the connection counts as broken. */
	if ((events & EPOLLOUT) && !tcp_flush(&channel->tcp))
		events |= EPOLLIN;
	if (events & (EPOLLIN | EPOLLHUP | EPOLLERR))
		read_input(channel);
}

static channel_t *open_channel(request_t *request, endpoint_t *endpoint,
			       err_t *err)
{
	router_t *router = request->router;
	channel_t *channel;

	if (endpoint->channel_count >=
	    channel_limit(router, request->admission.service)) {
		err_set(err, ERR_FULL, "connect", endpoint->address,
			"no more connections to this endpoint");
		return NULL;
	}
	channel = calloc(1, sizeof(*channel));
	if (!channel)
		abort();
	channel->router = router;
	if (tcp_connect(&channel->tcp, router->loop, endpoint->address, on_io,
			channel, err)) {
		free(channel);
		return NULL;
	}
	channel->opened_ms = router_now_ms(router);
	channel->endpoint = endpoint;
	endpoint_ref(endpoint);
	endpoint->channel_count++;
	http1_init(&channel->http, &http_ops, HTTP_RESPONSE,
		   CHANNEL_MAX_HEAD_BYTES);
	loop_timer_set(router->loop, &channel->connect_timer,
		       CHANNEL_CONNECT_TIMEOUT_MS, on_connect_timeout, channel);
	return channel;
}

/* RETURN VALUE: the request's head and body in the router's scratch buffer,
 * valid until its next use. */
static str_t write_message(request_t *request, const endpoint_t *endpoint)
{
	router_t *router = request->router;
	const dialect_t *dialect = router->dialect;
	const catalog_customer_t *customer = request->admission.customer;
	send_params_t params = {
		.endpoint_id = str_from(endpoint->id),
		.customer = customer ? customer->name : (str_t){NULL, 0},
		.left_ms = request->deadline_ms - router_now_ms(router),
		.priority = request->admission.priority,
		.resume_after = str_from(request->last_event_id),
		.prefix_source = str_from(request->prefix_source),
		.body_len = request->body.len,
		.max_output_tokens =
			request->admission.route->max_output_tokens,
		.trace = str_from(request->trace_context),
		.boot_id = str_from(endpoint->warmth.boot_id)};

	buf_reset(&router->scratch);
	dialect->ops->write_call(dialect, request->head, &request->call,
				 &params, &router->scratch);
	buf_append_str(&router->scratch, request->body);
	return buf_view(&router->scratch);
}

err_code_t channel_send(request_t *request, endpoint_t *endpoint, err_t *err)
{
	router_t *router = request->router;
	str_t message = write_message(request, endpoint);
	int64_t max_idle_ms = admit_may_retry(&request->admission) ?
				      INT64_MAX :
				      CHANNEL_FRESH_MS;
	channel_t *channel;

	while ((channel = channel_take_idle(endpoint, max_idle_ms,
					    router_now_ms(router)))) {
		uint64_t before = channel->tcp.written;

		if (!may_confuse(channel, request) &&
		    (tcp_send(&channel->tcp, message) ||
		     channel->tcp.written > before))
			break;
		channel_destroy(channel); /* not a byte was sent */
	}
	if (!channel) {
		channel = open_channel(request, endpoint, err);
		if (!channel)
			return err->code;
		tcp_send(&channel->tcp, message);
	}
	channel->request = request;
	channel->http.no_body = request->head->method == HTTP_HEAD;
	channel->stray_answers = 0;
	channel->discarded_bytes = 0;
	request->channel = channel;
	if (!channel->tcp.connecting)
		request_on_sent(request);
	return ERR_OK;
}

void channel_cancel(channel_t *channel)
{
	channel->request = NULL;
	channel_destroy(channel);
}

void channel_set_reading(channel_t *channel, bool reading)
{
	tcp_set_reading(&channel->tcp, reading);
}
