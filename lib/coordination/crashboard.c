#include "coordination/crashboard.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

/* Reports of one crash by several hosts differ by less than this. */
#define SAME_CRASH_MS 1500
/* Lifetime of a crash, and of one on which a block rests or rested. */
#define CRASH_TTL_MS 600000
#define LASTING_CRASH_TTL_MS (2 * CRASHBOARD_MAX_BLOCK_MS)
/* Time for which crashes are repeated that no block rests on. */
#define RECENT_CRASH_MS 10000
/* Recent sound answers of this host; newer ones overwrite older ones in the
 * same slot. A power of two. */
#define SOUND_SLOTS 2048
/* A sound answer is shared again when the last shared one is this much older.
 */
#define SHARE_INTERVAL_MS 500
#define NEVER_MS (INT64_MIN / 2)

static_assert(CRASHBOARD_MAX_CRASHES <= 64, "a mask has a bit for each crash");

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
	uint64_t crashes;  /* mask of those that were reported with it */
	int64_t sound_ms;  /* latest known sound answer, or NEVER_MS */
	int64_t shared_ms; /* the latest one that other hosts know of */
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
	sound_slot_t sound[SOUND_SLOTS];
};

crashboard_t *crashboard_create(void)
{
	crashboard_t *board = calloc(1, sizeof(*board));

	if (!board)
		abort();
	return board;
}

void crashboard_free(crashboard_t *board)
{
	free(board);
}

void crashboard_set_host(crashboard_t *board, uint32_t host, int64_t settle_ms)
{
	board->host = host;
	board->settle_ms = settle_ms;
}

static input_t *find_input(const crashboard_t *board, uint64_t id)
{
	for (size_t i = 0; i < board->input_count; i++)
		if (board->inputs[i].id == id)
			return (input_t *)&board->inputs[i];
	return NULL;
}

static sound_slot_t *sound_slot(const crashboard_t *board, uint64_t input)
{
	return (sound_slot_t *)&board
		->sound[(input ^ (input >> 32)) & (SOUND_SLOTS - 1)];
}

/* RETURN VALUE: when the latest sound answer of this host with the input began,
 * or NEVER_MS. */
static int64_t own_sound_ms(const crashboard_t *board, uint64_t input)
{
	const sound_slot_t *slot = sound_slot(board, input);

	return slot->input == input && slot->began_ms ? slot->began_ms :
							NEVER_MS;
}

/* Mask of the crashes that count against the input. */
static uint64_t counted_crashes(const crashboard_t *board, const input_t *input)
{
	uint64_t mask = 0;

	for (unsigned i = 0; i < CRASHBOARD_MAX_CRASHES; i++) {
		const crash_t *crash = &board->crashes[i];

		if ((input->crashes >> i & 1) && !crash->refuted &&
		    crash->at_ms <= board->reported_ms &&
		    crash->at_ms > input->sound_ms + CRASHBOARD_SOUND_MS)
			mask |= UINT64_C(1) << i;
	}
	return mask;
}

static void set_sound(input_t *input, int64_t began_ms)
{
	if (began_ms > input->sound_ms)
		input->sound_ms = began_ms;
}

void crashboard_on_sound(crashboard_t *board, const uint64_t *inputs,
			 size_t count, int64_t began_ms)
{
	for (size_t i = 0; i < count; i++) {
		sound_slot_t *slot = sound_slot(board, inputs[i]);
		input_t *input = find_input(board, inputs[i]);

		*slot = (sound_slot_t){inputs[i], began_ms};
		if (input)
			set_sound(input, began_ms);
	}
}

bool crashboard_add_sound(crashboard_t *board, uint64_t id, int64_t began_ms)
{
	input_t *input = find_input(board, id);
	bool is_news;

	if (!input)
		return false;
	is_news = began_ms > input->shared_ms + SHARE_INTERVAL_MS;
	set_sound(input, began_ms);
	if (began_ms > input->shared_ms)
		input->shared_ms = began_ms;
	return is_news;
}

bool crashboard_is_sound(const crashboard_t *board, uint64_t input,
			 int64_t at_ms)
{
	return own_sound_ms(board, input) + CRASHBOARD_SOUND_MS >= at_ms;
}

