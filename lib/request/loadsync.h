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
 * of their own; see loadboard.h and relays.h. The keys of prompt parts that
 * engines have read go the same way, see prefixnews.h. Rounds are further apart
 * when there are more hosts.
 */
typedef struct loadsync loadsync_t;

/* `port` is the same on all hosts. NULL with `err` set when it is in use. */
loadsync_t *loadsync_create(router_t *router, const peersync_t *peersync,
			    const char *ip, const char *name, unsigned port,
			    err_t *err);
void loadsync_free(loadsync_t *loadsync);

#endif
