#ifndef COORDINATION_GOSSIP_INTERNAL_H
#define COORDINATION_GOSSIP_INTERNAL_H

#include "coordination/gossip.h"

/*
 * gossip_internal - shared by the modules of gossip
 *
 * gossip.c keeps the membership table; gossip_message.c encodes and decodes
 * messages.
 */
/* An encoded tag holds the tag in its low bits and the age above, in units of
 * GOSSIP_TAG_AGE_MS. Ages are rounded up: with ages rounded down, hosts would
 * keep refreshing each other's entry of a host that is lost. */
#define GOSSIP_TAG_BYTES 4
#define GOSSIP_TAG_BITS 24
#define GOSSIP_TAG_MASK ((UINT32_C(1) << GOSSIP_TAG_BITS) - 1)
#define GOSSIP_TAG_AGE_MS 50
#define GOSSIP_TAG_MAX_AGE UINT8_MAX

struct gossip {
	member_t self;
	member_t *members;
	size_t count, cap;
	/* Positions in `members` where the next samples begin. */
	size_t next_new, next_old, next_tag;
	uint64_t random_state;
};

/* RETURN VALUE: NULL when the table has no host of this name. */
member_t *gossip_find(const gossip_t *gossip, const char *name);

/*
 * Merges an entry that was received for a host into the table.
 *
 * RETURN VALUE: NULL when the entry is for this host or for an earlier
 * incarnation than the known one, which is live.
 */
member_t *gossip_merge(gossip_t *gossip, const member_t *update,
		       int64_t now_ms);

#endif
