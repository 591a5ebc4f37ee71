#ifndef COORDINATION_PEERSYNC_H
#define COORDINATION_PEERSYNC_H

#include "coordination/gossip.h"
#include "state/replica.h"
#include "transport/loop.h"

/*
 * peersync - keeps this host's replica as new as that of its peers
 *
 * Sends and receives gossip over UDP. When a peer knows a newer revision, the
 * changes are pulled from it over TCP: a frame with the own revision, answered
 * by a frame with the records. A host that reads the configuration service
 * waits a while first, since its own watch should tell the same; the others
 * pull at once, spread over a moment (see readers.h).
 */
/* Without a byte for this long a pull has failed. */
#define PEERSYNC_PULL_TIMEOUT_MS 1000
/* A pull that takes longer has failed, too. */
#define PEERSYNC_PULL_MAX_MS 15000
/* An answer above this would hold up a small host's link once for each host
 * that pulls it: these had better read the configuration service themselves. */
#define PEERSYNC_LARGE_BYTES 65536
#define PEERSYNC_MAX_SERVED 64 /* pulls answered at the same time */
/* Hosts that hear of a change at the same moment pull within this time. */
#define PEERSYNC_SPREAD_MS 100

typedef struct peersync peersync_t;

typedef struct peersync_observer {
	/* How many hosts share what is limited over all of them. */
	void (*hosts_changed)(void *user, unsigned domain_hosts,
			      unsigned all_hosts);
	/* Records came from a peer that the service hasn't told. */
	void (*pulled)(void *user, const char *peer, int64_t revision);
	/* A peer's answer was left since it is large, see PEERSYNC_LARGE_BYTES:
	 * the service should be read. NULL: there is no service, and large
	 * answers are taken. */
	void (*large)(void *user);
	/* A round of gossip begins. NULL: not told. */
	void (*round)(void *user);
	void *user;
} peersync_observer_t;

typedef struct peersync_options {
	loop_t *loop;
	replica_t *replica;
	gossip_self_t self;
	unsigned gossip_port;	 /* of all hosts */
	const char *pull_listen; /* own "IP:PORT" for pulls */
	/* Time for the own watch of a configuration service to tell what a peer
	 * already knows; 0 where there is no service. */
	int64_t patience_ms;
	peersync_observer_t observer;
} peersync_options_t;

/*
 * ERRORS: ERR_IO when an address can't be listened on.
 */
err_code_t peersync_create(const peersync_options_t *options,
			   peersync_t **peersync, err_t *err);
void peersync_free(peersync_t *peersync);

/* Sets the hosts to begin with, by IP, and again when settings change. */
void peersync_set_seeds(peersync_t *peersync, const str_t *ips, size_t count);

/* The hosts that are known. */
const gossip_t *peersync_gossip(const peersync_t *peersync);

/* States what the configuration service does for this host. A host that reads
 * it tells its domain of each change, and at least every
 * READERS_ANNOUNCE_INTERVAL_MS. */
void peersync_set_service(peersync_t *peersync, gossip_service_t service);

/* Whether answers of any size are taken: the service doesn't answer. */
void peersync_take_large(peersync_t *peersync, bool take);

/* Tells the hosts of the domain which revision this one has. */
void peersync_announce(peersync_t *peersync);

/* Tells the others that this host stops. */
void peersync_leave(peersync_t *peersync);

#endif
