#ifndef REQUEST_CALLER_INTERNAL_H
#define REQUEST_CALLER_INTERNAL_H

#include "request/caller.h"

/* The parser's callbacks; they need an http1_t within a caller_t. */
extern const http1_ops_t caller_http_ops;

/* Functions shared by caller.c, caller_read.c and caller_evict.c. */

/* Limits of the active catalog, or defaults until there is one. */
catalog_limits_t caller_limits(const caller_t *caller);

bool caller_is_closed(const caller_t *caller);

/* Closes the connection; the caller_t is freed at the next tick. */
void caller_destroy(caller_t *caller);

/* Sends what is left and closes the connection in an orderly way. */
void caller_begin_close(caller_t *caller);

/* Sets the time after which caller_on_timeout() runs. */
void caller_set_timer(caller_t *caller, int64_t ms);

/* Answers 408 to a request that is late; closes any other connection. */
void caller_on_timeout(caller_t *caller);

/* Updates what the connection counts for in the router's totals, after its
 * buffers have changed. */
void caller_account(caller_t *caller);

/* Notes that the connection made progress, see caller_t.progress_ms. */
void caller_progressed(caller_t *caller);

/* Frees the buffer of the body. */
void caller_release_body(caller_t *caller);

/* Reads from the connection after these epoll events, and parses. */
void caller_read(caller_t *caller, uint32_t events);

/* Parses input that was kept, once a request has ended or output was sent. */
void caller_parse_kept(caller_t *caller);

/*
 * Answers a request that was not read to its end, and closes the connection.
 * `retry_after_ms` may be -1 for none.
 */
void caller_answer_unread(caller_t *caller, unsigned status, const char *reason,
			  int64_t retry_after_ms);

/* The same for a request that must be logged and counted as invalid input. */
void caller_reject(caller_t *caller, unsigned status, const char *reason,
		   int64_t retry_after_ms);

/* RETURN VALUE: a Retry-After with jitter, for a request that another host, or
 * this one a little later, can take. */
int64_t caller_retry_ms(caller_t *caller);

/* True while input must stay unparsed, since the caller doesn't read. */
bool caller_output_waits(const caller_t *caller);

/* Closes other connections until the body may grow to the capacity `cap`. */
void caller_make_body_room(caller_t *caller, size_t cap);

/* Closes stalled connections, but not this one, while the buffers exceed their
 * limit. */
void caller_make_buffer_room(caller_t *caller);

/* Closes connections later on if the buffers exceed their limit: the caller of
 * this function may still use one. */
void caller_watch_memory(router_t *router);

/* Closes the connection that yields first to a new one; false: none does. */
bool caller_make_connection_room(router_t *router);

#endif
