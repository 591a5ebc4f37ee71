#include "coordination/crashboard_internal.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

/* Reports of one crash by several hosts differ by less than this. */
#define SAME_CRASH_MS 1500
/* Lifetime of a crash, and of one on which a block rests or rested. */
#define CRASH_TTL_MS 600000
#define LASTING_CRASH_TTL_MS (2 * CRASHBOARD_MAX_BLOCK_MS)
/* Time for which an input stays longer in a full table for each crash beyond
 * its first. */
#define KEEP_MS_PER_CRASH 30000
/* Time for which crashes are repeated that no block rests on. */
#define RECENT_CRASH_MS 10000
/* A sound answer is shared again when the last shared one is this much older.
 */
#define SHARE_INTERVAL_MS 500

static_assert(CRASHBOARD_MAX_CRASHES <= 64, "a mask has a bit for each crash");

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

input_t *crashboard_find_input(const crashboard_t *board, uint64_t id)
{
	for (size_t i = 0; i < board->input_count; i++)
		if (board->inputs[i].id == id)
			return (input_t *)&board->inputs[i];
	return NULL;
}

static sound_slot_t *sound_slot(const crashboard_t *board, uint64_t input)
{
	return (sound_slot_t *)&board
		->sound[(input ^ (input >> 32)) & (CRASHBOARD_SOUND_SLOTS - 1)];
}

/* RETURN VALUE: when the latest sound answer of this host with the input began,
 * or CRASHBOARD_NEVER_MS. */
static int64_t own_sound_ms(const crashboard_t *board, uint64_t input)
{
	const sound_slot_t *slot = sound_slot(board, input);

	return slot->input == input && slot->began_ms ? slot->began_ms :
							CRASHBOARD_NEVER_MS;
}

uint64_t crashboard_counted(const crashboard_t *board, const input_t *input)
{
	uint64_t mask = 0;

	for (uint64_t left = input->crashes; left; left &= left - 1) {
		const crash_t *crash = &board->crashes[__builtin_ctzll(left)];

		if (!crash->refuted && crash->at_ms <= board->reported_ms &&
		    crash->at_ms > input->sound_ms + CRASHBOARD_SOUND_MS)
			mask |= left & -left;
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
		input_t *input = crashboard_find_input(board, inputs[i]);

		*slot = (sound_slot_t){inputs[i], began_ms};
		if (input)
			set_sound(input, began_ms);
	}
}

bool crashboard_add_sound(crashboard_t *board, uint64_t id, int64_t began_ms)
{
	input_t *input = crashboard_find_input(board, id);
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
	return own_sound_ms(board, input) != CRASHBOARD_NEVER_MS;
}

static bool is_same_crash(const crash_t *crash, const crash_report_t *report)
{
	int64_t gap_ms = crash->at_ms - report->at_ms;

	return crash->used && crash->process == report->process &&
	       gap_ms < SAME_CRASH_MS && gap_ms > -SAME_CRASH_MS;
}

