#ifndef TRANSPORT_HTTP1_H
#define TRANSPORT_HTTP1_H

#include <http_parser.h>

#include "base/buf.h"

/*
 * http1 - incremental HTTP/1.1 message parser over http_parser
 *
 * An http1_t parses the successive messages of a connection. Each ends with
 * HTTP1_MESSAGE, after which http1_next() must be called; bytes that follow a
 * message are not consumed. A head is bounded by its bytes alone: target, names
 * and values, and the separators of the fields. Its buffers take up to seven
 * times that. A response is malformed unless its status has three digits, is
 * 100 or more, and is not 101 (Switching Protocols).
 */

typedef struct http1 http1_t;

typedef struct http1_ops {
	/* Body bytes of the current message; valid during the call only. */
	void (*on_body)(http1_t *http, str_t data);
} http1_ops_t;

typedef enum http1_result {
	HTTP1_MORE,    /* all bytes consumed, the message is incomplete */
	HTTP1_MESSAGE, /* the message is complete */
	HTTP1_HEAD_TOO_LARGE,
	HTTP1_MALFORMED
} http1_result_t;

typedef struct http1_field {
	uint32_t name, name_len;
	uint32_t value_len : 31; /* the value follows the name */
	uint32_t is_hop_by_hop : 1;
} http1_field_t;

/* How far the status line of a response has been read. */
typedef enum http1_status_place {
	HTTP1_BEFORE_STATUS,
	HTTP1_IN_STATUS,
	HTTP1_AFTER_STATUS
} http1_status_place_t;

/* The head of a message; http1_field_t holds an offset into `text`. */
typedef struct http1_head {
	buf_t text;
	http1_field_t *fields;
	size_t field_count, field_cap;
	uint32_t target_len; /* requests: the target is at the start of text */
	bool complete;
	bool keep_alive;
	bool chunked;
	bool has_content_length;
	uint64_t content_length;
	unsigned method; /* requests: an http_method */
	unsigned status; /* responses */
	unsigned minor;	 /* of HTTP/1.x */
} http1_head_t;

struct http1 {
	const http1_ops_t *ops;
	http_parser parser;
	http1_head_t head;
	size_t max_head_bytes;
	bool in_value;
	bool too_large;
	bool done;
	http1_status_place_t status_place; /* responses only, as the next */
	unsigned status_digits;
	bool no_body; /* responses are to a HEAD request; set by the owner */
};

void http1_init(http1_t *http, const http1_ops_t *ops,
		enum http_parser_type type, size_t max_head_bytes);
void http1_release(http1_t *http);

/* RETURN VALUE: the bytes that the buffers of the head take. */
size_t http1_capacity(const http1_t *http);

/* Prepares for the next message on the connection. */
void http1_next(http1_t *http);

/* Parses bytes; `consumed` is set to how many belong to this message. */
http1_result_t http1_feed(http1_t *http, str_t data, size_t *consumed);

/*
 * Ends the message at the end of the stream.
 *
 * RETURN VALUE: HTTP1_MESSAGE when this completes a response without a length,
 * HTTP1_MORE when no message had begun, else HTTP1_MALFORMED.
 */
http1_result_t http1_finish(http1_t *http);

/* True once a byte of the current message has been parsed. */
bool http1_has_begun(const http1_t *http);

str_t http1_target(const http1_head_t *head);
str_t http1_field_name(const http1_head_t *head, size_t index);
str_t http1_field_value(const http1_head_t *head, size_t index);

/* The first value of a field; ptr NULL when the field is absent. */
str_t http1_find(const http1_head_t *head, str_t name);

/* Compares field names without regard to case. */
bool http1_name_equals(str_t a, str_t b);

/*
 * True for the fields of a complete head that concern this connection only, see
 * hopfields.h.
 */
bool http1_is_hop_by_hop_field(const http1_head_t *head, size_t index);

/* Standard reason phrase of a status. */
const char *http1_reason(unsigned status);

#endif
