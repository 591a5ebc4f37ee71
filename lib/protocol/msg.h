#ifndef PROTOCOL_MSG_H
#define PROTOCOL_MSG_H

#include <stdbool.h>
#include <stdint.h>

#include "base/buf.h"
#include "base/err.h"

/*
 * msg - messages between daemons and their msgpack codec
 *
 * A message is a msgpack array whose first element is its kind. Strings of a
 * decoded message point into the frame, so they are valid as long as it.
 */
#define MSG_PROTOCOL 2
#define MSG_ID_BYTES 16
#define MSG_DIGEST_BYTES 32
#define MSG_MAX_POOLS 64
#define MSG_MAX_MEMBERS 8

typedef enum msg_kind {
	MSG_HELLO = 1,
	MSG_PING,
	MSG_STATUS,
	MSG_SUBMIT,
	MSG_START,
	MSG_CHUNK,
	MSG_END,
	MSG_CANCEL,
	MSG_TICKET_GET,
	MSG_TICKET,
	MSG_NODE_GET,
	MSG_NODE,
	MSG_UNCHANGED
} msg_kind_t;

typedef enum msg_role { MSG_ROLE_ENTRY = 1, MSG_ROLE_DISPATCH } msg_role_t;

/* What is known about a request that has ended. */
typedef enum msg_outcome {
	MSG_NOT_RUN = 1, /* no endpoint can have run it */
	MSG_COMPLETED,	 /* the whole answer was delivered */
	MSG_FAILED,	 /* an endpoint ran it and it failed */
	MSG_UNKNOWN	 /* an endpoint may have run it */
} msg_outcome_t;

typedef enum msg_submit_kind { MSG_MODEL = 1, MSG_CALL } msg_submit_kind_t;

typedef struct msg_id {
	uint8_t bytes[MSG_ID_BYTES];
} msg_id_t;

typedef struct msg_hello {
	unsigned protocol;
	msg_role_t role;
	str_t host;
	str_t domain;
	str_t address; /* dispatch address; empty for an entry daemon */
	msg_id_t incarnation;
} msg_hello_t;

typedef struct msg_ping {
	uint64_t sequence;
	uint64_t sheet_version;
	str_t sheet_digest;
} msg_ping_t;

/* Load of the endpoints of one pool that the sender owns. */
typedef struct msg_pool {
	str_t name; /* model/NAME or service/NAME */
	unsigned warm;
	unsigned window;
	unsigned in_flight;
	unsigned queued;
	uint64_t wait_ms; /* estimate for a request that comes now */
} msg_pool_t;

typedef struct msg_member {
	str_t host;
	str_t domain;
	str_t address;
} msg_member_t;

typedef struct msg_status {
	uint64_t sequence;
	str_t host;
	str_t domain;
	str_t address;
	msg_id_t incarnation;
	bool leaving;
	uint64_t sheet_version;
	str_t sheet_digest;
	int64_t wall_ms;
	msg_pool_t pools[MSG_MAX_POOLS];
	size_t pool_count;
	msg_member_t members[MSG_MAX_MEMBERS];
	size_t member_count;
} msg_status_t;

/* Stands for a STATUS that says the same as the last one on the link. */
typedef struct msg_unchanged {
	uint64_t sequence;
} msg_unchanged_t;

typedef struct msg_submit {
	msg_id_t id;
	msg_submit_kind_t kind;
	str_t pool;
	str_t class_name;
	str_t customer;
	unsigned customer_weight;
	str_t call;		 /* service call; empty for a model */
	str_t ticket;		 /* empty when repeatable */
	uint64_t timeout_ms;	 /* remaining until the request is given up */
	uint64_t first_token_ms; /* remaining until the target is missed */
	uint64_t cost_tokens;	 /* estimate of the output length */
	uint64_t affinity;	 /* hash of the prompt's prefix */
	str_t traceparent;
	str_t resume_endpoint; /* empty: start from the beginning */
	uint64_t resume_offset;
	bool stream;
	str_t body;
} msg_submit_t;

typedef struct msg_start {
	msg_id_t id;
	str_t endpoint;
	unsigned http_status;
	str_t content_type;
} msg_start_t;

typedef struct msg_chunk {
	msg_id_t id;
	uint64_t offset; /* number of this SSE event, from 0; 0 for calls */
	str_t bytes;
} msg_chunk_t;

typedef struct msg_end {
	msg_id_t id;
	msg_outcome_t outcome;
	str_t step;
	str_t peer;
	unsigned http_status;
	str_t message;
	uint64_t retry_after_ms;
	/* The request may be tried at another dispatcher: it was not run, or
	 * it is repeatable and nothing of the answer was sent. */
	bool retry_elsewhere;
} msg_end_t;

typedef struct msg_cancel {
	msg_id_t id;
} msg_cancel_t;

typedef struct msg_ticket_get {
	msg_id_t id;
	str_t customer;
	str_t service;
	str_t call;
} msg_ticket_get_t;

typedef struct msg_ticket {
	msg_id_t id;
	str_t ticket; /* empty: none could be issued */
} msg_ticket_t;

typedef struct msg_node_get {
	str_t digest; /* empty: the root */
} msg_node_get_t;

typedef struct msg_node {
	str_t digest;
	str_t bytes; /* empty: not here */
} msg_node_t;

typedef struct msg {
	msg_kind_t kind;
	union {
		msg_hello_t hello;
		msg_ping_t ping;
		msg_status_t status;
		msg_unchanged_t unchanged;
		msg_submit_t submit;
		msg_start_t start;
		msg_chunk_t chunk;
		msg_end_t end;
		msg_cancel_t cancel;
		msg_ticket_get_t ticket_get;
		msg_ticket_t ticket;
		msg_node_get_t node_get;
		msg_node_t node;
	} u;
} msg_t;

/* Appends the encoded message, without the frame's length. */
void msg_encode(const msg_t *msg, buf_t *out);

/*
 * Decodes one frame.
 *
 * RETURN VALUE: ERR_OK; ERR_INVALID for anything but one well-formed message
 * of a known kind with the exact number of fields; ERR_VERSION for a HELLO of
 * another protocol.
 */
err_code_t msg_decode(str_t frame, msg_t *msg, err_t *err);

const char *msg_outcome_name(msg_outcome_t outcome);
msg_id_t msg_id_random(void);
bool msg_id_equals(const msg_id_t *a, const msg_id_t *b);

/* Lower-case hex with a final NUL. */
void msg_id_to_hex(const msg_id_t *id, char out[2 * MSG_ID_BYTES + 1]);

#endif
