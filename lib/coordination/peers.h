#ifndef COORDINATION_PEERS_H
#define COORDINATION_PEERS_H

#include "coordination/member.h"
#include "state/store.h"
#include "transport/link.h"

/*
 * peers - heartbeats and links from this process to dispatch daemons
 *
 * Opens a link to each member that the process needs, sends PING on each at
 * the members' interval, takes STATUS into the member table and hands every
 * other message to the user. In a fleet above PEERS_FULL_MESH members, only
 * members of the own domain and PEERS_PER_DOMAIN of each other domain are
 * linked. Runs on one loop.
 */
#define PEERS_FULL_MESH 64
#define PEERS_PER_DOMAIN 3

typedef struct peers peers_t;

/* What this process says about itself. */
typedef struct peers_self {
	msg_role_t role;
	str_t host;
	str_t domain;
	str_t address; /* dispatch address; empty for an entry daemon */
	msg_id_t incarnation;
} peers_self_t;

typedef struct peers_ops {
	/* Any message but HELLO, PING and STATUS. */
	void (*on_message)(void *user, member_t *member, const msg_t *msg);
	/* The member's row is up to date; `fresh`: new or restarted. */
	void (*on_status)(void *user, member_t *member, bool fresh);
	/* The link broke: what was asked on it will not be answered. */
	void (*on_down)(void *user, member_t *member);
} peers_ops_t;

/* The strings of `self` are not copied. */
peers_t *peers_create(loop_t *loop, const store_t *store,
		      const peers_self_t *self, const peers_ops_t *ops,
		      void *user);
void peers_free(peers_t *peers);

/* Learns a dispatch address, from the settings' seeds for example. */
void peers_add_seed(peers_t *peers, const char *address);

/*
 * Takes over the platform's host list:
 * {"hosts": [{"host", "domain", "address", "state": "live" | "leaving"}]}.
 * `self_leaving` is set when it lists this host as leaving.
 *
 * ERRORS: ERR_INVALID; then nothing changes.
 */
err_code_t peers_apply_host_list(peers_t *peers, str_t json, bool *self_leaving,
				 err_t *err);

member_table_t *peers_table(peers_t *peers);
const peers_self_t *peers_self(const peers_t *peers);

/* ERRORS: ERR_BAD_STATE when there is no link, ERR_FULL. */
err_code_t peers_send(peers_t *peers, member_t *member, const msg_t *msg);

/* The link to the member, up or not; NULL when there is none. */
link_t *peers_link(const member_t *member);

/* True when a message can be sent to the member now. */
bool peers_is_linked(const member_t *member);

/* Encodes and sends on any link; counts control bytes for small messages. */
err_code_t peers_send_on(link_t *link, const msg_t *msg);

/* Counts a link that ended because of a malformed, oversized or truncated
 * frame; `err` is that of the link's on_down. */
void peers_count_invalid(const err_t *err);

/* Counts the bytes of a control message received on any link. */
void peers_count_received(const msg_t *msg, size_t bytes);

/* Fills the member list of a STATUS with live members from index `*next` on
 * and moves `*next` behind them. */
void peers_fill_members(peers_t *peers, msg_status_t *status, size_t *next);

/* Number of answered heartbeat rounds since the start. */
uint64_t peers_rounds(const peers_t *peers);

#endif
