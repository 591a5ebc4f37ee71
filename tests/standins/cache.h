#ifndef CACHE_H
#define CACHE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * cache - least-recently-used cache of prompt prefixes
 *
 * Not safe for concurrent use.
 */

/* Makes the prefix the most recent of at most `limit`; false when it was not
 * cached. */
bool cache_touch(uint64_t prefix, long limit);
void cache_clear(void);

#endif
