#ifndef COORDINATION_REPEATS_H
#define COORDINATION_REPEATS_H

#include <stdbool.h>
#include <stdint.h>

/*
 * repeats - retry budget: limits a host's sends beyond the first of each
 * request
 *
 * In a sliding window a host may make a fixed ratio of its own requests as
 * additional sends, plus its share of an allowance common to all hosts. Since
 * each host keeps to the ratio of its own requests, the sum over all hosts
 * keeps to the ratio of all requests.
 */
#define REPEATS_WINDOW_SLOTS 20

typedef struct repeats {
	double ratio;
	unsigned allowance;  /* additional sends a window: this host's share */
	int64_t slot_ms;     /* length of a slot */
	int64_t newest_slot; /* its number, counted from time 0 */
	unsigned requests[REPEATS_WINDOW_SLOTS];
	unsigned sends[REPEATS_WINDOW_SLOTS];
} repeats_t;

void repeats_init(repeats_t *repeats, double ratio, int64_t window_ms);

/* Sets this host's allowance to an equal share of `slack` among `hosts` hosts.
 */
void repeats_set_allowance(repeats_t *repeats, double slack, unsigned hosts);
void repeats_on_request(repeats_t *repeats, int64_t now_ms);

/* Takes one additional send from the budget; false when none is left. */
bool repeats_take(repeats_t *repeats, int64_t now_ms);

/* Whether repeats_take() would succeed and leave `spare` sends. */
bool repeats_available(repeats_t *repeats, unsigned spare, int64_t now_ms);

#endif
