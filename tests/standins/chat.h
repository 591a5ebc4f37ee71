#ifndef CHAT_H
#define CHAT_H

#include "standin.h"

/*
 * chat - chat completion requests and responses of the engine's stand-in
 *
 * chat_record_run() and chat_append_stats() must not be called concurrently.
 */
#define CHAT_MAX_TOKENS 100000
#define CHAT_TRACE_BYTES 64

typedef struct chat {
	char id[STANDIN_KEY_MAX];
	uint64_t prompt_hash, prefix_hash;
	long priority, output_tokens, timeout_ms;
	long first_token; /* index of the first token to send */
	bool stream;
	char traceparent[CHAT_TRACE_BYTES];
} chat_t;

/*
 * Parses a request; false when it is invalid. The prompt is the contents of all
 * messages, each followed by a newline.
 */
bool chat_parse(struct mg_connection *conn, str_t body, chat_t *chat);

/* Whether the request names another engine or another boot. */
bool chat_is_misdirected(const struct mg_connection *conn, uint64_t boot);

/* Counts the run by id and by prompt, and records it under its first token. */
void chat_record_run(const chat_t *chat);

/* Appends token k: "w" and six hex digits of hash(prompt, k in decimal). */
void chat_append_token(buf_t *out, uint64_t hash, long k);

/* Appends the server-sent event of token k. */
void chat_append_event(buf_t *out, const chat_t *chat, long k);

/* Appends the status line of a stream, and its header fields but those of the
 * engine. */
void chat_append_stream_status(buf_t *out);

/* Appends the last event of a complete stream of k tokens. */
void chat_append_last_event(buf_t *out, long k);
void chat_append_error_event(buf_t *out, const char *type);

/* RETURN VALUE: an id for a start of the engine. */
uint64_t chat_new_boot(void);

/* Appends the body of a response that is not streamed. */
void chat_append_response(buf_t *out, const chat_t *chat);

/* Appends members about the newest run to the statistics. */
void chat_append_stats(buf_t *out);

#endif
