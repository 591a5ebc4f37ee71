#ifndef COORDINATION_PEERSYNC_H
#define COORDINATION_PEERSYNC_H

#include "coordination/gossip.h"
#include "coordination/pullcodec.h"
#include "state/replica.h"
#include "transport/loop.h"

/*
 * peersync - keeps the replica of this host as recent as those of its peers
 *
 * Sends and receives gossip over UDP. When a peer has a newer revision, this
 * host pulls the changes from it over TCP: the request frame holds the own
 * revision, the response frame holds the records. A host that reads the
 * configuration service waits first, since its own watch should deliver the
 * same changes. The other hosts pull after a delay of up to PEERSYNC_SPREAD_MS
 * that differs from host to host (see readers.h).
 */
/* A pull fails when no byte is transferred for this long. */
#define PEERSYNC_PULL_TIMEOUT_MS 1000
/* Total time limit of a pull. */
#define PEERSYNC_PULL_MAX_MS 15000
/* A larger response would occupy the link of a small host once for each host
 * that pulls it, so the pulling hosts read the configuration service instead.
 */
#define PEERSYNC_LARGE_RESPONSE_BYTES 65536
/* At the same time. A new one replaces the oldest that has not sent its
 * request.
 */
#define PEERSYNC_MAX_SERVED_PULLS 64
/* Spreads the pulls of hosts that learn of a change at the same moment. */
#define PEERSYNC_SPREAD_MS 100

typedef struct peersync peersync_t;

typedef struct peersync_observer {
	/* The number of hosts that share fleet-wide limits has changed. */
	void (*hosts_changed)(void *user, unsigned domain_hosts,
			      unsigned all_hosts);
	/* Records were pulled from a peer before the own watch delivered them.
	 */
	void (*pulled)(void *user, const char *peer,
		       const pullcodec_applied_t *applied);
	/* A peer's response was dropped because it is larger than
	 * PEERSYNC_LARGE_RESPONSE_BYTES: the observer should read the
	 * configuration service. NULL: there is no service, and responses of
	 * any size are accepted. */
	void (*large_response)(void *user);
	/*
	 * A peer has records of a later era. A host that can read the service
	 * asks it for its era, since a peer may be wrong.
	 *
	 * RETURN VALUE: true when the service is or was asked a short time ago;
	 * false when it can't be reached, so that the records are pulled from
	 * the peer. NULL: they are always pulled.
	 */
	bool (*later_era)(void *user, int64_t era);
	/* A gossip round begins. NULL: no notification. */
	void (*round_started)(void *user);
	void *user;
} peersync_observer_t;

typedef struct peersync_options {
	loop_t *loop;
	replica_t *replica;
	gossip_self_t self;
	unsigned gossip_port;	 /* the same on all hosts */
	const char *pull_listen; /* own "IP:PORT" for pulls */
	/* Time that the own watch of the configuration service has to deliver
	 * a change that a peer already has; 0 where there is no service. */
	int64_t watch_grace_ms;
	peersync_observer_t observer;
} peersync_options_t;

/*
 * ERRORS: ERR_IO when an address can't be listened on.
 */
err_code_t peersync_create(const peersync_options_t *options, peersync_t **out,
			   err_t *err);
void peersync_free(peersync_t *peersync);

/* Sets the IPs of the hosts to contact first; replaces those set before. */
void peersync_set_seeds(peersync_t *peersync, const str_t *ips, size_t count);

/* The membership table; owned by `peersync`. */
const gossip_t *peersync_gossip(const peersync_t *peersync);

/* Sets the state of the configuration service as this host sees it, and
 * announces a change to the domain. While the host reads the service, it
 * announces its state at least every READERS_ANNOUNCE_INTERVAL_MS. */
void peersync_set_service(peersync_t *peersync, gossip_service_t service);

/* Sets whether responses of any size are accepted, for use while the
 * configuration service is unavailable. A completed pull resets it. */
void peersync_allow_large_responses(peersync_t *peersync, bool allow);

/* Sends the revision and service state of this host to all live hosts of its
 * domain. */
void peersync_announce(peersync_t *peersync);

/* Marks this host as leaving in all messages from now on. */
void peersync_leave(peersync_t *peersync);

#endif
