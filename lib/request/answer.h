#ifndef REQUEST_ANSWER_H
#define REQUEST_ANSWER_H

#include "request/request.h"

/*
 * answer - what a caller gets for its request
 *
 * Each function but answer_begin() and answer_part() gives the final answer and
 * ends the request.
 */

/* Whether the host takes requests: 200 or 503. */
void answer_health(request_t *request, bool is_ready);

/* A promise that the request has not run and never will; `retry_after_ms` is
 * cut to a part of the time that the caller has left. */
void answer_not_run(request_t *request, unsigned status, const char *reason,
		    int64_t retry_after_ms);

/* The request may have run, or can't be served whatever the load is. */
void answer_failed(request_t *request, unsigned status, const char *reason);

/* Passes on a whole answer whose body is in request->answer. */
void answer_whole(request_t *request, const http1_head_t *head,
		  const reply_t *reply);

/* Passes on the head of an answer whose body follows in parts. */
void answer_begin(request_t *request, const http1_head_t *head);
void answer_part(request_t *request, str_t data);
void answer_end(request_t *request);

/* Ends an answer that has begun and can't be completed. */
void answer_abort(request_t *request, const char *reason);

#endif
