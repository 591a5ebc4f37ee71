#include "cache.h"

#include <stddef.h>
#include <string.h>

#define MAX_PREFIXES 1024

static uint64_t cache[MAX_PREFIXES]; /* most recent first */

bool cache_touch(uint64_t prefix, long limit)
{
	size_t last, index = 0;
	bool hit;

	if (limit < 1)
		limit = 1;
	last = (size_t)(limit < MAX_PREFIXES ? limit : MAX_PREFIXES) - 1;
	while (index < last && cache[index] != prefix)
		index++;
	hit = cache[index] == prefix;
	memmove(&cache[1], &cache[0], index * sizeof(cache[0]));
	cache[0] = prefix;
	return hit;
}

void cache_clear(void)
{
	memset(cache, 0, sizeof(cache));
}
