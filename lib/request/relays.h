#ifndef REQUEST_RELAYS_H
#define REQUEST_RELAYS_H

#include "coordination/peersync.h"
#include "request/router.h"

/*
 * relays - which host passes news of a region on
 *
 * What all hosts should know of each other goes through one host a region, so
 * that between regions only few speak. The relay of a region is the live host
 * with the highest random weight: no host is set aside for it, and another
 * takes over when it is gone.
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

/* A host's number in messages, and its weight. */
uint32_t relays_host_id(const char *name);

/* Finds the relays among the hosts that are live now. */
void relays_find(relays_t *relays);

/* The relay of this host's region. */
const relay_t *relays_own(const relays_t *relays);

/* True when this host is the relay of its region. */
bool relays_is_self(const relays_t *relays);

/* True when the other host is live and of this host's region. */
bool relays_in_region(const relays_t *relays, const member_t *member);

#endif
