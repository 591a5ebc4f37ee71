#ifndef COORDINATION_PROMPTPARTS_H
#define COORDINATION_PROMPTPARTS_H

#include <stddef.h>
#include <stdint.h>

/*
 * promptparts - the parts of a prompt
 *
 * Requests may share all parts of their prompt but the last, which belongs to
 * one request or session. A prefix hash stands for a part with all parts before
 * it, as engines cache them; an id stands for the part alone.
 */
#define PROMPTPARTS_MAX_HASHES 8
#define PROMPTPARTS_MAX_IDS 32
#define PROMPTPARTS_MAX_PRINTED_IDS 8
#define PROMPTPARTS_TEXT_BYTES (PROMPTPARTS_MAX_PRINTED_IDS * 17 + 4)

typedef struct prompt_parts {
	uint64_t hashes[PROMPTPARTS_MAX_HASHES];
	unsigned tokens[PROMPTPARTS_MAX_HASHES];
	size_t count;
	uint64_t ids[PROMPTPARTS_MAX_IDS];
	size_t id_count;
} prompt_parts_t;

/* Appends a part. Hashes beyond PROMPTPARTS_MAX_HASHES are merged into the last
 * one, and ids beyond PROMPTPARTS_MAX_IDS are left out. */
void prompt_parts_add(prompt_parts_t *parts, uint64_t id, unsigned tokens);

/* Tokens of all parts but the last. */
uint64_t prompt_parts_shared_tokens(const prompt_parts_t *parts);

/* RETURN VALUE: the number of leading `ids` that belong to shared parts. */
size_t prompt_parts_shared_ids(const prompt_parts_t *parts);

/* Writes the ids of the shared parts in hexadecimal, separated by commas, for
 * logs: "-" without any, and "..." for those that are left out. */
void prompt_parts_print(const prompt_parts_t *parts,
			char text[PROMPTPARTS_TEXT_BYTES]);

#endif
