#include "transport/httptext.h"

#include <assert.h>
#include <stdio.h>
#include <string.h>

#define MS_PER_S 1000

str_t httptext_trim(str_t text)
{
	while (text.len && (text.ptr[0] == ' ' || text.ptr[0] == '\t'))
		text = (str_t){text.ptr + 1, text.len - 1};
	while (text.len && (text.ptr[text.len - 1] == ' ' ||
			    text.ptr[text.len - 1] == '\t'))
		text.len--;
	return text;
}

str_t httptext_value(const http1_head_t *head, str_t name)
{
	return httptext_trim(http1_find(head, name));
}

bool httptext_parse_number(str_t *text, unsigned base, uint64_t *number)
{
	size_t at = 0;

	*number = 0;
	for (; at < text->len; at++) {
		char c = text->ptr[at];
		unsigned digit =
			c >= '0' && c <= '9' ? (unsigned)(c - '0') :
			c >= 'a' && c <= 'f' ? (unsigned)(c - 'a' + 10) :
			c >= 'A' && c <= 'F' ? (unsigned)(c - 'A' + 10) :
					       base;

		if (digit >= base || *number > UINT64_MAX / base / 2)
			break;
		*number = *number * base + digit;
	}
	*text = (str_t){text->ptr + at, text->len - at};
	return at > 0;
}

int64_t httptext_read_ms(const http1_head_t *head, str_t name)
{
	str_t value = httptext_value(head, name);
	uint64_t number;

	if (!value.ptr || !httptext_parse_number(&value, 10, &number) ||
	    number > INT32_MAX)
		return -1;
	return (int64_t)number;
}

str_t httptext_bearer(const http1_head_t *head)
{
	str_t value = httptext_value(head, STR_LIT("Authorization"));
	str_t scheme = STR_LIT("Bearer ");

	if (value.len < scheme.len ||
	    !http1_name_equals((str_t){value.ptr, scheme.len}, scheme))
		return (str_t){NULL, 0};
	return httptext_trim(
		(str_t){value.ptr + scheme.len, value.len - scheme.len});
}

int64_t httptext_keep_alive_ms(const http1_head_t *head)
{
	str_t value = http1_find(head, STR_LIT("Keep-Alive"));
	str_t name = STR_LIT("timeout=");

	for (size_t i = 0; i + name.len <= value.len; i++) {
		str_t rest = {value.ptr + i, value.len - i};
		uint64_t seconds;

		if (!str_starts_with(rest, name))
			continue;
		rest = (str_t){rest.ptr + name.len, rest.len - name.len};
		if (httptext_parse_number(&rest, 10, &seconds) &&
		    seconds < INT32_MAX)
			return (int64_t)seconds * MS_PER_S;
	}
	return -1;
}

static bool is_digit(str_t text)
{
	return text.len && text.ptr[0] >= '0' && text.ptr[0] <= '9';
}

/* Parses a decimal point and the digits after it, truncated to whole ms. */
static int64_t parse_fraction_ms(str_t *text)
{
	int64_t unit_ms = MS_PER_S;
	int64_t ms = 0;

	*text = (str_t){text->ptr + 1, text->len - 1};
	for (; is_digit(*text); *text = (str_t){text->ptr + 1, text->len - 1}) {
		unit_ms /= 10;
		ms += unit_ms * (text->ptr[0] - '0');
	}
	return ms;
}

bool httptext_retry_after(const http1_head_t *head, int64_t *ms)
{
	str_t value = httptext_value(head, STR_LIT("Retry-After"));
	uint64_t seconds;

	*ms = -1;
	if (!value.ptr)
		return false;
	if (!httptext_parse_number(&value, 10, &seconds))
		return true;
	while (is_digit(value)) { /* remaining digits after overflow */
		seconds = UINT64_MAX;
		value = (str_t){value.ptr + 1, value.len - 1};
	}
	if (seconds > INT32_MAX / MS_PER_S - 1)
		seconds = INT32_MAX / MS_PER_S - 1;
	*ms = (int64_t)seconds * MS_PER_S;
	if (value.len && value.ptr[0] == '.')
		*ms += parse_fraction_ms(&value);
	if (value.len)
		*ms = -1; /* a date, or malformed */
	return true;
}

/* RETURN VALUE: the number, or -1 unless all of `text` is one. */
static double parse_decimal(str_t text)
{
	double value = 0.0;
	double unit = 1.0;

	if (!is_digit(text))
		return -1.0;
	for (; is_digit(text); text = (str_t){text.ptr + 1, text.len - 1})
		value = value * 10.0 + (text.ptr[0] - '0');
	if (text.len && text.ptr[0] == '.')
		text = (str_t){text.ptr + 1, text.len - 1};
	for (; is_digit(text); text = (str_t){text.ptr + 1, text.len - 1}) {
		unit /= 10.0;
		value += unit * (text.ptr[0] - '0');
	}
	return text.len ? -1.0 : value;
}

/* Takes the first element off a comma-separated list. */
static str_t next_element(str_t *list)
{
	const char *comma =
		list->len ? memchr(list->ptr, ',', list->len) : NULL;
	str_t element = *list;

	if (comma)
		element.len = (size_t)(comma - list->ptr);
	list->ptr += element.len + (comma != NULL);
	list->len -= element.len + (comma != NULL);
	return httptext_trim(element);
}

bool httptext_read_lowest(const http1_head_t *head, str_t name, double *lowest)
{
	bool found = false;

	*lowest = -1.0;
	for (size_t i = 0; i < head->field_count; i++) {
		str_t list = http1_field_value(head, i);

		if (!http1_name_equals(http1_field_name(head, i), name))
			continue;
		found = true;
		while (list.len) {
			double value = parse_decimal(next_element(&list));

			if (value >= 0.0 && (*lowest < 0.0 || value < *lowest))
				*lowest = value;
		}
	}
	return found;
}

bool httptext_is_encoded(const http1_head_t *head)
{
	str_t coding = httptext_value(head, STR_LIT("Content-Encoding"));

	return coding.len && !http1_name_equals(coding, STR_LIT("identity"));
}

str_t httptext_path(const http1_head_t *head)
{
	str_t target = http1_target(head);
	const char *query =
		target.len ? memchr(target.ptr, '?', target.len) : NULL;

	return query ? (str_t){target.ptr, (size_t)(query - target.ptr)} :
		       target;
}

void httptext_append_request(buf_t *out, const http1_head_t *head, str_t target)
{
	buf_append_str(
		out, str_from(http_method_str((enum http_method)head->method)));
	buf_append_str(out, STR_LIT(" "));
	buf_append_str(out, target);
	buf_append_str(out, STR_LIT(" HTTP/1.1\r\n"));
}

void httptext_append_status(buf_t *out, unsigned status)
{
	buf_printf(out, "HTTP/1.1 %u %s\r\n", status, http1_reason(status));
}

void httptext_drop_body(buf_t *out)
{
	const char *end = memmem(out->ptr, out->len, "\r\n\r\n", 4);

	assert(end);
	out->len = (size_t)(end - out->ptr) + 4;
}

void httptext_append_field(buf_t *out, str_t name, str_t value)
{
	buf_append_str(out, name);
	buf_append_str(out, STR_LIT(": "));
	buf_append_str(out, value);
	buf_append_str(out, STR_LIT("\r\n"));
}

void httptext_append_number(buf_t *out, str_t name, int64_t number)
{
	char text[24];
	int len = snprintf(text, sizeof(text), "%lld", (long long)number);

	httptext_append_field(out, name, (str_t){text, (size_t)len});
}
