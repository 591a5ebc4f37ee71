#include "coordination/prefixmap.h"

/* Multiplier of Fibonacci hashing, 2^64 divided by the golden ratio. */
#define MIX 0x9e3779b97f4a7c15ull

static uint64_t mix(uint64_t a, uint64_t b)
{
	uint64_t x = (a ^ (b * MIX)) * MIX;

	return x ^ (x >> 29);
}

void prompt_parts_add(prompt_parts_t *parts, uint64_t id, unsigned tokens)
{
	uint64_t before = parts->count ? parts->hashes[parts->count - 1] : 0;

	if (parts->count == PREFIXMAP_MAX_PARTS) {
		parts->hashes[parts->count - 1] = mix(before, id);
		parts->tokens[parts->count - 1] += tokens;
		return;
	}
	parts->hashes[parts->count] = mix(before, id);
	parts->tokens[parts->count++] = tokens;
}

static uint32_t *slot(const prefixmap_t *map, uint64_t endpoint, uint64_t part,
		      uint32_t *tag)
{
	uint64_t hash = mix(endpoint, part);

	*tag = (uint32_t)(hash >> 32) | 1;
	return (uint32_t *)&map->entries[hash % PREFIXMAP_ENTRIES];
}

uint64_t prefixmap_cached(const prefixmap_t *map, uint64_t endpoint,
			  const prompt_parts_t *parts)
{
	uint64_t tokens = 0;
	uint32_t tag;

	for (size_t i = 0; i < parts->count; i++) {
		if (*slot(map, endpoint, parts->hashes[i], &tag) != tag)
			break;
		tokens += parts->tokens[i];
	}
	return tokens;
}

void prefixmap_on_send(prefixmap_t *map, uint64_t endpoint,
		       const prompt_parts_t *parts)
{
	for (size_t i = 0; i < parts->count; i++) {
		uint32_t tag;
		uint32_t *entry = slot(map, endpoint, parts->hashes[i], &tag);

		*entry = tag;
	}
}
