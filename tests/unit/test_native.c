#include "unit.h"

#include <stdlib.h>

#include "protocol/chat.h"
#include "protocol/native.h"

#define HEAD_BYTES 16384

static http1_t http;

static void on_body(http1_t *message, str_t data)
{
	(void)message;
	(void)data;
}

static const http1_ops_t http_ops = {on_body};

static const http1_head_t *read_head(enum http_parser_type type,
				     const char *text)
{
	size_t consumed;

	http1_release(&http);
	http1_init(&http, &http_ops, type, HEAD_BYTES);
	http1_feed(&http, str_from(text), &consumed);
	return &http.head;
}

static const dialect_ops_t *ops(void)
{
	return native_dialect()->ops;
}

static void read_call(const char *head, const char *body, call_t *call)
{
	memset(call, 0, sizeof(*call));
	ops()->read_call(native_dialect(), read_head(HTTP_REQUEST, head),
			 str_from(body), call);
}

#define CHAT_HEAD                                                     \
	"POST /v1/chat/completions?x=1 HTTP/1.1\r\nHost: h\r\n"       \
	"Authorization: Bearer password\r\nX-Peridot-Class: chat\r\n" \
	"X-Peridot-Priority: 0\r\nX-Other: kept\r\n"                  \
	"X-Peridot-Request: r-1\r\n\r\n"
#define CHAT_BODY                                            \
	"{\"model\":\"bear\",\"stream\":true,\"messages\":[" \
	"{\"role\":\"system\",\"content\":\"compare\"},"     \
	"{\"role\":\"user\",\"content\":[{\"text\":\"a brown bear\"}]}]}"

/* SHA-256 of "password". */
#define KEY_HEX \
	"5e884898da28047151d0e56f8dc6292773603d0d6aabbdd62a11ef721d1542d8"

/* Guards against looking a call up under a class, model or key other than the
 * one that its caller states. */
static void test_chat_call(void)
{
	call_t call;

	read_call(CHAT_HEAD, CHAT_BODY, &call);
	CU_ASSERT_PTR_NULL(call.fault);
	CU_ASSERT_TRUE(str_equals(call.host, STR_LIT("chat")));
	CU_ASSERT_TRUE(str_equals(call.path, STR_LIT(NATIVE_CHAT_PATH "/")));
	CU_ASSERT_TRUE(str_equals(call.service, STR_LIT("model/bear")));
	CU_ASSERT_TRUE(str_equals(call.key, STR_LIT(KEY_HEX)));
	CU_ASSERT_TRUE(str_equals(call.id, STR_LIT("r-1")));
	CU_ASSERT_EQUAL(call.parts.count, 2);
	CU_ASSERT_FALSE(call.not_streamed);
	CU_ASSERT_EQUAL(call.timeout_ms, -1);
}

/* Guards against a call of a plain service that matches no route, because its
 * path doesn't get the final slash that routes end with. */
static void test_service_call(void)
{
	call_t call;

	read_call("POST /v1/services/claims/book HTTP/1.1\r\n\r\n", "x", &call);
	CU_ASSERT_PTR_NULL(call.fault);
	CU_ASSERT_TRUE(
		str_equals(call.path, STR_LIT("/v1/services/claims/book/")));
	CU_ASSERT_PTR_NULL(call.service.ptr);
	CU_ASSERT_PTR_NULL(call.key.ptr);
}

/* Guards against sending invalid calls to an endpoint, and against a crash of
 * the host. */
