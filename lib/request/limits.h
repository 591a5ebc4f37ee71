#ifndef REQUEST_LIMITS_H
#define REQUEST_LIMITS_H

#include "request/router.h"

/*
 * limits - applies the request rates that endpoints state
 *
 * See ratelimit.h. The units of a limit belong to hosts of the endpoint's
 * domain, which send most requests to it; other hosts get them when the domain
 * has no host, and when nobody has heard of the limit for a term. Every host
 * chooses the same ones from the membership table by rendezvous hashing.
 */
/* A host that has started doesn't know all others yet, and gets no unit. */
#define LIMITS_QUARANTINE_MS 2000

/*
 * Lists the hosts that share limits of the endpoint: those of its domain, or
 * all if there is none or in a later `term`; this host comes first if it is one
 * of them. `names` has room for GOSSIP_MAX_MEMBERS + 1.
 *
 * RETURN VALUE: their number.
 */
size_t limits_list_hosts(const router_t *router, const endpoint_t *endpoint,
			 unsigned term, str_t *names);

/* Applies a response to a request that was sent at `sent_ms`. `trusted` tells
 * that it is known to answer this request, so that it may end a limit; any
 * response may state one. */
void limits_apply(router_t *router, endpoint_t *endpoint, const reply_t *reply,
		  bool trusted, int64_t sent_ms);

/* Applies a statement that another host received, see ratelimit_on_news().
 * RETURN VALUE: whether it changed the limit of an endpoint. */
bool limits_apply_news(router_t *router, uint64_t process, double per_s,
		       int64_t stated_ms);

/* The endpoint's limit; NULL when it has never stated one. */
const ratelimit_t *limits_get(const endpoint_t *endpoint);

/* The time from which this host may send it a request of this priority: 0 for
 * at any time, INT64_MAX when it has no unit of the limit. */
int64_t limits_next_send_ms(const endpoint_t *endpoint, unsigned priority);

/* Sets this host's units of all limits. */
void limits_update_units(router_t *router);

/* The same, once in an interval. */
void limits_on_tick(router_t *router);

#endif
