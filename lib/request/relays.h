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

/* The steps by which a message reaches all hosts. */
typedef enum relays_step {
	RELAYS_TO_OWN_RELAY,	/* from a host */
	RELAYS_TO_OTHER_RELAYS, /* from a relay */
	RELAYS_TO_OWN_REGION	/* from a relay to the hosts of its region */
} relays_step_t;

/* A message with a kind for each step. */
typedef struct relays_message relays_message_t;

typedef struct relays_message_ops {
	void (*write)(const relays_message_t *message, relays_step_t step,
		      buf_t *out);
} relays_message_ops_t;

struct relays_message {
	const relays_message_ops_t *ops;
};

/* Sends a message to a host and releases its buffer. */
typedef void (*relays_send_t)(void *user, const char *ip, buf_t *message);

typedef struct relay {
	str_t region;
	uint32_t weight;
	const member_t *member; /* NULL for this host */
} relay_t;

typedef struct relays {
	router_t *router;
	const peersync_t *peersync;
	const char *name; /* of this host */
	relays_send_t send;
	void *user;
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

/* Number of other hosts in this host's region. */
size_t relays_count_receivers(const relays_t *relays);

/* True for relays, and at random for few of the other hosts: they repeat all
 * that they know, for hosts that have missed news or restarted. */
bool relays_repeats_all(const relays_t *relays);

/* Sends a message of this host on its way to all hosts. */
void relays_distribute(const relays_t *relays, const relays_message_t *message);

/* Passes on, at a relay, what it received in the given step. */
void relays_forward(const relays_t *relays, const relays_message_t *message,
		    relays_step_t received);

#endif
