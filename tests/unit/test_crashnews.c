#include "unit.h"

#include "coordination/crashnews.h"
#include "crashes.h"

/* Scenario: a host restarts with nothing in memory. Guards against a host that
 * goes on sending requests with a part that all others refuse. */
static void test_restarted_host_learns(void)
{
	crashboard_t *board = create_board();
	crashboard_t *restarted = create_board();
	uint64_t faulty = FAULTY_PART;
	/* The new host's clock started at another time. */
	int64_t offset_ms = 77777;
	int64_t now_ms = crash_in_turn(board, CRASHBOARD_MIN_CRASHES, START_MS,
				       &faulty, 1);
	crashnews_t news = {.kind = CRASHNEWS_RELAY, .source = HOST_B};
	crashnews_t received;
	crash_report_t report;
	buf_t message = BUF_INIT;
	err_t err = {0};

	for (size_t i = 0; i < CRASHBOARD_MAX_CRASHES; i++)
		if (crashboard_get(board, i, &report))
			CU_ASSERT_TRUE(crashnews_add(&news, &report));
	crashnews_write(&news, now_ms, &message);
	CU_ASSERT_TRUE(crashnews_is_message(buf_view(&message)));
	CU_ASSERT_EQUAL(crashnews_read(buf_view(&message), now_ms + offset_ms,
				       &received, &err),
			ERR_OK);
	for (size_t i = 0; i < received.crash_count; i++)
		CU_ASSERT_TRUE(crashboard_add(restarted, &received.crashes[i]));
	crashboard_update(restarted, now_ms + offset_ms);
	CU_ASSERT_TRUE(blocks_input(restarted, FAULTY_PART));
	buf_release(&message);
	crashboard_free(board);
	crashboard_free(restarted);
}

/* Sends what `from` repeats to `to`. */
static void repeat_news(const crashboard_t *from, crashboard_t *to)
{
	crash_report_t report;
	sound_input_t sound[CRASHNEWS_MAX_SOUND];
	size_t count = crashboard_get_sound(from, sound, CRASHNEWS_MAX_SOUND);

	for (size_t i = 0; i < CRASHBOARD_MAX_CRASHES; i++)
		if (crashboard_get(from, i, &report))
			crashboard_add(to, &report);
	for (size_t i = 0; i < count; i++)
		crashboard_add_sound(to, sound[i].input, sound[i].began_ms);
}

/* Scenario: datagrams are lost, so a host hears neither of the sound answers to
 * a part that all prompts of a class have, nor of the faulty part in the same
 * crashes. Guards against a host that refuses the whole class from then on. */
static void test_missed_news_are_repeated(void)
{
	crashboard_t *board = create_board();
	crashboard_t *other = create_board();
	uint64_t both[] = {CLASS_PART, FAULTY_PART};
	uint64_t class_part = CLASS_PART;
	int64_t now_ms =
		crash_in_turn(board, CRASHBOARD_MIN_CRASHES, START_MS, both, 2);

	crash_in_turn(other, CRASHBOARD_MIN_CRASHES, START_MS, &class_part, 1);
	CU_ASSERT_TRUE(blocks_input(other, CLASS_PART));
	crashboard_add_sound(board, CLASS_PART, now_ms);
	crashboard_update(board, now_ms);
	repeat_news(board, other);
	crashboard_update(other, now_ms);
	CU_ASSERT_FALSE(blocks_input(other, CLASS_PART));
	CU_ASSERT_TRUE(blocks_input(other, FAULTY_PART));
	crashboard_free(board);
	crashboard_free(other);
}

/* Guards against a host that reports crashes in other hosts' names, and against
 * malformed messages. */
static void test_news_of_host_and_malformed(void)
{
	crashnews_t news = {.kind = CRASHNEWS_HOST, .source = HOST_B};
	crash_report_t report = {.process = 1,
				 .at_ms = START_MS,
				 .reporters = {1, 2, 3},
				 .reporter_count = 3,
				 .inputs = {RARE_PART},
				 .input_count = 1};
	crashnews_t received;
	buf_t message = BUF_INIT;
	err_t err = {0};

	CU_ASSERT_TRUE(crashnews_add(&news, &report));
	crashnews_write(&news, START_MS, &message);
	CU_ASSERT_EQUAL(
		crashnews_read(buf_view(&message), START_MS, &received, &err),
		ERR_OK);
	CU_ASSERT_EQUAL(received.crashes[0].reporter_count, 1);
	CU_ASSERT_EQUAL(received.crashes[0].reporters[0], HOST_B);
	buf_reset(&message);
	news.kind = CRASHNEWS_DIGEST;
	crashnews_write(&news, START_MS, &message);
	CU_ASSERT_EQUAL(
		crashnews_read(buf_view(&message), START_MS, &received, &err),
		ERR_OK);
	CU_ASSERT_EQUAL(received.crashes[0].reporter_count, 1);
	for (size_t len = 0; len < message.len; len++)
		CU_ASSERT_EQUAL(crashnews_read((str_t){message.ptr, len},
					       START_MS, &received, &err),
				ERR_INVALID);
	buf_release(&message);
}

int main(void)
{
	CU_TestInfo tests[] = {
		{"a restarted host learns", test_restarted_host_learns},
		{"missed news are repeated", test_missed_news_are_repeated},
		{"news of a host, malformed news",
		 test_news_of_host_and_malformed},
		CU_TEST_INFO_NULL};

	return unit_run("crashnews", tests);
}
