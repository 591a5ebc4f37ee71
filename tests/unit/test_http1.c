#include "unit.h"

#include <stdio.h>

#include "transport/http1.h"

#define HEAD_BYTES 512

static buf_t body;

static void on_body(http1_t *http, str_t data)
{
	(void)http;
	buf_append_str(&body, data);
}

static const http1_ops_t ops = {on_body};

/* Feeds the text byte by byte; returns the first result other than
 * HTTP1_MORE. */
static http1_result_t feed_bytewise(http1_t *http, str_t text, size_t *used)
{
	http1_result_t result = HTTP1_MORE;

	buf_reset(&body);
	for (*used = 0; *used < text.len && result == HTTP1_MORE;) {
		size_t consumed;

		result = http1_feed(http, (str_t){text.ptr + *used, 1},
				    &consumed);
		*used += consumed ? consumed : 1;
	}
	return result;
}

/* Guards against counting bytes of the next request as part of this one. */
static void test_two_requests(void)
{
	static const char text[] =
		"POST /a/b?c=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n"
		"xyzGET / HTTP/1.1\r\n\r\n";
	http1_t http;
	size_t consumed;

	buf_reset(&body);
	http1_init(&http, &ops, HTTP_REQUEST, HEAD_BYTES);
	CU_ASSERT_EQUAL(http1_feed(&http, str_from(text), &consumed),
			HTTP1_MESSAGE);
	CU_ASSERT_TRUE(str_equals(buf_view(&body), STR_LIT("xyz")));
	CU_ASSERT_TRUE(
		str_equals(http1_target(&http.head), STR_LIT("/a/b?c=1")));
	CU_ASSERT_TRUE(str_equals(http1_find(&http.head, STR_LIT("hOST")),
				  STR_LIT("h")));
	http1_next(&http);
	CU_ASSERT_EQUAL(http1_feed(&http, str_from(text + consumed), &consumed),
			HTTP1_MESSAGE);
	CU_ASSERT_EQUAL(http.head.method, HTTP_GET);
	http1_release(&http);
}

/* Guards against losing parts of a field that is split over several reads. */
static void test_bytewise_chunks(void)
{
	str_t text = STR_LIT("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
			     "X-Name: some value\r\n\r\n3\r\nabc\r\n2\r\nde\r\n"
			     "0\r\nTrailer: no\r\n\r\n");
	http1_t http;
	size_t used;

	http1_init(&http, &ops, HTTP_RESPONSE, HEAD_BYTES);
	CU_ASSERT_EQUAL(feed_bytewise(&http, text, &used), HTTP1_MESSAGE);
	CU_ASSERT_EQUAL(used, text.len);
	CU_ASSERT_TRUE(str_equals(buf_view(&body), STR_LIT("abcde")));
	CU_ASSERT_TRUE(str_equals(http1_find(&http.head, STR_LIT("X-Name")),
				  STR_LIT("some value")));
	CU_ASSERT_PTR_NULL(http1_find(&http.head, STR_LIT("Trailer")).ptr);
	http1_release(&http);
}

/* Guards against refusing a request that offers another protocol, and against
 * taking its body for the next request: HTTP/1.1 lets the offer be ignored. */
static void test_upgrade_with_body(void)
{
	str_t text = STR_LIT("POST /a HTTP/1.1\r\nHost: h\r\nUpgrade: h2c\r\n"
			     "Connection: Upgrade, HTTP2-Settings\r\n"
			     "Content-Length: 5\r\n\r\nabcde");
	http1_t http;
	size_t used;

	http1_init(&http, &ops, HTTP_REQUEST, HEAD_BYTES);
	CU_ASSERT_EQUAL(feed_bytewise(&http, text, &used), HTTP1_MESSAGE);
	CU_ASSERT_EQUAL(used, text.len);
	CU_ASSERT_TRUE(str_equals(buf_view(&body), STR_LIT("abcde")));
	http1_next(&http);
	CU_ASSERT_EQUAL(feed_bytewise(&http, text, &used), HTTP1_MESSAGE);
	CU_ASSERT_TRUE(str_equals(buf_view(&body), STR_LIT("abcde")));
	http1_release(&http);
}

/* Guards against waiting for the body that a response to HEAD only states. */
static void test_response_to_head(void)
{
	static const char *const heads[] = {
		"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Name: v\r\n\r\n"};
	http1_t http;
	size_t used;

	http1_init(&http, &ops, HTTP_RESPONSE, HEAD_BYTES);
	http.no_body = true;
	for (size_t i = 0; i < sizeof(heads) / sizeof(heads[0]); i++) {
		CU_ASSERT_EQUAL(feed_bytewise(&http, str_from(heads[i]), &used),
				HTTP1_MESSAGE);
		CU_ASSERT_EQUAL(used, strlen(heads[i]));
		http1_next(&http);
	}
	http1_release(&http);
}

typedef struct bad_case {
	const char *name;
	const char *text;
	http1_result_t result;
} bad_case_t;

/* Guards against request smuggling, which ambiguous or malformed framing makes
 * possible. */
