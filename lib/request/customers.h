#ifndef REQUEST_CUSTOMERS_H
#define REQUEST_CUSTOMERS_H

#include "request/request.h"

/*
 * customers - limits and fair queuing of customers' requests
 *
 * Limits each customer's requests in progress at this host, and orders the
 * waiting requests of equal priority by weighted fair queuing, so that a large
 * customer doesn't hold up the others. Requests of customers without a weight
 * are served in the order of arrival. Counts what customers use of services,
 * and finds those that use more than their share over all hosts, see
 * custshare.h.
 */

/* Counts the request; false when its customer has reached its limit. */
bool customers_add_request(request_t *request);
void customers_remove_request(request_t *request);

/* Sets the request's virtual start time in the fair queue. */
void customers_set_queue_order(request_t *request);

/* Counts a request that is sent, and advances the virtual time to its own. */
void customers_on_send(const request_t *request);

/* Counts a new request as demand of its customer. */
void customers_on_demand(const request_t *request);

/* Notes that requests of the service have to wait. */
void customers_on_short(const request_t *request);

/* Sets how far the request's customer is over its share of the service. */
void customers_update_excess(request_t *request);

void customers_free(router_t *router);

#endif
