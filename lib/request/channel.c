#include "request/channel.h"

#include <limits.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <xxhash.h>

#include "base/plog.h"
#include "request/notices.h"

/* A message states the time that is left when connecting begins. */
#define CHANNEL_CONNECT_MS 450
/* Unacknowledged bytes or unanswered probes break a connection after this. */
#define CHANNEL_SILENCE_MS 1500
/* Idle time allowed when the endpoint states none. */
#define CHANNEL_IDLE_MS 4000
/* Part of the stated idle time that is used, for the way to the endpoint. */
#define CHANNEL_IDLE_PART 0.6
/* A request that may run only once takes a connection that was used this
 * recently: endpoints may drop idle ones without notice. */
#define CHANNEL_FRESH_MS 1000
#define CHANNEL_HEAD_BYTES 32768
#define CHANNEL_MIN_LIMIT 4
/* Interim answers, and those to other requests, before a request's own. */
#define CHANNEL_MAX_STRAYS 8
/* Bytes of a refusal or of an answer to another request. */
#define CHANNEL_MAX_IGNORED_BYTES 65536

static void on_io(void *user, uint32_t events);

static bool is_closed(const channel_t *channel)
{
	return channel->tcp.fd < 0;
}

/* Ends the connection. The caller has taken the request off it. */
static void destroy(channel_t *channel)
{
	router_t *router = channel->router;

	if (is_closed(channel))
		return;
	loop_timer_cancel(router->loop, &channel->connect_timer);
	tcp_close(&channel->tcp);
	http1_release(&channel->http);
	channel->endpoint->channel_count--;
	endpoint_unref(channel->endpoint);
	router_free_later(router, channel);
}

static void fail(channel_t *channel, send_failure_t failure)
{
	request_t *request = channel->request;

	channel->request = NULL;
	destroy(channel);
	if (!request)
		return;
	request->channel = NULL;
	request_on_failure(request, failure);
}

/* What a broken connection means for its request. */
static send_failure_t broken_send(const channel_t *channel)
{
	return channel->tcp.written ? SEND_LOST : SEND_NOT_CONNECTED;
}

static void on_connect_timeout(void *user)
{
	fail(user, SEND_NOT_CONNECTED);
}

/* Reads the answer's head once; see channel_t. */
static void classify(channel_t *channel)
{
	const dialect_t *dialect = channel->router->dialect;
	reply_t *reply = &channel->reply;
	str_t own_id = channel->request->call.id;
	bool success;

	channel->head_read = true;
	dialect->ops->read_reply(dialect, &channel->http.head, reply);
	notices_take(channel->router, channel->endpoint, reply);
	success = reply->status >= 200 && reply->status < 300;
	channel->foreign = reply->status < 200 ||
			   (reply->id.ptr && !str_equals(reply->id, own_id));
	if (channel->foreign)
		return;
	/* Without an id, the answer to an earlier request on the connection
	 * can't be told from this one's. */
	channel->broken = (!reply->id.ptr && own_id.ptr && channel->answers) ||
			  (success && (!reply->stamped || reply->encoded));
	if (!channel->broken)
		request_on_reply_head(channel->request, &channel->http.head,
				      reply);
}

static bool is_refusal(const reply_t *reply)
{
	return reply->not_run || reply->misdirected;
}

static void on_body(http1_t *http, str_t data)
{
	channel_t *channel =
		(channel_t *)((char *)http - offsetof(channel_t, http));

	if (!channel->request)
		return;
	if (!channel->head_read)
		classify(channel);
	if (channel->foreign || channel->broken || is_refusal(&channel->reply))
		channel->ignored_bytes += data.len;
	else
		request_on_reply_body(channel->request, data);
}

static const http1_ops_t http_ops = {on_body};

static void next_answer(channel_t *channel)
{
	http1_next(&channel->http);
	channel->head_read = false;
	channel->foreign = false;
	channel->broken = false;
}

static int64_t idle_limit(const channel_t *channel)
{
	int64_t stated = channel->reply.keep_alive_ms;

	return stated >= 0 ? (int64_t)((double)stated * CHANNEL_IDLE_PART) :
			     CHANNEL_IDLE_MS;
}

static void keep(channel_t *channel)
{
	endpoint_t *endpoint = channel->endpoint;

	channel->idle_limit_ms = idle_limit(channel);
	channel->idle_since_ms = router_now_ms(channel->router);
	next_answer(channel);
	channel->next = endpoint->idle;
	endpoint->idle = channel;
}

