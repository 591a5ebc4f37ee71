#ifndef REQUEST_CHANNEL_H
#define REQUEST_CHANNEL_H

#include "request/request.h"
#include "transport/tcp.h"

/* Answers whose late copies are told from an answer to a new request. */
#define CHANNEL_ANSWERED_IDS 4

/*
 * channel - a connection to an endpoint, with one request at a time
 *
 * Kept connections are retired before the endpoint closes them and looked at
 * before they are used. Nothing is ever sent twice by a channel: when a
 * connection breaks, the request learns whether it may have run.
 */

typedef struct channel {
	router_t *router;
	endpoint_t *endpoint;
	request_t *request; /* NULL while idle */
	tcp_t tcp;
	http1_t http;
	loop_timer_t connect_timer;
	struct channel *next; /* in the endpoint's idle list */
	int64_t idle_since_ms;
	int64_t idle_limit_ms;
	unsigned answers;
	/* Hashes of the ids of the last answers. */
	uint64_t answered_ids[CHANNEL_ANSWERED_IDS];
	unsigned stray_answers; /* answers to nobody since the request was sent
				 */
	size_t discarded_bytes; /* of answers that are not passed on */
	reply_t reply;
	bool head_read; /* the head of the present answer was classified */
	bool for_other_request; /* the present answer is not for our request */
	bool untrusted;		/* an answer that can't be trusted was read */
	bool in_read;		/* the read loop is on the stack */
	bool closed;		/* freed when the read loop ends */
} channel_t;

/*
 * Sends the request to the endpoint, over a kept connection if there is a sound
 * one.
 *
 * RETURN VALUE: ERR_FULL when no more connections to the endpoint are allowed,
 * ERR_IO when none could be started.
 */
err_code_t channel_send(request_t *request, endpoint_t *endpoint, err_t *err);

/* Ends the send: the endpoint sees its connection closed. */
void channel_cancel(channel_t *channel);

/* Stops or goes on reading the answer. */
void channel_set_reading(channel_t *channel, bool reading);

/* Closes idle connections that the endpoint may soon close. */
void channel_retire_idle(router_t *router, endpoint_t *endpoint);
void channel_drop_idle(router_t *router, endpoint_t *endpoint);

/* Connections that this host may have to one endpoint of the service. */
unsigned channel_limit(const router_t *router,
		       const catalog_service_t *service);

#endif
