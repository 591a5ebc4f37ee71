#include "coordination/sendring.h"

#include <assert.h>

void sendring_add(sendring_t *ring, int64_t now_ms)
{
	ring->sends_ms[ring->next] = now_ms;
	ring->next = (ring->next + 1) % SENDRING_SIZE;
}

int64_t sendring_nth_ms(const sendring_t *ring, unsigned n)
{
	assert(n && n <= SENDRING_SIZE);
	return ring->sends_ms[(ring->next + SENDRING_SIZE - n) % SENDRING_SIZE];
}
