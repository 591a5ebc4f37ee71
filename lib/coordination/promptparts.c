#include "coordination/promptparts.h"

#include <stdio.h>

#include "base/mix.h"

void prompt_parts_add(prompt_parts_t *parts, uint64_t id, unsigned tokens)
{
	uint64_t previous = parts->count ? parts->hashes[parts->count - 1] : 0;

	if (parts->id_count < PROMPTPARTS_MAX_IDS)
		parts->ids[parts->id_count] = id;
	parts->id_count++;
	if (parts->count == PROMPTPARTS_MAX_HASHES) {
		parts->hashes[parts->count - 1] = mix_u64(previous, id);
		parts->tokens[parts->count - 1] += tokens;
		return;
	}
	parts->hashes[parts->count] = mix_u64(previous, id);
	parts->tokens[parts->count++] = tokens;
}

uint64_t prompt_parts_shared_tokens(const prompt_parts_t *parts)
{
	uint64_t tokens = 0;

	for (size_t i = 0; i + 1 < parts->count; i++)
		tokens += parts->tokens[i];
	return tokens;
}

size_t prompt_parts_shared_ids(const prompt_parts_t *parts)
{
	size_t count = parts->id_count ? parts->id_count - 1 : 0;

	return count < PROMPTPARTS_MAX_IDS ? count : PROMPTPARTS_MAX_IDS;
}

void prompt_parts_print(const prompt_parts_t *parts,
			char text[PROMPTPARTS_TEXT_BYTES])
{
	size_t count = prompt_parts_shared_ids(parts);
	size_t printed = count < PROMPTPARTS_MAX_PRINTED_IDS ?
				 count :
				 PROMPTPARTS_MAX_PRINTED_IDS;
	size_t len = 0;

	for (size_t i = 0; i < printed; i++)
		len += (size_t)snprintf(
			text + len, PROMPTPARTS_TEXT_BYTES - len, "%s%llx",
			i ? "," : "", (unsigned long long)parts->ids[i]);
	snprintf(text + len, PROMPTPARTS_TEXT_BYTES - len, "%s",
		 count > printed ? "..." :
		 count		 ? "" :
				   "-");
}
