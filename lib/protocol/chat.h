#ifndef PROTOCOL_CHAT_H
#define PROTOCOL_CHAT_H

#include <stdbool.h>
#include <stdint.h>

#include "base/buf.h"
#include "base/err.h"
#include "coordination/prefixmap.h"

/*
 * chat - what the router reads of a caller's chat completion body
 *
 * The body itself is passed on as it is.
 */
#define CHAT_MAX_DEPTH 64 /* of nested JSON arrays and objects */
#define CHAT_MODEL_BYTES 64
#define CHAT_MAX_TOKENS 1000000 /* bound of a caller's max_tokens */
#define CHAT_BYTES_PER_TOKEN 4	/* rule of thumb for English text */

typedef struct chat {
	char model[CHAT_MODEL_BYTES];
	bool stream;
	uint64_t max_tokens;	/* 0: not stated */
	uint64_t prompt_tokens; /* estimate, CHAT_BYTES_PER_TOKEN */
	prompt_parts_t parts;	/* one a message */
} chat_t;

/*
 * Reads a caller's body.
 *
 * ERRORS: ERR_INVALID, with a message that names the fault and can be given to
 * the caller: malformed JSON, duplicate keys, nesting deeper than
 * CHAT_MAX_DEPTH, missing model or messages, wrong types.
 */
err_code_t chat_parse(str_t body, chat_t *chat, err_t *err);

#endif