static uint64_t hash_id(const request_t *request)
{
	return XXH64(request->call.id.ptr, request->call.id.len, 0);
}

/* True when a late copy of an earlier answer would pass for this request's. */
static bool has_answered(const channel_t *channel, const request_t *request)
{
	uint64_t id = hash_id(request);

	for (unsigned i = 0; i < channel->answers && i < CHANNEL_ANSWERED_IDS;
	     i++)
		if (channel->answered_ids[i] == id)
			return true;
	return false;
}

/* The request's own answer is complete; `rest` bytes follow it. */
static void on_answer(channel_t *channel, size_t rest, bool at_end)
{
	request_t *request = channel->request;
	bool kept = !rest && !at_end && channel->http.head.keep_alive &&
		    (channel->reply.id.ptr || !request->call.id.ptr) &&
		    !tcp_unsent(&channel->tcp) &&
		    channel->endpoint->state != ENDPOINT_GONE &&
		    notices_check(channel->router, channel->endpoint) !=
			    NOTICE_LEAVING;

	channel->request = NULL;
	request->channel = NULL;
	channel->answered_ids[channel->answers++ % CHANNEL_ANSWERED_IDS] =
		hash_id(request);
	request_on_reply_end(request, &channel->http.head, &channel->reply);
	if (kept)
		keep(channel);
	else
		destroy(channel);
}

/* Gives up an answer that has no end. A refusal is complete with its head. */
static void fail_too_long(channel_t *channel)
{
	bool refused = channel->head_read && !channel->foreign &&
		       is_refusal(&channel->reply);

	plog_write(PLOG_ANSWER_TOO_LONG, "endpoint=%s strays=%u ignored=%zu",
		   channel->endpoint->id, channel->strays,
		   channel->ignored_bytes);
	fail(channel, refused ? SEND_NOT_RUN : SEND_LOST);
}

/* RETURN VALUE: true when the connection is still open and in use. */
static bool on_message(channel_t *channel, size_t rest, bool at_end)
{
	if (!channel->head_read)
		classify(channel);
	if (channel->foreign) {
		plog_write(PLOG_ANSWER_FOREIGN, "endpoint=%s status=%u",
			   channel->endpoint->id, channel->reply.status);
		next_answer(channel);
		if (++channel->strays <= CHANNEL_MAX_STRAYS)
			return true;
		fail_too_long(channel);
		return false;
	}
	if (channel->broken) {
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
		if (result != HTTP1_MORE || channel->broken) {
			fail(channel, SEND_LOST);
			return;
		}
		if (channel->ignored_bytes > CHANNEL_MAX_IGNORED_BYTES) {
			fail_too_long(channel);
			return;
		}
	}
}

static void on_end(channel_t *channel)
{
	if (http1_finish(&channel->http) == HTTP1_MESSAGE && channel->request) {
		if (on_message(channel, 0, true))
			fail(channel, SEND_LOST);
		return;
	}
	fail(channel, broken_send(channel));
}

static void unlink_idle(channel_t *channel)
{
	channel_t **at = &channel->endpoint->idle;

	while (*at && *at != channel)
		at = &(*at)->next;
	if (*at)
		*at = channel->next;
}

