#include "load/transfer.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

/*
 * Requests to the hosts by the HTTP protocol of the users' platform (see
 * platform/calls.h). native.c sends requests by the hosts' native protocol.
 */

/* A prompt has an optional shared prefix and a part of its own. */
#define MAX_PARTS 2

static void add_line(void *user, const char *line)
{
	transfer_t *t = user;

	t->headers = curl_slist_append(t->headers, line);
}

/*
 * The id of a shared prefix consists of class and prefix number and is below
 * 2^48. The id of a request's own part has bit 48 set and consists of the seed,
 * from bit 16 on, and the serial number. Serial numbers above 65535 overlap the
 * seed, so that the ids of two requests may be equal.
 */
static size_t build_prompt_parts(const transfer_t *t,
				 calls_part_t parts[MAX_PARTS])
{
	const load_request_t *r = t->request;
	unsigned tokens = t->class->prompt_tokens;
	size_t count = 0;

	if (t->class->prefixes) {
		parts[count++] = (calls_part_t){
			(uint64_t)(r->class_index + 1) << 32 | (r->prefix + 1),
			tokens / 2};
		tokens -= tokens / 2;
	}
	parts[count++] = (calls_part_t){
		UINT64_C(1) << 48 | (t->run->scenario.seed & UINT32_MAX) << 16 |
			r->serial,
		tokens};
	return count;
}

static void write_request(transfer_t *t)
{
	const load_scenario_t *s = &t->run->scenario;
	const load_class_t *class = t->class;
	calls_part_t parts[MAX_PARTS];
	calls_request_t request = {
		.id = t->id,
		.key = s->customers[t->request->customer].key,
		.timeout_ms = transfer_remaining_ms(t),
		.prompt_tokens = class->prompt_tokens,
		.output_tokens = t->request->output_tokens,
		.parts = parts,
		.part_count = build_prompt_parts(t, parts)};

	snprintf(t->url, sizeof(t->url), "http://%s%s",
		 s->entries[t->request->entry], class->path);
	transfer_add_header(t, "Host", class->host);
	transfer_add_header(t, "Content-Type", "application/json");
	calls_write_headers(&request, add_line, t);
	/* Responses repeat only the size of this; see is_expected(). */
	buf_printf(&t->body, "{\"item\":\"%" PRIu64 "-%u\"}", s->seed,
		   t->request->serial);
}

static void read_header(transfer_t *t, str_t line)
{
	calls_read_header(&t->response_head, line);
}

/* Event ids count from 1 without gaps, also after the host resumed a stream. */
static void read_line(transfer_t *t, const char *line)
{
	if (strncmp(line, "id: ", 4) != 0)
		return;
	if (strtoul(line + 4, NULL, 10) == t->request->received_tokens + 1)
		transfer_count_token(t);
	else
		t->mismatch = true;
}

static void read_body(transfer_t *t, str_t bytes)
{
	if (t->request->output_tokens) {
		transfer_split_lines(t, bytes, read_line);
		return;
	}
	transfer_mark_first_byte(t);
	transfer_append_body(t, bytes);
}

/* A stream must have all requested tokens. Other responses end with the path
 * and the size of the request body, as tests/standins/platform.py writes them.
 */
static bool is_expected(transfer_t *t)
{
	buf_t expected_end = BUF_INIT;
	bool found;

	if (t->request->output_tokens)
		return !t->mismatch &&
		       t->request->received_tokens == t->request->output_tokens;
	buf_printf(&expected_end, " %s %zu", t->class->path, t->body.len);
	found = t->received.len >= expected_end.len &&
		!memcmp(t->received.ptr + t->received.len - expected_end.len,
			expected_end.ptr, expected_end.len);
	buf_release(&expected_end);
	return found;
}

static load_outcome_t get_outcome(transfer_t *t, unsigned status, bool complete)
{
	calls_result_t result =
		calls_classify(status, &t->response_head, t->id);

	switch (result) {
	case CALLS_COMPLETED:
		if (!complete)
			return LOAD_UNKNOWN;
		return is_expected(t) ? LOAD_COMPLETED : LOAD_WRONG;
	case CALLS_NOT_RUN:
		return LOAD_NOT_RUN;
	case CALLS_FAILED:
		return LOAD_FAILED;
	case CALLS_PROTOCOL_ERROR:
		return LOAD_WRONG;
	case CALLS_UNKNOWN:
		break;
	}
	return LOAD_UNKNOWN;
}

const load_protocol_t *load_platform_protocol(void)
{
	static const load_protocol_t protocol = {write_request, read_header,
						 read_body, get_outcome};

	return &protocol;
}