static void test_faults(void)
{
	static const struct {
		const char *head, *body;
		unsigned status;
		const char *fault;
	} cases[] = {
		{"GET /v1/chat/completions HTTP/1.1\r\n\r\n", "", 405, "POST"},
		{"POST /v2 HTTP/1.1\r\n\r\n", "", 404, "unknown path"},
		{"POST /v1/chat/completions HTTP/1.1\r\n\r\n", CHAT_BODY, 400,
		 "X-Peridot-Class"},
		{CHAT_HEAD, "", 400, "malformed JSON"},
		{CHAT_HEAD, "[]", 400, "not a JSON object"},
		{CHAT_HEAD, "{\"model\":\"m\",\"model\":\"n\"}", 400,
		 "duplicate"},
		{CHAT_HEAD, "{\"messages\":[]}", 400, "model is missing"},
		{CHAT_HEAD, "{\"model\":\"a\\u0000b\"}", 400, "model must be"},
		{CHAT_HEAD, "{\"model\":\"m\",\"stream\":1}", 400,
		 "stream must be"},
		{CHAT_HEAD, "{\"model\":\"m\",\"max_tokens\":1.5}", 400,
		 "max_tokens must be"},
		{CHAT_HEAD, "{\"model\":\"m\",\"messages\":[1]}", 400,
		 "each message"},
		{CHAT_HEAD,
		 "{\"model\":\"m\",\"messages\":[{\"role\":\"u\","
		 "\"content\":[7]}]}",
		 400, "malformed"},
	};
	call_t call;
	buf_t deep = BUF_INIT;

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		read_call(cases[i].head, cases[i].body, &call);
		CU_ASSERT_EQUAL(call.fault_status, cases[i].status);
		CU_ASSERT_PTR_NOT_NULL_FATAL(call.fault);
		CU_ASSERT(call.fault && strstr(call.fault, cases[i].fault));
	}
	buf_printf(&deep, "{\"a\":");
	for (int i = 0; i < 100000; i++)
		buf_append(&deep, "[", 1);
	buf_append(&deep, "", 1);
	read_call(CHAT_HEAD, deep.ptr, &call);
	CU_ASSERT_PTR_NOT_NULL(strstr(call.fault, "nested deeper"));
	buf_release(&deep);
}

/* Guards against forwarding the caller's key, against a caller that sets the
 * router's own headers, and against parameters that are not sent to the
 * endpoint. */
static void test_write_call(void)
{
	send_params_t params = {.endpoint_id = STR_LIT("engine-1"),
				.customer = STR_LIT("desk"),
				.left_ms = 900,
				.priority = 2,
				.resume_after = STR_LIT("7"),
				.body_len = 5,
				.max_output_tokens = 40,
				.boot_id = STR_LIT("b1")};
	buf_t out = BUF_INIT;
	call_t call;

	read_call(CHAT_HEAD, CHAT_BODY, &call);
	ops()->write_call(native_dialect(), &http.head, &call, &params, &out);
	buf_append(&out, "", 1);
	CU_ASSERT_STRING_EQUAL(
		out.ptr,
		"POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n"
		"X-Other: kept\r\nX-Peridot-Request: r-1\r\n"
		"X-Peridot-Endpoint: engine-1\r\nX-Peridot-Boot: b1\r\n"
		"X-Peridot-Customer: desk\r\nLast-Event-ID: 7\r\n"
		"X-Peridot-Priority: 2\r\nX-Peridot-Timeout-Ms: 900\r\n"
		"X-Peridot-Max-Tokens: 40\r\nContent-Length: 5\r\n\r\n");
	buf_reset(&out);
	read_call("POST /v1/services/claims/book HTTP/1.1\r\n\r\n", "x", &call);
	ops()->write_call(native_dialect(), &http.head, &call, &params, &out);
	CU_ASSERT_TRUE(str_starts_with(buf_view(&out),
				       STR_LIT("POST /book HTTP/1.1\r\n")));
	buf_release(&out);
}

/* Guards against misreading the headers of an endpoint's response, and against
 * values for headers that it doesn't have. */
