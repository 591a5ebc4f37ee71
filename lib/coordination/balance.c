#include "coordination/balance.h"

/* A round trip between two regions, and between two domains of one. */
#define REGION_ROUND_TRIP_MS 60.0
#define DOMAIN_ROUND_TRIP_MS 2.0
/* Bytes between regions are billed: a local wait up to this is preferred. */
#define REGION_CHARGE_MS 90.0
#define DOMAIN_CHARGE_MS 10.0
/* Each running request makes the steps of the others a little longer. */
#define RUNNING_CHARGE_MS 2.0
/* While a prompt is read, each step of the streams beside it takes many times
 * as long: an engine that reads all the time is slow for all it runs. */
#define PREFILL_CHARGE_MS 400.0
#define PREFILL_FREE_SHARE 0.35
#define PREFILL_MAX_SHARE 0.95
#define MS_PER_S 1000.0
/* Reading a shared part of a prompt once more takes capacity from others and
 * is billed: a longer wait is preferred. */
#define RECOMPUTED_CHARGE_MS_PER_TOKEN 1.2
/* A copy costs little of an engine's time, but memory on one more engine, and
 * is billed, too. It takes some ms before its first token arrives. */
#define COPIED_CHARGE_MS_PER_TOKEN 0.25
#define COPY_SETUP_MS 6.0
/* A long prompt on an express endpoint, by its length; any other one beside
 * long prompts. */
#define EXPRESS_CHARGE_MS_PER_TOKEN 0.1
#define BULK_CHARGE_MS 150.0
#define LAST_RESORT_CHARGE_MS 1e9

double balance_round_trip_ms(balance_distance_t distance)
{
	static const double trips[] = {0.0, DOMAIN_ROUND_TRIP_MS,
				       REGION_ROUND_TRIP_MS};

	return trips[distance];
}

static double charge_ms(balance_distance_t distance)
{
	static const double charges[] = {0.0, DOMAIN_CHARGE_MS,
					 REGION_CHARGE_MS};

	return charges[distance];
}

static double queue_ms(const balance_option_t *option)
{
	unsigned slots = option->slots ? option->slots : 1;
	unsigned ahead =
		option->in_flight >= slots ? option->in_flight - slots + 1 : 0;

	return option->service_ms * (1.0 + (double)option->in_flight / slots) +
	       option->slot_hold_ms * ahead / slots;
}

double balance_sample_share(unsigned hosts)
{
	double part = (double)BALANCE_FULL_SCAN_MAX_HOSTS / hosts;

	if (hosts <= BALANCE_FULL_SCAN_MAX_HOSTS)
		return 1.0;
	/* Both the hosts that decide and the time between two looks at the
	 * loads grow with the hosts, the latter several times as fast. */
	return part * part * part;
}

double balance_prefill_share(const balance_option_t *option,
			     const balance_rates_t *rates)
{
	return option->prefill_tokens_per_s /
	       (rates->prefill_tokens_per_ms * MS_PER_S);
}

/* Charge by the share of its time that the engine reads prompts. */
static double reading_ms(const balance_option_t *option,
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
	       queue_ms(option) + tokens / rates->prefill_tokens_per_ms;
}

double balance_lane_charge(uint64_t prompt_tokens, bool express)
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
	       charge_ms(option->distance) + reading_ms(option, rates) +
	       RUNNING_CHARGE_MS * option->in_flight +
	       RECOMPUTED_CHARGE_MS_PER_TOKEN *
		       (double)option->recomputed_tokens +
	       COPIED_CHARGE_MS_PER_TOKEN * (double)option->copied_tokens +
	       (option->copied_tokens ? COPY_SETUP_MS : 0.0) +
	       option->failure_share * rates->failure_cost_ms +
	       option->lane_charge_ms +
	       (option->last_resort ? LAST_RESORT_CHARGE_MS : 0.0);
}
