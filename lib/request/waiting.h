#ifndef REQUEST_WAITING_H
#define REQUEST_WAITING_H

#include "request/request.h"

/*
 * waiting - requests for which no endpoint may be used right now
 *
 * They are tried again every few ms, and at once when an endpoint has room:
 * the most urgent first, within a class by customers' turns and then by
 * arrival, but for classes whose floor is due.
 */

/* `for_room`: endpoints are full or cold; else it waits for a better moment
 * and holds nobody up. */
void waiting_add(request_t *request, bool for_room);
void waiting_remove(request_t *request);

/* True when a request that goes before this one waits for the same room. */
bool waiting_is_blocked(const request_t *request);

/* True when the request's class has as many waiting as it may. */
bool waiting_is_full(const request_t *request);

/* Expected time until the request would be sent, were it to wait. */
int64_t waiting_expected_ms(const request_t *request);

/* An endpoint may take a request again. */
void waiting_on_capacity(router_t *router);

/* Counts a send towards the floors of the classes that wait. */
void waiting_on_send(const request_t *request);

#endif
