#ifndef REQUEST_CUSTOMERS_H
#define REQUEST_CUSTOMERS_H

#include "request/request.h"

/*
 * customers - what the customers have in progress at this host
 *
 * Bounds each customer's requests, and orders the waiting requests of one
 * class: customers take turns by weight, so that a large one doesn't hold up
 * the others. Customers without a weight are served in the order of arrival.
 */

/* Counts the request; false when its customer has as many as it may. */
bool customers_add_request(request_t *request);
void customers_remove_request(request_t *request);

/* Takes the request's place in the order of its class. */
void customers_set_queue_order(request_t *request);

/* The request is sent: the order goes on from its place. */
void customers_on_send(const request_t *request);

void customers_free(router_t *router);

#endif
