#ifndef COORDINATION_GOSSIP_INTERNAL_H
#define COORDINATION_GOSSIP_INTERNAL_H

#include "coordination/gossip.h"

/*
 * gossip_internal - shared by the modules of gossip
 *
 * gossip.c keeps the table of hosts; gossip_message.c reads and writes
 * messages.
 */
/* A tag and the age in one number. Ages are rounded up, since one that shrank
 * from host to host would keep a lost host alive by hearsay. */
#define GOSSIP_TAG_BYTES 4
#define GOSSIP_TAG_BITS 24
#define GOSSIP_TAG_MASK ((UINT32_C(1) << GOSSIP_TAG_BITS) - 1)
#define GOSSIP_TAG_AGE_MS 50
#define GOSSIP_TAG_MAX_AGE UINT8_MAX

struct gossip {
	member_t self;
	member_t *members;
	size_t count, cap;
	/* Where the next samples begin. */
	size_t next_new, next_old, next_tag;
	uint64_t random_state;
};

/* A host of the table; NULL when there is none of this name. */
member_t *gossip_find(const gossip_t *gossip, const char *name);

/* Merges what was heard of a host. NULL for this host and old news. */
member_t *gossip_merge(gossip_t *gossip, const member_t *heard, int64_t now_ms);

#endif