bool crashboard_was_sound(const crashboard_t *board, uint64_t input)
{
	return own_sound_ms(board, input) != NEVER_MS;
}

static bool is_same_crash(const crash_t *crash, const crash_report_t *report)
{
	int64_t gap_ms = crash->at_ms - report->at_ms;

	return crash->used && crash->process == report->process &&
	       gap_ms < SAME_CRASH_MS && gap_ms > -SAME_CRASH_MS;
}

static unsigned count_bits(uint64_t mask)
{
	return (unsigned)__builtin_popcountll(mask);
}

/* Mask of the crashes on which blocks rest. */
static uint64_t blocking_crashes(const crashboard_t *board)
{
	uint64_t mask = 0;

	for (size_t i = 0; i < board->block_count; i++) {
		const input_t *input =
			find_input(board, board->blocks[i].inputs[0]);

		if (input)
			mask |= counted_crashes(board, input);
	}
	return mask;
}

/* Removes inputs without a crash that counts. */
static void drop_cleared_inputs(crashboard_t *board)
{
	size_t kept = 0;

	for (size_t i = 0; i < board->input_count; i++)
		if (board->inputs[i].crashes)
			board->inputs[kept++] = board->inputs[i];
	board->input_count = kept;
}

static void remove_crash(crashboard_t *board, size_t index)
{
	board->crashes[index].used = false;
	for (size_t i = 0; i < board->input_count; i++)
		board->inputs[i].crashes &= ~(UINT64_C(1) << index);
	drop_cleared_inputs(board);
}

/* RETURN VALUE: a free place; the oldest crash on which no block rests, or else
 * the oldest, gives way. */
static size_t free_place(crashboard_t *board)
{
	uint64_t kept = blocking_crashes(board);
	size_t oldest = 0;
	int64_t oldest_ms = INT64_MAX;

	for (size_t i = 0; i < CRASHBOARD_MAX_CRASHES; i++) {
		int64_t at_ms = board->crashes[i].at_ms;

		if (!board->crashes[i].used)
			return i;
		if (kept >> i & 1)
			at_ms += INT64_MAX / 4;
		if (at_ms < oldest_ms) {
			oldest_ms = at_ms;
			oldest = i;
		}
	}
	remove_crash(board, oldest);
	return oldest;
}

static size_t get_crash(crashboard_t *board, const crash_report_t *report,
			bool *added)
{
	size_t index;

	*added = false;
	for (index = 0; index < CRASHBOARD_MAX_CRASHES; index++)
		if (is_same_crash(&board->crashes[index], report))
			return index;
	index = free_place(board);
	board->crashes[index] = (crash_t){.used = true,
					  .process = report->process,
					  .at_ms = report->at_ms};
	*added = true;
	return index;
}

static bool add_reporter(crash_t *crash, uint32_t reporter)
{
	for (size_t i = 0; i < crash->reporter_count; i++)
		if (crash->reporters[i] == reporter)
			return false;
	if (crash->reporter_count == CRASHBOARD_MAX_REPORTERS)
		return false;
	crash->reporters[crash->reporter_count++] = reporter;
	return true;
}

/* RETURN VALUE: the entry of the input, added if needed; the one with the
 * fewest crashes gives way. */
static input_t *get_input(crashboard_t *board, uint64_t id)
{
	input_t *input = find_input(board, id);

	if (input)
		return input;
	if (board->input_count < CRASHBOARD_MAX_INPUTS) {
		input = &board->inputs[board->input_count++];
	} else {
		input = &board->inputs[0];
		for (size_t i = 1; i < board->input_count; i++)
			if (count_bits(
				    counted_crashes(board, &board->inputs[i])) <
			    count_bits(counted_crashes(board, input)))
				input = &board->inputs[i];
	}
	*input = (input_t){.id = id,
			   .sound_ms = own_sound_ms(board, id),
			   .shared_ms = NEVER_MS};
	return input;
}

bool crashboard_add(crashboard_t *board, const crash_report_t *report)
{
	bool is_news;
	size_t index = get_crash(board, report, &is_news);
	uint64_t bit = UINT64_C(1) << index;

	for (size_t i = 0; i < report->reporter_count; i++)
		is_news |= add_reporter(&board->crashes[index],
					report->reporters[i]);
	for (size_t i = 0; i < report->input_count; i++) {
		input_t *input = get_input(board, report->inputs[i]);

		is_news |= !(input->crashes & bit);
		input->crashes |= bit;
	}
	return is_news;
}

