#include "fuzz.h"

#include "coordination/crashnews.h"
#include "coordination/limitnews.h"
#include "coordination/loadboard.h"
#include "coordination/prefixnews.h"
#include "coordination/ratelimit.h"
#include "coordination/speednews.h"

#define NOW_MS 1000

void fuzz_loads(str_t input, uint64_t random_value)
{
	loadboard_t *board = loadboard_create();
	loadboard_entry_t entries[LOADBOARD_MESSAGE_ENTRIES];
	err_t err;

	loadboard_read(board, input, NOW_MS, &err);
	loadboard_sum(board, LOADBOARD_ALL, NOW_MS, entries,
		      LOADBOARD_MESSAGE_ENTRIES);
	loadboard_get(board, (uint32_t)random_value, NOW_MS);
	loadboard_expire(board, 2 * NOW_MS + LOADBOARD_TTL_MS);
	loadboard_free(board);
}

void fuzz_crash_news(str_t input, uint64_t random_value)
{
	crashboard_t *board = crashboard_create();
	bool is_message = crashnews_is_message(input);
	crashnews_t news;
	size_t blocks;
	err_t err;

	crashboard_set_host(board, (uint32_t)random_value, 0);
	if (crashnews_read(input, NOW_MS, &news, &err) == ERR_OK) {
		fuzz_require(is_message,
			     "an accepted message has a known kind");
		for (size_t i = 0; i < news.crash_count; i++)
			crashboard_add(board, &news.crashes[i]);
		for (size_t i = 0; i < news.sound_count; i++)
			crashboard_add_sound(board, news.sound[i].input,
					     news.sound[i].began_ms);
		crashboard_update(board, NOW_MS);
		crashboard_blocks(board, &blocks);
		fuzz_require((news.kind != CRASHNEWS_HOST &&
			      news.kind != CRASHNEWS_DIGEST) ||
				     !blocks ||
				     news.source == (uint32_t)random_value,
			     "one host's message blocks nothing");
	}
	crashboard_free(board);
}

void fuzz_limit_news(str_t input, uint64_t random_value)
{
	ratelimit_t limit = {.per_s = 0.0};
	bool is_message = limitnews_is_message(input);
	limitnews_t news;
	err_t err;

	if (limitnews_read(input, NOW_MS, &news, &err))
		return;
	fuzz_require(is_message, "an accepted message has a known kind");
	for (size_t i = 0; i < news.count; i++) {
		ratelimit_on_news(&limit, news.entries[i].per_s,
				  news.entries[i].stated_ms);
		fuzz_require(limit.stated_ms <= NOW_MS,
			     "a statement is not from the future");
		fuzz_require(limit.per_s >= 0.0 &&
				     limit.per_s <= RATELIMIT_MAX_PER_S,
			     "a rate is within its range");
	}
	limit.all_units =
		ratelimit_count_units(limit.per_s, random_value % 1000 + 1);
	fuzz_require(limit.all_units > 0, "a limit has units");
	ratelimit_term(&limit, NOW_MS);
}

void fuzz_prefix_news(str_t input, uint64_t random_value)
{
	static prefixmap_t map;
	prefixnews_t added = {.count = 0};
	prefixnews_kind_t kind;
	bool is_message = prefixnews_is_message(input);
	err_t err;

	(void)random_value;
	if (prefixnews_read(input, &map, &kind, &added, &err))
		return;
	fuzz_require(is_message, "an accepted message has a known kind");
	fuzz_require(added.count <= PREFIXNEWS_MAX_KEYS,
		     "the queue is bounded");
}

void fuzz_speed_news(str_t input, uint64_t random_value)
{
	bool is_message = speednews_is_message(input);
	speednews_t news;
	err_t err;

	(void)random_value;
	if (speednews_read(input, &news, &err))
		return;
	fuzz_require(is_message, "an accepted message has a known kind");
	for (size_t i = 0; i < news.count; i++) {
		const speed_sums_t *sums = &news.entries[i].sums;
		double slowness = speed_slowness(sums, 1.0);

		fuzz_require(sums->weight >= 1.0 &&
				     sums->weight <= SPEEDNEWS_MAX_SAMPLES,
			     "an entry has a bounded number of samples");
		fuzz_require(speed_pause_ms(sums) >= SPEED_MIN_PAUSE_MS &&
				     speed_pause_ms(sums) <=
					     1.001 * SPEED_MAX_PAUSE_MS,
			     "a pause is within its range");
		fuzz_require(slowness >= SPEED_MIN_SLOWNESS &&
				     slowness <= SPEED_MAX_SLOWNESS,
			     "slowness is within its range");
	}
}
