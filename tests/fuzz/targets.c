#include "fuzz.h"

#include <stdio.h>
#include <stdlib.h>

#include "coordination/gossip.h"
#include "coordination/pullcodec.h"
#include "coordination/sheetsync.h"
#include "platform/headers.h"
#include "platform/records.h"
#include "platform/settings.h"
#include "protocol/chat.h"
#include "protocol/native.h"
#include "protocol/nativeroutes.h"
#include "request/events.h"
#include "state/node.h"
#include "state/settings.h"
#include "state/sheetcheck.h"
#include "transport/address.h"
#include "transport/frame.h"
#include "transport/http1.h"

#define HEAD_BYTES 4096
#define NOW_MS 1000
#define MAX_BODY_BYTES 1048576

static size_t body_bytes;

static void count_body(http1_t *http, str_t data)
{
	(void)http;
	body_bytes += data.len;
}

static const http1_ops_t http_ops = {count_body};

typedef struct http_result {
	http1_result_t result;
	size_t consumed;
	size_t body;
	unsigned status;
	size_t fields;
} http_result_t;

/* Reads one message that arrives in two parts, split at `cut`. */
static http_result_t read_message(enum http_parser_type type, str_t input,
				  size_t cut, http1_t *http)
{
	http_result_t result;
	size_t consumed;

	body_bytes = 0;
	http1_init(http, &http_ops, type, HEAD_BYTES);
	result.result = http1_feed(http, (str_t){input.ptr, cut}, &consumed);
	result.consumed = consumed;
	if (result.result == HTTP1_MORE) {
		fuzz_require(consumed == cut,
			     "an incomplete message is fully consumed");
		result.result = http1_feed(
			http, (str_t){input.ptr + cut, input.len - cut},
			&consumed);
		result.consumed += consumed;
	}
	fuzz_require(result.consumed <= input.len,
		     "no more consumed than given");
	result.body = body_bytes;
	result.status = http->head.status;
	result.fields = http->head.field_count;
	return result;
}

/* Guards against a message that is parsed differently when it arrives in two
 * parts, which would allow request smuggling. */
static void check_cuts(enum http_parser_type type, str_t input,
		       uint64_t random_value)
{
	size_t cut = input.len ? random_value % input.len : 0;
	http1_t whole, parts;
	http_result_t a = read_message(type, input, input.len, &whole);
	http_result_t b = read_message(type, input, cut, &parts);

	if (a.result == HTTP1_MESSAGE) {
		fuzz_require(b.result == HTTP1_MESSAGE,
			     "a split changes no message");
		fuzz_require(a.consumed == b.consumed,
			     "a split changes no message end");
		fuzz_require(a.body == b.body, "a split changes no body");
		fuzz_require(a.fields == b.fields, "a split changes no fields");
	}
	http1_release(&whole);
	http1_release(&parts);
}

static void run_http_request(str_t input, uint64_t random_value)
{
	check_cuts(HTTP_REQUEST, input, random_value);
}

static void run_http_response(str_t input, uint64_t random_value)
{
	check_cuts(HTTP_RESPONSE, input, random_value);
}

/* Rewrites a call for an endpoint in one of the two wire formats: the output
 * must be exactly one message. */
static void check_call(const dialect_t *dialect, str_t input)
{
	send_params_t params = {
		.endpoint_id = STR_LIT("e1"), .left_ms = 100, .body_len = 0};
	buf_t out = BUF_INIT;
	call_t call = {.fault = NULL};
	http1_t http, written;
	size_t consumed;

	http1_init(&http, &http_ops, HTTP_REQUEST, HEAD_BYTES);
	if (http1_feed(&http, input, &consumed) == HTTP1_MESSAGE) {
		dialect->ops->read_call(dialect, &http.head, STR_LIT("{}"),
					&call);
		if (!call.id.len)
			call.id = STR_LIT("made-up");
		if (!call.fault && !call.is_health_check) {
			dialect->ops->write_call(dialect, &http.head, &call,
						 &params, &out);
			http1_init(&written, &http_ops, HTTP_REQUEST,
				   4 * HEAD_BYTES);
			fuzz_require(http1_feed(&written, buf_view(&out),
						&consumed) == HTTP1_MESSAGE &&
					     consumed == out.len,
				     "a call is written as one message");
			http1_release(&written);
		}
	}
	http1_release(&http);
	buf_release(&out);
}

