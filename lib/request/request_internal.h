#ifndef REQUEST_REQUEST_INTERNAL_H
#define REQUEST_REQUEST_INTERNAL_H

#include "request/choose.h"
#include "request/request.h"

/*
 * request_internal - functions shared by request.c, send.c and reply.c
 *
 * request.c admits, queues and ends a request; send.c sends it to an endpoint
 * and retries after a failure; reply.c processes the endpoint's response.
 */
int64_t request_now_ms(const request_t *request);
service_stats_t *request_stats(const request_t *request);

/* Takes the request's tokens off the endpoint's backlog, once prefill has ended
 * or the send is over. */
void request_release_backlog(request_t *request, endpoint_t *endpoint);

/* Sends the request to the chosen endpoint. */
void request_send_to(request_t *request, const choice_t *choice);

/* Ends the current send, if there is one, without counting a failure of the
 * endpoint. */
void request_cancel_send(request_t *request);

/* Counts a cancelled request against the endpoint's cold limit a while longer:
 * the endpoint may run it until it sees the connection close. */
void request_note_cancelled(request_t *request);

/* Ends a span of the request and sets it to NULL; a NULL span is allowed. */
void request_end_span(const request_t *request, trace_span_t **span,
		      outcome_t outcome, const char *reason);

/*
 * True when the running send may be replaced: another endpoint takes the
 * request now, and is expected to answer before the deadline. Changes nothing,
 * but may start a probe of an endpoint that isn't proven to be warm.
 */
bool request_may_move(const request_t *request);

/* True when time, failures and the route's attempts allow another send after a
 * failed one. */
bool request_may_send_again(const request_t *request);

#endif
