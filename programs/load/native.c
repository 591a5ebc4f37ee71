#include "load/transfer.h"

#include <inttypes.h>
#include <stdio.h>

static void check_token(transfer_t *t, const char *text, size_t len)
{
	buf_reset(&t->expected);
	load_append_token(&t->expected, t->hash, t->request->received_tokens);
	if (!str_equals((str_t){text, len}, buf_view(&t->expected))) {
		t->mismatch = true;
		return;
	}
	transfer_count_token(t);
}

/* Finds a member in one line of JSON. `name` includes the opening quote of the
 * value, as in "content":". Returns the value up to the next quote, without
 * handling escapes; empty if not found. */
static str_t find_member(const char *line, const char *name)
{
	const char *from = strstr(line, name);
	const char *to;

	if (!from)
		return STR_LIT("");
	from += strlen(name);
	to = strchr(from, '"');
	return (str_t){from, to ? (size_t)(to - from) : 0};
}

static void receive_line(transfer_t *t, const char *line)
{
	static const char comment[] = ": outcome ";
	str_t value;

	if (!strncmp(line, comment, sizeof(comment) - 1)) {
		str_copy(t->outcome_name, sizeof(t->outcome_name),
			 str_from(line + sizeof(comment) - 1));
		return;
	}
	if (strncmp(line, "data: ", 6) != 0)
		return;
	if (!strcmp(line, "data: [DONE]")) {
		t->stream_done = true;
		return;
	}
	value = find_member(line, "\"content\":\"");
	if (value.len)
		check_token(t, value.ptr, value.len);
	value = find_member(line, "\"error\":{\"outcome\":\"");
	if (value.len)
		str_copy(t->outcome_name, sizeof(t->outcome_name), value);
}

static void read_chat(transfer_t *t, str_t bytes)
{
	transfer_split_lines(t, bytes, receive_line);
}

static void read_call(transfer_t *t, str_t bytes)
{
	transfer_mark_first_byte(t);
	transfer_append_body(t, bytes);
}

/* Copies the value of the header line if it starts with `name`, which includes
 * the colon and the blank; otherwise leaves `out` unchanged. */
static void copy_header_value(str_t header, const char *name, char *out,
			      size_t size)
{
	size_t skip = strlen(name);

	if (header.len <= skip || strncasecmp(header.ptr, name, skip) != 0)
		return;
	while (header.len > skip && (header.ptr[header.len - 1] == '\r' ||
				     header.ptr[header.len - 1] == '\n'))
		header.len--;
	str_copy(out, size, (str_t){header.ptr + skip, header.len - skip});
}

static void read_header(transfer_t *t, str_t line)
{
	copy_header_value(line, "X-Peridot-Outcome: ", t->outcome_name,
			  sizeof(t->outcome_name));
}

static void write_headers(transfer_t *t)
{
	const load_scenario_t *s = &t->run->scenario;
	char authorization[LOAD_NAME_BYTES + 16];

	snprintf(authorization, sizeof(authorization), "Bearer %s",
		 s->customers[t->request->customer].key);
	transfer_add_header(t, "Authorization", authorization);
	transfer_add_header(t, "X-Peridot-Class", t->class->name);
	transfer_add_header(t, "Content-Type", "application/json");
	if (t->class->at_most_once)
		transfer_add_header(t, "Idempotency-Key", t->id);
	transfer_add_header(t, "X-Peridot-Request", t->id);
}

static void write_chat(transfer_t *t)
{
	const load_run_t *run = t->run;
	const load_request_t *r = t->request;
	buf_t prompt = BUF_INIT;

	write_headers(t);
	snprintf(t->url, sizeof(t->url), "http://%s/v1/chat/completions",
		 run->scenario.entries[r->entry]);
	load_append_prompt(&prompt, run, r);
	t->hash = load_hash_prompt(buf_view(&prompt));
	buf_printf(&t->body,
		   "{\"model\":\"%s\",\"stream\":true,\"x_output_tokens\":%u,"
		   "\"messages\":[{\"role\":\"user\",\"content\":\"",
		   run->scenario.model, r->output_tokens);
	buf_append_str(&t->body, buf_view(&prompt));
	buf_printf(&t->body, "\"}]}");
	buf_release(&prompt);
}

static void write_call(transfer_t *t)
{
	const load_scenario_t *s = &t->run->scenario;

	write_headers(t);
	snprintf(t->url, sizeof(t->url), "http://%s/v1/services/%s/%s",
		 s->entries[t->request->entry], t->class->service,
		 t->class->call);
	buf_printf(&t->body, "item-%" PRIu64 "-%u", s->seed,
		   t->request->serial);
}

/* The response must repeat the call and the body that was sent. For an
 * at-most-once call it must also report exactly one run. */
static bool is_expected_call_response(transfer_t *t)
{
	buf_t expected = BUF_INIT;
	bool found;

	buf_printf(&expected, "\"call\":\"%s\",\"body\":\"%" STR_FMT "\"}",
		   t->class->call, STR_ARG(buf_view(&t->body)));
	buf_append(&expected, "", 1);
	buf_append(&t->received, "", 1);
	found = strstr(t->received.ptr, expected.ptr) != NULL;
	if (t->class->at_most_once &&
	    !strstr(t->received.ptr, "\"key_run\":1,"))
		found = false;
	buf_release(&expected);
	return found;
}

static bool is_expected_chat_response(const transfer_t *t)
{
	return t->stream_done && !t->mismatch &&
	       t->request->received_tokens == t->request->output_tokens;
}

/* Returns the outcome that the response states, or else LOAD_UNKNOWN for an
 * incomplete response and the one implied by the HTTP status for a complete
 * one. */
static load_outcome_t get_outcome(const transfer_t *t, unsigned status,
				  bool complete)
{
	static const struct {
		const char *name;
		load_outcome_t outcome;
	} names[] = {
		{"not-run", LOAD_NOT_RUN},
		{"failed", LOAD_FAILED},
		{"unknown", LOAD_UNKNOWN},
	};

	for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++)
		if (!strcmp(t->outcome_name, names[i].name))
			return names[i].outcome;
	if (!complete)
		return LOAD_UNKNOWN;
	return status == 200 ? LOAD_COMPLETED : LOAD_FAILED;
}

static load_outcome_t get_chat_outcome(transfer_t *t, unsigned status,
				       bool complete)
{
	load_outcome_t outcome = get_outcome(t, status, complete);

	return outcome == LOAD_COMPLETED && !is_expected_chat_response(t) ?
		       LOAD_WRONG :
		       outcome;
}

static load_outcome_t get_call_outcome(transfer_t *t, unsigned status,
				       bool complete)
{
	load_outcome_t outcome = get_outcome(t, status, complete);

	return outcome == LOAD_COMPLETED && !is_expected_call_response(t) ?
		       LOAD_WRONG :
		       outcome;
}

const load_protocol_t *load_native_chat_protocol(void)
{
	static const load_protocol_t protocol = {write_chat, read_header,
						 read_chat, get_chat_outcome};

	return &protocol;
}

const load_protocol_t *load_native_call_protocol(void)
{
	static const load_protocol_t protocol = {write_call, read_header,
						 read_call, get_call_outcome};

	return &protocol;
}
