#include "unit.h"

#include "platform/headers.h"

static void on_body(http1_t *http, str_t data)
{
	(void)http;
	(void)data;
}

static const http1_ops_t ops = {on_body};

static void read_head(http1_t *http, enum http_parser_type type,
		      const char *text)
{
	size_t consumed;

	http1_init(http, &ops, type, 4096);
	CU_ASSERT_EQUAL(http1_feed(http, str_from(text), &consumed),
			HTTP1_MESSAGE);
}

static const char request_text[] =
	"POST /p/q?x=1 HTTP/1.1\r\nHost: h.example:80\r\n"
	"X-Peridotpin-Attempt-Id: abc\r\nX-Peridotpin-Deadline-Ms: 1500\r\n"
	"X-Peridotpin-Token-Counts: 1460,80\r\n"
	"X-Peridotpin-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\n"
	"Authorization: bearer key1\r\nX-Peridotpin-Tenant: forged\r\n"
	"X-Peridotpin-Hold: 1\r\nKv-From: 1.2.3.4:5/x\r\n"
	"Kv-Fetch: 1.2.3.4:5\r\n"
	"X-Peridotpin-Expect-Instance: other\r\nX-Kept: yes\r\n"
	"Connection: close, X-Gone\r\nX-Gone: 1\r\nContent-Length: 0\r\n\r\n";

/* Guards against misreading the headers of a caller's request, such as its
 * deadline or its prompt parts. */
static void test_call(void)
{
	const dialect_t *dialect = headers_dialect();
	http1_t http;
	call_t call;

	read_head(&http, HTTP_REQUEST, request_text);
	dialect->ops->read_call(dialect, &http.head, STR_LIT(""), &call);
	CU_ASSERT_TRUE(str_equals(call.id, STR_LIT("abc")));
	CU_ASSERT_TRUE(str_equals(call.key, STR_LIT("key1")));
	CU_ASSERT_TRUE(str_equals(call.host, STR_LIT("h.example")));
	CU_ASSERT_TRUE(str_equals(call.path, STR_LIT("/p/q")));
	CU_ASSERT_EQUAL(call.timeout_ms, 1500);
	CU_ASSERT_EQUAL(call.prompt_tokens, 1460);
	CU_ASSERT_EQUAL(call.output_tokens, 80);
	CU_ASSERT_EQUAL(call.parts.count, 3);
	CU_ASSERT_EQUAL(call.parts.tokens[1], 410);
	http1_release(&http);
}

/* Guards against dropping all parts of a prompt from the first long id on: they
 * would neither be found in caches nor blocked. Case and leading zeros make no
 * other id. */
static void test_long_part_ids(void)
{
	static const char text[] =
		"POST /p HTTP/1.1\r\nHost: h.example\r\n"
		"X-Peridotpin-Prompt-Prefix: fedcba9876543210:8,"
		"0123456789abcdef0123456789ABCDEF:9,5c1e:4,"
		"0123456789ABCDEF0123456789abcdef:9,0005C1E:4,e4:2\r\n\r\n";
	const dialect_t *dialect = headers_dialect();
	http1_t http;
	call_t call;

	read_head(&http, HTTP_REQUEST, text);
	dialect->ops->read_call(dialect, &http.head, STR_LIT(""), &call);
	CU_ASSERT_EQUAL(call.parts.id_count, 6);
	CU_ASSERT_EQUAL(call.parts.ids[0], 0xfedcba9876543210);
	CU_ASSERT_EQUAL(call.parts.ids[1], call.parts.ids[3]);
	CU_ASSERT_NOT_EQUAL(call.parts.ids[1], 0x0123456789abcdef);
	CU_ASSERT_EQUAL(call.parts.ids[2], 0x5c1e);
	CU_ASSERT_EQUAL(call.parts.ids[4], 0x5c1e);
	http1_release(&http);
}

/* Guards against forwarding the caller's key or the caller's copies of the
 * router's own headers, and against changes to other end-to-end headers
 * (UNASKED). */
