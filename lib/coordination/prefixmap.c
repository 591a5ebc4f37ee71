#include "coordination/prefixmap.h"

#include "base/mix.h"

uint64_t prefixmap_key(uint64_t engine, uint64_t part)
{
	return mix_u64(engine, part);
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
