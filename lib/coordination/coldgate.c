#include "coordination/coldgate.h"

unsigned coldgate_share(double per_s, double overshoot, double slack,
			unsigned hosts)
{
	double limit =
		(per_s * overshoot + slack) * (1.0 - COLDGATE_RESERVE_SHARE);
	unsigned share = (unsigned)(limit / (hosts ? hosts : 1));

	return share < SENDRING_SIZE ? share : SENDRING_SIZE;
}

bool coldgate_allows(const sendring_t *sends, unsigned share, int64_t now_ms)
{
	int64_t nth_ms;

	if (!share)
		return false;
	nth_ms = sendring_nth_ms(sends, share);
	return !nth_ms || nth_ms <= now_ms - COLDGATE_WINDOW_MS;
}
