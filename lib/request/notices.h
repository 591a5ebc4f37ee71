#ifndef REQUEST_NOTICES_H
#define REQUEST_NOTICES_H

#include "request/router.h"

/*
 * notices - applies an endpoint's announcements that it leaves or needs a pause
 *
 * See notice.h. Announcements are read from every response, also from a
 * refusal, an error, and a response to a request that was abandoned. Only a
 * misdirected response is skipped: another endpoint has taken over the address.
 * Rate limits are applied by limits.h.
 */
void notices_apply(router_t *router, endpoint_t *endpoint,
		   const reply_t *reply);

/* Another host reported that the endpoint with this key leaves, see
 * prefixnews_leaving_key(). */
void notices_apply_hint(router_t *router, uint64_t key);

/* Verdict of the endpoint's notice on a request that would be sent now. */
notice_verdict_t notices_check(const router_t *router,
			       const endpoint_t *endpoint);

/* True when a request for which the endpoint was chosen earlier must not be
 * sent to it any more. */
bool notices_forbid_send(const router_t *router, const endpoint_t *endpoint);

#endif
