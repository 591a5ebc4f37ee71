#include "unit.h"

#include "coordination/window.h"

#define COLD 2
#define MAX 16

static const window_report_t warm = {.boot = 7, .state = WINDOW_REPORT_WARM};
static const window_report_t cold = {.boot = 7, .state = WINDOW_REPORT_COLD};

/* A warm window with a median of 100 ms, at the time 1,000. */
static window_t warm_window(void)
{
	window_t window;

	window_init(&window, MAX);
	window_on_report(&window, 900, &warm);
	window_on_first_token(&window, 1000, 100);
	CU_ASSERT_TRUE(window_is_warm(&window, 1000));
	return window;
}

/* Guards P3: without proof only the cold share may be in flight. */
static void test_cold_until_proven(void)
{
	window_t window;

	window_init(&window, MAX);
	CU_ASSERT_EQUAL(window_limit(&window, 0, COLD), COLD);
	CU_ASSERT_FALSE(window_may_send(&window, 0, 0));
	window_on_first_token(&window, 100, 100);
	CU_ASSERT_FALSE(window_is_warm(&window, 100));
	window_on_first_token(&window, 200, 100);
	CU_ASSERT_TRUE(window_is_warm(&window, 200));
	CU_ASSERT_FALSE(window_is_warm(&window, 200 + WINDOW_PROOF_MS));
	CU_ASSERT_EQUAL(window_limit(&window, 200 + WINDOW_PROOF_MS, 0), 0);
}

/* Guards P3: an engine that restarted answers its few requests in time although
 * it is cold. Before this rule, test_cold counted 22 requests above the limit.
 */
static void test_broken_needs_report(void)
{
	window_t window = warm_window();
	window_report_t later = warm;

	window_on_broken(&window, 2000);
	window_on_first_token(&window, 2200, 100);
	CU_ASSERT_FALSE(window_is_warm(&window, 2200));
	window_on_report(&window, 2300, &later);
	CU_ASSERT_TRUE(window_is_warm(&window, 2300));
	window_on_pause(&window, 3000);
	window_on_first_token(&window, 3200, 100);
	CU_ASSERT_FALSE(window_is_warm(&window, 3200));
}

/* Guards against a window that grows beyond the concurrency that the endpoint
 * has been seen to serve, and against growth by late tokens. */
static void test_slow_start(void)
{
	window_t window = warm_window();

	CU_ASSERT_EQUAL(window_limit(&window, 1000, 0), 1);
	CU_ASSERT_EQUAL(window_limit(&window, 1000, COLD), COLD);
	window_on_send(&window);
	for (int i = 0; i < 10; i++)
		window_on_first_token(&window, 1100, 90);
	CU_ASSERT_EQUAL(window_limit(&window, 1100, 0), 2);
	for (int i = 0; i < 100; i++) {
		while (window_may_send(&window, 1200, 0))
			window_on_send(&window);
		window_on_first_token(&window, 1200, 90);
	}
	CU_ASSERT_EQUAL(window_limit(&window, 1200, 0), MAX);
	window_on_refused(&window);
	CU_ASSERT_EQUAL(window_limit(&window, 1200, 0), MAX / 2);
	window_set_max(&window, 4);
	CU_ASSERT_EQUAL(window_limit(&window, 1200, 0), 4);
	/* A lapsed proof starts again at one. */
	window_on_first_token(&window, 1200 + WINDOW_PROOF_MS, 90);
	CU_ASSERT_EQUAL(window_limit(&window, 1200 + WINDOW_PROOF_MS, 0), 1);
}

static void break_connection(window_t *window)
{
	window_on_broken(window, 2000);
}

static void change_boot(window_t *window)
{
	window_report_t report = warm;

	report.boot = 8;
	window_on_report(window, 2000, &report);
}

static void report_cold(window_t *window)
{
	window_on_report(window, 2000, &cold);
}

static void be_late_twice(window_t *window)
{
	window_on_first_token(window, 1999, 600);
	CU_ASSERT_TRUE(window_is_warm(window, 1999));
	window_on_first_token(window, 2000, 600);
}

static void be_silent_twice(window_t *window)
{
	window_on_silence(window, 1999);
	window_on_silence(window, 2000);
}

static void pause_process(window_t *window)
{
	window_on_pause(window, 2000);
}

static void report_leaving(window_t *window)
{
	window_report_t report = warm;

	report.state = WINDOW_REPORT_LEAVING;
	window_on_report(window, 2000, &report);
	CU_ASSERT_EQUAL(window_limit(window, 2000, COLD), 0);
}

/* Guards P3: every event that voids the proof must do so at once, keep the
 * requests in flight counted, and not be undone by older evidence. */
