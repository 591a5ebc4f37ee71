#ifndef COORDINATION_READERS_H
#define COORDINATION_READERS_H

#include "coordination/gossip.h"

/*
 * readers - the hosts that watch the configuration service
 *
 * Calls to the service count against a rate limit that grows more slowly than
 * the fleet. So only a few hosts of each failure domain, the readers, watch it.
 * They announce each new revision to the other hosts of their domain, which
 * pull the changes from them. Each host decides locally, by its gossip state:
 * the readers are the live hosts of a domain with the highest weights. A host
 * that reports that the service doesn't answer it, or that has not been heard
 * from directly for a while, is skipped, and the next host by weight takes
 * over. Hosts with different gossip state may be readers at the same time,
 * which only costs extra calls.
 */
/* Two, so that one is left while the failure of the other is being detected. */
#define READERS_PER_DOMAIN 2
/* Upper bound on the hosts of a domain that keep calling a service that doesn't
 * answer them; during an outage no others call it. */
#define READERS_MAX_FAILING 4
/* Delay between a host's start, at which it lists all records, and its first
 * watch. Hosts that start at the same time know few of each other at first and
 * would all become readers. The delay therefore depends on the weight: the
 * minimum for the highest weight, the maximum for the lowest. */
#define READERS_MIN_START_DELAY_MS 1000
#define READERS_MAX_START_DELAY_MS 2500
/* Delay of a host that knows fewer than READERS_PER_DOMAIN other hosts in its
 * domain. */
#define READERS_ALONE_DELAY_MS 800
/* Longest interval between two announcements of a reader to its domain. */
#define READERS_ANNOUNCE_INTERVAL_MS 800
/* A host that was not heard from for this time is skipped. */
#define READERS_SILENCE_TIMEOUT_MS 2000

/* Weight of a host; all hosts compute the same one. */
uint32_t readers_weight(const char *name);

/* Whether this host, which started at `started_ms`, should watch the service
 * now. */
bool readers_includes_self(const gossip_t *gossip, int64_t started_ms,
			   int64_t now_ms);

#endif
