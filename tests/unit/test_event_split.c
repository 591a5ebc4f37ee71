#include "unit.h"

#include "request/events.h"

/* Guards against forwarding incomplete events when the input is split over
 * reads (ORDER). */
static void test_split_reads(void)
{
	str_t text =
		STR_LIT("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\n");
	events_t events = {BUF_INIT, 0};
	unsigned count = 0;
	event_t event;

	for (size_t i = 0; i < text.len; i++) {
		events_feed(&events, (str_t){text.ptr + i, 1});
		while (events_next(&events, &event)) {
			count++;
			CU_ASSERT_EQUAL(event.id.len, 1);
			CU_ASSERT_EQUAL(event.id.ptr[0], '0' + (char)count);
		}
	}
	CU_ASSERT_EQUAL(count, 2);
	CU_ASSERT_TRUE(str_equals(events_rest(&events), STR_LIT("id: 3\n")));
	events_release(&events);
}

/* Guards against dropping events that have no id. */
static void test_without_id(void)
{
	events_t events = {BUF_INIT, 0};
	event_t event;

	events_feed(&events, STR_LIT(": comment\ndata: x\n\n"));
	CU_ASSERT_TRUE(events_next(&events, &event));
	CU_ASSERT_PTR_NULL(event.id.ptr);
	CU_ASSERT_EQUAL(event.text.len, 19);
	CU_ASSERT_EQUAL(events_rest(&events).len, 0);
	events_release(&events);
}

/* Guards against a resumed stream that repeats or drops events, because their
 * ids are compared incorrectly, such as 9 with 10 (ORDER). */
static void test_id_order(void)
{
	CU_ASSERT_TRUE(event_id_is_after(STR_LIT("1"), STR_LIT("")));
	CU_ASSERT_TRUE(event_id_is_after(STR_LIT("10"), STR_LIT("9")));
	CU_ASSERT_FALSE(event_id_is_after(STR_LIT("9"), STR_LIT("9")));
	CU_ASSERT_FALSE(event_id_is_after(STR_LIT("8"), STR_LIT("9")));
	CU_ASSERT_TRUE(event_id_is_after(STR_LIT("b"), STR_LIT("a")));
	CU_ASSERT_FALSE(event_id_is_after(STR_LIT("a"), STR_LIT("a")));
}

int main(void)
{
	CU_TestInfo tests[] = {{"split reads", test_split_reads},
			       {"without id", test_without_id},
			       {"id order", test_id_order},
			       CU_TEST_INFO_NULL};

	return unit_run("events", tests);
}
