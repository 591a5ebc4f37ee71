#include "unit.h"

#include "base/buf.h"
#include "platform/calls.h"

static void add_line(void *user, const char *line)
{
	buf_printf(user, "%s\n", line);
}

/* Guards against generated load whose headers differ from those of real
 * callers: hosts would route it differently, and its measurements would not
 * apply. */
static void test_fields(void)
{
	static const calls_part_t parts[] = {{0x5c1e, 800}, {0x91bd, 410}};
	calls_request_t request = {"r-1", "k1", 3000, 1210, 80, parts, 2};
	buf_t lines = BUF_INIT;

	calls_write_headers(&request, add_line, &lines);
	CU_ASSERT(str_equals(buf_view(&lines),
			     STR_LIT("X-Peridotpin-Attempt-Id: r-1\n"
				     "X-Peridotpin-Deadline-Ms: 3000\n"
				     "Authorization: Bearer k1\n"
				     "X-Peridotpin-Token-Counts: 1210,80\n"
				     "X-Peridotpin-Prompt-Prefix: "
				     "5c1e:800,91bd:410\n")));
	buf_reset(&lines);
	request = (calls_request_t){.id = "r-2", .key = "", .timeout_ms = 1};
	calls_write_headers(&request, add_line, &lines);
	CU_ASSERT(str_equals(buf_view(&lines),
			     STR_LIT("X-Peridotpin-Attempt-Id: r-2\n"
				     "X-Peridotpin-Deadline-Ms: 1\n")));
	buf_release(&lines);
}

static calls_result_t classify_response(unsigned status, const char *id,
					const char *stamp)
{
	calls_response_t response = {.stamped = false};
	buf_t line = BUF_INIT;

	calls_read_header(&response, STR_LIT("HTTP/1.1 200 OK\r\n"));
	buf_printf(&line, "x-peridotpin-attempt-id: %s\r\n", id);
	if (*id)
		calls_read_header(&response, buf_view(&line));
	buf_reset(&line);
	buf_printf(&line, "X-Peridotpin-Server-Stamp: %s\r\n", stamp);
	if (*stamp)
		calls_read_header(&response, buf_view(&line));
	calls_read_header(&response, STR_LIT("\r\n"));
	buf_release(&line);
	return calls_classify(status, &response, "r-1");
}

/* Guards against a report that counts a request as not run although it may
 * have run, or as answered although the response is not for this request or
 * does not come from an endpoint. */
static void test_classification(void)
{
	static const unsigned not_run_statuses[] = {408, 421, 429, 503};
	static const unsigned unknown_statuses[] = {0, 502, 504};

	CU_ASSERT_EQUAL(classify_response(200, "r-1", "s"), CALLS_COMPLETED);
	CU_ASSERT_EQUAL(classify_response(200, "r-1", ""),
			CALLS_PROTOCOL_ERROR);
	CU_ASSERT_EQUAL(classify_response(200, "r-2", "s"),
			CALLS_PROTOCOL_ERROR);
	for (size_t i = 0;
	     i < sizeof(not_run_statuses) / sizeof(*not_run_statuses); i++)
		CU_ASSERT_EQUAL(
			classify_response(not_run_statuses[i], "r-1", ""),
			CALLS_NOT_RUN);
	for (size_t i = 0;
	     i < sizeof(unknown_statuses) / sizeof(*unknown_statuses); i++)
		CU_ASSERT_EQUAL(classify_response(unknown_statuses[i], "", ""),
				CALLS_UNKNOWN);
	CU_ASSERT_EQUAL(classify_response(500, "r-1", "s"), CALLS_FAILED);
	CU_ASSERT_EQUAL(classify_response(503, "r-1", "s"), CALLS_FAILED);
	CU_ASSERT_EQUAL(classify_response(404, "r-1", ""), CALLS_FAILED);
	CU_ASSERT_EQUAL(classify_response(401, "r-1", ""), CALLS_FAILED);
}

int main(void)
{
	CU_TestInfo tests[] = {{"fields", test_fields},
			       {"classification", test_classification},
			       CU_TEST_INFO_NULL};

	return unit_run("calls", tests);
}
