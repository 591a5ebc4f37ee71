#ifndef COORDINATION_CRASHBOARD_INTERNAL_H
#define COORDINATION_CRASHBOARD_INTERNAL_H

#include "coordination/crashboard.h"

/*
 * crashboard_internal - shared by the modules of crashboard
 *
 * crashboard.c keeps the tables of crashes, inputs and sound answers;
 * crashboard_blocks.c decides which inputs are blocked.
 */
/* Recent sound answers of this host; newer ones overwrite older ones in the
 * same slot. A power of two. */
#define CRASHBOARD_SOUND_SLOTS 2048
#define CRASHBOARD_NEVER_MS (INT64_MIN / 2)

typedef struct crash {
	bool used;
	bool refuted; /* kept so that later reports don't add it again */
	uint64_t process;
	int64_t at_ms;
	uint32_t reporters[CRASHBOARD_MAX_REPORTERS];
	size_t reporter_count;
} crash_t;

typedef struct input {
	uint64_t id;
	uint64_t crashes;      /* mask of those that were reported with it */
	int64_t sound_ms;      /* latest known sound answer, or NEVER_MS */
	int64_t shared_ms;     /* the latest one that other hosts know of */
	int64_t last_crash_ms; /* latest one that was reported with it */
} input_t;

typedef struct sound_slot {
	uint64_t input;
	int64_t began_ms;
} sound_slot_t;

struct crashboard {
	uint32_t host;
	int64_t settle_ms;
	crash_t crashes[CRASHBOARD_MAX_CRASHES];
	input_t inputs[CRASHBOARD_MAX_INPUTS];
	size_t input_count;
	crash_block_t blocks[CRASHBOARD_MAX_BLOCKS];
	size_t block_count;
	int64_t reported_ms; /* crashes up to then were reported by all */
	sound_slot_t sound[CRASHBOARD_SOUND_SLOTS];
};

input_t *crashboard_find_input(const crashboard_t *board, uint64_t id);

/* Mask of the crashes that count against the input. */
uint64_t crashboard_counted(const crashboard_t *board, const input_t *input);

/* Removes crashes whose lifetime is over. */
void crashboard_expire(crashboard_t *board, int64_t now_ms);

static inline unsigned crashboard_count_bits(uint64_t mask)
{
	return (unsigned)__builtin_popcountll(mask);
}

#endif
