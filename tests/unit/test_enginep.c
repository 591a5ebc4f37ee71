#include <jansson.h>
#include <stdlib.h>

#include "protocol/enginep.h"
#include "unit.h"

#define FUZZ_SEED 20261204
#define FUZZ_ROUNDS 4000

static const char stream_text[] =
	"\xef\xbb\xbf: comment\r\nid: 7\r\ndata: a\r\ndata:b\r\n\r\n"
	"retry: 5\nevent: error\nid:8\ndata:  x\n\n\n\nid: 9\rdata\r\r"
	"data: [DONE]\n\ndata: unfinished";
static const char stream_events[] = "7||a\nb;8|error| x;9||;-||[DONE]!;";

static const char *const chats[] = {
	"{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]"
	",\"temperature\":0.5,\"x\":{\"y\":[1,null]}}",
	"{\"model\":\"m\",\"stream\":true,\"max_tokens\":50,\"priority\":0,"
	"\"messages\":[{\"role\":\"system\",\"content\":[{\"type\":\"text\","
	"\"text\":\"be \\u00e9\"},{\"type\":\"image_url\"}]},"
	"{\"role\":\"tool\",\"content\":null}]}"};

static const char report_text[] =
	"{\"boot\":\"b-1\",\"state\":\"warm\",\"running\":3,\"waiting\":0,"
	"\"age_ms\":120,\"extra\":[1]}";

static int note_event(void *user, const enginep_event_t *event)
{
	buf_t *log = user;

	if (event->has_id)
		buf_printf(log, "%llu", (unsigned long long)event->id);
	else
		buf_printf(log, "-");
	buf_printf(log, "|%" STR_FMT "|%" STR_FMT "%s;", STR_ARG(event->type),
		   STR_ARG(event->data), event->done ? "!" : "");
	return 0;
}

/* Feeds exact-size copies, so that a sanitizer sees reads beyond the piece. */
static err_code_t feed_pieces(str_t text, unsigned *seed, buf_t *log,
			      bool *done)
{
	enginep_sse_t sse;
	err_code_t code = ERR_OK;

	enginep_sse_init(&sse);
	while (text.len && !code) {
		size_t len = 1 + (size_t)rand_r(seed) % 12;
		char *piece;

		if (len > text.len)
			len = text.len;
		piece = str_dup((str_t){text.ptr, len});
		piece = realloc(piece, len);
		code = enginep_sse_feed(&sse, (str_t){piece, len}, note_event,
					log, NULL);
		free(piece);
		text = (str_t){text.ptr + len, text.len - len};
	}
	*done = enginep_sse_is_done(&sse);
	enginep_sse_release(&sse);
	return code;
}

/* Guards against events that depend on where the network cut the bytes. */
static void test_sse_survives_any_split(void)
{
	unsigned seed = FUZZ_SEED;

	for (int i = 0; i < FUZZ_ROUNDS; i++) {
		buf_t log = BUF_INIT;
		bool done;

		CU_ASSERT_EQUAL(
			feed_pieces(STR_LIT(stream_text), &seed, &log, &done),
			ERR_OK);
		CU_ASSERT_TRUE(
			str_equals(buf_view(&log), STR_LIT(stream_events)));
		CU_ASSERT_TRUE(done);
		buf_release(&log);
	}
}

/* Guards against a stream that grows memory, and against data after [DONE]. */
static void test_sse_refuses(void)
{
	static const char *const refused[] = {"id: x\n", "id:\n", "id: -1\n",
					      "id: 18446744073709551616\n",
					      "data: [DONE]\n\ndata: x\n\n"};
	enginep_sse_t sse;
	buf_t log = BUF_INIT;
	err_code_t code = ERR_OK;

	for (size_t i = 0; i < sizeof(refused) / sizeof(refused[0]); i++) {
		enginep_sse_init(&sse);
		CU_ASSERT_NOT_EQUAL(enginep_sse_feed(&sse, str_from(refused[i]),
						     note_event, &log, NULL),
				    ERR_OK);
		CU_ASSERT_FALSE(enginep_sse_is_done(&sse));
		enginep_sse_release(&sse);
	}
	enginep_sse_init(&sse);
	for (int i = 0; i <= ENGINEP_MAX_EVENT_BYTES / 64 && !code; i++)
		code = enginep_sse_feed(
			&sse,
			STR_LIT("data:01234567890123456789012345678901234567890"
				"12345678901234567890123456789\n"),
			note_event, &log, NULL);
	CU_ASSERT_EQUAL(code, ERR_TOO_LARGE);
	CU_ASSERT_EQUAL(
		enginep_sse_feed(&sse, STR_LIT("\n\n"), note_event, &log, NULL),
		ERR_TOO_LARGE);
	enginep_sse_release(&sse);
	buf_release(&log);
}

