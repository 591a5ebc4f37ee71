#include "coordination/lanes.h"

#include <math.h>

/* Groups of fewer engines have no lanes. */
#define MIN_GROUP 3
/* Below this demand, in engines, the mix of requests can't be estimated. */
#define IDLE_ENGINES 0.1

/* Demand of the lane, in engines. */
static double needed_engines(const lanes_load_t *load)
{
	return fmax(load->prefill_share_sum / LANES_MAX_PREFILL_SHARE,
		    load->slot_share_sum / LANES_MAX_SLOT_SHARE);
}

bool lanes_follow_load(unsigned hosts)
{
	return hosts <= LANES_MAX_HOSTS;
}

double lanes_wanted_share(const lanes_load_t *express, const lanes_load_t *bulk)
{
	double wanted = needed_engines(express);
	double total = wanted + needed_engines(bulk);

	if (total < IDLE_ENGINES)
		return LANES_MIN_SHARE;
	return fmin(fmax(wanted / total, LANES_MIN_SHARE), LANES_MAX_SHARE);
}

void lanes_update(lanes_t *lanes, const lanes_load_t *express,
		  const lanes_load_t *bulk, int64_t now_ms)
{
	double wanted = lanes_wanted_share(express, bulk);
	double passed_ms = (double)(now_ms - lanes->updated_ms);

	if (lanes->share <= 0.0)
		lanes->share = LANES_MIN_SHARE;
	else
		lanes->share += (wanted - lanes->share) *
				(1.0 - exp(-passed_ms / LANES_SMOOTHING_MS));
	lanes->updated_ms = now_ms;
}

unsigned lanes_express_count(const lanes_t *lanes, unsigned engines)
{
	double share = lanes->share > 0.0 ? lanes->share : LANES_MIN_SHARE;
	unsigned count = (unsigned)(share * engines + 0.5);

	if (engines < MIN_GROUP)
		return 0;
	if (!count)
		return 1;
	return count < engines ? count : engines - 1;
}
