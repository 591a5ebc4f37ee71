#include "load/transfer.h"

#include <stdio.h>
#include <stdlib.h>

#define MAX_HEADER_BYTES 512
/* Longer lines and bodies are cut; answers of the stand-ins are shorter. */
#define MAX_KEPT_BYTES 65536

static void add_gap(load_gaps_t *gaps, int64_t us)
{
	if (gaps->count == gaps->cap) {
		size_t cap = gaps->cap ? 2 * gaps->cap : 1024;
		double *grown = realloc(gaps->us, cap * sizeof(*grown));

		if (!grown)
			abort();
		gaps->us = grown;
		gaps->cap = cap;
	}
	gaps->us[gaps->count++] = (double)us;
}

void transfer_add_header(transfer_t *t, const char *name, const char *value)
{
	char header[2 * MAX_HEADER_BYTES];

	snprintf(header, sizeof(header), "%s: %s", name, value);
	t->headers = curl_slist_append(t->headers, header);
}

void transfer_note_first(transfer_t *t)
{
	if (t->request->first_token_us < 0)
		t->request->first_token_us =
			transfer_now_us(t) - t->request->at_us;
}

void transfer_note_token(transfer_t *t)
{
	load_request_t *r = t->request;
	int64_t now = transfer_now_us(t);

	transfer_note_first(t);
	if (now <= t->run->scenario.duration_us)
		t->run->tokens_in_duration++;
	if (r->tokens++)
		add_gap(&t->run->gaps[r->class_index], now - r->last_token_us);
	r->last_token_us = now;
}

void transfer_split_lines(transfer_t *t, str_t bytes,
			  void (*take)(transfer_t *t, const char *line))
{
	for (size_t i = 0; i < bytes.len; i++) {
		if (bytes.ptr[i] != '\n') {
			if (bytes.ptr[i] != '\r' &&
			    t->line.len < MAX_KEPT_BYTES)
				buf_append(&t->line, bytes.ptr + i, 1);
			continue;
		}
		buf_append(&t->line, "", 1);
		take(t, t->line.ptr);
		buf_reset(&t->line);
	}
}

void transfer_keep(transfer_t *t, str_t bytes)
{
	if (t->line.len + bytes.len < MAX_KEPT_BYTES)
		buf_append_str(&t->line, bytes);
}
