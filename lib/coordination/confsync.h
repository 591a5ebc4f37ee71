#ifndef COORDINATION_CONFSYNC_H
#define COORDINATION_CONFSYNC_H

#include "coordination/peers.h"
#include "state/store.h"

/*
 * confsync - brings sheets into force from the platform, peers and operators
 *
 * The version decides, not the way by which a sheet arrives. Nodes that a new
 * version shares with the one in force are not fetched again. Also follows the
 * platform's host list.
 */
typedef struct confsync confsync_t;

typedef struct confsync_ops {
	/* A new sheet is in force. On the loop's thread. */
	void (*on_active)(void *user);
	/* The host list says whether this host is leaving. On the loop. */
	void (*on_listed)(void *user, bool leaving);
} confsync_ops_t;

confsync_t *confsync_create(loop_t *loop, store_t *store, peers_t *peers,
			    const confsync_ops_t *ops, void *user);
/* Stops the watches first; call while the loop is not running any more. */
void confsync_free(confsync_t *confsync);

/* Starts to watch the platform at IP:PORT. */
err_code_t confsync_watch(confsync_t *confsync, const char *platform,
			  err_t *err);

/*
 * Puts a sheet from an operator or a file in force. Takes ownership of the
 * sheet. Safe from any thread that is registered with the store.
 *
 * ERRORS: those of store_activate().
 */
err_code_t confsync_offer(confsync_t *confsync, sheet_t *sheet,
			  const char *source, err_t *err);

/* Looks at the version that a peer announced; fetches a higher one. */
void confsync_on_status(confsync_t *confsync, member_t *member);

/* A peer on this link has this version; fetches a higher one over the link. */
void confsync_on_announced(confsync_t *confsync, link_t *link,
			   uint64_t version);

/* Takes a NODE message. */
void confsync_on_node(confsync_t *confsync, const link_t *link,
		      const msg_node_t *node);

/* The link broke or is about to be closed. NULL is allowed. */
void confsync_on_down(confsync_t *confsync, const link_t *link);

/* Answers a peer's NODE_GET. */
void confsync_serve(confsync_t *confsync, link_t *link,
		    const msg_node_get_t *get);

#endif
