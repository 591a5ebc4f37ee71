#ifndef COORDINATION_PREFIXMAP_H
#define COORDINATION_PREFIXMAP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

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
#define PREFIXMAP_MAX_PARTS 8

typedef struct prefixmap {
	uint32_t entries[PREFIXMAP_ENTRIES]; /* tags of the keys; 0: free */
} prefixmap_t;

/* Parts of a prompt in order; each hash also covers all parts before it. */
typedef struct prompt_parts {
	uint64_t hashes[PREFIXMAP_MAX_PARTS];
	unsigned tokens[PREFIXMAP_MAX_PARTS];
	size_t count;
} prompt_parts_t;

/* Appends a part; `id` is the hash of its id. Parts beyond PREFIXMAP_MAX_PARTS
 * are merged into the last one. */
void prompt_parts_add(prompt_parts_t *parts, uint64_t id, unsigned tokens);

/* Tokens of all parts but the last, which is specific to the request. */
uint64_t prompt_parts_shared_tokens(const prompt_parts_t *parts);

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
