#ifndef COORDINATION_SENDRING_H
#define COORDINATION_SENDRING_H

#include <stdint.h>

/*
 * sendring - the times of this host's latest sends to an endpoint
 */
#define SENDRING_SIZE 64

typedef struct sendring {
	int64_t sends_ms[SENDRING_SIZE]; /* newest at next - 1; 0: none */
	unsigned next;
} sendring_t;

void sendring_add(sendring_t *ring, int64_t now_ms);

/* The time of the n-th newest send, from 1 to SENDRING_SIZE; 0 when there were
 * fewer. */
int64_t sendring_nth_ms(const sendring_t *ring, unsigned n);

#endif
