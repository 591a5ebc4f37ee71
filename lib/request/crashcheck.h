#ifndef REQUEST_CRASHCHECK_H
#define REQUEST_CRASHCHECK_H

#include "request/router.h"

/*
 * crashcheck - finds out whether an endpoint crashed when it broke a connection
 *
 * A broken connection may also be a reset, a lost response, or an idle
 * connection that the endpoint dropped. After the first break the check waits
 * until the other connections have had time to break too, and then connects
 * without sending anything: an endpoint that crashed refuses, since the time
 * that it takes to restart is much longer. One that doesn't respond at all may
 * be cut off, which proves nothing.
 */

/* Checks the endpoint, and reports its crash with these inputs of a lost
 * request; inputs of a check in progress are added to it. */
void crashcheck_start(router_t *router, endpoint_t *endpoint,
		      const uint64_t *inputs, size_t count);

/* Ends all checks. */
void crashcheck_stop_all(router_t *router);

#endif
