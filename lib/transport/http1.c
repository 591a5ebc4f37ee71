#include "transport/http1.h"

#include <ctype.h>
#include <stdlib.h>
#include <strings.h>

#include "transport/hopfields.h"

/* A head buffer above this capacity is freed between messages. */
#define HTTP1_MAX_IDLE_HEAD_BYTES 2048
/* The same for its fields, and the number that a head begins with. */
#define HTTP1_IDLE_FIELDS 32
/* A field takes at least a colon and the end of the line beside its text. */
#define HTTP1_SEPARATOR_BYTES 3
/* Return value of on_headers_complete() that makes http_parser fail; it gives
 * 0 to 2 other meanings. */
#define HTTP1_REJECT_HEAD 3
#define HTTP1_STATUS_DIGITS 3
#define HTTP1_MIN_STATUS 100
#define HTTP1_SWITCHING_PROTOCOLS 101

static int fail_too_large(http1_t *http)
{
	http->too_large = true;
	return 1;
}

static int append_text(http1_t *http, const char *at, size_t len)
{
	if (http->head.text.len + len +
		    http->head.field_count * HTTP1_SEPARATOR_BYTES >
	    http->max_head_bytes)
		return fail_too_large(http);
	buf_append(&http->head.text, at, len);
	return 0;
}

static int on_url(http_parser *parser, const char *at, size_t len)
{
	http1_t *http = parser->data;

	if (append_text(http, at, len))
		return 1;
	http->head.target_len += (uint32_t)len;
	return 0;
}

static http1_field_t *add_field(http1_head_t *head)
{
	if (head->field_count == head->field_cap) {
		size_t cap = head->field_cap ? 2 * head->field_cap :
					       HTTP1_IDLE_FIELDS;
		http1_field_t *grown =
			realloc(head->fields, cap * sizeof(*grown));

		if (!grown)
			abort();
		head->fields = grown;
		head->field_cap = cap;
	}
	return &head->fields[head->field_count++];
}

static int on_field(http_parser *parser, const char *at, size_t len)
{
	http1_t *http = parser->data;
	http1_head_t *head = &http->head;
	http1_field_t *field;

	if (head->complete)
		return 0; /* trailers are not forwarded */
	if (!head->field_count || http->in_value) {
		field = add_field(head);
		*field = (http1_field_t){.name = (uint32_t)head->text.len};
		http->in_value = false;
	}
	field = &head->fields[head->field_count - 1];
	field->name_len += (uint32_t)len;
	return append_text(http, at, len);
}

static int on_value(http_parser *parser, const char *at, size_t len)
{
	http1_t *http = parser->data;
	http1_head_t *head = &http->head;
	http1_field_t *field;

	if (head->complete)
		return 0;
	field = &head->fields[head->field_count - 1];
	http->in_value = true;
	field->value_len += (uint32_t)len & INT32_MAX;
	return append_text(http, at, len);
}

/* http_parser accepts blanks in field names; other parsers may interpret such
 * a name differently. */
static bool is_token(str_t name)
{
	static const char extra[] = "!#$%&'*+-.^_`|~";

	for (size_t i = 0; i < name.len; i++) {
		char c = name.ptr[i];

		if (!(c >= 'a' && c <= 'z') && !(c >= 'A' && c <= 'Z') &&
		    !(c >= '0' && c <= '9') && !(c && strchr(extra, c)))
			return false;
	}
	return name.len > 0;
}

/* http_parser treats a longer name with this prefix as Transfer-Encoding itself
 * and would frame the body differently from other parsers. */
static bool extends_transfer_encoding(str_t name)
{
	str_t field = STR_LIT("Transfer-Encoding");

	return name.len > field.len &&
	       http1_name_equals((str_t){name.ptr, field.len}, field);
}

static bool has_valid_names(const http1_head_t *head)
{
	for (size_t i = 0; i < head->field_count; i++) {
		str_t name = http1_field_name(head, i);

		if (!is_token(name) || extends_transfer_encoding(name))
			return false;
	}
	return true;
}

/* Counts the digits of a response's status; http_parser yields its value only,
 * and takes 0200 for 200. */
static void count_status_digits(http1_t *http, str_t data)
{
	for (size_t i = 0; i < data.len; i++) {
		char c = data.ptr[i];

		if (http->status_place == HTTP1_AFTER_STATUS)
			return;
		if (c == ' ' && !http->status_digits)
			http->status_place = HTTP1_IN_STATUS;
		else if (http->status_place == HTTP1_IN_STATUS &&
			 isdigit((unsigned char)c))
			http->status_digits++;
		else if (http->status_place == HTTP1_IN_STATUS)
			http->status_place = HTTP1_AFTER_STATUS;
	}
}

/* A request is never forwarded with an offer to change the protocol, so that
 * nothing can follow 101. */
static bool has_valid_status(const http1_t *http)
{
	const http_parser *parser = &http->parser;

	return parser->type == HTTP_REQUEST ||
	       (http->status_digits == HTTP1_STATUS_DIGITS &&
		parser->status_code >= HTTP1_MIN_STATUS &&
		parser->status_code != HTTP1_SWITCHING_PROTOCOLS);
}