/* Mask of the crashes on which blocks rest. */
static uint64_t blocking_crashes(const crashboard_t *board)
{
	uint64_t mask = 0;

	for (size_t i = 0; i < board->block_count; i++) {
		const input_t *input = crashboard_find_input(
			board, board->blocks[i].inputs[0]);

		if (input)
			mask |= crashboard_counted(board, input);
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

/* Lists the places of the mask's crashes, oldest first. */
static size_t sort_by_time(const crashboard_t *board, uint64_t mask,
			   size_t *places)
{
	size_t count = 0;

	for (; mask; mask &= mask - 1) {
		size_t place = (size_t)__builtin_ctzll(mask);
		size_t at = count++;

		for (; at && board->crashes[places[at - 1]].at_ms >
				     board->crashes[place].at_ms;
		     at--)
			places[at] = places[at - 1];
		places[at] = place;
	}
	return count;
}

/* RETURN VALUE: the place of the crash in a full table that gives way to one at
 * `at_ms`: of those on which no block rests the oldest, unless it is recent, or
 * else the one with the least time between its neighbours. So the first and the
 * last recent crashes stay, and those between them are spread over time. */
static size_t find_least_useful(const crashboard_t *board, int64_t at_ms)
{
	uint64_t mask = ~blocking_crashes(board);
	size_t places[CRASHBOARD_MAX_CRASHES];
	size_t count = sort_by_time(board, mask ? mask : UINT64_MAX, places);
	size_t least = places[0];
	int64_t least_ms = INT64_MAX;

	if (board->crashes[least].at_ms < at_ms - RECENT_CRASH_MS)
		return least;
	for (size_t i = 1; i + 1 < count; i++) {
		int64_t ms = board->crashes[places[i + 1]].at_ms -
			     board->crashes[places[i - 1]].at_ms;

		if (ms < least_ms) {
			least_ms = ms;
			least = places[i];
		}
	}
	return least;
}

/* RETURN VALUE: an unused place; in a full table a crash gives way to the one
 * at `at_ms`. */
static size_t free_place(crashboard_t *board, int64_t at_ms)
{
	size_t index;

	for (size_t i = 0; i < CRASHBOARD_MAX_CRASHES; i++)
		if (!board->crashes[i].used)
			return i;
	index = find_least_useful(board, at_ms);
	remove_crash(board, index);
	return index;
}

static size_t get_crash(crashboard_t *board, const crash_report_t *report,
			bool *added)
{
	size_t index;

	*added = false;
	for (index = 0; index < CRASHBOARD_MAX_CRASHES; index++)
		if (is_same_crash(&board->crashes[index], report))
			return index;
	index = free_place(board, report->at_ms);
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

static bool is_blocked(const crashboard_t *board, uint64_t input)
{
	for (size_t i = 0; i < board->block_count; i++)
		for (size_t j = 0; j < board->blocks[i].input_count; j++)
			if (board->blocks[i].inputs[j] == input)
				return true;
	return false;
}

/* Rank by which inputs give way in a full table, lowest first: those that were
 * sound since their last crash, then by the time of that crash; each further
 * crash keeps an input longer. */
static int64_t keep_rank(const crashboard_t *board, const input_t *input)
{
	int64_t more_crashes =
		(int64_t)crashboard_count_bits(input->crashes) - 1;

	if (is_blocked(board, input->id))
		return INT64_MAX;
	if (input->sound_ms + CRASHBOARD_SOUND_MS >= input->last_crash_ms)
		return CRASHBOARD_NEVER_MS;
	return input->last_crash_ms + more_crashes * KEEP_MS_PER_CRASH;
}

static input_t *input_to_replace(crashboard_t *board)
{
	input_t *lowest = &board->inputs[0];
	int64_t lowest_rank = keep_rank(board, lowest);

	for (size_t i = 1; i < board->input_count; i++) {
		int64_t rank = keep_rank(board, &board->inputs[i]);

		if (rank < lowest_rank) {
			lowest = &board->inputs[i];
			lowest_rank = rank;
		}
	}
	return lowest;
}

/* RETURN VALUE: the entry of the input, added if needed. */
static input_t *get_input(crashboard_t *board, uint64_t id)
{
	input_t *input = crashboard_find_input(board, id);

	if (input)
		return input;
	input = board->input_count < CRASHBOARD_MAX_INPUTS ?
			&board->inputs[board->input_count++] :
			input_to_replace(board);
	*input = (input_t){.id = id,
			   .sound_ms = own_sound_ms(board, id),
			   .shared_ms = CRASHBOARD_NEVER_MS,
			   .last_crash_ms = CRASHBOARD_NEVER_MS};
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
		if (report->at_ms > input->last_crash_ms)
			input->last_crash_ms = report->at_ms;
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

/* Mask of the crashes of inputs that are blocked, or were: one more crash then
 * blocks the input again. */
static uint64_t lasting_crashes(const crashboard_t *board)
{
	uint64_t mask = 0;

	for (size_t i = 0; i < board->input_count; i++) {
		uint64_t counted = crashboard_counted(board, &board->inputs[i]);

		if (crashboard_count_bits(counted) >= CRASHBOARD_MIN_CRASHES)
			mask |= counted;
	}
	return mask;
}

void crashboard_expire(crashboard_t *board, int64_t now_ms)
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
		uint64_t counted = crashboard_counted(board, input);

		if ((counted >> index & 1) &&
		    (is_blocked(board, input->id) ||
		     (is_recent && crashboard_count_bits(counted) > 1)))
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
	uint64_t cleared = input->crashes & ~crashboard_counted(board, input);

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

		if (input->sound_ms != CRASHBOARD_NEVER_MS &&
		    crashboard_count_bits(input->crashes) > 1 &&
		    is_cleared_recently(board, input))
			sound[count++] =
				(sound_input_t){input->id, input->sound_ms};
	}
	return count;
}
