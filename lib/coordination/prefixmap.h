#ifndef COORDINATION_PREFIXMAP_H
#define COORDINATION_PREFIXMAP_H

#include <stddef.h>
#include <stdint.h>

/*
 * prefixmap - which endpoint has read which part of a prompt, as far as this
 * host's own sends tell
 *
 * A bounded table without deletion: each entry holds the hash of an endpoint
 * and of a part with all parts before it. Newer entries replace older ones, as
 * engines give up the least recently used parts.
 */
#define PREFIXMAP_ENTRIES 4096 /* a power of two */
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

/* Tokens at the start of the prompt that the endpoint has read. */
uint64_t prefixmap_cached(const prefixmap_t *map, uint64_t endpoint,
			  const prompt_parts_t *parts);
void prefixmap_on_send(prefixmap_t *map, uint64_t endpoint,
		       const prompt_parts_t *parts);

#endif