void crashboard_refute(crashboard_t *board, uint64_t process, int64_t opened_ms)
{
	for (size_t i = 0; i < CRASHBOARD_MAX_CRASHES; i++) {
		crash_t *crash = &board->crashes[i];

		if (crash->used && crash->process == process &&
		    crash->at_ms > opened_ms)
			crash->refuted = true;
	}
}

/* The crashes that count against an input, summed up. */
typedef struct tally {
	uint64_t mask;
	unsigned count;
	unsigned times;		/* that are apart by CRASHBOARD_TIME_GAP_MS */
	unsigned own;		/* reported by this host */
	bool has_two_reporters; /* more than one host reported some of them */
	int64_t first_ms, last_ms;
} tally_t;

static void count_reporters(const crashboard_t *board, const crash_t *crash,
			    uint32_t *reporter, tally_t *tally)
{
	for (size_t i = 0; i < crash->reporter_count; i++) {
		if (*reporter && crash->reporters[i] != *reporter)
			tally->has_two_reporters = true;
		*reporter = crash->reporters[i];
		tally->own += crash->reporters[i] == board->host;
	}
}

/* RETURN VALUE: the time of the first crash of the mask at `from_ms` or later;
 * INT64_MAX without one. */
static int64_t next_crash_ms(const crashboard_t *board, uint64_t mask,
			     int64_t from_ms)
{
	int64_t next_ms = INT64_MAX;

	for (size_t i = 0; i < CRASHBOARD_MAX_CRASHES; i++) {
		int64_t at_ms = board->crashes[i].at_ms;

		if ((mask >> i & 1) && at_ms >= from_ms && at_ms < next_ms)
			next_ms = at_ms;
	}
	return next_ms;
}

/* RETURN VALUE: the largest number of crashes of the mask that are apart from
 * each other by `gap_ms`. */
static unsigned count_times(const crashboard_t *board, uint64_t mask,
			    int64_t gap_ms)
{
	unsigned times = 0;

	for (int64_t at_ms = next_crash_ms(board, mask, NEVER_MS);
	     at_ms != INT64_MAX;
	     at_ms = next_crash_ms(board, mask, at_ms + gap_ms))
		times++;
	return times;
}

static tally_t make_tally(const crashboard_t *board, const input_t *input)
{
	tally_t tally = {.mask = counted_crashes(board, input),
			 .first_ms = INT64_MAX,
			 .last_ms = NEVER_MS};
	uint32_t reporter = 0;

	tally.count = count_bits(tally.mask);
	if (tally.count < CRASHBOARD_MIN_CRASHES)
		return tally;
	tally.times = count_times(board, tally.mask, CRASHBOARD_TIME_GAP_MS);
	for (size_t i = 0; i < CRASHBOARD_MAX_CRASHES; i++) {
		const crash_t *crash = &board->crashes[i];

		if (!(tally.mask >> i & 1))
			continue;
		if (crash->at_ms < tally.first_ms)
			tally.first_ms = crash->at_ms;
		if (crash->at_ms > tally.last_ms)
			tally.last_ms = crash->at_ms;
		count_reporters(board, crash, &reporter, &tally);
	}
	return tally;
}

/* RETURN VALUE: when the block of an input with these crashes ends. */
static int64_t block_until_ms(const crashboard_t *board, const tally_t *tally)
{
	unsigned times = count_times(board, tally->mask, CRASHBOARD_BLOCK_MS);
	int64_t ms = CRASHBOARD_BLOCK_MS;

	for (unsigned i = 1; i < times && ms < CRASHBOARD_MAX_BLOCK_MS; i++)
		ms *= 2;
	if (ms > CRASHBOARD_MAX_BLOCK_MS)
		ms = CRASHBOARD_MAX_BLOCK_MS;
	return tally->last_ms + ms + board->host % CRASHBOARD_BLOCK_MS;
}

