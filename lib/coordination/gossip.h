#ifndef COORDINATION_GOSSIP_H
#define COORDINATION_GOSSIP_H

#include <stdbool.h>
#include <stdint.h>

#include "base/buf.h"
#include "base/err.h"

/*
 * gossip - which hosts there are, and how new their records are
 *
 * Each host sends a digest to a few others in each round: itself, the revision
 * of its replica, some of the hosts it has heard of in full, and of more of
 * them only a tag and when they were heard of. New hosts are told in full, and
 * old ones, too, to a host that is new or said that it knows fewer. The bytes a
 * host sends and keeps are bounded, however many hosts there are. The module
 * keeps the table and reads and writes messages; it does no input or output.
 */
#define GOSSIP_MAX_MEMBERS 1024
#define GOSSIP_FANOUT 3
/* Hosts told in full: at most, and of those that are not new. */
#define GOSSIP_SAMPLE_MAX_MEMBERS 14
#define GOSSIP_SAMPLE_OLD_MEMBERS 2
/* Hosts told by their tags in a message. */
#define GOSSIP_MAX_TAGS 60
#define GOSSIP_ROUND_MS 400
/* A host is new for this long after it was first heard of. */
#define GOSSIP_NEW_MEMBER_MS 10000
/* A host not heard of for this long is not sent to. News takes longer to reach
 * all of many hosts: so much more for each above the number. */
#define GOSSIP_LIVE_MS 5000
#define GOSSIP_LARGE_FLEET_HOSTS 100
#define GOSSIP_LIVE_EXTRA_MS_PER_HOST 25
/* A host counts for shares of a limit for this long after it was heard of: it
 * may be cut off and go on sending to endpoints. */
#define GOSSIP_HOST_COUNT_MS 60000
#define GOSSIP_NAME_BYTES 64
#define GOSSIP_IP_BYTES 16
#define GOSSIP_MESSAGE_BYTES 1200

/* What the configuration service does for a host that reads it. */
typedef enum gossip_service {
	GOSSIP_SERVICE_UNUSED, /* the host doesn't read it */
	GOSSIP_SERVICE_AVAILABLE,
	GOSSIP_SERVICE_FAILING
} gossip_service_t;

typedef struct member {
	char name[GOSSIP_NAME_BYTES];
	char domain[GOSSIP_NAME_BYTES];
	char ip[GOSSIP_IP_BYTES];
	uint64_t incarnation;	 /* grows with each start of the host */
	uint32_t tag;		 /* stands for name and incarnation */
	int64_t first_heard_ms;	 /* when it was first heard of */
	int64_t last_heard_ms;	 /* of it, directly or through others */
	int64_t revision;	 /* of its replica, as it said itself */
	unsigned known_hosts;	 /* live hosts that it knows, as it said */
	int64_t last_message_ms; /* when it said so; 0: never */
	bool leaving;
	gossip_service_t service; /* as it said then */
} member_t;

/* What a host says of itself in each message. */
typedef struct gossip_state {
	int64_t revision;
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

gossip_t *gossip_create(const gossip_self_t *self, uint64_t random);
void gossip_free(gossip_t *gossip);

/*
 * Reads a message of another host. `sender` is set to who sent it.
 *
 * ERRORS: ERR_INVALID for a malformed message, ERR_BAD_STATE for one of an
 * earlier incarnation or of this host.
 */
err_code_t gossip_read(gossip_t *gossip, str_t message, int64_t now_ms,
		       const member_t **sender, err_t *err);

/* Appends a message about this host and others for the host `to`, which is NULL
 * for one that may not be known. */
void gossip_write(gossip_t *gossip, const gossip_state_t *state,
		  const member_t *to, int64_t now_ms, buf_t *out);

/* The same about this host alone, for hosts that know the others. */
void gossip_write_self(const gossip_t *gossip, const gossip_state_t *state,
		       int64_t now_ms, buf_t *out);

/* True when a host that sent a message knows so few of the others that it is
 * told of them at once, not when its turn comes. */
bool gossip_needs_reply(const gossip_t *gossip, const member_t *sender,
			int64_t now_ms);

/*
 * Chooses whom to send to in this round: mostly hosts of the own domain, whose
 * bytes cost nothing, and one of all.
 *
 * RETURN VALUE: how many of `targets` were set, GOSSIP_FANOUT at most.
 */
size_t gossip_targets(gossip_t *gossip, int64_t now_ms,
		      const member_t **targets);

/* This host; of its fields those that gossip_create() got are set. */
const member_t *gossip_self(const gossip_t *gossip);

size_t gossip_member_count(const gossip_t *gossip);
const member_t *gossip_member(const gossip_t *gossip, size_t index);
bool gossip_is_live(const gossip_t *gossip, const member_t *member,
		    int64_t now_ms);

/* Hosts that count for shares, this one included. */
unsigned gossip_host_count(const gossip_t *gossip, int64_t now_ms);
unsigned gossip_domain_host_count(const gossip_t *gossip, int64_t now_ms);

/*
 * A live host to get records from that are newer than `revision`; NULL if there
 * is none. Of the own domain before others, since bytes between domains are
 * billed; among those of one domain the newest. `avoid` is the address of a
 * host to leave out; NULL: none.
 */
const member_t *gossip_pull_source(const gossip_t *gossip, int64_t revision,
				   const char *avoid, int64_t now_ms);

#endif
