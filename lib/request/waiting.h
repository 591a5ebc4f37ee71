#ifndef REQUEST_WAITING_H
#define REQUEST_WAITING_H

#include "request/request.h"

/*
 * waiting - queue of requests for which no endpoint may be used now
 *
 * Requests are dispatched again every few ms, and at once when an endpoint
 * has capacity again: first one of a class whose floor is due, then all by
 * priority, those of customers over their share last (custshare.h), by weighted
 * fair queuing among customers, and by arrival.
 */

/* `for_capacity`: the request waits because every endpoint is at a limit.
 * Otherwise it waits while its engine is saturated with prefill, and doesn't
 * block requests behind it. */
void waiting_add(request_t *request, bool for_capacity);
void waiting_remove(request_t *request);

/* True when a request ahead of this one waits for capacity of the same service.
 */
bool waiting_is_blocked(const request_t *request);

/* True when the request's customer is over its share, and a request of the same
 * service that is as urgent waits and whose customer is not. */
bool waiting_yields(const request_t *request);

/*
 * The waiting request of the same class that gives its place to this one: the
 * last one of a customer over its share that has not run.
 *
 * RETURN VALUE: NULL when there is none, or this customer is over its share.
 */
request_t *waiting_find_displaceable(const request_t *request);

/* True when the request's class has reached its limit of waiting requests. */
bool waiting_is_full(const request_t *request);

/* Expected time in the queue if the request were added now. */
int64_t waiting_expected_ms(const request_t *request);

/* Schedules an immediate dispatch of the waiting requests, for when an endpoint
 * has capacity again or turns out to be unreachable. */
void waiting_on_capacity(router_t *router);

/* Counts a send for the floors of classes and the fair queue of customers. */
void waiting_on_send(const request_t *request);

#endif
