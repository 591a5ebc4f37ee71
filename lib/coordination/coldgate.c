#include "coordination/coldgate.h"

unsigned coldgate_share(double per_s, double overshoot, double slack,
			unsigned hosts)
{
	double limit =
		(per_s * overshoot + slack) * (1.0 - COLDGATE_RESERVE_SHARE);
	unsigned share = (unsigned)(limit / (hosts ? hosts : 1));

	return share < COLDGATE_MAX_SENDS ? share : COLDGATE_MAX_SENDS;
}

bool coldgate_allows(const coldgate_t *gate, unsigned share, int64_t now_ms)
{
	unsigned recent = 0;

	for (unsigned i = 0; i < COLDGATE_MAX_SENDS; i++)
		if (gate->sends_ms[i] &&
		    gate->sends_ms[i] > now_ms - COLDGATE_WINDOW_MS)
			recent++;
	return recent < share;
}

void coldgate_on_send(coldgate_t *gate, int64_t now_ms)
{
	gate->sends_ms[gate->next] = now_ms;
	gate->next = (gate->next + 1) % COLDGATE_MAX_SENDS;
}
