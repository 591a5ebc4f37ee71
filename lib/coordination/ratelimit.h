#ifndef COORDINATION_RATELIMIT_H
#define COORDINATION_RATELIMIT_H

#include <stdbool.h>
#include <stdint.h>

/*
 * ratelimit - the request rate that an endpoint accepts from all hosts together
 *
 * An endpoint states the rate in its responses, for as long as it holds. The
 * latest statement counts, whichever host received it.
 */
/* A lower rate, 0 included, counts as the minimum: without any request nobody
 * would notice the end of the limit. */
#define RATELIMIT_MIN_PER_S 0.1
#define RATELIMIT_MAX_PER_S 1e6

typedef struct ratelimit {
	double per_s;	   /* 0: the endpoint states no limit */
	int64_t stated_ms; /* when it last stated that; 0: never */
} ratelimit_t;

/* The two functions below return whether `per_s` has changed. */

/* The endpoint stated a rate of `per_s`, which is not negative. */
bool ratelimit_on_stated(ratelimit_t *limit, double per_s, int64_t now_ms);

/*
 * The endpoint answered a request that was sent at `sent_ms` and stated no
 * rate. Ends the limit, unless the endpoint may have answered before it last
 * stated one.
 */
bool ratelimit_on_unstated(ratelimit_t *limit, int64_t sent_ms, int64_t now_ms);

#endif
