#ifndef TRANSPORT_HTTPTEXT_H
#define TRANSPORT_HTTPTEXT_H

#include "transport/http1.h"

/*
 * httptext - parses header field values and formats message heads
 *
 * Shared by the wire formats for callers and endpoints.
 */

/* Removes leading and trailing blanks. */
str_t httptext_trim(str_t text);

/* The trimmed value of a field; ptr NULL when the field is absent. */
str_t httptext_value(const http1_head_t *head, str_t name);

/*
 * Parses digits at the start of `text` and advances `text` past them. Stops
 * before a digit with which the number might overflow.
 *
 * RETURN VALUE: false without a digit.
 */
bool httptext_parse_number(str_t *text, unsigned base, uint64_t *number);

/* An integer number of ms; -1 when the field is missing or malformed. */
int64_t httptext_read_ms(const http1_head_t *head, str_t name);

/* The credentials of the Bearer scheme; ptr NULL when absent. */
str_t httptext_bearer(const http1_head_t *head);

/* The `timeout` parameter of Keep-Alive, in ms; -1 when absent. */
int64_t httptext_keep_alive_ms(const http1_head_t *head);

/*
 * Parses Retry-After as a number of seconds, which may have a fraction. `ms` is
 * set to -1 when absent or unsupported, and to at most INT32_MAX.
 *
 * RETURN VALUE: false when the field is absent.
 */
bool httptext_retry_after(const http1_head_t *head, int64_t *ms);

/*
 * Parses a field whose values are numbers with an optional fraction, such as
 * "2.5", and sets `lowest` to the lowest of them; the field may be repeated or
 * hold a list. Signs and exponents are not supported. `lowest` is -1 when no
 * value can be parsed.
 *
 * RETURN VALUE: false when the field is absent.
 */
bool httptext_read_lowest(const http1_head_t *head, str_t name, double *lowest);

/* True when the body has a content coding. */
bool httptext_is_encoded(const http1_head_t *head);

/* The path of the request target, without the query. */
str_t httptext_path(const http1_head_t *head);

/* Append parts of a message head. */
void httptext_append_request(buf_t *out, const http1_head_t *head,
			     str_t target);
void httptext_append_status(buf_t *out, unsigned status);
void httptext_append_field(buf_t *out, str_t name, str_t value);
void httptext_append_number(buf_t *out, str_t name, int64_t number);

/* Leaves the head of the complete response in `out`, for a HEAD request. */
void httptext_drop_body(buf_t *out);

#endif
