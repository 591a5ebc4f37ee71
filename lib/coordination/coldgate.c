#include "coordination/coldgate.h"

/* Requests per window of all hosts together. */
static double usable_limit(double per_s, double overshoot, double slack)
{
	return (per_s * overshoot + slack) * (1.0 - COLDGATE_RESERVE_SHARE);
}

unsigned coldgate_share(double per_s, double overshoot, double slack,
			unsigned hosts)
{
	double limit = usable_limit(per_s, overshoot, slack);
	unsigned share = (unsigned)(limit / (hosts ? hosts : 1));

	return share < SENDRING_SIZE ? share : SENDRING_SIZE;
}

unsigned coldgate_dealt_share(double per_s, double overshoot, double slack,
			      size_t rank)
{
	double limit = usable_limit(per_s, overshoot, slack);

	return rank < (size_t)(limit * COLDGATE_DEALT_PART);
}

bool coldgate_allows(const sendring_t *sends, unsigned share, int64_t now_ms)
{
	int64_t nth_ms;

	if (!share)
		return false;
	nth_ms = sendring_nth_ms(sends, share);
	return !nth_ms || nth_ms <= now_ms - COLDGATE_WINDOW_MS;
}
