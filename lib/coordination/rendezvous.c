#include "coordination/rendezvous.h"

#include <xxhash.h>

static uint64_t hash(str_t s, uint64_t seed)
{
	return XXH3_64bits_withSeed(s.len ? s.ptr : "", s.len, seed);
}

/* Orders hosts by descending weight, then by name. */
static bool ranks_before(uint64_t weight, str_t host, uint64_t other_weight,
			 str_t other_host)
{
	if (weight != other_weight)
		return weight > other_weight;
	return str_compare(host, other_host) < 0;
}

/* Each hash seeds the next one, so that splitting the same bytes differently
 * into purpose, key and host gives different weights. */
uint64_t rendezvous_weight(str_t purpose, str_t key, str_t host)
{
	return hash(host, hash(key, hash(purpose, 0)));
}

int rendezvous_pick(str_t purpose, str_t key, const str_t *hosts, size_t count)
{
	int best = -1;
	uint64_t best_weight = 0;

	for (size_t i = 0; i < count; i++) {
		uint64_t weight = rendezvous_weight(purpose, key, hosts[i]);

		if (best < 0 ||
		    ranks_before(weight, hosts[i], best_weight, hosts[best])) {
			best = (int)i;
			best_weight = weight;
		}
	}
	return best;
}

size_t rendezvous_rank(str_t purpose, str_t key, const str_t *hosts,
		       size_t count, size_t index)
{
	uint64_t own = rendezvous_weight(purpose, key, hosts[index]);
	size_t rank = 0;

	for (size_t i = 0; i < count; i++) {
		uint64_t weight = rendezvous_weight(purpose, key, hosts[i]);

		if (ranks_before(weight, hosts[i], own, hosts[index]) ||
		    (i < index && str_equals(hosts[i], hosts[index])))
			rank++;
	}
	return rank;
}