/* Guards against a formatted event that our own parser reads differently. */
static void test_sse_format_round_trip(void)
{
	enginep_event_t event = {true, 12, STR_LIT("error"), STR_LIT("a\n\nb"),
				 false};
	buf_t text = BUF_INIT;
	buf_t log = BUF_INIT;
	unsigned seed = FUZZ_SEED;
	bool done;

	enginep_sse_format(&text, &event);
	CU_ASSERT_EQUAL(feed_pieces(buf_view(&text), &seed, &log, &done),
			ERR_OK);
	CU_ASSERT_TRUE(str_equals(buf_view(&log), STR_LIT("12|error|a\n\nb;")));
	buf_release(&text);
	buf_release(&log);
}

/* Guards against a wrong class, affinity or size from a caller's body. */
static void test_chat_reads_fields(void)
{
	enginep_chat_t chat;

	CU_ASSERT_EQUAL(enginep_parse_chat(str_from(chats[0]), &chat, NULL),
			ERR_OK);
	CU_ASSERT_FALSE(chat.stream);
	CU_ASSERT_EQUAL(chat.max_tokens, 0);
	CU_ASSERT_EQUAL(chat.prompt_bytes, 8);
	CU_ASSERT_EQUAL(enginep_parse_chat(str_from(chats[1]), &chat, NULL),
			ERR_OK);
	CU_ASSERT_STRING_EQUAL(chat.model, "m");
	CU_ASSERT_TRUE(chat.stream);
	CU_ASSERT_EQUAL(chat.max_tokens, 50);
	CU_ASSERT_TRUE(str_equals((str_t){chat.prefix, chat.prefix_len},
				  STR_LIT("system\nbe \xc3\xa9\ntool\n\n")));
}

/* Guards against malformed bodies that reach an engine or crash the entry. */
static void test_chat_refuses(void)
{
	static const char *const cases[][2] = {
		{"", "malformed JSON"},
		{"[]", "not a JSON object"},
		{"{\"model\":\"m\"", "malformed JSON"},
		{"{\"model\":\"m\",\"model\":\"n\"}", "duplicate"},
		{"{\"messages\":[]}", "model is missing"},
		{"{\"model\":1}", "model must be"},
		{"{\"model\":\"\"}", "model must be"},
		{"{\"model\":\"a\\u0000b\"}", "model must be"},
		{"{\"model\":\"m\",\"stream\":1}", "stream must be"},
		{"{\"model\":\"m\",\"max_tokens\":0}", "max_tokens must be"},
		{"{\"model\":\"m\",\"max_tokens\":1.5}", "max_tokens must be"},
		{"{\"model\":\"m\",\"messages\":[]}", "messages must be"},
		{"{\"model\":\"m\",\"messages\":[1]}", "each message"},
		{"{\"model\":\"m\",\"messages\":[{\"role\":\"u\","
		 "\"content\":1}]}",
		 "content"},
		{"{\"model\":\"m\",\"messages\":[{\"role\":\"u\","
		 "\"content\":[7]}]}",
		 "malformed"},
	};
	enginep_chat_t chat;
	buf_t deep = BUF_INIT;
	err_t err;

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		CU_ASSERT_EQUAL(
			enginep_parse_chat(str_from(cases[i][0]), &chat, &err),
			ERR_INVALID);
		CU_ASSERT_PTR_NOT_NULL(strstr(err.message, cases[i][1]));
	}
	buf_printf(&deep, "{\"a\":");
	for (int i = 0; i < 100000; i++)
		buf_append(&deep, "[", 1);
	CU_ASSERT_EQUAL(enginep_parse_chat(buf_view(&deep), &chat, &err),
			ERR_INVALID);
	CU_ASSERT_PTR_NOT_NULL(strstr(err.message, "nested deeper"));
	buf_release(&deep);
}

static const enginep_request_t request = {{"r-1", 3}, 2, 40, 900};

/* Guards against lost fields and callers that set their own priority. */
static void test_build_keeps_fields(void)
{
	buf_t out = BUF_INIT;
	json_t *root;
	long long tokens;
	long long priority;
	long long timeout;
	const char *id;

	CU_ASSERT_EQUAL(
		enginep_build_request(str_from(chats[1]), &request, &out, NULL),
		ERR_OK);
	root = json_loadb(out.ptr, out.len, 0, NULL);
	CU_ASSERT_EQUAL(json_unpack(root, "{s:I,s:I,s:I,s:s}", "max_tokens",
				    &tokens, "priority", &priority,
				    "timeout_ms", &timeout, "request_id", &id),
			0);
	CU_ASSERT(tokens == 40 && priority == 2 && timeout == 900);
	CU_ASSERT_STRING_EQUAL(id, "r-1");
	json_decref(root);
	buf_reset(&out);
	CU_ASSERT_EQUAL(
		enginep_build_request(str_from(chats[0]), &request, &out, NULL),
		ERR_OK);
	buf_append(&out, "", 1);
	CU_ASSERT_PTR_NOT_NULL(
		strstr(out.ptr, "\"temperature\":0.5,\"x\":{\"y\":[1,null]}"));
	buf_reset(&out);
	CU_ASSERT_EQUAL(
		enginep_build_request(STR_LIT("{\"max_completion_tokens\":99}"),
				      &request, &out, NULL),
		ERR_OK);
	buf_append(&out, "", 1);
	CU_ASSERT_PTR_NOT_NULL(strstr(out.ptr, "\"max_completion_tokens\":40"));
	buf_release(&out);
}

