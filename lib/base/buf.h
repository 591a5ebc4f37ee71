#ifndef BASE_BUF_H
#define BASE_BUF_H

#include "base/str.h"

/*
 * buf - growable byte buffer
 *
 * Zero-initialise a buf_t before the first use (BUF_INIT). Running out of
 * memory aborts the process: a host has no persistent state to lose, bounded
 * queues limit its memory use, and no caller could recover.
 */
typedef struct buf {
	char *ptr;
	size_t len;
	size_t cap;
} buf_t;

#define BUF_INIT           \
	{                  \
		NULL, 0, 0 \
	}

/* RETURN VALUE: the capacity after buf_reserve() of `extra` bytes. */
size_t buf_grown_cap(const buf_t *buf, size_t extra);

/* Makes room for `extra` bytes after the current content. */
void buf_reserve(buf_t *buf, size_t extra);
void buf_append(buf_t *buf, const void *data, size_t len);
void buf_append_str(buf_t *buf, str_t s);
void buf_printf(buf_t *buf, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/* Appends the text as a quoted JSON string. */
void buf_append_json(buf_t *buf, str_t s);

/* Removes the first `len` bytes. */
void buf_consume(buf_t *buf, size_t len);

/* Empties the buffer and keeps its memory. */
void buf_reset(buf_t *buf);

/* Frees the memory; the buffer may be used again. */
void buf_release(buf_t *buf);

static inline str_t buf_view(const buf_t *buf)
{
	return (str_t){buf->ptr, buf->len};
}

#endif
