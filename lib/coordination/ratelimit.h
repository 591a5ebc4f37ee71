#ifndef COORDINATION_RATELIMIT_H
#define COORDINATION_RATELIMIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "coordination/sendring.h"

/*
 * ratelimit - the request rate that an endpoint accepts from all hosts together
 *
 * An endpoint states the rate in its responses, for as long as it holds. The
 * latest statement counts, whichever host received it; hosts pass statements
 * on, see limitnews.h. A limit does not expire: it ends with a response that
 * states none.
 *
 * A host sees only its own sends, and its part of the rate may be far below one
 * request in the window in which the endpoint counts. So the limit is divided
 * into whole units (see unitshare.h): a unit is one request per window, and the
 * window is as long as the endpoint takes for one request of each unit. In any
 * time t the hosts send at most `per_s` x t requests and one more for each
 * unit. There are `per_s` + RATELIMIT_SPARE_UNITS units: also while one set of
 * hosts takes over the units of another, no more requests arrive in 4 s than
 * 1.5 x 4 s x `per_s` + 5.
 */
/* A lower rate, 0 included, counts as the minimum: without any request nobody
 * would notice the end of the limit. */
#define RATELIMIT_MIN_PER_S 0.2
#define RATELIMIT_MAX_PER_S 1e6
/* Rates are rounded down to steps of 1 / RATELIMIT_STEPS_PER_UNIT, so that they
 * are the same on all hosts. */
#define RATELIMIT_STEPS_PER_UNIT 1000.0
#define RATELIMIT_SPARE_UNITS 2
/* Below this rate there is one unit: requests that are evenly spaced notice a
 * higher rate, or the end of the limit, sooner. */
#define RATELIMIT_SINGLE_UNIT_PER_S 1.0
/* Each copy between hosts makes a statement look newer by the time it takes.
 * One with the same rate that is newer by less than this is taken for a copy.
 */
#define RATELIMIT_COPY_MS 500
/* When nobody has received a statement for this long, or for this many windows
 * if that is longer, other hosts get the units: the former ones may be gone, or
 * have no request for the endpoint. */
#define RATELIMIT_TERM_MS 10000
#define RATELIMIT_TERM_WINDOWS 2
/* A free unit is reserved for more urgent requests for this part of the window
 * per level of priority, up to a maximum. */
#define RATELIMIT_RESERVED_SHARE 0.0625
#define RATELIMIT_MAX_RESERVED_LEVELS 4

typedef struct ratelimit {
	double per_s;	     /* 0: the endpoint states no limit */
	int64_t stated_ms;   /* when it last stated that; 0: never */
	int64_t received_ms; /* the same, in a response to this host */
	unsigned units;	     /* this host's; set from outside */
	unsigned all_units;
} ratelimit_t;

/* The three functions below return whether `per_s` has changed. */

/* The endpoint stated a rate of `per_s`, which is not negative. */
bool ratelimit_on_stated(ratelimit_t *limit, double per_s, int64_t now_ms);

/*
 * The endpoint answered a request that was sent at `sent_ms` and stated no
 * rate. Ends the limit, unless the endpoint may have answered before it last
 * stated one.
 */
bool ratelimit_on_unstated(ratelimit_t *limit, int64_t sent_ms, int64_t now_ms);

/* Another host received a statement at `stated_ms`; `per_s` is 0 when the limit
 * ended. */
bool ratelimit_on_news(ratelimit_t *limit, double per_s, int64_t stated_ms);

/* The number of units that a rate above 0 is divided into. A host keeps the
 * times of SENDRING_SIZE sends, so `hosts` hosts can use a bounded number. */
unsigned ratelimit_count_units(double per_s, size_t hosts);

/* Time in which each unit allows one request. */
int64_t ratelimit_window_ms(const ratelimit_t *limit);

/* Number of the term that the limit is in; it changes while there are no
 * statements. Hosts get units anew in each term. */
unsigned ratelimit_term(const ratelimit_t *limit, int64_t now_ms);

/*
 * The time from which this host may send a request of this priority, 0 being
 * the most urgent; `sends` are its sends to the endpoint.
 *
 * RETURN VALUE: 0 for at any time; INT64_MAX when the host has no unit.
 */
int64_t ratelimit_next_send_ms(const ratelimit_t *limit,
			       const sendring_t *sends, unsigned priority);

#endif
