#ifndef COORDINATION_READERS_H
#define COORDINATION_READERS_H

#include "coordination/gossip.h"

/*
 * readers - which hosts read the configuration service
 *
 * Each call to the service is counted, and its rates grow more slowly than the
 * fleet. So a few hosts of each failure domain watch it, and tell the others of
 * their domain at once what revision they have; those pull what is new. Each
 * host decides for itself, from what it has heard: the readers are the live
 * hosts of a domain with the highest weights. One that says that the service
 * doesn't answer it, or isn't heard of directly any more, is passed over, so
 * that the next ones take over. Hosts that see different others may be readers
 * at the same time, which costs calls only.
 */
/* Readers of a domain: one may fail before it is passed over. */
#define READERS_PER_DOMAIN 2
/* At most so many hosts of a domain go on trying a service that doesn't answer
 * them; while it is down they are all that call it. */
#define READERS_MAX_FAILING 4
/* A host that has just started has listed all records. It reads no further
 * until it has heard of others: hosts that start at the same moment know few of
 * them for a while, so those with high weights begin, from the first of these
 * times on, and after the second any host may. */
#define READERS_MIN_START_DELAY_MS 1000
#define READERS_MAX_START_DELAY_MS 2500
/* After this time a host that knows of fewer others in its domain than there
 * would be readers doesn't wait any longer. */
#define READERS_ALONE_DELAY_MS 800
/* A reader tells its domain that it reads, at least so often. */
#define READERS_ANNOUNCE_INTERVAL_MS 800
/* One that was not heard of for so long is passed over. */
#define READERS_SILENCE_TIMEOUT_MS 2000

/* A host's weight: the same on all hosts. */
uint32_t readers_weight(const char *name);

/* True when this host, which started at `started_ms`, should read the service
 * now. */
bool readers_is_self(const gossip_t *gossip, int64_t started_ms,
		     int64_t now_ms);

#endif