/* Guards against reports that would open a window wrongly. */
static void test_report_refuses(void)
{
#define REPORT(boot, state, running, age)                             \
	"{\"boot\":" boot ",\"state\":" state ",\"running\":" running \
	",\"waiting\":0,\"age_ms\":" age "}"
	static const char *const refused[] = {
		"",
		"[1]",
		"{}",
		REPORT("\"\"", "\"warm\"", "1", "1"),
		REPORT("7", "\"warm\"", "1", "1"),
		REPORT("\"a b\"", "\"warm\"", "1", "1"),
		REPORT("\"b\"", "\"WARM\"", "1", "1"),
		REPORT("\"b\"", "\"warm\\u0000\"", "1", "1"),
		REPORT("\"b\"", "\"warm\"", "-1", "1"),
		REPORT("\"b\"", "\"warm\"", "1.0", "1"),
		REPORT("\"b\"", "\"warm\"", "1000001", "1"),
		REPORT("\"b\"", "\"warm\"", "1", "86400001"),
		REPORT("\"b\"", "\"warm\"", "1", "1e3"),
		REPORT("\"b\"", "\"warm\"", "1", "99999999999999999999"),
		REPORT("\"b\"", "\"warm\"", "1", "1") "x"};
	enginep_report_t report = {.running = 77};

	for (size_t i = 0; i < sizeof(refused) / sizeof(refused[0]); i++)
		CU_ASSERT_EQUAL(enginep_parse_report(str_from(refused[i]),
						     &report, NULL),
				ERR_INVALID);
	CU_ASSERT_EQUAL(report.running, 77);
	CU_ASSERT_EQUAL(
		enginep_parse_report(STR_LIT(report_text), &report, NULL),
		ERR_OK);
	CU_ASSERT_STRING_EQUAL(report.boot, "b-1");
	CU_ASSERT(report.state == ENGINEP_WARM && report.running == 3 &&
		  report.waiting == 0 && report.age_ms == 120);
}

/* A truncated copy with up to four changed bytes, of its exact size. */
static str_t mutate(str_t text, unsigned *seed)
{
	size_t len = rand_r(seed) % 2 ? text.len :
					(size_t)rand_r(seed) % (text.len + 1);
	char *copy = malloc(len ? len : 1);

	memcpy(copy, text.ptr, len);
	for (int i = rand_r(seed) % 5; i > 0 && len; i--)
		copy[(size_t)rand_r(seed) % len] = (char)rand_r(seed);
	return (str_t){copy, len};
}

/* Guards against memory faults on hostile input, found by the sanitizers. */
static void test_parsers_survive_mutations(void)
{
	unsigned seed = FUZZ_SEED;

	for (int i = 0; i < FUZZ_ROUNDS; i++) {
		str_t chat_text = mutate(str_from(chats[i % 2]), &seed);
		str_t load_text = mutate(STR_LIT(report_text), &seed);
		str_t sse_text = mutate(STR_LIT(stream_text), &seed);
		enginep_chat_t chat;
		enginep_report_t report;
		buf_t out = BUF_INIT;
		bool done;

		if (!enginep_parse_chat(chat_text, &chat, NULL))
			CU_ASSERT_EQUAL(enginep_build_request(chat_text,
							      &request, &out,
							      NULL),
					ERR_OK);
		if (!enginep_parse_report(load_text, &report, NULL))
			CU_ASSERT(report.running <= ENGINEP_MAX_REQUESTS);
		feed_pieces(sse_text, &seed, &out, &done);
		free((char *)chat_text.ptr);
		free((char *)load_text.ptr);
		free((char *)sse_text.ptr);
		buf_release(&out);
	}
}

int main(void)
{
	CU_TestInfo tests[] = {{"SSE splits", test_sse_survives_any_split},
			       {"SSE refusals", test_sse_refuses},
			       {"SSE format", test_sse_format_round_trip},
			       {"chat fields", test_chat_reads_fields},
			       {"chat refusals", test_chat_refuses},
			       {"engine request", test_build_keeps_fields},
			       {"load report", test_report_refuses},
			       {"mutations", test_parsers_survive_mutations},
			       CU_TEST_INFO_NULL};

	return unit_run("enginep", tests);
}
