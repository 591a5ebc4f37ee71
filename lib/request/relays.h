#ifndef REQUEST_RELAYS_H
#define REQUEST_RELAYS_H

#include "coordination/peersync.h"
#include "request/router.h"

/*
 * relays - selects the host that relays loads and prefix keys of a region
 *
 * Hosts exchange this state through one relay host per region, so that only few
 * hosts send messages between regions. The relay of a region is its live host
 * with the highest rendezvous hash: no host is reserved for it, and another one
 * takes over when it fails or leaves.
 */
#define RELAYS_MAX_REGIONS 16

typedef struct relay {
	str_t region;
	uint32_t weight;
	const member_t *member; /* NULL for this host */
} relay_t;

typedef struct relays {
	const router_t *router;
	const peersync_t *peersync;
	const char *name; /* of this host */
	relay_t list[RELAYS_MAX_REGIONS];
	size_t count;
} relays_t;

/* Hash of a host's name: its id in messages and its weight; never 0. */
uint32_t relays_host_id(const char *name);

/* Selects the relay of each region among the live hosts. */
void relays_find(relays_t *relays);

/* The relay of this host's region. */
const relay_t *relays_own(const relays_t *relays);

bool relays_is_self(const relays_t *relays);

/* True when the other host is live and in this host's region. */
bool relays_in_region(const relays_t *relays, const member_t *member);

#endif
