#include "request/probe.h"

#include <stdlib.h>
#include <sys/epoll.h>

#include "base/plog.h"
#include "request/notices.h"
#include "request/waiting.h"
#include "transport/tcp.h"

#define PROBE_HEAD_BYTES 8192

typedef struct probe {
	router_t *router;
	endpoint_t *endpoint;
	tcp_t tcp;
	http1_t http;
	loop_timer_t timer;
	int64_t sent_ms;
	struct probe *next, *prev;
} probe_t;

static void end(probe_t *probe)
{
	router_t *router = probe->router;

	loop_timer_cancel(router->loop, &probe->timer);
	tcp_close(&probe->tcp);
	http1_release(&probe->http);
	if (probe->prev)
		probe->prev->next = probe->next;
	else
		router->probes = probe->next;
	if (probe->next)
		probe->next->prev = probe->prev;
	endpoint_unref(probe->endpoint);
	free(probe);
}

static void fail(probe_t *probe, const char *step)
{
	plog_write(PLOG_ENDPOINT_FAILED,
		   "id=- endpoint=%s step=%s peer=%s error=\"no answer\"",
		   probe->endpoint->id, step, probe->endpoint->address);
	warmth_on_unreachable(&probe->endpoint->warmth,
			      router_now_ms(probe->router));
	/* Requests without another engine then fail at once, not at the next
	 * retry. */
	waiting_on_capacity(probe->router);
	end(probe);
}

static void on_timeout(void *user)
{
	fail(user, "probe");
}

static void on_body(http1_t *http, str_t data)
{
	(void)http;
	(void)data;
}

static const http1_ops_t http_ops = {on_body};

/* True when requests may be sent to the endpoint without a probe. */
static bool accepts_requests(const endpoint_t *endpoint, int64_t now_ms)
{
	return warmth_is_proven(&endpoint->warmth, now_ms) &&
	       !endpoint->warmth.refusing;
}

static void on_response(probe_t *probe)
{
	router_t *router = probe->router;
	endpoint_t *endpoint = probe->endpoint;
	int64_t now_ms = router_now_ms(router);
	bool was_accepting = accepts_requests(endpoint, now_ms);
	reply_t reply = {0};

	router->dialect->ops->read_reply(router->dialect, &probe->http.head,
					 &reply);
	notices_apply(router, endpoint, &reply);
	if (reply.status == 200 && reply.boot_id.len) {
		warmth_on_answer(&endpoint->warmth, reply.boot_id,
				 reply.cold_ms > 0, probe->sent_ms, now_ms);
		warmth_set_refusing(&endpoint->warmth, false);
		if (!was_accepting && accepts_requests(endpoint, now_ms))
			waiting_on_capacity(router);
	}
	end(probe);
}

static void on_io(void *user, uint32_t events)
{
	probe_t *probe = user;
	char buffer[PROBE_HEAD_BYTES];
	size_t len, consumed;

	if ((probe->tcp.connecting && tcp_connect_result(&probe->tcp)) ||
	    ((events & EPOLLOUT) && !tcp_flush(&probe->tcp))) {
		fail(probe, "connect");
		return;
	}
	if (!(events & (EPOLLIN | EPOLLHUP | EPOLLERR)))
		return;
	switch (tcp_read(&probe->tcp, buffer, sizeof(buffer), &len)) {
	case TCP_READ_DATA:
		break;
	case TCP_READ_AGAIN:
		return;
	default:
		fail(probe, "read");
		return;
	}
	switch (http1_feed(&probe->http, (str_t){buffer, len}, &consumed)) {
	case HTTP1_MORE:
		return;
	case HTTP1_MESSAGE:
		on_response(probe);
		return;
	default:
		fail(probe, "read");
		return;
	}
}

static bool has_probe(const router_t *router, const endpoint_t *endpoint)
{
	for (const probe_t *at = router->probes; at; at = at->next)
		if (at->endpoint == endpoint)
			return true;
	return false;
}

static void link_probe(router_t *router, probe_t *probe)
{
	probe->next = router->probes;
	if (probe->next)
		probe->next->prev = probe;
	router->probes = probe;
}

void probe_start(router_t *router, endpoint_t *endpoint)
{
	const dialect_ops_t *ops = router->dialect->ops;
	int64_t now_ms = router_now_ms(router);
	buf_t out = BUF_INIT;
	probe_t *probe;
	err_t err;

	if (!ops->write_probe || has_probe(router, endpoint) ||
	    (endpoint->last_probe_ms &&
	     now_ms - endpoint->last_probe_ms < PROBE_MIN_INTERVAL_MS))
		return;
	endpoint->last_probe_ms = now_ms;
	probe = calloc(1, sizeof(*probe));
	if (!probe)
		abort();
	probe->router = router;
	probe->endpoint = endpoint;
	probe->sent_ms = now_ms;
	endpoint_ref(endpoint);
	http1_init(&probe->http, &http_ops, HTTP_RESPONSE, PROBE_HEAD_BYTES);
	link_probe(router, probe);
	if (tcp_connect(&probe->tcp, router->loop, endpoint->address, on_io,
			probe, &err)) {
		fail(probe, "connect");
		return;
	}
	loop_timer_set(router->loop, &probe->timer, PROBE_TIMEOUT_MS,
		       on_timeout, probe);
	ops->write_probe(router->dialect, endpoint->id, &out);
	tcp_send(&probe->tcp, buf_view(&out));
	buf_release(&out);
}

void probe_stop_all(router_t *router)
{
	for (probe_t *probe = router->probes, *next; probe; probe = next) {
		next = probe->next;
		end(probe);
	}
}
