#ifndef REQUEST_LIMITSYNC_H
#define REQUEST_LIMITSYNC_H

#include "coordination/limitnews.h"
#include "request/relays.h"

/*
 * limitsync - tells other hosts what rates endpoints state
 *
 * Takes the path of loads: host, relay of its region, other relays, their
 * hosts; see relays.h. A change is passed on at once. Datagrams may be lost and
 * hosts restart, so each second hosts repeat the statements that they have
 * received since, relays all that they know, and a few hosts tell their relay
 * all that they know.
 */
typedef struct limitsync {
	router_t *router;
	const relays_t *relays;
	int64_t repeat_ms;   /* when statements are repeated next */
	int64_t repeated_ms; /* when they were last */
} limitsync_t;

/* Becomes the router's observer of limits. */
void limitsync_init(limitsync_t *sync, router_t *router,
		    const relays_t *relays);

/* Repeats what other hosts may lack. Called in each round of loadsync, after
 * relays_find(). */
void limitsync_on_round(limitsync_t *sync);

/* ERRORS: ERR_INVALID. */
err_code_t limitsync_read(limitsync_t *sync, str_t message, err_t *err);

#endif