static bool is_convicted(const crashboard_t *board, const tally_t *tally,
			 int64_t now_ms)
{
	return tally->count >= CRASHBOARD_MIN_CRASHES &&
	       tally->times >= CRASHBOARD_MIN_TIMES &&
	       (tally->has_two_reporters ||
		tally->own >= CRASHBOARD_MIN_CRASHES) &&
	       now_ms - tally->first_ms >= board->settle_ms &&
	       now_ms < block_until_ms(board, tally);
}

static void add_block(crashboard_t *board, const input_t *input,
		      const tally_t *tally)
{
	crash_block_t *block = &board->blocks[board->block_count++];

	*block = (crash_block_t){.inputs = {input->id},
				 .input_count = 1,
				 .crashes = tally->count,
				 .until_ms = block_until_ms(board, tally)};
	for (size_t i = 0; i < board->input_count; i++) {
		const input_t *other = &board->inputs[i];

		if (other != input &&
		    block->input_count < CRASHBOARD_BLOCK_INPUTS &&
		    counted_crashes(board, other) == tally->mask)
			block->inputs[block->input_count++] = other->id;
	}
}

/*
 * Finds the input with the most crashes that is to be blocked next. `explained`
 * is the mask of the crashes of the inputs that are blocked already.
 */
static const input_t *next_convicted(const crashboard_t *board,
				     uint64_t explained, int64_t now_ms,
				     tally_t *tally)
{
	const input_t *worst = NULL;

	for (size_t i = 0; i < board->input_count; i++) {
		tally_t at = make_tally(board, &board->inputs[i]);
		uint64_t unexplained = at.mask & ~explained;

		if (!is_convicted(board, &at, now_ms) ||
		    count_bits(unexplained) < CRASHBOARD_MIN_UNEXPLAINED ||
		    (worst && at.count <= tally->count))
			continue;
		worst = &board->inputs[i];
		*tally = at;
	}
	return worst;
}

/* Mask of the crashes of inputs that are blocked, or were: one more crash then
 * blocks the input again. */
static uint64_t lasting_crashes(const crashboard_t *board)
{
	uint64_t mask = 0;

	for (size_t i = 0; i < board->input_count; i++) {
		uint64_t counted = counted_crashes(board, &board->inputs[i]);

		if (count_bits(counted) >= CRASHBOARD_MIN_CRASHES)
			mask |= counted;
	}
	return mask;
}

static void expire_crashes(crashboard_t *board, int64_t now_ms)
{
	uint64_t kept = lasting_crashes(board);

	for (size_t i = 0; i < CRASHBOARD_MAX_CRASHES; i++) {
		int64_t age_ms = now_ms - board->crashes[i].at_ms;
		int64_t ttl_ms =
			kept >> i & 1 ? LASTING_CRASH_TTL_MS : CRASH_TTL_MS;

		if (board->crashes[i].used && age_ms > ttl_ms)
			remove_crash(board, i);
	}
}

static bool is_same_list(const crash_block_t *a, size_t a_count,
			 const crash_block_t *b, size_t b_count)
{
	if (a_count != b_count)
		return false;
	for (size_t i = 0; i < a_count; i++)
		if (a[i].input_count != b[i].input_count ||
		    memcmp(a[i].inputs, b[i].inputs, sizeof(a[i].inputs)) != 0)
			return false;
	return true;
}

bool crashboard_update(crashboard_t *board, int64_t now_ms)
{
	crash_block_t before[CRASHBOARD_MAX_BLOCKS];
	size_t before_count = board->block_count;
	uint64_t explained = 0;
	const input_t *input;
	tally_t tally = {.mask = 0};

	if (!board->input_count && !board->block_count)
		return false;
	memcpy(before, board->blocks, sizeof(before));
	board->reported_ms = now_ms - CRASHBOARD_REPORT_MS;
	expire_crashes(board, now_ms);
	board->block_count = 0;
	while (board->block_count < CRASHBOARD_MAX_BLOCKS &&
	       (input = next_convicted(board, explained, now_ms, &tally))) {
		add_block(board, input, &tally);
		explained |= tally.mask;
	}
	return !is_same_list(before, before_count, board->blocks,
			     board->block_count);
}

static bool has_input(const uint64_t *inputs, size_t count, uint64_t input)
{
	for (size_t i = 0; i < count; i++)
		if (inputs[i] == input)
			return true;
	return false;
}

