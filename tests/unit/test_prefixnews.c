#include "unit.h"

#include <string.h>

#include "coordination/prefixnews.h"

#define ENGINE 7
#define HOSTS 77

static prompt_parts_t make_parts(uint64_t prefix_id)
{
	prompt_parts_t parts = {.count = 0};

	prompt_parts_add(&parts, 1, 500);
	prompt_parts_add(&parts, 1000 + prefix_id, 4800);
	prompt_parts_add(&parts, 900000 + prefix_id, 6600);
	return parts;
}

/* Sends the keys of the queue `from` as one message, empties the queue, and
 * reads the message into `map` and `added`. */
static prefixnews_kind_t forward_keys(prefixnews_t *from,
				      prefixnews_kind_t kind, prefixmap_t *map,
				      prefixnews_t *added)
{
	buf_t message = BUF_INIT;
	prefixnews_kind_t read_kind = PREFIXNEWS_HOST;

	prefixnews_write(kind, from->keys, from->count, &message);
	from->count = 0;
	CU_ASSERT_TRUE(prefixnews_is_message(buf_view(&message)));
	CU_ASSERT_EQUAL(prefixnews_read(buf_view(&message), map, &read_kind,
					added, NULL),
			ERR_OK);
	buf_release(&message);
	return read_kind;
}

/* Scenario: many hosts with few sends each. Guards against hosts that don't
 * know which engine has cached a prompt part because another host sent it
 * there, and against messages with the key of the last part, which is specific
 * to a request and of no use to others. */
static void test_keys_pass_through_relay(void)
{
	static prefixmap_t relay, host;
	prefixnews_t queue = {.count = 0}, relay_queue = {.count = 0},
		     host_queue = {.count = 0};
	prompt_parts_t parts = make_parts(3);

	prefixnews_add_parts(&queue, ENGINE, &parts);
	CU_ASSERT_EQUAL(queue.count, 2);
	CU_ASSERT_EQUAL(
		forward_keys(&queue, PREFIXNEWS_HOST, &relay, &relay_queue),
		PREFIXNEWS_HOST);
	CU_ASSERT_EQUAL(relay_queue.count, 2);
	CU_ASSERT_EQUAL(forward_keys(&relay_queue, PREFIXNEWS_RELAY, &host,
				     &host_queue),
			PREFIXNEWS_RELAY);
	CU_ASSERT_EQUAL(prefixmap_cached_tokens(&host, ENGINE, &parts), 5300);
	CU_ASSERT_EQUAL(prefixmap_cached_tokens(&host, ENGINE + 1, &parts), 0);
}

/* Guards against traffic that grows with the number of hosts: a relay forwards
 * a key once, even if all hosts report it. */
static void test_relay_forwards_keys_once(void)
{
	static prefixmap_t relay;
	prefixnews_t relay_queue = {.count = 0};
	prompt_parts_t parts = make_parts(3);

	for (int i = 0; i < HOSTS; i++) {
		prefixnews_t queue = {.count = 0};

		prefixnews_add_parts(&queue, ENGINE, &parts);
		forward_keys(&queue, PREFIXNEWS_HOST, &relay, &relay_queue);
	}
	CU_ASSERT_EQUAL(relay_queue.count, 2);
}

/* Guards against a queue without a bound, which would make a round too large.
 */
static void test_bounded(void)
{
	prefixnews_t queue = {.count = 0};

	for (uint64_t i = 0; i < PREFIXNEWS_MAX_KEYS; i++)
		prefixnews_add(&queue, i);
	CU_ASSERT_EQUAL(queue.dropped, 0);
	prefixnews_add(&queue, 9);
	CU_ASSERT_EQUAL(queue.count, PREFIXNEWS_MAX_KEYS);
	CU_ASSERT_EQUAL(queue.dropped, 1);
	prefixnews_clear(&queue);
	CU_ASSERT_EQUAL(queue.count + queue.dropped, 0);
}

/* Guards against malformed messages and messages of other kinds that change the
 * map, and against messages of loadboard.h that are mistaken for prefixnews. */
static void test_malformed(void)
{
	static const str_t texts[] = {
		{"", 0},
		{"\x92", 1},
		{"\x92\x10\x01", 3},	  /* not an array of keys */
		{"\x92\x10\x91\xa1x", 5}, /* a string as key */
		{"\x92\x13\x91\x01", 4},  /* unknown kind */
		{"\x92\x01\x91\x01", 4},  /* kind of loadboard.h */
		{"\x92\x10\xdd\xff\xff\xff\xff", 7}};
	static prefixmap_t map;
	static const prefixmap_t empty;

	for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
		prefixnews_t added = {.count = 0};
		prefixnews_kind_t kind;

		CU_ASSERT_EQUAL(
			prefixnews_read(texts[i], &map, &kind, &added, NULL),
			ERR_INVALID);
		CU_ASSERT_EQUAL(added.count, 0);
	}
	CU_ASSERT_EQUAL(memcmp(&map, &empty, sizeof(map)), 0);
	CU_ASSERT_FALSE(prefixnews_is_message((str_t)STR_LIT("\x93\x01\x05")));
	CU_ASSERT_FALSE(prefixnews_is_message((str_t)STR_LIT("\x92")));
}

int main(void)
{
	CU_TestInfo tests[] = {
		{"keys pass through a relay", test_keys_pass_through_relay},
		{"relay forwards keys once", test_relay_forwards_keys_once},
		{"bounded", test_bounded},
		{"malformed", test_malformed},
		CU_TEST_INFO_NULL};

	return unit_run("prefixnews", tests);
}
