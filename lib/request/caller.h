#ifndef REQUEST_CALLER_H
#define REQUEST_CALLER_H

#include "request/callermem.h"
#include "request/request.h"
#include "transport/tcp.h"

/*
 * caller - a caller's connection
 *
 * Reads requests one by one, within the limits of the catalog, and writes their
 * responses. A caller that closes its side while a request runs cancels it.
 */
typedef struct caller {
	router_t *router;
	tcp_t tcp;
	http1_t http;
	buf_t body; /* of the request that is read or runs */
	/* All bytes that were received and not parsed yet, in their order:
	 * those behind the running request. */
	buf_t pipelined;
	size_t counted_unsent;	  /* share of this caller in
				     router->unsent_response_bytes */
	request_t *request;	  /* NULL while none runs */
	loop_timer_t timer;	  /* limit of reading, idling or lingering */
	loop_timer_t parse_timer; /* due when `pipelined` can be parsed */
	int64_t opened_ms;
	callermem_share_t memory;
	/* When the caller last sent or read a part of some size, and what it
	 * has sent, and this host has written, up to then. */
	int64_t progress_ms;
	size_t progress_bytes;
	uint64_t progress_written;
	bool answered;	       /* at least one request */
	bool closing;	       /* no further request is read */
	bool lingering;	       /* sent everything; discards further input */
	bool too_large;	       /* the body exceeds the catalog's limit */
	bool body_memory_full; /* the bodies of all requests exceed the limit */
	bool sent_continue;    /* 100 Continue */
	struct caller *next, *prev; /* in router->callers */
} caller_t;

/* Accepts all waiting connections. When there are too many, those that are idle
 * or stalled yield to new ones. */
void caller_accept(router_t *router, int listen_fd);

/* Sends bytes of a response. A broken connection is handled by the event loop,
 * not here. */
void caller_send(caller_t *caller, str_t data);

/* True when too much output is buffered: reading of the response must pause. */
bool caller_is_slow(const caller_t *caller);

/* True when the connection closes after the current response. A host that stops
 * answers the requests behind it first, as far as they were received. */
bool caller_must_close(const caller_t *caller);

/* Ends a complete response: closes the connection or reads the next request. */
void caller_answered(caller_t *caller, bool close);

/*
 * Ends the connection within a response that can't be completed. `reset` is
 * needed for a response that is delimited by the end of the connection: an
 * orderly close would make it look complete.
 */
void caller_abort(caller_t *caller, bool reset);

/* Closes the connections that have no request in progress and none to be read,
 * in an orderly way. */
void caller_close_idle(router_t *router);

/*
 * Ends all requests of a host that stops: those that were not sent, or not read
 * to their end, with 503, those that may have run with 502. A response that has
 * begun is cut.
 */
void caller_end_requests(router_t *router);
void caller_close_all(router_t *router);

#endif
