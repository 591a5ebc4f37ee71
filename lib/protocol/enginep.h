#ifndef PROTOCOL_ENGINEP_H
#define PROTOCOL_ENGINEP_H

#include <stdbool.h>
#include <stdint.h>

#include "base/buf.h"
#include "base/err.h"

/*
 * enginep - the endpoint protocol of section 10 of docs/design.md
 *
 * Server-sent events from engines, chat completion requests of callers, the
 * requests made of them for engines, and load reports. No I/O.
 */
#define ENGINEP_MAX_EVENT_BYTES 262144
#define ENGINEP_MAX_DEPTH 64	 /* of nested JSON arrays and objects */
#define ENGINEP_PREFIX_BYTES 256 /* of the prompt, for prefix affinity */
#define ENGINEP_MODEL_BYTES 128
#define ENGINEP_BOOT_BYTES 65
#define ENGINEP_MAX_TOKENS 1000000   /* bound of a caller's max_tokens */
#define ENGINEP_MAX_REQUESTS 1000000 /* bound of running and waiting */
#define ENGINEP_MAX_AGE_MS 86400000
#define ENGINEP_BYTES_PER_TOKEN 4 /* rule of thumb for English text */

/* One event of a stream. The views are valid during the callback. */
typedef struct enginep_event {
	bool has_id;
	uint64_t id;
	str_t type; /* the "event" field; empty when missing */
	str_t data; /* several data lines are joined by a line feed */
	bool done;  /* data is [DONE] */
} enginep_event_t;

/* A non-zero return ends the parse with ERR_BAD_STATE. */
typedef int (*enginep_on_event_t)(void *user, const enginep_event_t *event);

/*
 * Incremental parser of one stream. An event that the stream does not finish
 * with an empty line is not reported. After an error the parser stays failed.
 */
typedef struct enginep_sse {
	buf_t line;
	buf_t data; /* with a line feed after each data line */
	buf_t type;
	uint64_t id;
	bool has_id;
	bool after_cr;	 /* a line feed that follows belongs to the CR */
	bool first_line; /* may begin with a byte order mark */
	bool done;
	err_code_t failed;
} enginep_sse_t;

void enginep_sse_init(enginep_sse_t *sse);
void enginep_sse_release(enginep_sse_t *sse);

/*
 * Parses the next bytes, which may be cut anywhere, and reports each event.
 *
 * ERRORS: ERR_TOO_LARGE for an event above ENGINEP_MAX_EVENT_BYTES; ERR_INVALID
 * for an id that is not a decimal number; ERR_BAD_STATE when the callback ended
 * the parse, or for an event after [DONE].
 */
err_code_t enginep_sse_feed(enginep_sse_t *sse, str_t bytes,
			    enginep_on_event_t on_event, void *user,
			    err_t *err);

/* True once [DONE] has been reported; only then is a stream complete. */
bool enginep_sse_is_done(const enginep_sse_t *sse);

/* Appends an event in its wire form. */
void enginep_sse_format(buf_t *out, const enginep_event_t *event);

/* What the router needs to know of a caller's chat completion body. */
typedef struct enginep_chat {
	char model[ENGINEP_MODEL_BYTES];
	bool stream;
	int64_t max_tokens; /* 0: not stated */
	/* First bytes of the prompt: "role\ntext\n" of each message. */
	char prefix[ENGINEP_PREFIX_BYTES];
	size_t prefix_len;
	size_t prompt_bytes;
	int64_t prompt_tokens; /* estimate, ENGINEP_BYTES_PER_TOKEN */
} enginep_chat_t;

/*
 * Reads a caller's body.
 *
 * ERRORS: ERR_INVALID, with a message that names the fault and can be given to
 * the caller: malformed JSON, duplicate keys, nesting deeper than
 * ENGINEP_MAX_DEPTH, missing model or messages, wrong types.
 */
err_code_t enginep_parse_chat(str_t body, enginep_chat_t *chat, err_t *err);

/* What the router adds for the engine. */
typedef struct enginep_request {
	str_t request_id;
	int priority;	    /* the tier: 0 highest */
	int64_t max_tokens; /* bound of the class */
	int64_t timeout_ms; /* time that remains */
} enginep_request_t;

/*
 * Appends the engine's JSON: the caller's body with request_id, priority,
 * max_tokens (the lower of the caller's and the class's), timeout_ms and
 * stream = true set. A
 * max_completion_tokens is lowered likewise. Values of the caller for the other
 * three are replaced; all other fields are kept.
 *
 * ERRORS: ERR_INVALID as in enginep_parse_chat(), without its check of model
 * and messages.
 */
err_code_t enginep_build_request(str_t body, const enginep_request_t *request,
				 buf_t *out, err_t *err);

typedef enum enginep_state {
	ENGINEP_COLD,
	ENGINEP_WARM,
	ENGINEP_LEAVING
} enginep_state_t;

/* A load report. */
typedef struct enginep_report {
	char boot[ENGINEP_BOOT_BYTES]; /* changes with each start */
	enginep_state_t state;
	unsigned running;
	unsigned waiting;
	int64_t age_ms; /* lag of the report */
} enginep_report_t;

/*
 * Parses a load report. All five fields are required; unknown ones are ignored.
 *
 * ERRORS: ERR_INVALID for everything malformed or out of range; `report` is
 * then unchanged.
 */
err_code_t enginep_parse_report(str_t body, enginep_report_t *report,
				err_t *err);

#endif