static bool has_all(const uint64_t *inputs, size_t count,
		    const crash_block_t *block)
{
	for (size_t i = 0; i < block->input_count; i++)
		if (!has_input(inputs, count, block->inputs[i]))
			return false;
	return true;
}

const crash_block_t *crashboard_find(const crashboard_t *board,
				     const uint64_t *inputs, size_t count)
{
	for (size_t i = 0; i < board->block_count; i++)
		if (has_all(inputs, count, &board->blocks[i]))
			return &board->blocks[i];
	return NULL;
}

const crash_block_t *crashboard_blocks(const crashboard_t *board, size_t *count)
{
	*count = board->block_count;
	return board->blocks;
}

static bool is_blocked(const crashboard_t *board, uint64_t input)
{
	for (size_t i = 0; i < board->block_count; i++)
		if (has_input(board->blocks[i].inputs,
			      board->blocks[i].input_count, input))
			return true;
	return false;
}

bool crashboard_get(const crashboard_t *board, size_t index,
		    crash_report_t *report)
{
	const crash_t *crash = &board->crashes[index];
	bool is_recent = crash->at_ms > board->reported_ms - RECENT_CRASH_MS;

	*report = (crash_report_t){.process = crash->process,
				   .at_ms = crash->at_ms,
				   .reporter_count = crash->reporter_count};
	memcpy(report->reporters, crash->reporters, sizeof(crash->reporters));
	for (size_t i = 0; crash->used && i < board->input_count &&
			   report->input_count < CRASHBOARD_REPORT_INPUTS;
	     i++) {
		const input_t *input = &board->inputs[i];
		uint64_t counted = counted_crashes(board, input);

		if ((counted >> index & 1) &&
		    (is_blocked(board, input->id) ||
		     (is_recent && count_bits(counted) > 1)))
			report->inputs[report->input_count++] = input->id;
	}
	return report->input_count > 0;
}

/* True when other hosts count a crash against the input that this host's sound
 * answer clears. */
static bool is_worth_sharing(const crashboard_t *board, const input_t *input)
{
	int64_t own_ms = own_sound_ms(board, input->id);

	if (own_ms <= input->shared_ms + SHARE_INTERVAL_MS)
		return false;
	for (size_t i = 0; i < CRASHBOARD_MAX_CRASHES; i++) {
		int64_t at_ms = board->crashes[i].at_ms;

		if ((input->crashes >> i & 1) &&
		    at_ms > input->shared_ms + CRASHBOARD_SOUND_MS &&
		    at_ms <= own_ms + CRASHBOARD_SOUND_MS)
			return true;
	}
	return false;
}

size_t crashboard_take_sound(crashboard_t *board, sound_input_t *sound,
			     size_t max)
{
	size_t count = 0;

	for (size_t i = 0; i < board->input_count && count < max; i++) {
		input_t *input = &board->inputs[i];

		if (!is_worth_sharing(board, input))
			continue;
		input->shared_ms = own_sound_ms(board, input->id);
		sound[count++] = (sound_input_t){input->id, input->shared_ms};
	}
	return count;
}

/* True when the known sound answer clears the input from a recent crash. */
static bool is_cleared_recently(const crashboard_t *board, const input_t *input)
{
	uint64_t cleared = input->crashes & ~counted_crashes(board, input);

	for (size_t i = 0; i < CRASHBOARD_MAX_CRASHES; i++)
		if ((cleared >> i & 1) &&
		    board->crashes[i].at_ms <= board->reported_ms &&
		    board->crashes[i].at_ms >
			    board->reported_ms - RECENT_CRASH_MS)
			return true;
	return false;
}

size_t crashboard_get_sound(const crashboard_t *board, sound_input_t *sound,
			    size_t max)
{
	size_t count = 0;

	for (size_t i = 0; i < board->input_count && count < max; i++) {
		const input_t *input = &board->inputs[i];

		if (input->sound_ms != NEVER_MS &&
		    count_bits(input->crashes) > 1 &&
		    is_cleared_recently(board, input))
			sound[count++] =
				(sound_input_t){input->id, input->sound_ms};
	}
	return count;
}
