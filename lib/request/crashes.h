#ifndef REQUEST_CRASHES_H
#define REQUEST_CRASHES_H

#include "request/request.h"

/*
 * crashes - connects requests with the board of inputs that crash endpoints
 *
 * The inputs of a request are the ids of the parts of its prompt that others
 * may share, and a hash of its method, target and body: a request without such
 * parts may crash endpoints too, when its caller repeats it. See crashboard.h
 * for the decision. A blocked request is refused
 * with the time until the block ends: nothing that the caller could do sooner
 * would help, and the refusal is true, since no endpoint has got it.
 */

/* Sets the inputs of a request that has been read. */
void crashes_read_inputs(request_t *request);

/* Called when the connection of a send broke, and when a response ended with
 * its connection: a crash may have cut it. */
void crashes_on_lost(request_t *request);

/* Called when the response goes on long after its beginning, or is complete. */
void crashes_on_sound(request_t *request);

/* Called for each response head, on a connection opened at `opened_ms`. */
void crashes_on_reply(router_t *router, const endpoint_t *endpoint,
		      int64_t opened_ms);

/* A crash that this host found. */
void crashes_report(router_t *router, const crash_report_t *report);

/* Decides anew which inputs are blocked, and ends the requests that are now
 * blocked and not yet answered. Called after news, and at each tick. */
void crashes_update(router_t *router);

/* RETURN VALUE: the block that the request falls under, or NULL. */
const crash_block_t *crashes_find_block(const request_t *request);

#endif
