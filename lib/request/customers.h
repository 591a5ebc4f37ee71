#ifndef REQUEST_CUSTOMERS_H
#define REQUEST_CUSTOMERS_H

#include "request/request.h"

/*
 * customers - limits and fair queuing of customers' requests at this host
 *
 * Limits each customer's requests in progress, and orders the waiting requests
 * of equal priority by weighted fair queuing, so that a large customer doesn't
 * hold up the others. Requests of customers without a weight are served in the
 * order of arrival.
 */

/* Counts the request; false when its customer has reached its limit. */
bool customers_add_request(request_t *request);
void customers_remove_request(request_t *request);

/* Sets the request's virtual start time in the fair queue. */
void customers_set_queue_order(request_t *request);

/* Advances the virtual time to that of a request that is sent. */
void customers_on_send(const request_t *request);

void customers_free(router_t *router);

#endif
