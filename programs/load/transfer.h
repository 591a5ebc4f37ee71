#ifndef LOAD_TRANSFER_H
#define LOAD_TRANSFER_H

#include <curl/curl.h>

#include "load/load.h"
#include "platform/calls.h"

/*
 * transfer - one request of a run on its way, and the protocol that it speaks
 */
#define TRANSFER_URL_BYTES (ADDRESS_BYTES + LOAD_PATH_BYTES + 32)

typedef struct load_interface load_interface_t;

/* Its handle is used again for later requests. */
typedef struct transfer {
	struct sender *sender;
	load_run_t *run;
	const load_class_t *class;
	const load_interface_t *interface;
	load_request_t *request;
	char id[LOAD_NAME_BYTES]; /* that no other request has */
	CURL *easy;
	struct curl_slist *headers;
	char url[TRANSFER_URL_BYTES];
	buf_t body;
	/* What has come. */
	buf_t line;	/* the last line so far, or the whole body of a call */
	buf_t expected; /* the present token */
	uint64_t hash;
	char outcome[16];
	calls_response_t answer;
	bool mismatch;
	bool done; /* the stream ended with its mark */
	struct transfer *next_free;
} transfer_t;

struct load_interface {
	/* Sets url, headers and body. */
	void (*write)(transfer_t *t);
	void (*read_header)(transfer_t *t, str_t line);
	void (*read_body)(transfer_t *t, str_t bytes);
	/* `status` is 0 without an answer; `whole`: the transfer ended well. */
	load_outcome_t (*judge)(transfer_t *t, unsigned status, bool whole);
};

/* The product's own interface: completions and calls of services. */
const load_interface_t *load_native_chat(void);
const load_interface_t *load_native_call(void);
/* The users' platform. */
const load_interface_t *load_platform(void);

void transfer_add_header(transfer_t *t, const char *name, const char *value);

/* Time since the run began. */
int64_t transfer_now_us(const transfer_t *t);

/* What is left of the request's deadline, 1 ms at least. */
int64_t transfer_left_ms(const transfer_t *t);

/* The first byte that counts has come. */
void transfer_note_first(transfer_t *t);

/* One more token of a stream has come. */
void transfer_note_token(transfer_t *t);

/* Calls `take` with each whole line, which ends with a NUL. */
void transfer_split_lines(transfer_t *t, str_t bytes,
			  void (*take)(transfer_t *t, const char *line));

/* Keeps bytes of a body that is read as a whole. */
void transfer_keep(transfer_t *t, str_t bytes);

#endif
