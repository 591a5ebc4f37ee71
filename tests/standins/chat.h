#ifndef CHAT_H
#define CHAT_H

#include "standin.h"

/*
 * chat - a chat completion as the engine's stand-in reads and answers it
 *
 * chat_record_run() and chat_append_stats() must not be called at once.
 */
#define CHAT_MAX_TOKENS 100000
#define CHAT_TRACE_BYTES 64

typedef struct chat {
	char id[STANDIN_KEY_MAX];
	uint64_t prompt_hash, prefix_hash;
	long priority, output_tokens, timeout_ms;
	long first_token; /* number of the first token that is wanted */
	bool stream;
	char traceparent[CHAT_TRACE_BYTES]; /* its traceparent */
} chat_t;

/*
 * Reads the request. The prompt is the contents of all messages, each followed
 * by a newline.
 */
bool chat_parse(struct mg_connection *conn, str_t body, chat_t *chat);

/* True when the request is for an engine of another name or boot. */
bool chat_is_misdirected(const struct mg_connection *conn, uint64_t boot);

/* Counts the run by id and by prompt, and lists it under its first token. */
void chat_record_run(const chat_t *chat);

/* Token k is "w" and six hex digits of hash(prompt, k in decimal). */
void chat_append_token(buf_t *out, uint64_t hash, long k);

/* The server-sent event of a token. */
void chat_append_event(buf_t *out, const chat_t *chat, long k);

/* The body of a whole answer. */
void chat_append_response(buf_t *out, const chat_t *chat);

/* Appends members about the newest run to the statistics. */
void chat_append_stats(buf_t *out);

#endif
