#include "unit.h"

#include <string.h>

#include "coordination/prefixnews.h"

#define ENGINE 7
#define HOSTS 77

static prompt_parts_t make_parts(uint64_t thing)
{
	prompt_parts_t parts = {.count = 0};

	prompt_parts_add(&parts, 1, 500);
	prompt_parts_add(&parts, 1000 + thing, 4800);
	prompt_parts_add(&parts, 900000 + thing, 6600);
	return parts;
}

/* Passes the keys of a queue on, as one message, and empties the queue. */
static prefixnews_kind_t pass_on(prefixnews_t *from, prefixnews_kind_t kind,
				 prefixmap_t *map, prefixnews_t *fresh)
{
	buf_t message = BUF_INIT;
	prefixnews_kind_t read_kind = PREFIXNEWS_HOST;

	prefixnews_write(kind, from->keys, from->count, &message);
	from->count = 0;
	CU_ASSERT_TRUE(prefixnews_is_message(buf_view(&message)));
	CU_ASSERT_EQUAL(prefixnews_read(buf_view(&message), map, &read_kind,
					fresh, NULL),
			ERR_OK);
	buf_release(&message);
	return read_kind;
}

/* Pattern: many hosts with few sends each. Guards against hosts that don't know
 * which engine has read a part because another host sent it there; and against
 * the request's own part, which nobody else can use, on the wire. */
static void test_told_through_a_relay(void)
{
	static prefixmap_t relay, host;
	prefixnews_t news = {.count = 0}, at_relay = {.count = 0},
		     at_host = {.count = 0};
	prompt_parts_t parts = make_parts(3);

	prefixnews_add_parts(&news, ENGINE, &parts);
	CU_ASSERT_EQUAL(news.count, 2);
	CU_ASSERT_EQUAL(pass_on(&news, PREFIXNEWS_HOST, &relay, &at_relay),
			PREFIXNEWS_HOST);
	CU_ASSERT_EQUAL(at_relay.count, 2);
	CU_ASSERT_EQUAL(pass_on(&at_relay, PREFIXNEWS_RELAY, &host, &at_host),
			PREFIXNEWS_RELAY);
	CU_ASSERT_EQUAL(prefixmap_cached_tokens(&host, ENGINE, &parts), 5300);
	CU_ASSERT_EQUAL(prefixmap_cached_tokens(&host, ENGINE + 1, &parts), 0);
}

/* Guards against bytes that grow with the hosts: what all of them say of one
 * part goes on once. */
static void test_told_once(void)
{
	static prefixmap_t relay;
	prefixnews_t at_relay = {.count = 0};
	prompt_parts_t parts = make_parts(3);

	for (int i = 0; i < HOSTS; i++) {
		prefixnews_t news = {.count = 0};

		prefixnews_add_parts(&news, ENGINE, &parts);
		pass_on(&news, PREFIXNEWS_HOST, &relay, &at_relay);
	}
	CU_ASSERT_EQUAL(at_relay.count, 2);
}

/* Guards against a queue without a bound, and a round that is too large. */
static void test_bounded(void)
{
	prefixnews_t news = {.count = 0};

	for (uint64_t i = 0; i < PREFIXNEWS_MAX_KEYS; i++)
		prefixnews_add(&news, i);
	CU_ASSERT_EQUAL(news.dropped, 0);
	prefixnews_add(&news, 9);
	CU_ASSERT_EQUAL(news.count, PREFIXNEWS_MAX_KEYS);
	CU_ASSERT_EQUAL(news.dropped, 1);
	prefixnews_clear(&news);
	CU_ASSERT_EQUAL(news.count + news.dropped, 0);
}

/* Guards against messages of other kinds or without sense that change the map,
 * or are taken for loads. */
static void test_malformed(void)
{
	static const str_t texts[] = {
		{"", 0},
		{"\x92", 1},
		{"\x92\x10\x01", 3},	  /* no list */
		{"\x92\x10\x91\xa1x", 5}, /* a text for a key */
		{"\x92\x13\x91\x01", 4},  /* no such kind */
		{"\x92\x01\x91\x01", 4},  /* loads */
		{"\x92\x10\xdd\xff\xff\xff\xff", 7}};
	static prefixmap_t map;
	static const prefixmap_t empty;

	for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
		prefixnews_t fresh = {.count = 0};
		prefixnews_kind_t kind;

		CU_ASSERT_EQUAL(
			prefixnews_read(texts[i], &map, &kind, &fresh, NULL),
			ERR_INVALID);
		CU_ASSERT_EQUAL(fresh.count, 0);
	}
	CU_ASSERT_EQUAL(memcmp(&map, &empty, sizeof(map)), 0);
	CU_ASSERT_FALSE(prefixnews_is_message((str_t)STR_LIT("\x93\x01\x05")));
	CU_ASSERT_FALSE(prefixnews_is_message((str_t)STR_LIT("\x92")));
}

int main(void)
{
	CU_TestInfo tests[] = {
		{"told through a relay", test_told_through_a_relay},
		{"told once", test_told_once},
		{"bounded", test_bounded},
		{"malformed", test_malformed},
		CU_TEST_INFO_NULL};

	return unit_run("prefixnews", tests);
}