static void read_input(channel_t *channel)
{
	char *buffer = channel->router->read_buffer;
	size_t len;

	if (!channel->request) {
		/* Whatever comes on an idle connection ends it. */
		unlink_idle(channel);
		destroy(channel);
		return;
	}
	switch (tcp_read(&channel->tcp, buffer, ROUTER_READ_BYTES, &len)) {
	case TCP_READ_DATA:
		feed(channel, (str_t){buffer, len});
		return;
	case TCP_READ_AGAIN:
		return;
	case TCP_READ_END:
		on_end(channel);
		return;
	case TCP_READ_BROKEN:
		fail(channel, broken_send(channel));
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
	loop_timer_cancel(channel->router->loop, &channel->connect_timer);
	tcp_set_dead_peer_timeout(&channel->tcp, CHANNEL_SILENCE_MS);
	request_on_sent(channel->request);
	return true;
}

static void on_io(void *user, uint32_t events)
{
	channel_t *channel = user;

	if (channel->tcp.connecting && !on_connected(channel))
		return;
	if ((events & EPOLLOUT) && !tcp_flush(&channel->tcp)) {
		fail(channel, broken_send(channel));
		return;
	}
	if (events & (EPOLLIN | EPOLLHUP | EPOLLERR))
		read_input(channel);
}

static channel_t *take_idle(endpoint_t *endpoint, int64_t max_idle_ms,
			    int64_t now_ms)
{
	while (endpoint->idle) {
		channel_t *channel = endpoint->idle;
		int64_t idle_ms = now_ms - channel->idle_since_ms;

		if (idle_ms > max_idle_ms)
			return NULL; /* the others are older still */
		endpoint->idle = channel->next;
		if (idle_ms <= channel->idle_limit_ms &&
		    !tcp_has_input(&channel->tcp))
			return channel;
		destroy(channel);
	}
	return NULL;
}

unsigned channel_limit(const router_t *router, const catalog_service_t *service)
{
	unsigned limit = service ? service->max_connections : 0;

	if (service && service->bounded)
		return UINT_MAX; /* bounded by requests */
	limit /= router->all_hosts ? router->all_hosts : 1;
	return limit > CHANNEL_MIN_LIMIT ? limit : CHANNEL_MIN_LIMIT;
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
	channel->endpoint = endpoint;
	endpoint_ref(endpoint);
	endpoint->channel_count++;
	http1_init(&channel->http, &http_ops, HTTP_RESPONSE,
		   CHANNEL_HEAD_BYTES);
	loop_timer_set(router->loop, &channel->connect_timer,
		       CHANNEL_CONNECT_MS, on_connect_timeout, channel);
	return channel;
}

/* Puts the request's message together in the router's scratch buffer. */
static str_t write_message(request_t *request, const endpoint_t *endpoint)
{
	router_t *router = request->router;
	const dialect_t *dialect = router->dialect;
	const catalog_customer_t *customer = request->admission.customer;
	send_terms_t terms = {
		.endpoint_id = str_from(endpoint->id),
		.customer = customer ? customer->name : (str_t){NULL, 0},
		.left_ms = request->ends_ms - router_now_ms(router),
		.priority = request->admission.priority,
		.resume_after = str_from(request->last_event_id),
		.source = str_from(request->source),
		.body_len = request->body.len,
		.max_output_tokens =
			request->admission.route->max_output_tokens,
		.trace = str_from(request->trace_context),
		.boot = str_from(endpoint->warmth.boot)};

	buf_reset(&router->scratch);
	dialect->ops->write_call(dialect, request->head, &request->call, &terms,
				 &router->scratch);
	buf_append_str(&router->scratch, request->body);
	return buf_view(&router->scratch);
}

err_code_t channel_send(request_t *request, endpoint_t *endpoint, err_t *err)
{
	router_t *router = request->router;
	str_t message = write_message(request, endpoint);
	int64_t max_idle_ms = admit_may_repeat(&request->admission) ?
				      INT64_MAX :
				      CHANNEL_FRESH_MS;
	channel_t *channel;

	while ((channel = take_idle(endpoint, max_idle_ms,
				    router_now_ms(router)))) {
		uint64_t before = channel->tcp.written;

		if (!has_answered(channel, request) &&
		    (tcp_send(&channel->tcp, message) ||
		     channel->tcp.written > before))
			break;
		destroy(channel); /* not a byte was sent */
	}
	if (!channel) {
		channel = open_channel(request, endpoint, err);
		if (!channel)
			return err->code;
		tcp_send(&channel->tcp, message);
	}
	channel->request = request;
	channel->strays = 0;
	channel->ignored_bytes = 0;
	request->channel = channel;
	if (!channel->tcp.connecting)
		request_on_sent(request);
	return ERR_OK;
}

void channel_cancel(channel_t *channel)
{
	channel->request = NULL;
	destroy(channel);
}

void channel_set_reading(channel_t *channel, bool reading)
{
	tcp_set_reading(&channel->tcp, reading);
}

void channel_retire_idle(router_t *router, endpoint_t *endpoint)
{
	int64_t now_ms = router_now_ms(router);
	channel_t **at = &endpoint->idle;

	while (*at) {
		channel_t *channel = *at;

		if (now_ms - channel->idle_since_ms < channel->idle_limit_ms) {
			at = &channel->next;
			continue;
		}
		*at = channel->next;
		destroy(channel);
	}
}

void channel_drop_idle(router_t *router, endpoint_t *endpoint)
{
	(void)router;
	while (endpoint->idle) {
		channel_t *channel = endpoint->idle;

		endpoint->idle = channel->next;
		destroy(channel);
	}
}
