#include "unit.h"

#include "base/buf.h"
#include "base/err.h"
#include "base/metrics.h"
#include "base/mclock.h"
#include "base/plog.h"

/* A view that contains NUL must not end there as a C string would. */
static void test_str_keeps_embedded_nul(void)
{
	str_t a = {"a\0b", 3};
	str_t b = {"a\0c", 3};

	CU_ASSERT_FALSE(str_equals(a, b));
	CU_ASSERT(str_compare(a, b) < 0);
	CU_ASSERT(str_compare(STR_LIT("ab"), STR_LIT("abc")) < 0);
}

/* Truncation must be reported, so that names are never silently shortened. */
static void test_str_copy_reports_truncation(void)
{
	char out[4];

	CU_ASSERT_TRUE(str_copy(out, sizeof(out), STR_LIT("abc")));
	CU_ASSERT_FALSE(str_copy(out, sizeof(out), STR_LIT("abcd")));
	CU_ASSERT_STRING_EQUAL(out, "abc");
}

/* Unescaped control characters would break JSON responses and log parsers. */
static void test_buf_escapes_json(void)
{
	buf_t buf = BUF_INIT;

	buf_append_json(&buf, STR_LIT("a\"\\\n\x01"));
	CU_ASSERT_TRUE(
		str_equals(buf_view(&buf), STR_LIT("\"a\\\"\\\\\\n\\u0001\"")));
	buf_consume(&buf, 3);
	CU_ASSERT_TRUE(str_starts_with(buf_view(&buf), STR_LIT("\"\\\\")));
	buf_release(&buf);
}

/* Guards against errors that don't name the failed step and the peer. */
static void test_err_keeps_step_and_peer(void)
{
	err_t err;

	CU_ASSERT_EQUAL(err_set(&err, ERR_TIMEOUT, "connect", "10.0.0.1:1",
				"no answer in %d ms", 5),
			ERR_TIMEOUT);
	CU_ASSERT_STRING_EQUAL(err.step, "connect");
	CU_ASSERT_STRING_EQUAL(err.peer, "10.0.0.1:1");
	CU_ASSERT_STRING_EQUAL(err.message, "no answer in 5 ms");
}

/* Counts of label values that exceed the table must remain in the sum. */
static void test_metrics_bound_labels(void)
{
	char label[16];
	buf_t out = BUF_INIT;

	for (int i = 0; i < METRICS_MAX_LABELS + 5; i++) {
		snprintf(label, sizeof(label), "c%d", i);
		metrics_add(METRIC_REQUESTS, str_from(label), 1);
	}
	CU_ASSERT_EQUAL(metrics_total(METRIC_REQUESTS), METRICS_MAX_LABELS + 5);
	metrics_render(&out);
	buf_append(&out, "", 1);
	CU_ASSERT_PTR_NOT_NULL(
		strstr(out.ptr, "peridot_requests_total{class=\"other\"} 5\n"));
	buf_release(&out);
}

/* Guards against a manual clock whose monotonic and wall times differ. */
static void test_mclock_manual_advances(void)
{
	mclock_manual_t manual;

	mclock_manual_init(&manual, 1000);
	mclock_manual_advance(&manual, 250);
	CU_ASSERT_EQUAL(mclock_now_ms(&manual.base), 1250);
	CU_ASSERT_EQUAL(mclock_wall_ms(&manual.base), 1250);
}

/* Guards against accepting an unknown log level. */
static void test_plog_parses_levels(void)
{
	plog_level_t level;

	CU_ASSERT_EQUAL(plog_parse_level("warn", &level), 0);
	CU_ASSERT_EQUAL(level, PLOG_LEVEL_WARN);
	CU_ASSERT_EQUAL(plog_parse_level("loud", &level), -1);
}

int main(void)
{
	CU_TestInfo tests[] = {
		{"str keeps embedded NUL", test_str_keeps_embedded_nul},
		{"str_copy reports truncation",
		 test_str_copy_reports_truncation},
		{"buf escapes JSON", test_buf_escapes_json},
		{"err keeps step and peer", test_err_keeps_step_and_peer},
		{"metrics bound their labels", test_metrics_bound_labels},
		{"manual clock", test_mclock_manual_advances},
		{"plog levels", test_plog_parses_levels},
		CU_TEST_INFO_NULL};

	return unit_run("base", tests);
}
