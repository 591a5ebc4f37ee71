#include "load/transfer.h"

#include <stdio.h>
#include <stdlib.h>

#define MAX_HEADER_BYTES 512
/* Longer lines are truncated, and body data beyond the limit is dropped;
 * responses of the stand-ins are shorter. */
#define MAX_RECEIVED_BYTES 65536

static void add_interval(load_intervals_t *intervals, int64_t us)
{
	if (intervals->count == intervals->cap) {
		size_t cap = intervals->cap ? 2 * intervals->cap : 1024;
		double *grown =
			realloc(intervals->values_us, cap * sizeof(*grown));

		if (!grown)
			abort();
		intervals->values_us = grown;
		intervals->cap = cap;
	}
	intervals->values_us[intervals->count++] = (double)us;
}

void transfer_add_header(transfer_t *t, const char *name, const char *value)
{
	char header[2 * MAX_HEADER_BYTES];

	snprintf(header, sizeof(header), "%s: %s", name, value);
	t->headers = curl_slist_append(t->headers, header);
}

void transfer_mark_first_byte(transfer_t *t)
{
	if (t->request->first_token_us < 0)
		t->request->first_token_us =
			transfer_now_us(t) - t->request->at_us;
}

void transfer_count_token(transfer_t *t)
{
	load_request_t *r = t->request;
	int64_t now = transfer_now_us(t);

	transfer_mark_first_byte(t);
	if (now <= t->run->scenario.duration_us)
		t->run->tokens_in_duration++;
	if (r->received_tokens++)
		add_interval(&t->run->token_intervals[r->class_index],
			     now - r->last_token_us);
	r->last_token_us = now;
}

void transfer_split_lines(transfer_t *t, str_t bytes,
			  void (*on_line)(transfer_t *t, const char *line))
{
	for (size_t i = 0; i < bytes.len; i++) {
		if (bytes.ptr[i] != '\n') {
			if (bytes.ptr[i] != '\r' &&
			    t->received.len < MAX_RECEIVED_BYTES)
				buf_append(&t->received, bytes.ptr + i, 1);
			continue;
		}
		buf_append(&t->received, "", 1);
		on_line(t, t->received.ptr);
		buf_reset(&t->received);
	}
}

void transfer_append_body(transfer_t *t, str_t bytes)
{
	if (t->received.len + bytes.len < MAX_RECEIVED_BYTES)
		buf_append_str(&t->received, bytes);
}
