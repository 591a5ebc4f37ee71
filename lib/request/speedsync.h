#ifndef REQUEST_SPEEDSYNC_H
#define REQUEST_SPEEDSYNC_H

#include "coordination/speedqueue.h"
#include "request/relays.h"

/*
 * speedsync - exchanges samples of endpoints' speed with other hosts
 *
 * Takes the path of loads: host, relay of its region, other relays, their
 * hosts; see relays.h and speedqueue.h.
 */
typedef struct speedsync {
	router_t *router;
	const relays_t *relays;
	speedqueue_t queue;
	int64_t next_ms; /* when samples are sent next */
} speedsync_t;

void speedsync_init(speedsync_t *sync, router_t *router,
		    const relays_t *relays);

/* Called in each round of loadsync, after relays_find(). */
void speedsync_on_round(speedsync_t *sync);

/* ERRORS: ERR_INVALID. */
err_code_t speedsync_read(const speedsync_t *sync, str_t message, err_t *err);

#endif
