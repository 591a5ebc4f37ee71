#include "base/buf.h"

#include <assert.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#define BUF_MIN_BYTES 64

size_t buf_grown_cap(const buf_t *buf, size_t extra)
{
	size_t needed = buf->len + extra;
	size_t cap = buf->cap ? buf->cap : BUF_MIN_BYTES;

	while (cap < needed)
		cap *= 2;
	return cap;
}

void buf_reserve(buf_t *buf, size_t extra)
{
	size_t cap = buf_grown_cap(buf, extra);
	char *grown;

	if (buf->len + extra <= buf->cap)
		return;
	grown = realloc(buf->ptr, cap);
	if (!grown)
		abort();
	buf->ptr = grown;
	buf->cap = cap;
}

void buf_append(buf_t *buf, const void *data, size_t len)
{
	if (!len)
		return;
	buf_reserve(buf, len);
	memcpy(buf->ptr + buf->len, data, len);
	buf->len += len;
}

void buf_append_str(buf_t *buf, str_t s)
{
	buf_append(buf, s.ptr, s.len);
}

void buf_printf(buf_t *buf, const char *format, ...)
{
	va_list args;
	int len;

	va_start(args, format);
	len = vsnprintf(NULL, 0, format, args);
	va_end(args);
	assert(len >= 0);
	buf_reserve(buf, (size_t)len + 1);
	va_start(args, format);
	vsnprintf(buf->ptr + buf->len, (size_t)len + 1, format, args);
	va_end(args);
	buf->len += (size_t)len;
}

void buf_append_json(buf_t *buf, str_t s)
{
	buf_append(buf, "\"", 1);
	for (size_t i = 0; i < s.len; i++) {
		unsigned char c = (unsigned char)s.ptr[i];

		if (c == '"' || c == '\\')
			buf_printf(buf, "\\%c", c);
		else if (c == '\n')
			buf_append(buf, "\\n", 2);
		else if (c < 0x20)
			buf_printf(buf, "\\u%04x", c);
		else
			buf_append(buf, &s.ptr[i], 1);
	}
	buf_append(buf, "\"", 1);
}

void buf_consume(buf_t *buf, size_t len)
{
	assert(len <= buf->len);
	if (len && len < buf->len)
		memmove(buf->ptr, buf->ptr + len, buf->len - len);
	buf->len -= len;
}

void buf_reset(buf_t *buf)
{
	buf->len = 0;
}

void buf_release(buf_t *buf)
{
	free(buf->ptr);
	*buf = (buf_t)BUF_INIT;
}
