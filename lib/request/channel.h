#ifndef REQUEST_CHANNEL_H
#define REQUEST_CHANNEL_H

#include "request/answerlog.h"
#include "request/request.h"
#include "transport/tcp.h"

/*
 * channel - a connection to an endpoint, with one request at a time
 *
 * Idle connections are closed before the endpoint's idle timeout, and checked
 * before they are used again. A channel never sends a request twice: when a
 * connection breaks, request_on_failure() is told whether the request may have
 * run.
 */

typedef struct channel {
	router_t *router;
	endpoint_t *endpoint;
	request_t *request; /* NULL while idle */
	tcp_t tcp;
	http1_t http;
	loop_timer_t connect_timer;
	struct channel *next; /* in endpoint->idle_channels */
	int64_t opened_ms;
	int64_t idle_since_ms;
	int64_t idle_limit_ms;	/* longest idle time after which the
				   connection is used again */
	answerlog_t answers;	/* on this connection */
	unsigned stray_answers; /* interim responses and those to other
				   requests, since the request was sent */
	size_t discarded_bytes; /* of bodies that aren't passed on */
	reply_t reply;		/* head of the current response */
	bool head_read;		/* `reply` and the next two fields are set */
	bool for_other_request; /* the current response is an interim one, or
				   answers another request */
	bool untrusted; /* the current response can't be attributed to the
			   request, or is a 2xx without a stamp or with a
			   content coding */
} channel_t;

/*
 * Sends the request to the endpoint over an idle connection that is still
 * usable, or else over a new one.
 *
 * RETURN VALUE: ERR_FULL when no more connections to the endpoint are allowed,
 * ERR_IO when none could be started.
 */
err_code_t channel_send(request_t *request, endpoint_t *endpoint, err_t *err);

/* Cancels the send by closing the connection, which the endpoint sees. */
void channel_cancel(channel_t *channel);

/* Pauses or resumes reading of the response. */
void channel_set_reading(channel_t *channel, bool reading);

/* Closes the idle connections that have reached their idle limit. */
void channel_retire_idle(router_t *router, endpoint_t *endpoint);
/* Closes all idle connections to the endpoint. */
void channel_drop_idle(router_t *router, endpoint_t *endpoint);

/* RETURN VALUE: connections that this host may have to one endpoint of
 * `service`, which may be NULL. */
unsigned channel_limit(const router_t *router,
		       const catalog_service_t *service);

#endif
