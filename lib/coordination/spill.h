#ifndef COORDINATION_SPILL_H
#define COORDINATION_SPILL_H

#include <stddef.h>
#include <stdint.h>

/*
 * spill - which requests go to other regions while the own one lacks room
 *
 * All hosts of a region choose by the same loads, which are some 100 ms old. If
 * each sent to another region as soon as that seems better, all would do so at
 * once, and all come back at once. Each host therefore keeps a share of
 * requests that it spills. The share follows the missing room of the own region
 * slowly, and no further than the others have room. A request's id decides
 * whether it belongs to the share; for those, the link between regions costs
 * nothing. While the share is above 0, each request also considers only a
 * sample of the endpoints, so that hosts don't all send to the same ones.
 *
 * Without missing room the share is 0 and nothing changes. This module does no
 * I/O.
 */
/* Used part of its slots above which a region lacks room. */
#define SPILL_FULL_SHARE 0.9
/* Taken off the cost of an endpoint in another region: the charge and the round
 * trip of the link, see balance.h. */
#define SPILL_LINK_DISCOUNT_MS 150.0
/* Sample of the endpoints, and how many of a region it has at least, as a
 * mean. */
#define SPILL_SAMPLE_SHARE 0.25
#define SPILL_MIN_SAMPLE 6

/* The room of a service's endpoints in one or several regions. */
typedef struct spill_room {
	double slots;
	double used; /* by requests of all hosts; may exceed `slots` */
	size_t endpoints;
} spill_room_t;

/* Zero-initialise; one for each service. */
typedef struct spill {
	double share; /* of the requests, 0 to 1 */
	double sample_share;
	int64_t updated_ms;
} spill_t;

/* Follows the room of the own region and of all others. */
void spill_update(spill_t *spill, const spill_room_t *own,
		  const spill_room_t *others, int64_t now_ms);

/* What to take off the cost of endpoints in other regions, in ms. */
double spill_link_discount_ms(const spill_t *spill, uint64_t id_hash);

/* Part of the endpoints that a request considers; 1 while nothing spills. */
double spill_sample_share(const spill_t *spill);

#endif
