#ifndef REQUEST_REQUEST_INTERNAL_H
#define REQUEST_REQUEST_INTERNAL_H

#include "request/choose.h"
#include "request/request.h"

/*
 * request_internal - shared by the modules of a request's life
 *
 * request.c admits a request, lets it wait and ends it; send.c sends it to an
 * endpoint and decides what follows a failure; reply.c takes the endpoint's
 * answer.
 */
int64_t request_now_ms(const request_t *request);
service_stats_t *request_stats(const request_t *request);

/* The endpoint has read the prompt, or never will. */
void request_release_backlog(request_t *request, endpoint_t *endpoint);

/* Sends the request to the endpoint that was chosen. */
void request_send_to(request_t *request, const choice_t *choice);

/* Ends the present send, if there is one, without judging the endpoint. */
void request_cancel_send(request_t *request);

/* The endpoint learns that a request was given up only when it sees the
 * connection close: until then the request counts against its cold limit. */
void request_note_cancelled(request_t *request);

/* Gives the final answer of a request that no endpoint answered. */
void request_fail(request_t *request, const char *reason);

/* Ends one of the request's spans; NULL is allowed. */
void request_end_span(const request_t *request, trace_span_t **span,
		      outcome_t outcome, const char *reason);

/* True when a request that an endpoint failed may be sent to another one. */
bool request_may_send_again(const request_t *request);

#endif
