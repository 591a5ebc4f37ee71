#ifndef COORDINATION_PREFIXNEWS_H
#define COORDINATION_PREFIXNEWS_H

#include <stdbool.h>

#include "base/buf.h"
#include "base/err.h"
#include "coordination/prefixmap.h"

/*
 * prefixnews - which prompt parts engines have read, told between hosts
 *
 * A host sees its own sends only; among many hosts it rarely knows which engine
 * has read the shared part of a prompt. So hosts tell each other the keys of
 * parts (see prefixmap.h) that an engine has read for them and had not read
 * before. They travel as loads do: to the relay of the region, from there to
 * the other relays, and from each relay to its region. Keys are hints: one that
 * is lost or outdated costs a part that is read once more.
 *
 * A queue holds keys until the next round. It does no input or output.
 */
#define PREFIXNEWS_MAX_KEYS 512 /* keys of a queue; further ones are left out \
				 */
#define PREFIXNEWS_MAX_MESSAGE_KEYS 60 /* of one message */

/* The kinds of loadboard.h have lower numbers: both use one port. */
typedef enum prefixnews_kind {
	PREFIXNEWS_HOST = 16, /* of one host, for the relay of its region */
	PREFIXNEWS_REGION,    /* of a region's hosts, for other relays */
	PREFIXNEWS_RELAY      /* from a relay, for the hosts of its region */
} prefixnews_kind_t;

typedef struct prefixnews {
	uint64_t keys[PREFIXNEWS_MAX_KEYS];
	size_t count;
	size_t dropped; /* keys that came when the queue was full */
} prefixnews_t;

/* Queues a key, or counts it as left out when the queue is full. */
void prefixnews_add(prefixnews_t *news, uint64_t key);

/* Empties the queue for the next round. */
void prefixnews_clear(prefixnews_t *news);

/* Queues the keys of a prompt's shared parts, all but the last, at an engine.
 */
void prefixnews_add_parts(prefixnews_t *news, uint64_t engine,
			  const prompt_parts_t *parts);

/* The key by which hosts tell each other that an endpoint leaves: that of a
 * part which no prompt has. */
uint64_t prefixnews_leaving_key(uint64_t engine);

/* True for a message of these kinds, which may be malformed all the same. */
bool prefixnews_is_message(str_t message);

/* Appends a message with up to PREFIXNEWS_MAX_MESSAGE_KEYS keys. */
void prefixnews_write(prefixnews_kind_t kind, const uint64_t *keys,
		      size_t count, buf_t *out);

/*
 * Reads a message and adds its keys to the map; those that the map did not have
 * are queued in `fresh`.
 *
 * ERRORS: ERR_INVALID.
 */
err_code_t prefixnews_read(str_t message, prefixmap_t *map,
			   prefixnews_kind_t *kind, prefixnews_t *fresh,
			   err_t *err);

#endif
