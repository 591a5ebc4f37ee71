#include "chat.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

/* Prompts that begin with the same bytes share a cached prefix. */
#define CHAT_PREFIX_BYTES 256

static char last_traceparent[CHAT_TRACE_BYTES];

void chat_append_token(buf_t *out, uint64_t hash, long k)
{
	char digits[24];

	snprintf(digits, sizeof(digits), "%ld", k);
	hash = standin_hash(hash, str_from(digits));
	buf_printf(out, "%sw%06x", k ? " " : "", (unsigned)(hash & 0xffffff));
}

void chat_append_event(buf_t *out, const chat_t *chat, long k)
{
	buf_printf(out, "id: %ld\ndata: {\"id\":", k);
	buf_append_json(out, str_from(chat->id));
	buf_printf(out, ",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"");
	chat_append_token(out, chat->prompt_hash, k);
	buf_printf(out, "\"},\"finish_reason\":%s}]}\n\n",
		   k + 1 == chat->output_tokens ? "\"stop\"" : "null");
}

void chat_append_stream_status(buf_t *out)
{
	buf_printf(out, "HTTP/1.1 200 OK\r\nConnection: close\r\n"
			"Content-Type: text/event-stream\r\n");
}

void chat_append_last_event(buf_t *out, long k)
{
	buf_printf(out, "id: %ld\ndata: [DONE]\n\n", k);
}

void chat_append_error_event(buf_t *out, const char *type)
{
	buf_printf(out, "event: error\ndata: {\"error\":{\"type\":\"%s\"}}\n\n",
		   type);
}

uint64_t chat_new_boot(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return standin_hash(STANDIN_HASH_START,
			    (str_t){(const char *)&now, sizeof(now)});
}

void chat_append_response(buf_t *out, const chat_t *chat)
{
	buf_printf(out, "{\"id\":");
	buf_append_json(out, str_from(chat->id));
	buf_printf(out, ",\"choices\":[{\"index\":0,\"message\":"
			"{\"role\":\"assistant\",\"content\":\"");
	for (long k = 0; k < chat->output_tokens; k++)
		chat_append_token(out, chat->prompt_hash, k);
	buf_printf(out,
		   "\"},\"finish_reason\":\"stop\"}],\"usage\":"
		   "{\"completion_tokens\":%ld}}\n",
		   chat->output_tokens);
}

static long get_header(struct mg_connection *conn, const char *name,
		       long fallback)
{
	const char *value = mg_get_header(conn, name);

	return value ? strtol(value, NULL, 10) : fallback;
}

static long get_long(const json_t *object, const char *name, long fallback)
{
	const json_t *value = json_object_get(object, name);

	return json_is_integer(value) ? (long)json_integer_value(value) :
					fallback;
}

bool chat_parse(struct mg_connection *conn, str_t body, chat_t *chat)
{
	json_t *root = json_loadb(body.ptr, body.len, 0, NULL);
	const json_t *messages = json_object_get(root, "messages");
	const char *id = mg_get_header(conn, "X-Peridot-Request");
	const char *traceparent = mg_get_header(conn, "traceparent");
	buf_t prompt = BUF_INIT;
	bool valid = json_array_size(messages) > 0;
	long max_tokens;

	for (size_t i = 0; i < json_array_size(messages); i++) {
		const json_t *content =
			json_object_get(json_array_get(messages, i), "content");

		valid = valid && json_is_string(content);
		if (valid)
			buf_append(&prompt, json_string_value(content),
				   json_string_length(content));
		buf_append(&prompt, "\n", 1);
	}
	chat->prompt_hash = standin_hash(STANDIN_HASH_START, buf_view(&prompt));
	chat->prefix_hash = standin_hash(
		STANDIN_HASH_START,
		(str_t){prompt.ptr, prompt.len < CHAT_PREFIX_BYTES ?
					    prompt.len :
					    CHAT_PREFIX_BYTES});
	max_tokens = get_header(conn, "X-Peridot-Max-Tokens", CHAT_MAX_TOKENS);
	if (get_long(root, "max_tokens", CHAT_MAX_TOKENS) < max_tokens)
		max_tokens = get_long(root, "max_tokens", CHAT_MAX_TOKENS);
	chat->output_tokens = get_long(root, "x_output_tokens",
				       1 + (long)(chat->prompt_hash % 64));
	valid = valid && chat->output_tokens > 0 &&
		chat->output_tokens <= CHAT_MAX_TOKENS;
	if (chat->output_tokens > max_tokens)
		chat->output_tokens = max_tokens;
	chat->priority = get_header(conn, "X-Peridot-Priority", 0);
	chat->timeout_ms = get_header(conn, "X-Peridot-Timeout-Ms", 600000);
	chat->first_token = get_header(conn, "Last-Event-ID", -1) + 1;
	str_copy(chat->traceparent, sizeof(chat->traceparent),
		 str_from(traceparent ? traceparent : ""));
	chat->stream = json_is_true(json_object_get(root, "stream"));
	valid = valid && max_tokens > 0 && chat->timeout_ms > 0 &&
		chat->first_token >= 0 &&
		chat->first_token <= chat->output_tokens &&
		str_copy(chat->id, sizeof(chat->id), str_from(id ? id : ""));
	buf_release(&prompt);
	json_decref(root);
	return valid;
}

bool chat_is_misdirected(const struct mg_connection *conn, uint64_t boot)
{
	const char *name = mg_get_header(conn, "X-Peridot-Endpoint");
	const char *expected_boot = mg_get_header(conn, "X-Peridot-Boot");
	char own_boot[24];

	snprintf(own_boot, sizeof(own_boot), "%016llx",
		 (unsigned long long)boot);
	return (name && *standin_mark && strcmp(name, standin_mark) != 0) ||
	       (expected_boot && strcmp(expected_boot, own_boot) != 0);
}

void chat_record_run(const chat_t *chat)
{
	buf_t token = BUF_INIT;
	char key[STANDIN_KEY_MAX];

	standin_count_run(chat->id);
	/* Callers know their prompts but not the ids of their requests. */
	snprintf(key, sizeof(key), "prompt:%016llx",
		 (unsigned long long)chat->prompt_hash);
	standin_count_run(key);
	chat_append_token(&token, chat->prompt_hash, 0);
	str_copy(key, sizeof(key), buf_view(&token));
	standin_log_request(key, "run", "");
	str_copy(last_traceparent, sizeof(last_traceparent),
		 str_from(chat->traceparent));
	buf_release(&token);
}

void chat_append_stats(buf_t *out)
{
	buf_printf(out, "\"traceparent\":");
	buf_append_json(out, str_from(last_traceparent));
	buf_printf(out, ",");
}
