#ifndef REQUEST_NOTICES_H
#define REQUEST_NOTICES_H

#include "request/router.h"

/*
 * notices - takes what an endpoint's answer asks of this host
 *
 * See notice.h. Any answer counts, whoever it is for: those to requests that
 * were given up, refusals and errors as well.
 */
void notices_apply(router_t *router, endpoint_t *endpoint,
		   const reply_t *reply);

/* Another host has told that an endpoint leaves, by its news key. */
void notices_apply_hint(router_t *router, uint64_t key);

/* What the endpoint's notice says of a request that would be sent now. */
notice_verdict_t notices_check(const router_t *router,
			       const endpoint_t *endpoint);

/* True when a request that was placed there must not be sent any more. */
bool notices_forbid_send(const router_t *router, const endpoint_t *endpoint);

#endif
