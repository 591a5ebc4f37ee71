#include "unit.h"

#include "state/noticetable.h"

#define START_MS 1000000
#define DRAIN_MS 3000
#define PROCESS 7

/* Sends as many requests as the notice allows from `from_ms` until before
 * `to_ms`, at most 100 per ms. RETURN VALUE: their number. */
static unsigned count_allowed_sends(notice_t *notice, int64_t from_ms,
				    int64_t to_ms)
{
	unsigned sent = 0;

	for (int64_t ms = from_ms; ms < to_ms; ms++)
		for (int i = 0; i < 100; i++) {
			if (notice_check(notice, DRAIN_MS, ms) != NOTICE_OPEN)
				break;
			notice_on_send(notice, ms);
			sent++;
		}
	return sent;
}

/* Scenario: a queue waits for an endpoint that asked for a pause of 3 s. Guards
 * against any request during the pause, trial requests included, and against
 * sending the whole queue at its end. */
static void test_pause_then_slow_start(void)
{
	notice_t notice = {.leaving_hint_ms = 0};

	CU_ASSERT_EQUAL(notice_on_pause(&notice, 3000, START_MS), 3000);
	CU_ASSERT_EQUAL(count_allowed_sends(&notice, START_MS, START_MS + 3000),
			0);
	CU_ASSERT_TRUE(notice_forbids(&notice, DRAIN_MS, START_MS + 2999));
	CU_ASSERT_EQUAL(
		count_allowed_sends(&notice, START_MS + 3000,
				    START_MS + 3000 + NOTICE_RAMP_STEP_MS),
		1);
	CU_ASSERT_EQUAL(count_allowed_sends(
				&notice, START_MS + 3000 + NOTICE_RAMP_STEP_MS,
				START_MS + 3000 + 2 * NOTICE_RAMP_STEP_MS),
			1);
	CU_ASSERT_EQUAL(
		count_allowed_sends(&notice,
				    START_MS + 3000 + 2 * NOTICE_RAMP_STEP_MS,
				    START_MS + 3000 + 3 * NOTICE_RAMP_STEP_MS),
		2);
	/* After the ramp-up the number of sends is not limited. */
	CU_ASSERT_TRUE(
		count_allowed_sends(
			&notice,
			START_MS + 3000 +
				NOTICE_RAMP_STEPS * NOTICE_RAMP_STEP_MS,
			START_MS + 3001 +
				NOTICE_RAMP_STEPS * NOTICE_RAMP_STEP_MS) > 50);
}

/* Guards against a later, shorter pause that ends an earlier one too soon:
 * responses to requests in flight arrive in any order. */
static void test_pauses_overlap(void)
{
	notice_t notice = {.leaving_hint_ms = 0};

	notice_on_pause(&notice, 5000, START_MS);
	notice_on_pause(&notice, 1000, START_MS + 100);
	CU_ASSERT_EQUAL(notice_check(&notice, DRAIN_MS, START_MS + 4999),
			NOTICE_PAUSED);
	CU_ASSERT_EQUAL(notice_next_send_ms(&notice, START_MS + 200),
			START_MS + 5000);
	/* A trial request that is refused starts a new pause. */
	notice_on_send(&notice, START_MS + 5000);
	notice_on_pause(&notice, 1000, START_MS + 5010);
	CU_ASSERT_EQUAL(
		count_allowed_sends(&notice, START_MS + 5010, START_MS + 6010),
		0);
	CU_ASSERT_EQUAL(
		count_allowed_sends(&notice, START_MS + 6010, START_MS + 6020),
		1);
}

/* Guards against an invalid pause time that excludes an endpoint forever, or
 * that is treated as no pause. */
