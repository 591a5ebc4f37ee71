#include "coordination/crashboard_internal.h"

#include <string.h>

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

	for (int64_t at_ms = next_crash_ms(board, mask, CRASHBOARD_NEVER_MS);
	     at_ms != INT64_MAX;
	     at_ms = next_crash_ms(board, mask, at_ms + gap_ms))
		times++;
	return times;
}

static tally_t make_tally(const crashboard_t *board, const input_t *input)
{
	tally_t tally = {.mask = crashboard_counted(board, input),
			 .first_ms = INT64_MAX,
			 .last_ms = CRASHBOARD_NEVER_MS};
	uint32_t reporter = 0;

	tally.count = crashboard_count_bits(tally.mask);
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

static bool must_be_blocked(const crashboard_t *board, const tally_t *tally,
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
		    crashboard_counted(board, other) == tally->mask)
			block->inputs[block->input_count++] = other->id;
	}
}

/* Masks of the crashes of blocked inputs. */
typedef struct mask_list {
	uint64_t masks[CRASHBOARD_MAX_BLOCKS];
	size_t count;
} mask_list_t;

/* True when `mask` has all crashes of one of the list: its input may be their
 * cause instead of the blocked one. */
static bool covers_any(const mask_list_t *list, uint64_t mask)
{
	for (size_t i = 0; i < list->count; i++)
		if (!(list->masks[i] & ~mask))
			return true;
	return false;
}

/* True when the blocks do not explain enough of the crashes. */
static bool is_unexplained(const mask_list_t *blocked, uint64_t mask)
{
	unsigned min = covers_any(blocked, mask) ? CRASHBOARD_MIN_UNEXPLAINED :
						   CRASHBOARD_MIN_CRASHES;

	for (size_t i = 0; i < blocked->count; i++)
		mask &= ~blocked->masks[i];
	return crashboard_count_bits(mask) >= min;
}

/* True when the input of `a` is to be blocked before that of `b`: first those
 * that were blocked before and those that may replace them, so that the
 * bystander of a blocked input doesn't displace it; then by crashes. */
static bool goes_before(const tally_t *a, const tally_t *b,
			const mask_list_t *before)
{
	bool a_first = covers_any(before, a->mask);
	bool b_first = covers_any(before, b->mask);

	return a_first != b_first ? a_first : a->count > b->count;
}

/* RETURN VALUE: the input that is to be blocked next; NULL when none is left.
 */
static const input_t *next_to_block(const crashboard_t *board,
				    const mask_list_t *before,
				    const mask_list_t *blocked, int64_t now_ms,
				    tally_t *tally)
{
	const input_t *worst = NULL;

	for (size_t i = 0; i < board->input_count; i++) {
		tally_t at = make_tally(board, &board->inputs[i]);

		if (!must_be_blocked(board, &at, now_ms) ||
		    !is_unexplained(blocked, at.mask) ||
		    (worst && !goes_before(&at, tally, before)))
			continue;
		worst = &board->inputs[i];
		*tally = at;
	}
	return worst;
}

static mask_list_t list_masks(const crashboard_t *board)
{
	mask_list_t list = {.count = 0};

	for (size_t i = 0; i < board->block_count; i++) {
		const input_t *input = crashboard_find_input(
			board, board->blocks[i].inputs[0]);
		uint64_t mask = input ? crashboard_counted(board, input) : 0;

		if (mask)
			list.masks[list.count++] = mask;
	}
	return list;
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
	mask_list_t before_masks;
	mask_list_t masks = {.count = 0};
	const input_t *input;
	tally_t tally = {.mask = 0};

	if (!board->input_count && !board->block_count)
		return false;
	memcpy(before, board->blocks, sizeof(before));
	board->reported_ms = now_ms - CRASHBOARD_REPORT_MS;
	crashboard_expire(board, now_ms);
	before_masks = list_masks(board);
	board->block_count = 0;
	while (board->block_count < CRASHBOARD_MAX_BLOCKS &&
	       (input = next_to_block(board, &before_masks, &masks, now_ms,
				      &tally))) {
		add_block(board, input, &tally);
		masks.masks[masks.count++] = tally.mask;
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
