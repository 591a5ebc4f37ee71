#ifndef REQUEST_LOADSYNC_H
#define REQUEST_LOADSYNC_H

#include "coordination/loadboard.h"
#include "coordination/peersync.h"
#include "request/router.h"

/*
 * loadsync - exchanges endpoint loads and prefix keys with the other hosts
 *
 * In each round a host sends its loads to the relay of its region. Relays send
 * each other the sums over their regions, and send the totals over all hosts to
 * the hosts of their region; see loadboard.h and relays.h. Keys of prompt
 * prefixes that engines have cached take the same path, see prefixnews.h. The
 * round interval grows with the number of hosts.
 */
typedef struct loadsync loadsync_t;

/* `port` is the same on all hosts. NULL with `err` set when it can't be opened.
 */
loadsync_t *loadsync_create(router_t *router, const peersync_t *peersync,
			    const char *ip, const char *name, unsigned port,
			    err_t *err);
void loadsync_free(loadsync_t *loadsync);

#endif
