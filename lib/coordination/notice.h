#ifndef COORDINATION_NOTICE_H
#define COORDINATION_NOTICE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * notice - what an endpoint has asked of this host: to leave it or to pause
 *
 * An endpoint says in its answers that it leaves, or refuses a request and
 * states for how long it wants none. Both hold whatever its record says. After
 * a pause the endpoint gets few requests at first, so that the whole queue does
 * not arrive at once. Other hosts may have heard that it leaves: it is then the
 * last choice, and none once the time for leaving is over.
 */
/* A pause that is longer is cut to this, one that can't be read is this long.
 */
#define NOTICE_MAX_PAUSE_MS 300000
#define NOTICE_DEFAULT_PAUSE_MS 1000
/* An endpoint whose process can't be told from its successor may be tried again
 * this long after it said that it leaves. */
#define NOTICE_UNIDENTIFIED_LEAVING_MS 30000
/* After a pause one request may be sent, twice as many with each step. */
#define NOTICE_RAMP_STEP_MS 100
#define NOTICE_RAMP_STEPS 6

typedef struct notice {
	int64_t leaving_until_ms; /* INT64_MAX: for good; 0: it isn't leaving */
	int64_t leaving_hint_ms; /* when another host said so first; 0: none did
				  */
	int64_t pause_until_ms;	 /* 0: it never asked for a pause */
	unsigned sends_since_pause; /* since the end of the pause */
} notice_t;

typedef enum notice_verdict {
	NOTICE_OPEN,
	NOTICE_LAST_RESORT, /* by hearsay it leaves */
	NOTICE_PAUSED,
	NOTICE_LEAVING
} notice_verdict_t;

/* The endpoint says that it leaves; `is_named` when its record names its
 * process, so that a successor is told apart. */
void notice_on_leaving(notice_t *notice, bool is_named, int64_t now_ms);

/* Another host says that it leaves. */
void notice_on_hint(notice_t *notice, int64_t now_ms);

/*
 * The endpoint wants no request for `pause_ms`; a negative number stands for
 * one that can't be read.
 *
 * RETURN VALUE: the pause that is kept.
 */
int64_t notice_on_pause(notice_t *notice, int64_t pause_ms, int64_t now_ms);

void notice_on_send(notice_t *notice, int64_t now_ms);

/* What it says of a request that would be sent now; `drain_ms` is the time that
 * hosts have to leave an endpoint. NULL stands for no notice. */
notice_verdict_t notice_check(const notice_t *notice, int64_t drain_ms,
			      int64_t now_ms);

/* True when a request that was placed before must not be sent any more. */
bool notice_forbids(const notice_t *notice, int64_t drain_ms, int64_t now_ms);

/* When a paused endpoint takes the next request. */
int64_t notice_next_send_ms(const notice_t *notice, int64_t now_ms);

#endif