static int on_headers_complete(http_parser *parser)
{
	http1_t *http = parser->data;
	http1_head_t *head = &http->head;

	if (!has_valid_names(head) || !has_valid_status(http))
		return HTTP1_REJECT_HEAD;
	hopfields_mark(head);
	head->complete = true;
	head->keep_alive = http_should_keep_alive(parser);
	head->chunked = parser->flags & F_CHUNKED;
	head->has_content_length = parser->flags & F_CONTENTLENGTH;
	head->content_length =
		head->has_content_length ? parser->content_length : 0;
	head->method = parser->method;
	head->status = parser->status_code;
	head->minor = parser->http_minor;
	/* A request to change the protocol may be ignored (RFC 9110, section
	 * 7.8); the parser would stop reading the body. */
	if (parser->type == HTTP_REQUEST)
		parser->upgrade = 0;
	return http->no_body;
}

static int on_body(http_parser *parser, const char *at, size_t len)
{
	http1_t *http = parser->data;

	http->ops->on_body(http, (str_t){at, len});
	return 0;
}

static int on_message_complete(http_parser *parser)
{
	http1_t *http = parser->data;

	http->done = true;
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings callbacks = {
	.on_url = on_url,
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_headers_complete,
	.on_body = on_body,
	.on_message_complete = on_message_complete,
};

void http1_init(http1_t *http, const http1_ops_t *ops,
		enum http_parser_type type, size_t max_head_bytes)
{
	*http = (http1_t){.ops = ops, .max_head_bytes = max_head_bytes};
	http_parser_init(&http->parser, type);
	http->parser.data = http;
}

void http1_release(http1_t *http)
{
	buf_release(&http->head.text);
	free(http->head.fields);
	http->head = (http1_head_t){.field_count = 0};
}

size_t http1_capacity(const http1_t *http)
{
	return http->head.text.cap +
	       http->head.field_cap * sizeof(*http->head.fields);
}

void http1_next(http1_t *http)
{
	http1_head_t *head = &http->head;

	buf_reset(&head->text);
	if (head->text.cap > HTTP1_MAX_IDLE_HEAD_BYTES)
		buf_release(&head->text);
	if (head->field_cap > HTTP1_IDLE_FIELDS) {
		free(head->fields);
		head->fields = NULL;
		head->field_cap = 0;
	}
	*head = (http1_head_t){.text = head->text,
			       .fields = head->fields,
			       .field_cap = head->field_cap};
	http->in_value = false;
	http->too_large = false;
	http->done = false;
	http->status_place = HTTP1_BEFORE_STATUS;
	http->status_digits = 0;
	http_parser_init(&http->parser,
			 (enum http_parser_type)http->parser.type);
}

http1_result_t http1_feed(http1_t *http, str_t data, size_t *consumed)
{
	*consumed = 0;
	/* http_parser treats 0 bytes as the end of the connection. */
	if (!data.len)
		return HTTP1_MORE;
	if (http->parser.type == HTTP_RESPONSE)
		count_status_digits(http, data);
	*consumed = http_parser_execute(&http->parser, &callbacks, data.ptr,
					data.len);
	if (http->done)
		return HTTP1_MESSAGE;
	if (http->too_large)
		return HTTP1_HEAD_TOO_LARGE;
	if (HTTP_PARSER_ERRNO(&http->parser) != HPE_OK || http->parser.upgrade)
		return HTTP1_MALFORMED;
	return HTTP1_MORE;
}

http1_result_t http1_finish(http1_t *http)
{
	http_parser_execute(&http->parser, &callbacks, NULL, 0);
	if (http->done)
		return HTTP1_MESSAGE;
	return http1_has_begun(http) ? HTTP1_MALFORMED : HTTP1_MORE;
}

bool http1_has_begun(const http1_t *http)
{
	return http->parser.nread || http->head.text.len || http->head.complete;
}

str_t http1_target(const http1_head_t *head)
{
	return (str_t){head->text.ptr, head->target_len};
}

str_t http1_field_name(const http1_head_t *head, size_t index)
{
	const http1_field_t *field = &head->fields[index];

	return (str_t){head->text.ptr + field->name, field->name_len};
}

str_t http1_field_value(const http1_head_t *head, size_t index)
{
	const http1_field_t *field = &head->fields[index];

	return (str_t){head->text.ptr + field->name + field->name_len,
		       field->value_len};
}

bool http1_name_equals(str_t a, str_t b)
{
	return a.len == b.len && !strncasecmp(a.ptr, b.ptr, a.len);
}

str_t http1_find(const http1_head_t *head, str_t name)
{
	for (size_t i = 0; i < head->field_count; i++)
		if (http1_name_equals(http1_field_name(head, i), name))
			return http1_field_value(head, i);
	return (str_t){NULL, 0};
}

bool http1_is_hop_by_hop_field(const http1_head_t *head, size_t index)
{
	return head->fields[index].is_hop_by_hop;
}

const char *http1_reason(unsigned status)
{
	return http_status_str((enum http_status)status);
}
