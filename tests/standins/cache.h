#ifndef CACHE_H
#define CACHE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * cache - the prompt prefixes that an engine has in memory, by recent use
 *
 * Not safe for several threads at once.
 */

/* Makes the prefix the newest of at most `limit`; true when it was there. */
bool cache_touch(uint64_t prefix, long limit);
void cache_clear(void);

#endif
