#ifndef REQUEST_CUSTSYNC_H
#define REQUEST_CUSTSYNC_H

#include "coordination/custboard.h"
#include "request/relays.h"

/*
 * custsync - exchanges what customers use of services with the other hosts
 *
 * See custshare.h. Takes the path of loads: host, relay of its region, other
 * relays, their hosts; see relays.h. Messages are sent every second, and only
 * while a service is short at any host.
 */
typedef struct custsync {
	router_t *router;
	const relays_t *relays;
	custboard_t *board;
	uint32_t host_id;
	int64_t next_ms;	  /* of the next messages */
	int64_t summing_since_ms; /* at a relay; 0: nothing is exchanged now */
	/* When totals last said that a service is short somewhere; 0: never. */
	int64_t heard_short_ms;
	/* The relay whose totals are used: the highest number heard within
	 * their lifetime. For a while, two hosts may act as relay of one
	 * region. */
	uint32_t relay;
	int64_t relay_heard_ms;
} custsync_t;

void custsync_init(custsync_t *sync, router_t *router, const relays_t *relays,
		   uint32_t host_id);
void custsync_release(custsync_t *sync);

/* Sends what is due. Called in each round of loadsync, after relays_find(). */
void custsync_on_round(custsync_t *sync);

/* ERRORS: ERR_INVALID. */
err_code_t custsync_read(custsync_t *sync, str_t message, err_t *err);

#endif