static void test_send(void)
{
	static const char expected[] =
		"POST /p/q?x=1 HTTP/1.1\r\nHost: h.example:80\r\n"
		"X-Peridotpin-Attempt-Id: abc\r\n"
		"X-Peridotpin-Token-Counts: 1460,80\r\n"
		"X-Peridotpin-Prompt-Prefix: "
		"5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\n"
		"X-Kept: yes\r\nX-Peridotpin-Deadline-Ms: 1200\r\n"
		"X-Peridotpin-Expect-Instance: i-1\r\n"
		"X-Peridotpin-Tenant: t1\r\n"
		"X-Peridotpin-Request-Priority: 9\r\n"
		"Kv-Fetch: 10.0.0.9:80\r\nLast-Event-Id: 4\r\n"
		"Content-Length: 0\r\n\r\n";
	const dialect_t *dialect = headers_dialect();
	send_params_t params = {.endpoint_id = STR_LIT("i-1"),
				.customer = STR_LIT("t1"),
				.left_ms = 1200,
				.priority = 12,
				.prefix_source = STR_LIT("10.0.0.9:80"),
				.resume_after = STR_LIT("4")};
	buf_t out = BUF_INIT;
	http1_t http;
	call_t call;

	read_head(&http, HTTP_REQUEST, request_text);
	dialect->ops->read_call(dialect, &http.head, STR_LIT(""), &call);
	dialect->ops->write_call(dialect, &http.head, &call, &params, &out);
	CU_ASSERT_TRUE(str_equals(buf_view(&out), str_from(expected)));
	buf_release(&out);
	http1_release(&http);
}

/* Guards against misreading the headers of an endpoint's response, such as the
 * one that says that the request was not run. */
static void test_reply(void)
{
	const dialect_t *dialect = headers_dialect();
	http1_t http;
	reply_t reply;

	read_head(&http, HTTP_RESPONSE,
		  "HTTP/1.1 503 Service Unavailable\r\n"
		  "X-Peridotpin-Attempt-Id: abc\r\n"
		  "X-Peridotpin-Not-Executed: 1\r\n"
		  "X-Peridotpin-Cold-Ms: 700\r\n"
		  "Keep-Alive: max=5, timeout=4\r\nContent-Length: 0\r\n\r\n");
	dialect->ops->read_reply(dialect, &http.head, &reply);
	CU_ASSERT_TRUE(reply.not_run);
	CU_ASSERT_FALSE(reply.stamped);
	CU_ASSERT_FALSE(reply.misdirected);
	CU_ASSERT_EQUAL(reply.cold_ms, 700);
	CU_ASSERT_EQUAL(reply.keep_alive_ms, 4000);
	http1_release(&http);
}

static reply_t read_reply(const char *status, const char *fields)
{
	const dialect_t *dialect = headers_dialect();
	buf_t text = BUF_INIT;
	reply_t reply;
	http1_t http;

	buf_printf(&text, "HTTP/1.1 %s X\r\n%sContent-Length: 0\r\n\r\n%c",
		   status, fields, '\0');
	read_head(&http, HTTP_RESPONSE, text.ptr);
	dialect->ops->read_reply(dialect, &http.head, &reply);
	http1_release(&http);
	buf_release(&text);
	return reply;
}

/* Guards against a Retry-After value that is ignored or that pauses the
 * endpoint without an end. */
