#ifndef REQUEST_ANSWER_H
#define REQUEST_ANSWER_H

#include "request/request.h"

/*
 * answer - sends the response to the caller
 *
 * Each function but answer_begin() and answer_part() completes the response and
 * ends the request, which must not be used afterwards.
 */

/* Answers a health check: 200 when the host takes requests, else 503. */
void answer_health(request_t *request, bool is_ready);

/*
 * Answers that the request has not run and never will. On a route that doesn't
 * queue until the deadline, `retry_after_ms` is limited to a fraction of the
 * caller's remaining time.
 */
void answer_not_run(request_t *request, unsigned status, const char *reason,
		    int64_t retry_after_ms);

/* Answers 503: not run, and not before `retry_after_ms`, however little time
 * the caller has left. */
void answer_blocked(request_t *request, const char *reason,
		    int64_t retry_after_ms);

/* Answers with an error when the request may have run, or when a retry can't
 * succeed either. */
void answer_failed(request_t *request, unsigned status, const char *reason);

/* Sends a complete response whose body is in request->answer. */
void answer_whole(request_t *request, const http1_head_t *head,
		  const reply_t *reply);

/* Sends the head of a response whose body follows by answer_part(). */
void answer_begin(request_t *request, const http1_head_t *head);
void answer_part(request_t *request, str_t data);
void answer_end(request_t *request);

/* Aborts a response that has begun and can't be completed. */
void answer_abort(request_t *request, const char *reason);

#endif