static void test_odd_pauses(void)
{
	notice_t notice = {.leaving_hint_ms = 0};

	CU_ASSERT_EQUAL(notice_on_pause(&notice, -1, START_MS),
			NOTICE_DEFAULT_PAUSE_MS);
	CU_ASSERT_EQUAL(notice_on_pause(&notice, INT32_MAX, START_MS),
			NOTICE_MAX_PAUSE_MS);
	CU_ASSERT_EQUAL(notice_next_send_ms(&notice, START_MS),
			START_MS + NOTICE_MAX_PAUSE_MS);
	CU_ASSERT_EQUAL(notice_on_pause(&notice, 0, START_MS), 0);
}

/* Guards against requests to an endpoint that announced itself that it is
 * leaving, also after a hint from another host, which alone would allow them
 * (DRAIN). */
static void test_leaving(void)
{
	notice_t notice = {.leaving_hint_ms = 0};

	notice_on_leaving(&notice, true, START_MS);
	notice_on_leaving_hint(&notice, START_MS);
	CU_ASSERT_EQUAL(notice_check(&notice, DRAIN_MS, START_MS),
			NOTICE_LEAVING);
	CU_ASSERT_EQUAL(notice_check(&notice, DRAIN_MS, START_MS + 86400000),
			NOTICE_LEAVING);
	CU_ASSERT_TRUE(notice_forbids(&notice, DRAIN_MS, START_MS));
	/* Without an incarnation in the record, a successor can only be found
	 * by sending to it. */
	notice = (notice_t){.leaving_hint_ms = 0};
	notice_on_leaving(&notice, false, START_MS);
	CU_ASSERT_EQUAL(notice_check(&notice, DRAIN_MS,
				     START_MS + NOTICE_UNIDENTIFIED_LEAVING_MS),
			NOTICE_OPEN);
}

/* Scenario: the last endpoint of a service leaves. Guards against refusing
 * requests that it would still accept, because of a hint from another host, and
 * against using it after the drain time. */
static void test_leaving_hint(void)
{
	notice_t notice = {.leaving_hint_ms = 0};

	notice_on_leaving_hint(&notice, START_MS);
	notice_on_leaving_hint(&notice, START_MS + 2000); /* reported again */
	CU_ASSERT_EQUAL(notice_check(&notice, DRAIN_MS, START_MS + 2999),
			NOTICE_LAST_RESORT);
	CU_ASSERT_FALSE(notice_forbids(&notice, DRAIN_MS, START_MS + 2999));
	CU_ASSERT_EQUAL(notice_check(&notice, DRAIN_MS, START_MS + 3000),
			NOTICE_LEAVING);
	CU_ASSERT_TRUE(notice_forbids(&notice, DRAIN_MS, START_MS + 3000));
	CU_ASSERT_EQUAL(notice_check(NULL, DRAIN_MS, START_MS), NOTICE_OPEN);
}

/* Guards against a table that grows with each process that ever left, and
 * against dropping the entry of a process that is still in use. */
static void test_table_is_bounded(void)
{
	noticetable_t table = {.count = 0};
	noticetable_entry_t *used = noticetable_get(&table, PROCESS);

	notice_on_leaving(&used->notice, true, START_MS);
	for (uint64_t i = 0; i < 2 * NOTICETABLE_MAX_ENTRIES; i++)
		noticetable_unref(noticetable_get(&table, 1000 + i));
	CU_ASSERT_EQUAL(table.count, NOTICETABLE_MAX_ENTRIES);
	CU_ASSERT_PTR_EQUAL(noticetable_find(&table, PROCESS), used);
	CU_ASSERT_PTR_NULL(noticetable_find(&table, 1000));
	noticetable_release(&table);
}

int main(void)
{
	CU_TestInfo tests[] = {
		{"pause then slow start", test_pause_then_slow_start},
		{"pauses overlap", test_pauses_overlap},
		{"odd pauses", test_odd_pauses},
		{"leaving", test_leaving},
		{"leaving hint", test_leaving_hint},
		{"table is bounded", test_table_is_bounded},
		CU_TEST_INFO_NULL};

	return unit_run("notice", tests);
}
