#include "state/lineset.h"

#include <stdlib.h>
#include <xxhash.h>

#define LINESET_MIN_SLOTS 64 /* a power of 2 */

struct lineset_entry {
	str_t value;
	unsigned line;
};

static void grow(lineset_t *set)
{
	lineset_t grown = {.cap = set->cap ? 2 * set->cap : LINESET_MIN_SLOTS};

	grown.entries = calloc(grown.cap, sizeof(*grown.entries));
	if (!grown.entries)
		abort();
	for (size_t i = 0; i < set->cap; i++) {
		if (set->entries[i].line)
			lineset_add(&grown, set->entries[i].value,
				    set->entries[i].line);
	}
	free(set->entries);
	*set = grown;
}

unsigned lineset_add(lineset_t *set, str_t value, unsigned line)
{
	size_t slot;

	if (2 * (set->count + 1) > set->cap)
		grow(set);
	slot = XXH64(value.ptr, value.len, 0) & (set->cap - 1);
	for (; set->entries[slot].line; slot = (slot + 1) & (set->cap - 1)) {
		if (str_equals(set->entries[slot].value, value))
			return set->entries[slot].line;
	}
	set->entries[slot] = (struct lineset_entry){value, line};
	set->count++;
	return 0;
}

void lineset_release(lineset_t *set)
{
	free(set->entries);
	*set = (lineset_t){0};
}
