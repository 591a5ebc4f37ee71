#ifndef BASE_STR_H
#define BASE_STR_H

#include <stdbool.h>
#include <stddef.h>
#include <string.h>

/*
 * str - length-counted string views
 *
 * A str_t points at bytes that it does not own. The bytes need not end in NUL
 * and may contain NUL. A view is valid only as long as the buffer behind it.
 */
typedef struct str {
	const char *ptr;
	size_t len;
} str_t;

/* For printf formats: printf("%" STR_FMT, STR_ARG(s)). */
#define STR_FMT ".*s"
#define STR_ARG(s) (int)(s).len, (s).ptr ? (s).ptr : ""

#define STR_LIT(literal) ((str_t){(literal), sizeof(literal) - 1})

static inline str_t str_from(const char *text)
{
	return (str_t){text, text ? strlen(text) : 0};
}

static inline bool str_equals(str_t a, str_t b)
{
	return a.len == b.len && (!a.len || !memcmp(a.ptr, b.ptr, a.len));
}

static inline bool str_starts_with(str_t s, str_t prefix)
{
	return s.len >= prefix.len && !memcmp(s.ptr, prefix.ptr, prefix.len);
}

/* Orders by bytes, shorter first among equal prefixes, as strcmp() does. */
int str_compare(str_t a, str_t b);

/*
 * Copies the view and a final NUL into a new allocation.
 *
 * RETURN VALUE: the copy, to be freed by the caller; NULL when out of memory.
 */
char *str_dup(str_t s);

/*
 * Copies the view into a NUL-terminated array of `size` bytes.
 *
 * RETURN VALUE: false when the copy was truncated.
 */
bool str_copy(char *dst, size_t size, str_t s);

#endif
