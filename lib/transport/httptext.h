#ifndef TRANSPORT_HTTPTEXT_H
#define TRANSPORT_HTTPTEXT_H

#include "transport/http1.h"

/*
 * httptext - values of header fields, and the text of a head
 *
 * What the wire formats of callers and endpoints have in common.
 */

/* The text without blanks around it. */
str_t httptext_trim(str_t text);

/* The trimmed value of a field; ptr NULL when there is none. */
str_t httptext_value(const http1_head_t *head, str_t name);

/* Reads digits at the start of `text` and moves it behind them; false without
 * a digit. A number that overflows ends before the digit that would do so. */
bool httptext_parse_number(str_t *text, unsigned base, uint64_t *number);

/* A whole number of ms; -1 when the field is missing or malformed. */
int64_t httptext_read_ms(const http1_head_t *head, str_t name);

/* The credentials of the scheme Bearer; ptr NULL without them. */
str_t httptext_bearer(const http1_head_t *head);

/* The parameter `timeout` of Keep-Alive, in ms; -1 without one. */
int64_t httptext_keep_alive_ms(const http1_head_t *head);

/*
 * Reads Retry-After, a number of seconds that may have a fraction.
 *
 * RETURN VALUE: false when there is none. `ms` is -1 when it can't be read, and
 * at most INT32_MAX.
 */
bool httptext_retry_after(const http1_head_t *head, int64_t *ms);

/* True when the body has a content coding. */
bool httptext_is_encoded(const http1_head_t *head);

/* The target's path, without the query. */
str_t httptext_path(const http1_head_t *head);

/* Parts of a head that is being written. */
void httptext_append_request(buf_t *out, const http1_head_t *head,
			     str_t target);
void httptext_append_status(buf_t *out, unsigned status);
void httptext_append_field(buf_t *out, str_t name, str_t value);
void httptext_append_number(buf_t *out, str_t name, int64_t number);

#endif