static void run_native_call(str_t input, uint64_t random_value)
{
	(void)random_value;
	check_call(native_dialect(), input);
}

static void run_platform_call(str_t input, uint64_t random_value)
{
	(void)random_value;
	check_call(headers_dialect(), input);
}

static void check_reply(const dialect_t *dialect, str_t input)
{
	reply_params_t params = {.framing = REPLY_LENGTH,
				 .body_len = 0,
				 .outcome = OUTCOME_COMPLETED,
				 .id = STR_LIT("id")};
	buf_t out = BUF_INIT;
	http1_t http, written;
	reply_t reply;
	size_t consumed;

	http1_init(&http, &http_ops, HTTP_RESPONSE, HEAD_BYTES);
	http1_feed(&http, input, &consumed);
	if (http.head.complete && http.head.status >= 200 &&
	    http.head.status != 204 && http.head.status != 304) {
		dialect->ops->read_reply(dialect, &http.head, &reply);
		dialect->ops->write_reply(dialect, &http.head, &params, &out);
		http1_init(&written, &http_ops, HTTP_RESPONSE, 4 * HEAD_BYTES);
		fuzz_require(http1_feed(&written, buf_view(&out), &consumed) ==
					     HTTP1_MESSAGE &&
				     consumed == out.len,
			     "a response is written as one message");
		http1_release(&written);
	}
	http1_release(&http);
	buf_release(&out);
}

static void run_native_reply(str_t input, uint64_t random_value)
{
	(void)random_value;
	check_reply(native_dialect(), input);
}

static void run_platform_reply(str_t input, uint64_t random_value)
{
	(void)random_value;
	check_reply(headers_dialect(), input);
}

/* The events and the rest must add up to the stream, wherever it was split. */
static void run_events(str_t input, uint64_t random_value)
{
	size_t cut = input.len ? random_value % input.len : 0;
	buf_t seen = BUF_INIT;
	events_t events = {.consumed = 0};
	event_t event;

	events_feed(&events, (str_t){input.ptr, cut});
	while (events_next(&events, &event))
		buf_append_str(&seen, event.text);
	events_feed(&events, (str_t){input.ptr + cut, input.len - cut});
	while (events_next(&events, &event)) {
		buf_append_str(&seen, event.text);
		event_id_is_after(event.id, event.data);
	}
	buf_append_str(&seen, events_rest(&events));
	fuzz_require(str_equals(buf_view(&seen), input),
		     "events and the rest make up the stream");
	events_release(&events);
	buf_release(&seen);
}

static void run_chat(str_t input, uint64_t random_value)
{
	chat_t chat;
	err_t err;

	(void)random_value;
	if (chat_parse(input, &chat, &err))
		return;
	fuzz_require(*chat.model, "a chat has a model");
	fuzz_require(chat.parts.count > 0, "a chat has a message");
}

static void run_config(str_t input, uint64_t random_value)
{
	err_t err;
	catalog_t *catalog = records_read_config(input, &err);

	(void)random_value;
	if (!catalog)
		return;
	catalog_find_route(catalog, STR_LIT("a.example"), STR_LIT("/x/y"));
	catalog_find_customer(catalog, STR_LIT("k"));
	catalog_unref(catalog);
}

static void run_endpoint(str_t input, uint64_t random_value)
{
	records_endpoint_t endpoint;
	err_t err;

	(void)random_value;
	if (records_read_endpoint(STR_LIT("e1"), input, &endpoint, &err))
		return;
	fuzz_require(endpoint.record.address.len, "an endpoint has an address");
	records_release(&endpoint);
}

static void run_platform_settings(str_t input, uint64_t random_value)
{
	buf_t report = BUF_INIT;
	psettings_t *settings = psettings_parse(input, &report);

	(void)random_value;
	fuzz_require(settings || report.len, "a refusal has a reason");
	psettings_free(settings);
	buf_release(&report);
}

static void run_settings(str_t input, uint64_t random_value)
{
	buf_t report = BUF_INIT;
	settings_t *settings = settings_parse(input, "f", &report);

	(void)random_value;
	fuzz_require(settings || report.len, "a refusal has a reason");
	settings_free(settings);
	buf_release(&report);
}

