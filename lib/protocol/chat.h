#ifndef PROTOCOL_CHAT_H
#define PROTOCOL_CHAT_H

#include <stdbool.h>
#include <stdint.h>

#include "base/buf.h"
#include "base/err.h"
#include "coordination/prefixmap.h"

/*
 * chat - parses the parts of a chat completion request that routing needs
 *
 * The router forwards the body unchanged.
 */
#define CHAT_MAX_DEPTH 64 /* levels of JSON arrays and objects */
#define CHAT_MODEL_BYTES 64
#define CHAT_MAX_TOKENS 1000000 /* upper limit of a caller's max_tokens */
#define CHAT_BYTES_PER_TOKEN 4	/* rule of thumb for English text */

typedef struct chat {
	char model[CHAT_MODEL_BYTES];
	bool stream;
	uint64_t max_tokens;	/* 0: not set */
	uint64_t prompt_tokens; /* estimated by CHAT_BYTES_PER_TOKEN */
	prompt_parts_t parts;	/* one per message */
} chat_t;

/*
 * Parses a request body.
 *
 * ERRORS: ERR_INVALID, with a message that describes the fault and may be sent
 * to the caller: malformed JSON, duplicate keys, nesting deeper than
 * CHAT_MAX_DEPTH, missing model or messages, wrong types.
 */
err_code_t chat_parse(str_t body, chat_t *chat, err_t *err);

#endif
