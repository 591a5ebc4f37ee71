#include "coordination/prefixmap.h"

/* Multiplier of Fibonacci hashing, 2^64 divided by the golden ratio. */
#define MIX_MULTIPLIER 0x9e3779b97f4a7c15ull

static uint64_t mix(uint64_t a, uint64_t b)
{
	uint64_t x = (a ^ (b * MIX_MULTIPLIER)) * MIX_MULTIPLIER;

	return x ^ (x >> 29);
}

void prompt_parts_add(prompt_parts_t *parts, uint64_t id, unsigned tokens)
{
	uint64_t previous = parts->count ? parts->hashes[parts->count - 1] : 0;

	if (parts->count == PREFIXMAP_MAX_PARTS) {
		parts->hashes[parts->count - 1] = mix(previous, id);
		parts->tokens[parts->count - 1] += tokens;
		return;
	}
	parts->hashes[parts->count] = mix(previous, id);
	parts->tokens[parts->count++] = tokens;
}

uint64_t prompt_parts_shared_tokens(const prompt_parts_t *parts)
{
	uint64_t tokens = 0;

	for (size_t i = 0; i + 1 < parts->count; i++)
		tokens += parts->tokens[i];
	return tokens;
}

uint64_t prefixmap_key(uint64_t engine, uint64_t part)
{
	return mix(engine, part);
}

static uint32_t key_tag(uint64_t key)
{
	return (uint32_t)(key >> 32) | 1;
}

bool prefixmap_add(prefixmap_t *map, uint64_t key)
{
	uint32_t *entry = &map->entries[key % PREFIXMAP_ENTRIES];

	if (*entry == key_tag(key))
		return false;
	*entry = key_tag(key);
	return true;
}

static bool has_key(const prefixmap_t *map, uint64_t key)
{
	return map->entries[key % PREFIXMAP_ENTRIES] == key_tag(key);
}

uint64_t prefixmap_cached_tokens(const prefixmap_t *map, uint64_t engine,
				 const prompt_parts_t *parts)
{
	uint64_t tokens = 0;

	for (size_t i = 0; i < parts->count; i++) {
		if (!has_key(map, prefixmap_key(engine, parts->hashes[i])))
			break;
		tokens += parts->tokens[i];
	}
	return tokens;
}

void prefixmap_on_send(prefixmap_t *map, uint64_t engine,
		       const prompt_parts_t *parts)
{
	for (size_t i = 0; i < parts->count; i++)
		prefixmap_add(map, prefixmap_key(engine, parts->hashes[i]));
}
