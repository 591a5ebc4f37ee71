#ifndef COORDINATION_RETRYBUDGET_H
#define COORDINATION_RETRYBUDGET_H

#include <stdbool.h>
#include <stdint.h>

/*
 * retrybudget - limits a host's sends beyond the first of each request
 *
 * In a sliding window a host may make a fixed ratio of its own requests as
 * additional sends, plus its share of an allowance common to all hosts. Since
 * each host keeps to the ratio of its own requests, the sum over all hosts
 * keeps to the ratio of all requests.
 */
#define RETRYBUDGET_WINDOW_SLOTS 20

typedef struct retrybudget {
	double ratio;	    /* additional sends per request */
	unsigned allowance; /* additional sends per window: this host's share */
	int64_t slot_ms;    /* length of a slot */
	int64_t newest_slot; /* number of the latest slot, from time 0 */
	unsigned requests[RETRYBUDGET_WINDOW_SLOTS];
	unsigned sends[RETRYBUDGET_WINDOW_SLOTS]; /* additional sends only */
} retrybudget_t;

/* Uses a part of `ratio` only, as a safety margin. */
void retrybudget_init(retrybudget_t *budget, double ratio, int64_t window_ms);

/* Sets this host's allowance to an equal share of `slack` among `hosts` hosts,
 * less a safety margin. */
void retrybudget_set_allowance(retrybudget_t *budget, double slack,
			       unsigned hosts);
void retrybudget_on_request(retrybudget_t *budget, int64_t now_ms);

/* Takes one additional send from the budget; false when none is left. */
bool retrybudget_take(retrybudget_t *budget, int64_t now_ms);

/* Whether retrybudget_take() would succeed and leave `spare` sends. */
bool retrybudget_available(retrybudget_t *budget, unsigned spare,
			   int64_t now_ms);

#endif
