#ifndef COORDINATION_UNITSHARE_H
#define COORDINATION_UNITSHARE_H

#include <stddef.h>

/*
 * unitshare - divides the units of a limit among hosts
 *
 * A limit on the sum over all hosts is divided into whole units, such as one
 * request in flight or one request in a time window. Hosts that agree on the
 * list of hosts and on their ranks never use more than all units together; a
 * host may have none.
 */

/* Units of the host with this rank, from 0, among `hosts` hosts. */
unsigned unitshare_of(unsigned units, size_t hosts, size_t rank);

#endif
