#include "transport/hopfields.h"

#include <stdlib.h>

#include "transport/httptext.h"

/* FNV-1a */
#define HASH_BASIS 0xcbf29ce484222325ull
#define HASH_PRIME 0x100000001b3ull

#define CONNECTION STR_LIT("Connection")

static bool is_fixed(str_t name)
{
	static const str_t names[] = {{"Connection", 10},
				      {"Keep-Alive", 10},
				      {"Proxy-Connection", 16},
				      {"Proxy-Authenticate", 18},
				      {"Proxy-Authorization", 19},
				      {"TE", 2},
				      {"Trailer", 7},
				      {"Transfer-Encoding", 17},
				      {"Upgrade", 7},
				      {"Content-Length", 14},
				      {"Expect", 6}};

	for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++)
		if (http1_name_equals(name, names[i]))
			return true;
	return false;
}

/* RETURN VALUE: a hash that doesn't depend on case. */
static uint64_t hash_name(str_t name)
{
	uint64_t hash = HASH_BASIS;

	for (size_t i = 0; i < name.len; i++) {
		unsigned char c = (unsigned char)name.ptr[i];

		hash ^= c >= 'A' && c <= 'Z' ? c + ('a' - 'A') : c;
		hash *= HASH_PRIME;
	}
	return hash;
}

/* Appends the hashes of the names in a comma-separated list. */
static void add_hashes(buf_t *hashes, str_t list)
{
	while (list.len) {
		const char *comma = memchr(list.ptr, ',', list.len);
		size_t len = comma ? (size_t)(comma - list.ptr) : list.len;
		uint64_t hash =
			hash_name(httptext_trim((str_t){list.ptr, len}));

		buf_append(hashes, (const char *)&hash, sizeof(hash));
		if (comma)
			len++;
		list = (str_t){list.ptr + len, list.len - len};
	}
}

static int compare_hashes(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return (x > y) - (x < y);
}

void hopfields_mark(http1_head_t *head)
{
	buf_t hashes = BUF_INIT;
	size_t count;

	for (size_t i = 0; i < head->field_count; i++) {
		str_t name = http1_field_name(head, i);

		head->fields[i].is_hop_by_hop = is_fixed(name);
		if (http1_name_equals(name, CONNECTION))
			add_hashes(&hashes, http1_field_value(head, i));
	}
	count = hashes.len / sizeof(uint64_t);
	if (count)
		qsort(hashes.ptr, count, sizeof(uint64_t), compare_hashes);
	for (size_t i = 0; count && i < head->field_count; i++) {
		uint64_t hash = hash_name(http1_field_name(head, i));

		if (bsearch(&hash, hashes.ptr, count, sizeof(hash),
			    compare_hashes))
			head->fields[i].is_hop_by_hop = true;
	}
	buf_release(&hashes);
}
