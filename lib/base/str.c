#include "base/str.h"

#include <stdlib.h>

int str_compare(str_t a, str_t b)
{
	size_t shorter = a.len < b.len ? a.len : b.len;
	int order = shorter ? memcmp(a.ptr, b.ptr, shorter) : 0;

	if (order)
		return order;
	return (a.len > b.len) - (a.len < b.len);
}

char *str_dup(str_t s)
{
	char *copy = malloc(s.len + 1);

	if (!copy)
		return NULL;
	if (s.len)
		memcpy(copy, s.ptr, s.len);
	copy[s.len] = '\0';
	return copy;
}

bool str_copy(char *dst, size_t size, str_t s)
{
	size_t len = s.len < size ? s.len : size - 1;

	if (len)
		memcpy(dst, s.ptr, len);
	dst[len] = '\0';
	return len == s.len;
}
