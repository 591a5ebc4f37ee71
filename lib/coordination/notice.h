#ifndef COORDINATION_NOTICE_H
#define COORDINATION_NOTICE_H

#include <stdbool.h>
#include <stdint.h>

#include "coordination/ratelimit.h"

/*
 * notice - an endpoint's requests to stop sending to it, to pause or to send
 * less
 *
 * An endpoint announces in its responses that it is leaving, refuses a request
 * and states for how long it accepts none, or states how many it accepts (see
 * ratelimit.h). All take precedence over its record in the configuration. After
 * a pause the number of requests ramps up, so that the whole queue does not
 * arrive at once. When only another host reports that an endpoint is leaving,
 * it is the last resort, and excluded once the drain time is over.
 */
/* Longer pauses are cut to the maximum; one that can't be parsed gets the
 * default. */
#define NOTICE_MAX_PAUSE_MS 300000
#define NOTICE_DEFAULT_PAUSE_MS 1000
/* An endpoint whose record has no incarnation can't be told from its successor
 * at the same address: it may be tried again after this time. */
#define NOTICE_UNIDENTIFIED_LEAVING_MS 30000
/* After a pause one request may be sent; each step doubles the number. */
#define NOTICE_RAMP_STEP_MS 100
#define NOTICE_RAMP_STEPS 6

typedef struct notice {
	int64_t leaving_until_ms;   /* INT64_MAX: for good; 0: not leaving */
	int64_t leaving_hint_ms;    /* first report of another host; 0: none */
	int64_t paused_until_ms;    /* 0: no pause so far */
	unsigned sends_since_pause; /* since its end */
	ratelimit_t limit;
} notice_t;

typedef enum notice_verdict {
	NOTICE_OPEN,
	NOTICE_LAST_RESORT, /* another host reports that it is leaving */
	NOTICE_PAUSED,
	NOTICE_LEAVING
} notice_verdict_t;

/* The endpoint announced that it is leaving. `has_incarnation` tells whether
 * its record identifies the process, so that a successor is recognized. */
void notice_on_leaving(notice_t *notice, bool has_incarnation, int64_t now_ms);

/* Another host reports that the endpoint is leaving. */
void notice_on_leaving_hint(notice_t *notice, int64_t now_ms);

/*
 * The endpoint asked for no requests for `pause_ms`; a negative value means
 * that the time could not be parsed.
 *
 * RETURN VALUE: the length of the pause that is applied, in ms.
 */
int64_t notice_on_pause(notice_t *notice, int64_t pause_ms, int64_t now_ms);

void notice_on_send(notice_t *notice, int64_t now_ms);

/* Verdict on a request that would be sent now. `drain_ms` is the time that
 * hosts have to stop using a leaving endpoint. `notice` may be NULL. */
notice_verdict_t notice_check(const notice_t *notice, int64_t drain_ms,
			      int64_t now_ms);

/* Whether a request that was assigned to the endpoint earlier must not be sent.
 * `notice` may be NULL. */
bool notice_forbids(const notice_t *notice, int64_t drain_ms, int64_t now_ms);

/* Time at which a paused endpoint accepts the next request. */
int64_t notice_next_send_ms(const notice_t *notice, int64_t now_ms);

#endif
