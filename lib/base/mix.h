#ifndef BASE_MIX_H
#define BASE_MIX_H

#include <stdint.h>

/*
 * mix - combines two hashes into one, depending on their order
 *
 * Not for untrusted input on its own: the inputs must be hashes or ids that are
 * spread already.
 */
/* Multiplier of Fibonacci hashing, 2^64 divided by the golden ratio. */
#define MIX_MULTIPLIER 0x9e3779b97f4a7c15ull

static inline uint64_t mix_u64(uint64_t a, uint64_t b)
{
	uint64_t x = (a ^ (b * MIX_MULTIPLIER)) * MIX_MULTIPLIER;

	return x ^ (x >> 29);
}

#endif