static void test_events_void_the_proof(void)
{
	static void (*const events[])(window_t *) = {
		break_connection, change_boot,	 report_cold,	be_late_twice,
		be_silent_twice,  pause_process, report_leaving};

	for (size_t i = 0; i < sizeof(events) / sizeof(events[0]); i++) {
		window_t window = warm_window();
		window_report_t report = warm;

		window_on_send(&window);
		window_on_send(&window);
		window_on_send(&window);
		events[i](&window);
		CU_ASSERT_FALSE(window_is_warm(&window, 2000));
		CU_ASSERT_EQUAL(window.in_flight, 3);
		CU_ASSERT_FALSE(window_may_send(&window, 2000, COLD));
		report.boot = window.boot;
		report.age_ms = 500;
		window_on_report(&window, 2500, &report);
		CU_ASSERT_FALSE(window_is_warm(&window, 2500));
		window_on_first_token(&window, 2050, 50);
		CU_ASSERT_FALSE(window_is_warm(&window, 2050));
		report.age_ms = 400;
		window_on_report(&window, 2500, &report);
		CU_ASSERT_TRUE(window_is_warm(&window, 2500));
		CU_ASSERT_EQUAL(window_limit(&window, 2500, 0), 1);
	}
}

/* Guards P3: light load is answered in time in cold start too, so first tokens
 * must not outweigh the endpoint's own word. */
static void test_cold_report_outweighs_tokens(void)
{
	window_t window = warm_window();
	window_report_t report = cold;

	report.age_ms = 1000;
	window_on_report(&window, 3000, &report);
	window_on_first_token(&window, 3500, 100);
	CU_ASSERT_FALSE(window_is_warm(&window, 3500));
	/* Nor does a report that is too old to prove anything. */
	report.state = WINDOW_REPORT_WARM;
	report.age_ms = WINDOW_REPORT_MAX_MS + 1;
	window_on_report(&window, 7050 + 1, &report);
	window_on_first_token(&window, 7100, 10);
	CU_ASSERT_FALSE(window_is_warm(&window, 7100));
	report.age_ms = 1000;
	window_on_report(&window, 7200, &report);
	window_on_first_token(&window, 7300, 100);
	CU_ASSERT_TRUE(window_is_warm(&window, 7300 + WINDOW_PROOF_MS - 1));
}

/* Guards against a lagging report that proves warmth of long ago, and against
 * one that arrives after a newer one. */
static void test_old_reports(void)
{
	window_t window;
	window_report_t report = warm;

	window_init(&window, MAX);
	report.age_ms = WINDOW_REPORT_MAX_MS + 1;
	window_on_report(&window, 9000, &report);
	CU_ASSERT_FALSE(window_is_warm(&window, 9000));
	report.age_ms = 3000;
	window_on_report(&window, 9000, &report);
	CU_ASSERT_TRUE(window_is_warm(&window, 10999));
	CU_ASSERT_FALSE(window_is_warm(&window, 11000));

	window = warm_window();
	report.boot = 8;
	window_on_report(&window, 2000, &report);
	CU_ASSERT_EQUAL(window.boot, 7);
	CU_ASSERT_TRUE(window_is_warm(&window, 2000));
}

/* Guards against slow answers of a cold start becoming the usual ones. */
static void test_median_ignores_cold_samples(void)
{
	window_t window = warm_window();

	window_on_broken(&window, 2000);
	for (int i = 0; i < 200; i++)
		window_on_first_token(&window, 10000 + i * 1000, 1000);
	CU_ASSERT_FALSE(window_is_warm(&window, 10000 + 199 * 1000));
	CU_ASSERT_EQUAL(window.median_first_token_ms, 100);
}

/* Guards against a negative count, and P3: requests whose connection broke may
 * still run at the endpoint. */
static void test_lost_requests_stay_counted(void)
{
	window_t window;

	window_init(&window, MAX);
	window_on_end(&window);
	window_on_lost(&window, 0, 9000);
	CU_ASSERT_EQUAL(window.in_flight, 0);
	CU_ASSERT_EQUAL(window.lost, 0);
	window_on_send(&window);
	window_on_broken(&window, 1000);
	window_on_broken(&window, 1000);
	window_on_lost(&window, 1000, 5000);
	CU_ASSERT_EQUAL(window.in_flight, 0);
	CU_ASSERT_FALSE(window_may_send(&window, 4999, 1));
	CU_ASSERT_TRUE(window_may_send(&window, 4999, 2));
	CU_ASSERT_TRUE(window_may_send(&window, 5000, 1));
	window_on_report(&window, 4000, &warm);
	CU_ASSERT_TRUE(window_may_send(&window, 4000, 0));
}

int main(void)
{
	CU_TestInfo tests[] = {
		{"cold until proven", test_cold_until_proven},
		{"broken connection needs a report", test_broken_needs_report},
		{"slow start", test_slow_start},
		{"events void the proof", test_events_void_the_proof},
		{"cold report outweighs tokens",
		 test_cold_report_outweighs_tokens},
		{"old reports", test_old_reports},
		{"median ignores cold samples",
		 test_median_ignores_cold_samples},
		{"lost requests stay counted", test_lost_requests_stay_counted},
		CU_TEST_INFO_NULL};

	return unit_run("window", tests);
}
