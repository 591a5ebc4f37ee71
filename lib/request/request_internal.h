#ifndef REQUEST_REQUEST_INTERNAL_H
#define REQUEST_REQUEST_INTERNAL_H

#include "request/request.h"

/*
 * request_internal - shared by the modules of a request's life
 *
 * request.c places and sends a request and decides what follows a failure;
 * reply.c takes the endpoint's answer.
 */
int64_t request_now_ms(const request_t *request);
service_stats_t *request_stats(const request_t *request);

/* The endpoint has read the prompt, or never will. */
void request_release_backlog(request_t *request, endpoint_t *endpoint);

/* True when a request that an endpoint failed may be sent to another one. */
bool request_may_send_again(const request_t *request);

#endif
