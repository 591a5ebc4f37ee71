#ifndef COORDINATION_PREFIXMAP_H
#define COORDINATION_PREFIXMAP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * prefixmap - which engine has read which part of a prompt, as far as this
 * host's own sends and the news of other hosts tell (see prefixnews.h)
 *
 * A bounded table without deletion: each entry holds the key of an engine and
 * of a part with all parts before it. Newer entries replace older ones, as
 * engines give up the least recently used parts. An engine is known by a number
 * that changes with each start, since it starts with nothing in memory.
 */
#define PREFIXMAP_ENTRIES 16384 /* a power of two */
#define PREFIXMAP_MAX_PARTS 8

typedef struct prefixmap {
	uint32_t entries[PREFIXMAP_ENTRIES];
} prefixmap_t;

/* A prompt's parts in order; the hash of each covers those before it. */
typedef struct prompt_parts {
	uint64_t hashes[PREFIXMAP_MAX_PARTS];
	unsigned tokens[PREFIXMAP_MAX_PARTS];
	size_t count;
} prompt_parts_t;

/* Adds a part whose own id hashes to `id`. Parts beyond the bound are joined
 * with the last one. */
void prompt_parts_add(prompt_parts_t *parts, uint64_t id, unsigned tokens);

/* Tokens of all parts but the last, which is the request's own. */
uint64_t prompt_parts_shared_tokens(const prompt_parts_t *parts);

/* Tells the part at the engine from all others, in messages too. */
uint64_t prefixmap_key(uint64_t engine, uint64_t part);

/* Adds a key; false when the map had it. */
bool prefixmap_add(prefixmap_t *map, uint64_t key);

/* Tokens at the start of the prompt that the engine has read. */
uint64_t prefixmap_cached_tokens(const prefixmap_t *map, uint64_t engine,
				 const prompt_parts_t *parts);

/* Adds all parts of a prompt that is sent to the engine. */
void prefixmap_on_send(prefixmap_t *map, uint64_t engine,
		       const prompt_parts_t *parts);

#endif
