#ifndef COORDINATION_PREFIXMAP_H
#define COORDINATION_PREFIXMAP_H

#include <stdbool.h>
#include <stdint.h>

#include "coordination/promptparts.h"

/*
 * prefixmap - estimate of which engine has which prompt prefixes in its KV
 * cache
 *
 * The map is filled from this host's own sends and from the messages of other
 * hosts (see prefixnews.h).
 *
 * A bounded hash table without deletion. The key of an entry combines an engine
 * with a prompt part and all parts before it. A newer entry overwrites an older
 * one in the same slot, much as engines evict the least recently used prefixes.
 * An engine is identified by a number that changes with each start, since it
 * starts with an empty cache.
 */
#define PREFIXMAP_ENTRIES 16384 /* a power of two */

typedef struct prefixmap {
	uint32_t entries[PREFIXMAP_ENTRIES]; /* tags of the keys; 0: free */
} prefixmap_t;

/* Key of a part at an engine, as used in the map and in messages. */
uint64_t prefixmap_key(uint64_t engine, uint64_t part);

/* Adds a key; false when the map already has it. */
bool prefixmap_add(prefixmap_t *map, uint64_t key);

/* Length in tokens of the prompt prefix that the engine has cached. */
uint64_t prefixmap_cached_tokens(const prefixmap_t *map, uint64_t engine,
				 const prompt_parts_t *parts);

/* Adds all parts of a prompt that is being sent to the engine. */
void prefixmap_on_send(prefixmap_t *map, uint64_t engine,
		       const prompt_parts_t *parts);

#endif
