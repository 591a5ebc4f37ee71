#include "coordination/balance.h"

/* Round-trip times between regions, and between domains of one region. */
#define REGION_ROUND_TRIP_MS 60.0
#define DOMAIN_ROUND_TRIP_MS 2.0
/* Traffic between regions is billed: a wait of up to this in the own region is
 * preferred to it. */
#define REGION_CHARGE_MS 90.0
#define DOMAIN_CHARGE_MS 10.0
/* Each running request makes the decode steps of the others slightly longer. */
#define RUNNING_CHARGE_MS 2.0
/* During prefill a decode step of the other requests takes many times as long:
 * an engine that is always busy with prefill is slow for all its requests. */
#define PREFILL_CHARGE_MS 400.0
#define PREFILL_FREE_SHARE 0.35
#define PREFILL_MAX_SHARE 0.95
#define MS_PER_S 1000.0
/* Recomputing a prefix that another engine has cached takes capacity from other
 * requests and is billed: a longer wait is preferred. */
#define RECOMPUTED_CHARGE_MS_PER_TOKEN 1.2
/* A copy of the KV cache takes little engine time, but memory on a further
 * engine, and is billed as well. The first copied token arrives after
 * COPY_SETUP_MS. */
#define COPIED_CHARGE_MS_PER_TOKEN 0.25
#define COPY_SETUP_MS 6.0
/* For a long prompt on an express endpoint, by its length; and for a short
 * prompt on a bulk endpoint. */
#define EXPRESS_CHARGE_MS_PER_TOKEN 0.1
#define BULK_CHARGE_MS 150.0
#define LAST_RESORT_CHARGE_MS 1e9

double balance_round_trip_ms(balance_distance_t distance)
{
	static const double round_trips[] = {0.0, DOMAIN_ROUND_TRIP_MS,
					     REGION_ROUND_TRIP_MS};

	return round_trips[distance];
}

static double distance_charge_ms(balance_distance_t distance)
{
	static const double charges[] = {0.0, DOMAIN_CHARGE_MS,
					 REGION_CHARGE_MS};

	return charges[distance];
}

/* How many times as long as the service's usual engine it takes. */
static double slowness(const balance_option_t *option)
{
	return option->slowness > 0.0 ? option->slowness : 1.0;
}

static double queue_ms(const balance_option_t *option)
{
	unsigned slots = option->slots ? option->slots : 1;
	unsigned queued_ahead =
		option->in_flight >= slots ? option->in_flight - slots + 1 : 0;

	return option->service_ms * (1.0 + (double)option->in_flight / slots) +
	       option->busy_ms * slowness(option) * queued_ahead / slots;
}

double balance_sample_share(unsigned hosts)
{
	double ratio = (double)BALANCE_FULL_SCAN_MAX_HOSTS / hosts;

	if (hosts <= BALANCE_FULL_SCAN_MAX_HOSTS)
		return 1.0;
	/* With more hosts there are more concurrent decisions, and the interval
	 * between load updates grows several times as fast. */
	return ratio * ratio * ratio;
}

double balance_prefill_share(const balance_option_t *option,
			     const balance_rates_t *rates)
{
	return option->prefill_tokens_per_s * slowness(option) /
	       (rates->prefill_tokens_per_ms * MS_PER_S);
}

/* Charge by the share of its time that the engine spends on prefill. */
static double prefill_charge_ms(const balance_option_t *option,
				const balance_rates_t *rates)
{
	double share = balance_prefill_share(option, rates);

	if (share <= PREFILL_FREE_SHARE)
		return 0.0;
	if (share > PREFILL_MAX_SHARE)
		share = PREFILL_MAX_SHARE;
	return PREFILL_CHARGE_MS * (share - PREFILL_FREE_SHARE) / (1.0 - share);
}

double balance_expected_ms(const balance_option_t *option,
			   const balance_rates_t *rates)
{
	double tokens =
		(double)(option->backlog_tokens + option->prefill_tokens);

	return balance_round_trip_ms(option->distance) + option->excess_ms +
	       queue_ms(option) +
	       tokens * slowness(option) / rates->prefill_tokens_per_ms;
}

double balance_lane_charge_ms(uint64_t prompt_tokens, bool express)
{
	bool is_long = prompt_tokens >= BALANCE_LONG_PROMPT_TOKENS;

	if (is_long)
		return express ? EXPRESS_CHARGE_MS_PER_TOKEN *
					 (double)prompt_tokens :
				 0.0;
	return express ? 0.0 : BULK_CHARGE_MS;
}

double balance_cost(const balance_option_t *option,
		    const balance_rates_t *rates)
{
	return balance_expected_ms(option, rates) +
	       distance_charge_ms(option->distance) +
	       prefill_charge_ms(option, rates) +
	       RUNNING_CHARGE_MS * option->in_flight +
	       RECOMPUTED_CHARGE_MS_PER_TOKEN *
		       (double)option->recomputed_tokens +
	       COPIED_CHARGE_MS_PER_TOKEN * (double)option->copied_tokens +
	       (option->copied_tokens ? COPY_SETUP_MS : 0.0) +
	       option->failure_share * rates->failure_cost_ms +
	       option->lane_charge_ms + option->decode_charge_ms +
	       (option->last_resort ? LAST_RESORT_CHARGE_MS : 0.0);
}
