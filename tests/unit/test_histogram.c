#include "unit.h"

#include "base/histogram.h"

/* Guards against buckets that are not cumulative, and against losing times that
 * equal a bound or exceed the largest one. */
static void test_buckets(void)
{
	buf_t page = BUF_INIT;

	histogram_observe(HISTOGRAM_ANSWER, -3);
	histogram_observe(HISTOGRAM_ANSWER, 10);
	histogram_observe(HISTOGRAM_ANSWER, 11);
	histogram_observe(HISTOGRAM_ANSWER, 99999);
	histogram_render(&page);
	buf_append(&page, "", 1);
	CU_ASSERT_PTR_NOT_NULL(
		strstr(page.ptr, "peridot_answer_ms_bucket{le=\"5\"} 1\n"));
	CU_ASSERT_PTR_NOT_NULL(
		strstr(page.ptr, "peridot_answer_ms_bucket{le=\"10\"} 2\n"));
	CU_ASSERT_PTR_NOT_NULL(
		strstr(page.ptr, "peridot_answer_ms_bucket{le=\"10000\"} 3\n"));
	CU_ASSERT_PTR_NOT_NULL(
		strstr(page.ptr, "peridot_answer_ms_bucket{le=\"+Inf\"} 4\n"));
	CU_ASSERT_PTR_NOT_NULL(
		strstr(page.ptr, "peridot_answer_ms_sum 100020\n"));
	CU_ASSERT_PTR_NOT_NULL(
		strstr(page.ptr, "peridot_first_event_ms_count 0\n"));
	buf_release(&page);
}

int main(void)
{
	CU_TestInfo tests[] = {{"buckets", test_buckets}, CU_TEST_INFO_NULL};

	return unit_run("histogram", tests);
}