static void test_read_reply(void)
{
	reply_t reply;

	ops()->read_reply(
		native_dialect(),
		read_head(HTTP_RESPONSE,
			  "HTTP/1.1 503 Busy\r\nX-Peridot-Request: r-1\r\n"
			  "X-Peridot-Not-Run: 1\r\nX-Peridot-Boot: b2\r\n"
			  "X-Peridot-Cold-Ms: 700\r\nContent-Length: 0\r\n"
			  "Content-Type: text/event-stream; charset=utf-8"
			  "\r\n\r\n"),
		&reply);
	CU_ASSERT_TRUE(reply.not_run);
	CU_ASSERT_FALSE(reply.misdirected);
	CU_ASSERT_TRUE(reply.is_events);
	CU_ASSERT_EQUAL(reply.cold_ms, 700);
	CU_ASSERT_TRUE(str_equals(reply.boot_id, STR_LIT("b2")));
	CU_ASSERT_TRUE(str_equals(reply.id, STR_LIT("r-1")));
	ops()->read_reply(native_dialect(),
			  read_head(HTTP_RESPONSE,
				    "HTTP/1.1 421 No\r\nContent-Length: 0"
				    "\r\n\r\n"),
			  &reply);
	CU_ASSERT_TRUE(reply.misdirected);
	CU_ASSERT_EQUAL(reply.cold_ms, -1);
	CU_ASSERT_PTR_NULL(reply.id.ptr);
}

/* Guards against a refusal without Retry-After, and against a reason that
 * breaks the JSON of the response. */
static void test_own_replies(void)
{
	own_reply_t reply = {.status = 503,
			     .outcome = OUTCOME_NOT_RUN,
			     .step = "place",
			     .peer = "e",
			     .reason = "a \"quote\"",
			     .retry_after_ms = 1200,
			     .close = true};
	buf_t out = BUF_INIT;

	ops()->write_own_reply(native_dialect(), NULL, &reply, &out);
	buf_append(&out, "", 1);
	CU_ASSERT_PTR_NOT_NULL(strstr(out.ptr, "\r\nRetry-After: 2\r\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(out.ptr, "\r\nConnection: close\r\n"));
	CU_ASSERT_PTR_NOT_NULL(
		strstr(out.ptr, "\r\n\r\n{\"error\":{\"outcome\":\"not-run\","
				"\"step\":\"place\",\"peer\":\"e\",\"message\":"
				"\"a \\\"quote\\\"\",\"retry_after_s\":2}}\n"));
	buf_reset(&out);
	reply.retry_after_ms = -1;
	ops()->write_own_reply(native_dialect(), NULL, &reply, &out);
	buf_append(&out, "", 1);
	CU_ASSERT_PTR_NOT_NULL(strstr(out.ptr, "\r\nRetry-After: 1\r\n"));
	buf_reset(&out);
	ops()->write_stream_error(native_dialect(), &reply, &out);
	CU_ASSERT_TRUE(str_starts_with(buf_view(&out),
				       STR_LIT("event: error\ndata: {")));
	buf_release(&out);
}

/* The endpoint's own headers are not forwarded to the caller; the request's id
 * and outcome are added. */
static void test_write_reply(void)
{
	reply_params_t params = {.framing = REPLY_LENGTH,
				 .body_len = 2,
				 .outcome = OUTCOME_COMPLETED,
				 .id = STR_LIT("r-9")};
	buf_t out = BUF_INIT;

	ops()->write_reply(native_dialect(),
			   read_head(HTTP_RESPONSE,
				     "HTTP/1.1 200 OK\r\nX-A: 1\r\n"
				     "X-Peridot-Boot: b\r\n"
				     "Transfer-Encoding: chunked\r\n\r\n"),
			   &params, &out);
	buf_append(&out, "", 1);
	CU_ASSERT_STRING_EQUAL(out.ptr, "HTTP/1.1 200 OK\r\nX-A: 1\r\n"
					"X-Peridot-Request: r-9\r\n"
					"X-Peridot-Outcome: completed\r\n"
					"Content-Length: 2\r\n\r\n");
	buf_release(&out);
}

int main(void)
{
	CU_TestInfo tests[] = {{"chat call", test_chat_call},
			       {"service call", test_service_call},
			       {"faults", test_faults},
			       {"write call", test_write_call},
			       {"read reply", test_read_reply},
			       {"own replies", test_own_replies},
			       {"write reply", test_write_reply},
			       CU_TEST_INFO_NULL};
	int result = unit_run("native", tests);

	http1_release(&http);
	return result;
}
