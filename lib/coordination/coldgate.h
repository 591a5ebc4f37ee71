#ifndef COORDINATION_COLDGATE_H
#define COORDINATION_COLDGATE_H

#include <stdbool.h>
#include <stddef.h>

#include "coordination/sendring.h"

/*
 * coldgate - rate limit of this host's requests to a cold endpoint
 *
 * The limit applies to the sum over all hosts in any second. It is divided by
 * the number of hosts that may send to the endpoint, so it holds although hosts
 * don't know each other's sends.
 */
/* Longer than the second of the limit, since delays in the network may bring
 * requests closer together. */
#define COLDGATE_WINDOW_MS 1200
/* Share of the limit that is reserved for hosts that are not known yet. */
#define COLDGATE_RESERVE_SHARE 0.1
/* Part of the limit that is dealt to single hosts. */
#define COLDGATE_DEALT_PART 0.5

/*
 * Computes how many requests each of `hosts` hosts may send per window, for a
 * limit of `per_s` x `overshoot` + `slack` requests per second.
 *
 * RETURN VALUE: the number, at most SENDRING_SIZE; 0 when the limit is too
 * low for one request of each host.
 */
unsigned coldgate_share(double per_s, double overshoot, double slack,
			unsigned hosts);

/*
 * The same where each host has less than one request: half of the limit's
 * requests are dealt to the hosts of the first ranks. Half, since a host whose
 * view of the others differs may have the same rank as another one.
 *
 * RETURN VALUE: 0 or 1.
 */
unsigned coldgate_dealt_share(double per_s, double overshoot, double slack,
			      size_t rank);

/* Whether fewer than `share` requests were sent in the last window. */
bool coldgate_allows(const sendring_t *sends, unsigned share, int64_t now_ms);

#endif
