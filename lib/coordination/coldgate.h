#ifndef COORDINATION_COLDGATE_H
#define COORDINATION_COLDGATE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * coldgate - this host's share of the requests that a cold endpoint bears
 *
 * The limit holds for the sum over all hosts in any second. It is divided by
 * the number of hosts that may send to the endpoint, so that the sum holds
 * whatever the hosts know of each other's sends.
 */
#define COLDGATE_MAX_SENDS 64
/* Longer than the second that is judged: requests bunch up on their way. */
#define COLDGATE_WINDOW_MS 1200
/* Part of the limit that is left for sends of hosts not heard of yet. */
#define COLDGATE_RESERVE_SHARE 0.1

typedef struct coldgate {
	int64_t sends_ms[COLDGATE_MAX_SENDS]; /* newest at next - 1 */
	unsigned next;
} coldgate_t;

/*
 * Requests a window that each of `hosts` hosts may send, for a limit of
 * `per_s` x `overshoot` + `slack` a second. At least 1 when the limit leaves
 * room for one request of each host, 0 otherwise.
 */
unsigned coldgate_share(double per_s, double overshoot, double slack,
			unsigned hosts);

/* True when fewer than `share` requests were sent in the last window. */
bool coldgate_allows(const coldgate_t *gate, unsigned share, int64_t now_ms);
void coldgate_on_send(coldgate_t *gate, int64_t now_ms);

#endif