static void test_ambiguous_framing(void)
{
	static const bad_case_t cases[] = {
		{"two framings",
		 "POST / HTTP/1.1\r\nContent-Length: 3\r\n"
		 "Transfer-Encoding: chunked\r\n\r\n",
		 HTTP1_MALFORMED},
		{"two lengths",
		 "POST / HTTP/1.1\r\nContent-Length: 3\r\n"
		 "Content-Length: 4\r\n\r\n",
		 HTTP1_MALFORMED},
		{"negative length",
		 "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
		 HTTP1_MALFORMED},
		{"blank before the colon", "GET / HTTP/1.1\r\nHost : x\r\n\r\n",
		 HTTP1_MALFORMED},
		/* Found by tests/fuzz (platform-reply, seed 2). */
		{"name like a framing",
		 "POST / HTTP/1.1\r\nTransfer-Encodings: x\r\n\r\n",
		 HTTP1_MALFORMED},
		{"no HTTP", "\x16\x03\x01\x02", HTTP1_MALFORMED},
		{"bad chunk size",
		 "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
		 HTTP1_MALFORMED}};
	http1_t http;
	size_t used;

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		http1_init(&http, &ops, HTTP_REQUEST, HEAD_BYTES);
		if (feed_bytewise(&http, str_from(cases[i].text), &used) !=
		    cases[i].result) {
			printf("case %s ", cases[i].name);
			CU_FAIL("wrong result");
		}
		http1_release(&http);
	}
}

/* Guards against heads of unbounded size. */
static void test_long_head(void)
{
	buf_t text = BUF_INIT;
	http1_t http;
	size_t consumed;

	buf_append_str(&text, STR_LIT("GET / HTTP/1.1\r\nX: "));
	for (int i = 0; i < HEAD_BYTES; i++)
		buf_append_str(&text, STR_LIT("y"));
	http1_init(&http, &ops, HTTP_REQUEST, HEAD_BYTES);
	CU_ASSERT_EQUAL(http1_feed(&http, buf_view(&text), &consumed),
			HTTP1_HEAD_TOO_LARGE);
	http1_release(&http);
	buf_release(&text);
}

/* Feeds a request with `count` fields without a value, of 4 bytes each. */
static http1_result_t feed_fields(http1_t *http, unsigned count)
{
	buf_t text = BUF_INIT;
	http1_result_t result;
	size_t consumed;

	buf_append_str(&text, STR_LIT("GET / HTTP/1.1\r\n"));
	for (unsigned i = 0; i < count; i++)
		buf_append_str(&text, STR_LIT("X:\r\n"));
	buf_append_str(&text, STR_LIT("Y: last\r\n\r\n"));
	result = http1_feed(http, buf_view(&text), &consumed);
	buf_release(&text);
	return result;
}

/* Guards against refusing a head that is within its limit for the number of its
 * fields, and against fields that take memory beyond the limit. */
static void test_many_fields(void)
{
	http1_t http;

	http1_init(&http, &ops, HTTP_REQUEST, HEAD_BYTES);
	CU_ASSERT_EQUAL(feed_fields(&http, 120), HTTP1_MESSAGE);
	CU_ASSERT_EQUAL(http.head.field_count, 121);
	CU_ASSERT_TRUE(str_equals(http1_find(&http.head, STR_LIT("Y")),
				  STR_LIT("last")));
	CU_ASSERT_EQUAL(http1_field_value(&http.head, 0).len, 0);
	http1_next(&http);
	CU_ASSERT_EQUAL(feed_fields(&http, 3), HTTP1_MESSAGE);
	CU_ASSERT_EQUAL(http.head.field_count, 4);
	http1_next(&http);
	CU_ASSERT_EQUAL(feed_fields(&http, HEAD_BYTES / 4 + 1),
			HTTP1_HEAD_TOO_LARGE);
	http1_release(&http);
}

/* Guards against reporting a truncated response as complete. */
static void test_connection_closed(void)
{
	http1_t http;
	size_t consumed;

	http1_init(&http, &ops, HTTP_RESPONSE, HEAD_BYTES);
	CU_ASSERT_EQUAL(http1_finish(&http), HTTP1_MORE);
	http1_feed(&http, STR_LIT("HTTP/1.1 200 OK\r\n\r\nabc"), &consumed);
	CU_ASSERT_EQUAL(http1_finish(&http), HTTP1_MESSAGE);
	http1_next(&http);
	/* An empty read does not end the message; found by tests/fuzz
	 * (http-request). */
	http1_feed(&http, STR_LIT("HTTP/1.1 200 OK\r\n"), &consumed);
	CU_ASSERT_EQUAL(http1_feed(&http, STR_LIT(""), &consumed), HTTP1_MORE);
	CU_ASSERT_EQUAL(consumed, 0);
	http1_feed(&http, STR_LIT("Content-Length: 9\r\n\r\nabc"), &consumed);
	CU_ASSERT_EQUAL(http1_finish(&http), HTTP1_MALFORMED);
	http1_release(&http);
}

/* A response whose connection ends after `len` bytes.
 *
 * RETURN VALUE: whether it counts as complete. */