/* An accepted sheet must convert to a catalog. */
static void run_sheet(str_t input, uint64_t random_value)
{
	nativeroutes_options_t options = {.region = STR_LIT("r"),
					  .max_body_bytes = MAX_BODY_BYTES};
	buf_t report = BUF_INIT;
	sheet_t *sheet = sheetcheck_parse(input, "f", &report);

	(void)random_value;
	fuzz_require(sheet || report.len, "a refusal has a reason");
	if (sheet)
		catalog_unref(nativeroutes_catalog(sheet, &options));
	sheet_free(sheet);
	buf_release(&report);
}

static err_code_t no_node(void *user, const node_digest_t *digest, buf_t *out,
			  err_t *err)
{
	(void)user;
	(void)digest;
	(void)out;
	return err_set(err, ERR_NOT_FOUND, "fuzz", "", "no nodes");
}

static void run_node(str_t input, uint64_t random_value)
{
	err_t err;

	(void)random_value;
	node_root_version(input);
	sheet_free(node_unpack(input, no_node, NULL, &err));
}

static void run_gossip(str_t input, uint64_t random_value)
{
	gossip_self_t self = {"h0", "d0", "127.0.0.1", 1};
	gossip_t *gossip = gossip_create(&self, random_value);
	const member_t *targets[GOSSIP_FANOUT];
	const member_t *sender;
	buf_t out = BUF_INIT;
	err_t err;

	gossip_read(gossip, input, NOW_MS, &sender, &err);
	gossip_targets(gossip, NOW_MS, targets);
	gossip_write(gossip, &(gossip_state_t){.position.revision = 1}, NULL,
		     NOW_MS, &out);
	fuzz_require(out.len <= GOSSIP_MESSAGE_BYTES, "gossip fits a datagram");
	gossip_free(gossip);
	buf_release(&out);
}

static void ignore_record(void *user, str_t key, str_t value)
{
	(void)user;
	(void)key;
	(void)value;
}

static void ignore_sheet(void *user, const sheet_t *old, const sheet_t *new,
			 const char *source)
{
	(void)user;
	(void)old;
	(void)new;
	(void)source;
}

/* A peer's pull request or response, and the sheet that a response may hold. */
static void run_pull(str_t input, uint64_t random_value)
{
	replica_observer_t records = {.changed = ignore_record};
	sheetsync_observer_t sheets = {ignore_sheet, NULL};
	replica_t *replica = replica_create(&records);
	sheetsync_t *sync = sheetsync_create(replica, mclock_system(), &sheets);
	pullcodec_applied_t applied;
	position_t position;
	err_t err;

	(void)random_value;
	pullcodec_read_request(input, &position, &err);
	if (pullcodec_apply_response(replica, input, &applied, &err))
		fuzz_require(!replica_count(replica),
			     "a refused response changes nothing");
	sheetsync_refresh(sync, "fuzz");
	sheetsync_free(sync);
	replica_free(replica);
}

static void run_frame(str_t input, uint64_t random_value)
{
	struct sockaddr_in address;
	char text[64];
	str_t content;
	err_t err;

	(void)random_value;
	if (!frame_peek(input, &content) && content.ptr)
		fuzz_require(content.len + FRAME_HEADER_BYTES <= input.len,
			     "a frame is within its bytes");
	str_copy(text, sizeof(text), input);
	address_parse(text, &address, &err);
}

const fuzz_target_t fuzz_targets[] = {
	{"http-request", run_http_request},
	{"http-response", run_http_response},
	{"native-call", run_native_call},
	{"platform-call", run_platform_call},
	{"native-reply", run_native_reply},
	{"platform-reply", run_platform_reply},
	{"events", run_events},
	{"chat", run_chat},
	{"config", run_config},
	{"endpoint", run_endpoint},
	{"platform-settings", run_platform_settings},
	{"settings", run_settings},
	{"sheet", run_sheet},
	{"node", run_node},
	{"gossip", run_gossip},
	{"loads", fuzz_loads},
	{"prefix-news", fuzz_prefix_news},
	{"crash-news", fuzz_crash_news},
	{"limit-news", fuzz_limit_news},
	{"speed-news", fuzz_speed_news},
	{"pull", run_pull},
	{"frame", run_frame},
	{NULL, NULL}};