static void test_pause(void)
{
	static const struct {
		const char *value;
		int64_t ms;
	} rows[] = {{"3", 3000},
		    {"0.7", 700},
		    {"2.0509", 2050},
		    {"1.", 1000},
		    {"0", 0},
		    {"-3", -1},
		    {"", -1},
		    {"soon", -1},
		    {"3x", -1},
		    {"Fri, 04 Dec 2026 11:00:00 GMT", -1},
		    {"99999999999999999999999", 2147482000},
		    {"3000000", 2147482000}};

	for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		buf_t field = BUF_INIT;
		reply_t reply;

		buf_printf(&field, "Retry-After: %s\r\n%c", rows[i].value,
			   '\0');
		reply = read_reply("503", field.ptr);
		CU_ASSERT_TRUE(reply.wants_pause);
		CU_ASSERT_EQUAL(reply.pause_ms, rows[i].ms);
		buf_release(&field);
	}
	CU_ASSERT_FALSE(read_reply("503", "").wants_pause);
	/* In other responses Retry-After tells the caller when to retry; it
	 * does not pause the endpoint. */
	CU_ASSERT_FALSE(read_reply("429", "Retry-After: 3\r\n").wants_pause);
}

/* Guards against noticing the Server-Leaving header in responses of some
 * statuses only. */
static void test_leaving_header(void)
{
	static const char *const statuses[] = {"200", "204", "404", "429",
					       "500", "503", "504"};

	for (size_t i = 0; i < sizeof(statuses) / sizeof(statuses[0]); i++)
		CU_ASSERT_TRUE(read_reply(statuses[i], "server-leaving: 1\r\n")
				       .leaving);
	CU_ASSERT_FALSE(read_reply("200", "").leaving);
}

/* Guards against a Retry-After value that a caller can't parse. */
static void test_own_reply(void)
{
	static const char expected[] =
		"HTTP/1.1 503 Service Unavailable\r\n"
		"X-Peridotpin-Attempt-Id: abc\r\nRetry-After: 1.050\r\n"
		"Content-Type: application/json\r\nContent-Length: 16\r\n"
		"Connection: close\r\n\r\n{\"error\":\"full\"}";
	const dialect_t *dialect = headers_dialect();
	own_reply_t reply = {.status = 503,
			     .reason = "full",
			     .retry_after_ms = 1050,
			     .close = true};
	call_t call = {.id = STR_LIT("abc")};
	buf_t out = BUF_INIT;

	dialect->ops->write_own_reply(dialect, &call, &reply, &out);
	CU_ASSERT_TRUE(str_equals(buf_view(&out), str_from(expected)));
	buf_release(&out);
}

/* Guards against misreading the rate that an endpoint accepts (LIMIT): of two
 * values the higher one, or one that is no number as a limit or as its end. */
static void test_limit_header(void)
{
	static const struct {
		const char *field;
		double per_s;
	} rows[] = {{"Server-Limit: 2.5\r\n", 2.5},
		    {"server-limit:  0 \r\n", 0.0},
		    {"Server-Limit: 1000000000\r\n", 1e9},
		    {"Server-Limit: 7.\r\n", 7.0},
		    {"Server-Limit: 5\r\nServer-Limit: 3\r\n", 3.0},
		    {"Server-Limit: 5, x, 0.25\r\n", 0.25},
		    {"Server-Limit: -1\r\n", -1.0},
		    {"Server-Limit: 1e9\r\n", -1.0},
		    {"Server-Limit: nan\r\n", -1.0},
		    {"Server-Limit: .5\r\n", -1.0},
		    {"Server-Limit:\r\n", -1.0}};

	for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		reply_t reply = read_reply("200", rows[i].field);

		CU_ASSERT_TRUE(reply.names_limit);
		CU_ASSERT_DOUBLE_EQUAL(reply.limit_per_s, rows[i].per_s, 1e-9);
	}
	CU_ASSERT_TRUE(read_reply("500", "Server-Limit: 1\r\n").names_limit);
	CU_ASSERT_FALSE(read_reply("200", "").names_limit);
}

int main(void)
{
	CU_TestInfo tests[] = {{"call", test_call},
			       {"long part ids", test_long_part_ids},
			       {"send", test_send},
			       {"reply", test_reply},
			       {"pause", test_pause},
			       {"leaving header", test_leaving_header},
			       {"limit header", test_limit_header},
			       {"own reply", test_own_reply},
			       CU_TEST_INFO_NULL};

	return unit_run("headers", tests);
}
