#ifndef REQUEST_LOADSYNC_H
#define REQUEST_LOADSYNC_H

#include "coordination/loadboard.h"
#include "coordination/peersync.h"
#include "request/router.h"

/*
 * loadsync - tells the loads of this host, and learns those of all
 *
 * In each round a host sends its loads to the relay host of its region; relays
 * send each other the sums of their regions, and the sums over all to the hosts
 * of their own; see loadboard.h. The relay of a region is the live host with
 * the highest random weight, so that no host is set aside for it and another
 * takes over when it is gone. Rounds are further apart when there are more
 * hosts.
 */
#define LOADSYNC_MAX_REGIONS 16

typedef struct loadsync loadsync_t;

/* `port` is the same on all hosts. NULL with `err` set when it is in use. */
loadsync_t *loadsync_create(router_t *router, const peersync_t *peersync,
			    const char *ip, const char *name, unsigned port,
			    err_t *err);
void loadsync_free(loadsync_t *loadsync);

#endif
