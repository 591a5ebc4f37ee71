#ifndef REQUEST_CALLER_H
#define REQUEST_CALLER_H

#include "request/request.h"
#include "transport/tcp.h"

/*
 * caller - a caller's connection
 *
 * Reads requests one by one, within the limits of the catalog, and writes their
 * answers. A caller that closes its side while a request runs has given up.
 */
typedef struct caller {
	router_t *router;
	tcp_t tcp;
	http1_t http;
	buf_t body;
	buf_t pipelined;       /* bytes after the request that runs */
	size_t counted_unsent; /* bytes of answers, as counted in the router */
	request_t *request;
	loop_timer_t timer; /* head, idle or lingering time */
	int64_t opened_ms;
	bool closing;	/* no further request is read */
	bool lingering; /* reads off what the caller still sends */
	bool too_large;
	bool body_memory_full; /* the bodies of all requests are too many */
	bool sent_continue;    /* 100 Continue was sent */
	struct caller *next, *prev;
} caller_t;

/* Accepts all waiting connections. */
void caller_accept(router_t *router, int listen_fd);

/* Sends bytes of an answer; a broken connection is noticed by its own event. */
void caller_send(caller_t *caller, str_t data);

/* True when the caller takes the answer more slowly than it comes. */
bool caller_is_slow(const caller_t *caller);

/* True when the connection ends after the present answer. */
bool caller_must_close(const caller_t *caller);

/* The answer is complete: the next request may be read. */
void caller_answered(caller_t *caller, bool close);

/*
 * The answer can't be completed: ends the connection so that this shows. An
 * answer that ends with its connection needs a reset for that.
 */
void caller_abort(caller_t *caller, bool reset);

/* Ends connections without a request in progress, or about to be read, in an
 * orderly way. */
void caller_close_idle(router_t *router);
void caller_close_all(router_t *router);

#endif
