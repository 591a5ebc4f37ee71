#ifndef LOAD_TRANSFER_H
#define LOAD_TRANSFER_H

#include <curl/curl.h>

#include "load/load.h"
#include "platform/calls.h"

/*
 * transfer - one request in flight, and the protocol it uses
 */
#define TRANSFER_URL_BYTES (ADDRESS_BYTES + LOAD_PATH_BYTES + 32)

typedef struct load_protocol load_protocol_t;

/* A transfer and its curl handle are reused for later requests. */
typedef struct transfer {
	struct sender *sender;
	load_run_t *run;
	const load_class_t *class;
	const load_protocol_t *protocol;
	load_request_t *request;
	char id[LOAD_NAME_BYTES]; /* unique request id */
	CURL *easy;
	struct curl_slist *headers;
	char url[TRANSFER_URL_BYTES];
	buf_t body;
	/* State of the response. */
	buf_t received;	       /* current line of a stream, or body of a call */
	buf_t expected;	       /* text of the expected token */
	uint64_t hash;	       /* of the prompt */
	char outcome_name[16]; /* as the response states it; empty: none */
	calls_response_t response_head;
	bool mismatch; /* a token or event id differs from the expected one */
	bool stream_done; /* "[DONE]" was received */
	struct transfer *next_free;
} transfer_t;

struct load_protocol {
	/* Sets the URL, headers and body of the request. */
	void (*write_request)(transfer_t *t);
	void (*read_header)(transfer_t *t, str_t line);
	void (*read_body)(transfer_t *t, str_t bytes);
	/* `status` is 0 without a response; `complete`: curl reported no
	 * error. */
	load_outcome_t (*get_outcome)(transfer_t *t, unsigned status,
				      bool complete);
};

/* The hosts' native HTTP interface: chat completions and service calls. */
const load_protocol_t *load_native_chat_protocol(void);
const load_protocol_t *load_native_call_protocol(void);
/* The HTTP interface of the users' platform. */
const load_protocol_t *load_platform_protocol(void);

void transfer_add_header(transfer_t *t, const char *name, const char *value);

/* Time since the run began. */
int64_t transfer_now_us(const transfer_t *t);

/* Time until the request's deadline, at least 1 ms. */
int64_t transfer_remaining_ms(const transfer_t *t);

/* Records the time to the first token, or to the first byte of the body of a
 * call. Later calls have no effect. */
void transfer_mark_first_byte(transfer_t *t);

/* Counts a token of a stream and records the time since the previous one. */
void transfer_count_token(transfer_t *t);

/* Calls `on_line` with each complete line, NUL-terminated and without its end
 * of line. An incomplete line is kept for the next call. */
void transfer_split_lines(transfer_t *t, str_t bytes,
			  void (*on_line)(transfer_t *t, const char *line));

/* Appends bytes to a body that is checked after the transfer. */
void transfer_append_body(transfer_t *t, str_t bytes);

#endif
