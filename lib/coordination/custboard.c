#include "coordination/custboard.h"

#include <stdlib.h>
#include <string.h>

/* The last message of a host or region. */
typedef struct source {
	custnews_kind_t kind;
	uint32_t number;
	bool is_short;
	custshare_use_t *uses;
	size_t count;
	int64_t received_ms;
} source_t;

struct custboard {
	source_t *sources;
	size_t count, cap;
};

custboard_t *custboard_create(void)
{
	custboard_t *board = calloc(1, sizeof(*board));

	if (!board)
		abort();
	return board;
}

void custboard_free(custboard_t *board)
{
	if (!board)
		return;
	for (size_t i = 0; i < board->count; i++)
		free(board->sources[i].uses);
	free(board->sources);
	free(board);
}

static void grow(custboard_t *board)
{
	board->cap = board->cap ? board->cap * 2 : 8;
	board->sources =
		realloc(board->sources, board->cap * sizeof(*board->sources));
	if (!board->sources)
		abort();
}

/* RETURN VALUE: NULL when the board is full. */
static source_t *find_or_add(custboard_t *board, const custnews_t *news)
{
	for (size_t i = 0; i < board->count; i++)
		if (board->sources[i].kind == news->kind &&
		    board->sources[i].number == news->source)
			return &board->sources[i];
	if (board->count == CUSTBOARD_MAX_SOURCES)
		return NULL;
	if (board->count == board->cap)
		grow(board);
	board->sources[board->count] =
		(source_t){.kind = news->kind, .number = news->source};
	return &board->sources[board->count++];
}

void custboard_add(custboard_t *board, const custnews_t *news, int64_t now_ms)
{
	size_t bytes = news->count * sizeof(*news->uses);
	source_t *source = find_or_add(board, news);

	if (!source)
		return;
	free(source->uses);
	source->uses = malloc(bytes + 1);
	if (!source->uses)
		abort();
	memcpy(source->uses, news->uses, bytes);
	source->count = news->count;
	source->is_short = news->is_short;
	source->received_ms = now_ms;
}

static bool is_fresh(const source_t *source, int64_t now_ms)
{
	return now_ms - source->received_ms < CUSTBOARD_TTL_MS;
}

static bool counts_for(const source_t *source, custnews_kind_t kind)
{
	return kind == CUSTNEWS_TOTALS || source->kind == CUSTNEWS_HOST;
}

void custboard_sum(const custboard_t *board, custnews_t *news, int64_t now_ms)
{
	size_t max = board->count * CUSTSHARE_MAX_TOTALS;
	custshare_use_t *uses = malloc(max * sizeof(*uses) + 1);
	size_t count = 0;

	if (!uses)
		abort();
	news->is_short = false;
	for (size_t i = 0; i < board->count; i++) {
		const source_t *source = &board->sources[i];

		if (!is_fresh(source, now_ms) ||
		    !counts_for(source, news->kind))
			continue;
		memcpy(uses + count, source->uses,
		       source->count * sizeof(*uses));
		count += source->count;
		news->is_short |= source->is_short;
	}
	news->count =
		custshare_select_largest(uses, count, CUSTSHARE_MAX_TOTALS);
	memcpy(news->uses, uses, news->count * sizeof(*uses));
	free(uses);
}

bool custboard_is_short(const custboard_t *board, int64_t now_ms)
{
	for (size_t i = 0; i < board->count; i++)
		if (board->sources[i].is_short &&
		    is_fresh(&board->sources[i], now_ms))
			return true;
	return false;
}

void custboard_expire(custboard_t *board, int64_t now_ms)
{
	for (size_t i = board->count; i-- > 0;) {
		if (is_fresh(&board->sources[i], now_ms))
			continue;
		free(board->sources[i].uses);
		board->sources[i] = board->sources[--board->count];
	}
}