static bool is_complete_after(str_t text, size_t len)
{
	http1_t http;
	size_t consumed;
	bool complete;

	http1_init(&http, &ops, HTTP_RESPONSE, HEAD_BYTES);
	complete = http1_feed(&http, (str_t){text.ptr, len}, &consumed) ==
			   HTTP1_MESSAGE ||
		   http1_finish(&http) == HTTP1_MESSAGE;
	http1_release(&http);
	return complete;
}

/* Guards against a response that is cut within its head, or before the end that
 * its framing states, and passed on as a complete one with a short body. */
static void test_cut_anywhere(void)
{
	static const struct {
		str_t text;
		size_t complete_from; /* fewest bytes of a complete response */
	} cases[] = {
		{STR_LIT("HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 12\r\n"
			 "\r\nhello, world"),
		 57},
		{STR_LIT("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nA: b\r\n\r\n"),
		 44},
		{STR_LIT("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
			 "\r\n5\r\nhello\r\n0\r\nT: u\r\n\r\n"),
		 68},
		{STR_LIT("HTTP/1.1 204 No Content\r\nA: b\r\n\r\n"), 33},
		{STR_LIT("HTTP/1.0 200 OK\r\nConnection: close\r\n\r\nbody"),
		 38},
		{STR_LIT("HTTP/1.1 200 OK\nA: b\n\nbody"), 22},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		for (size_t len = 0; len <= cases[i].text.len; len++)
			CU_ASSERT_EQUAL(is_complete_after(cases[i].text, len),
					len >= cases[i].complete_from);
	buf_release(&body);
}

static bool accepts_status(const char *status, bool bytewise)
{
	http1_result_t result;
	buf_t text = BUF_INIT;
	http1_t http;
	size_t used;

	buf_printf(&text, "HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n", status);
	http1_init(&http, &ops, HTTP_RESPONSE, HEAD_BYTES);
	/* The status is counted anew in each message. */
	CU_ASSERT_EQUAL(
		http1_feed(&http, STR_LIT("HTTP/1.1 204 X\r\n\r\n"), &used),
		HTTP1_MESSAGE);
	http1_next(&http);
	result = bytewise ? feed_bytewise(&http, buf_view(&text), &used) :
			    http1_feed(&http, buf_view(&text), &used);
	http1_release(&http);
	buf_release(&text);
	return result == HTTP1_MESSAGE;
}

/* Guards against a status that is none: 000 was taken for an interim response,
 * after which the caller waited for another one, and 0200 for 200. */
static void test_statuses(void)
{
	static const char *const valid[] = {"100 X", "103 X", "200 X",	 "200",
					    "200 ",  "599 X", "999 9999"};
	static const char *const invalid[] = {
		"000 X", "00 X",   "0 X",    "099 X",	"20 X",
		"2 X",	 "0200 X", "0200",   "00200 X", "101 X",
		"X",	 "1000 X", "2000 X", "-20 X",	"2x0 X"};

	for (int bytewise = 0; bytewise < 2; bytewise++) {
		for (size_t i = 0; i < sizeof(valid) / sizeof(*valid); i++)
			CU_ASSERT_TRUE(accepts_status(valid[i], bytewise));
		for (size_t i = 0; i < sizeof(invalid) / sizeof(*invalid); i++)
			CU_ASSERT_FALSE(accepts_status(invalid[i], bytewise));
	}
}

/* Guards against forwarding hop-by-hop headers. */
static void test_hop_fields(void)
{
	str_t text = STR_LIT("GET / HTTP/1.1\r\nConnection: close ,, x-mine\r\n"
			     "X-Mine: 1\r\nX-Other: 2\r\nTE: trailers\r\n\r\n");
	http1_t http;
	size_t consumed;

	http1_init(&http, &ops, HTTP_REQUEST, HEAD_BYTES);
	CU_ASSERT_EQUAL(http1_feed(&http, text, &consumed), HTTP1_MESSAGE);
	CU_ASSERT_TRUE(http1_is_hop_by_hop_field(&http.head, 0));
	CU_ASSERT_TRUE(http1_is_hop_by_hop_field(&http.head, 1));
	CU_ASSERT_FALSE(http1_is_hop_by_hop_field(&http.head, 2));
	CU_ASSERT_TRUE(http1_is_hop_by_hop_field(&http.head, 3));
	http1_release(&http);
	buf_release(&body);
}

int main(void)
{
	CU_TestInfo tests[] = {{"two requests", test_two_requests},
			       {"bytewise chunks", test_bytewise_chunks},
			       {"ambiguous framing", test_ambiguous_framing},
			       {"long head", test_long_head},
			       {"connection closed", test_connection_closed},
			       {"cut anywhere", test_cut_anywhere},
			       {"many fields", test_many_fields},
			       {"upgrade with body", test_upgrade_with_body},
			       {"response to head", test_response_to_head},
			       {"statuses", test_statuses},
			       {"hop fields", test_hop_fields},
			       CU_TEST_INFO_NULL};

	return unit_run("http1", tests);
}
