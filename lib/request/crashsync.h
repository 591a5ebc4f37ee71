#ifndef REQUEST_CRASHSYNC_H
#define REQUEST_CRASHSYNC_H

#include "coordination/crashnews.h"
#include "request/relays.h"

/*
 * crashsync - exchanges crashes of endpoints and sound inputs with other hosts
 *
 * Takes the path of loads: host, relay of its region, other relays, their
 * hosts; see loadsync.h. News are passed on at once. Datagrams may be lost and
 * relays fail: a host repeats its own reports for some seconds, and relays
 * repeat every second what decisions rest on, recent crashes and sound answers
 * and those of blocked inputs. A few hosts also send that to their relay. So
 * hosts that missed news or have restarted, a relay among them, decide as the
 * others do.
 */
#define CRASHSYNC_MAX_OWN 32 /* reports of this host that are repeated */

typedef struct crashsync_own {
	crash_report_t report;
	int64_t repeat_ms; /* when it is sent next */
} crashsync_own_t;

typedef struct crashsync {
	router_t *router;
	const relays_t *relays;
	uint32_t host_id;
	crashsync_own_t own[CRASHSYNC_MAX_OWN]; /* a ring */
	size_t own_count;			/* ever added */
	int64_t digest_ms;			/* when it is sent next */
} crashsync_t;

/* Becomes the router's observer of crashes. */
void crashsync_init(crashsync_t *sync, router_t *router, const relays_t *relays,
		    uint32_t host_id);

/* Repeats what other hosts may lack. Called in each round of loadsync, whose
 * interval is `round_ms`, after relays_find(). */
void crashsync_on_round(crashsync_t *sync, int64_t round_ms);

/* ERRORS: ERR_INVALID. */
err_code_t crashsync_read(crashsync_t *sync, str_t message, err_t *err);

#endif
