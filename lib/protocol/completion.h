#ifndef PROTOCOL_COMPLETION_H
#define PROTOCOL_COMPLETION_H

#include "base/buf.h"
#include "base/err.h"

/*
 * completion - one whole answer put together from a stream's events
 *
 * Engines are always asked for a stream, so that the first token is seen and a
 * broken answer can be resumed; a caller that wants no stream gets the sum.
 */
typedef struct completion {
	buf_t content;
	char model[128];
	char finish_reason[32];
	unsigned tokens;
} completion_t;

/*
 * Adds the data of one event.
 *
 * ERRORS: ERR_INVALID when it is not a chat completion chunk.
 */
err_code_t completion_add(completion_t *completion, str_t data, err_t *err);

/* Appends the chat.completion object. */
void completion_format(const completion_t *completion, const char *id,
		       buf_t *out);

void completion_release(completion_t *completion);

#endif
