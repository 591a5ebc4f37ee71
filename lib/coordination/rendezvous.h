#ifndef COORDINATION_RENDEZVOUS_H
#define COORDINATION_RENDEZVOUS_H

#include <stdint.h>

#include "base/str.h"

/*
 * rendezvous - rendezvous (highest random weight) hashing
 *
 * All hosts compute the same weights from names alone. Removing a host moves
 * only the keys that were assigned to it.
 */

/* Weight of `host` for `key`; `purpose` separates independent rankings. */
uint64_t rendezvous_weight(str_t purpose, str_t key, str_t host);

/*
 * Index of the host with the highest weight, ties broken by name.
 *
 * RETURN VALUE: the index, or -1 for an empty list.
 */
int rendezvous_pick(str_t purpose, str_t key, const str_t *hosts, size_t count);

/* Rank of hosts[index], 0 for the highest weight. */
size_t rendezvous_rank(str_t purpose, str_t key, const str_t *hosts,
		       size_t count, size_t index);

#endif
