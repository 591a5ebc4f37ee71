#ifndef COORDINATION_PREFIXNEWS_H
#define COORDINATION_PREFIXNEWS_H

#include <stdbool.h>

#include "base/buf.h"
#include "base/err.h"
#include "coordination/prefixmap.h"

/*
 * prefixnews - messages between hosts about the prefixes that engines have
 * cached
 *
 * The news are keys: of prompt parts that an engine has newly cached, and of
 * endpoints that leave.
 *
 * A host sees only its own sends, so with many hosts it rarely knows which
 * engine has cached the shared prefix of a prompt. Hosts therefore send each
 * other the keys of prompt parts (see prefixmap.h) that an engine has newly
 * cached for one of their requests. Keys take the same path as loads: from a
 * host to the relay of its region, from there to the other relays, and from
 * each relay to the hosts of its region. Keys are hints: a lost or outdated one
 * costs the prefill of a part that some engine has cached.
 *
 * A queue holds the keys until they are sent in the next round. This module
 * does no I/O.
 */
#define PREFIXNEWS_MAX_KEYS 512 /* in a queue; further keys are dropped */
#define PREFIXNEWS_MAX_MESSAGE_KEYS 60 /* in a message */

/* Distinct from the kinds of loadboard.h, which use the same port. */
typedef enum prefixnews_kind {
	PREFIXNEWS_HOST = 16, /* from a host to the relay of its region */
	PREFIXNEWS_REGION,    /* from the relay of a region to other relays */
	PREFIXNEWS_RELAY      /* from a relay to the hosts of its region */
} prefixnews_kind_t;

typedef struct prefixnews {
	uint64_t keys[PREFIXNEWS_MAX_KEYS];
	size_t count;
	size_t dropped; /* keys dropped because the queue was full */
} prefixnews_t;

/* Queues a key; when the queue is full, drops and counts it. */
void prefixnews_add(prefixnews_t *news, uint64_t key);

/* Empties the queue for the next round. */
void prefixnews_clear(prefixnews_t *news);

/* Queues the keys of all parts of a prompt but the last, for an engine that has
 * cached them. */
void prefixnews_add_parts(prefixnews_t *news, uint64_t engine,
			  const prompt_parts_t *parts);

/* Key that announces that an endpoint is leaving. It is the key of a reserved
 * part hash instead of a prompt's. */
uint64_t prefixnews_leaving_key(uint64_t engine);

/* Whether the message is of these kinds; it may still be malformed. */
bool prefixnews_is_message(str_t message);

/* Appends a message with up to PREFIXNEWS_MAX_MESSAGE_KEYS keys. */
void prefixnews_write(prefixnews_kind_t kind, const uint64_t *keys,
		      size_t count, buf_t *out);

/*
 * Reads a message and adds its keys to the map. Keys that are new to the map
 * are also queued in `added`.
 *
 * ERRORS: ERR_INVALID.
 */
err_code_t prefixnews_read(str_t message, prefixmap_t *map,
			   prefixnews_kind_t *kind, prefixnews_t *added,
			   err_t *err);

#endif
