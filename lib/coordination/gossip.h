#ifndef COORDINATION_GOSSIP_H
#define COORDINATION_GOSSIP_H

#include <stdbool.h>
#include <stdint.h>

#include "base/buf.h"
#include "base/err.h"
#include "state/position.h"

/*
 * gossip - fleet membership and the position of each host's replica
 *
 * In each round a host sends a digest to a few others: its own state, the
 * position of its replica, full entries of some known hosts, and for more of
 * them only a tag and the time since they were last heard of. New hosts get
 * full entries. So do old ones in a message to a host that is new or that
 * reported fewer known hosts. The bytes that a host sends and stores are
 * bounded, regardless of the number of hosts. The module keeps the membership
 * table and encodes and decodes messages; it does no input or output.
 */
#define GOSSIP_MAX_MEMBERS 1024
#define GOSSIP_FANOUT 3
/* Full entries in a message: the maximum, and the number for hosts that are not
 * new in a message to a host that knows as many. */
#define GOSSIP_SAMPLE_MAX_MEMBERS 14
#define GOSSIP_SAMPLE_OLD_MEMBERS 2
/* Tags in a message. */
#define GOSSIP_MAX_TAGS 60
#define GOSSIP_ROUND_MS 400
/* A host is new for this long after it was first heard of. */
#define GOSSIP_NEW_MEMBER_MS 10000
/* A host that was not heard of for this long is considered lost and is not
 * chosen as a receiver. Gossip takes longer to reach all hosts of a large
 * fleet, so each host above GOSSIP_LARGE_FLEET_HOSTS extends this time. */
#define GOSSIP_LIVE_MS 5000
#define GOSSIP_LARGE_FLEET_HOSTS 100
#define GOSSIP_LIVE_EXTRA_MS_PER_HOST 25
/* A host gets a share of fleet-wide limits for this long after it was last
 * heard of: it may be partitioned and still send requests to endpoints. */
#define GOSSIP_HOST_COUNT_MS 60000
#define GOSSIP_NAME_BYTES 64
#define GOSSIP_IP_BYTES 16
#define GOSSIP_MESSAGE_BYTES 1200

/* State of the configuration service as seen by a host that reads it. */
typedef enum gossip_service {
	GOSSIP_SERVICE_UNUSED, /* the host does not read it */
	GOSSIP_SERVICE_AVAILABLE,
	GOSSIP_SERVICE_FAILING
} gossip_service_t;

typedef struct member {
	char name[GOSSIP_NAME_BYTES];
	char domain[GOSSIP_NAME_BYTES];
	char ip[GOSSIP_IP_BYTES];
	uint64_t incarnation;	/* wall time of the host's start, in ms */
	uint32_t tag;		/* hash of name and incarnation */
	int64_t first_heard_ms; /* of this incarnation */
	int64_t last_heard_ms;	/* of it, directly or via other hosts */
	position_t position;	/* of its replica, from its own messages */
	unsigned known_hosts;	/* number of hosts that it knows, as reported */
	int64_t last_message_ms; /* from the host itself; 0: never */
	bool leaving;
	gossip_service_t service; /* from its last message */
} member_t;

/* State that a host reports about itself in each message. */
typedef struct gossip_state {
	position_t position; /* of its replica */
	bool leaving;
	gossip_service_t service;
} gossip_state_t;

typedef struct gossip gossip_t;

typedef struct gossip_self {
	const char *name;
	const char *domain;
	const char *ip;
	uint64_t incarnation;
} gossip_self_t;

gossip_t *gossip_create(const gossip_self_t *self, uint64_t random_seed);
void gossip_free(gossip_t *gossip);

/*
 * Decodes a message of another host and merges it into the table. `sender` is
 * set to the member that sent it.
 *
 * ERRORS: ERR_INVALID for a malformed message, ERR_BAD_STATE for one of an
 * earlier incarnation or of this host.
 */
err_code_t gossip_read(gossip_t *gossip, str_t message, int64_t now_ms,
		       const member_t **sender, err_t *err);

/* Appends a message about this host and others, for the member `to`. `to` is
 * NULL when the receiver may not be in the table. */
void gossip_write(gossip_t *gossip, const gossip_state_t *state,
		  const member_t *to, int64_t now_ms, buf_t *out);

/* Appends a message about this host only, for hosts that know the others. */
void gossip_write_self(const gossip_t *gossip, const gossip_state_t *state,
		       int64_t now_ms, buf_t *out);

/* RETURN VALUE: true when the sender knows less than half of the hosts; it gets
 * a digest at once instead of in a later round. */
bool gossip_needs_reply(const gossip_t *gossip, const member_t *sender,
			int64_t now_ms);

/*
 * Chooses the receivers of this round: one from all domains, and the others
 * from the own domain, where traffic is free of charge.
 *
 * RETURN VALUE: how many of `targets` were set, GOSSIP_FANOUT at most.
 */
size_t gossip_targets(gossip_t *gossip, int64_t now_ms,
		      const member_t **targets);

/* This host; only the fields that were passed to gossip_create() are set. */
const member_t *gossip_self(const gossip_t *gossip);

size_t gossip_member_count(const gossip_t *gossip);
const member_t *gossip_member(const gossip_t *gossip, size_t index);
bool gossip_is_live(const gossip_t *gossip, const member_t *member,
		    int64_t now_ms);

/* Hosts that share fleet-wide limits, this one included: in all domains, and in
 * the own domain. */
unsigned gossip_host_count(const gossip_t *gossip, int64_t now_ms);
unsigned gossip_domain_host_count(const gossip_t *gossip, int64_t now_ms);

/*
 * Lists the names of these hosts: of a domain, or of all domains if `domain` is
 * NULL. This host, if it is one of them, comes first.
 *
 * RETURN VALUE: the number of names, at most `max`.
 */
size_t gossip_host_names(const gossip_t *gossip, const char *domain,
			 int64_t now_ms, str_t *names, size_t max);

/*
 * Chooses a live host to pull records from that are newer than `own`, of any
 * later era that a host at `own` accepts or only of the same era. Hosts of the
 * own domain come first, since traffic between domains is billed; within a
 * domain the host with the newest position is chosen. The host with the address
 * `excluded_ip` is left out; NULL: none.
 *
 * RETURN VALUE: NULL when no host has newer records.
 */
typedef enum gossip_eras { GOSSIP_LATER_ERAS, GOSSIP_OWN_ERA } gossip_eras_t;
const member_t *gossip_pull_source(const gossip_t *gossip, position_t own,
				   gossip_eras_t eras, const char *excluded_ip,
				   int64_t now_ms);

/* RETURN VALUE: the latest era of the records of live hosts that a host at
 * `own` accepts; that of `own` if none is later. */
int64_t gossip_latest_era(const gossip_t *gossip, position_t own,
			  int64_t now_ms);

#endif
