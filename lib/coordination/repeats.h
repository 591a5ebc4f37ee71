#ifndef COORDINATION_REPEATS_H
#define COORDINATION_REPEATS_H

#include <stdbool.h>
#include <stdint.h>

/*
 * repeats - bound on the sends of a host beyond the first of each request
 *
 * The bound is a ratio of the requests that came to this host in a sliding
 * window plus a share of an allowance that all hosts have together. Since each
 * host keeps to the ratio of its own requests, the sum over all hosts keeps to
 * the ratio of all of them.
 */
#define REPEATS_WINDOW_SLOTS 20

typedef struct repeats {
	double ratio;
	unsigned allowance; /* this host's share of the fixed part */
	int64_t slot_ms;
	int64_t newest_slot; /* number of the newest slot */
	unsigned requests[REPEATS_WINDOW_SLOTS];
	unsigned sends[REPEATS_WINDOW_SLOTS];
} repeats_t;

void repeats_init(repeats_t *repeats, double ratio, int64_t window_ms);

/* Sets the part of `slack` that this host may use, for `hosts` hosts. */
void repeats_set_allowance(repeats_t *repeats, double slack, unsigned hosts);
void repeats_on_request(repeats_t *repeats, int64_t now_ms);

/* Takes one send beyond the first; false when none is left. */
bool repeats_take(repeats_t *repeats, int64_t now_ms);

/* True when repeats_take() would succeed with `spare` sends left over. */
bool repeats_available(repeats_t *repeats, unsigned spare, int64_t now_ms);

#endif
