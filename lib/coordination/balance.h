#ifndef COORDINATION_BALANCE_H
#define COORDINATION_BALANCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * balance - which of several endpoints gets a request
 *
 * Each option is given its expected time to the first token or answer, plus
 * charges for what a caller doesn't see: bytes between domains and regions, and
 * the risk that the endpoint fails. The cheapest option wins.
 */
typedef enum balance_distance {
	BALANCE_SAME_DOMAIN,
	BALANCE_SAME_REGION,
	BALANCE_OTHER_REGION
} balance_distance_t;

typedef struct balance_option {
	balance_distance_t distance;
	/* Model engines: prompt tokens sent to it and not read yet, and those
	 * of this request that it would have to read. */
	uint64_t backlog_tokens;
	double prefill_tokens_per_s; /* sent to it lately, by all hosts */
	uint64_t prefill_tokens;
	/* Of these, tokens that another endpoint has already read. */
	uint64_t recomputed_tokens;
	/* Tokens that it would copy from an engine that has read them. */
	uint64_t copied_tokens;
	unsigned in_flight; /* requests at the endpoint */
	/* For the baselines of policy.h: sends of this host since its last one
	 * to the endpoint; requests there as the hosts told last. */
	uint64_t sends_since_last;
	unsigned reported_in_flight;
	unsigned slots;	       /* requests that it runs at once */
	double excess_ms;      /* recent answers' time over what was expected */
	double service_ms;     /* plain services: usual time of an answer */
	double slot_hold_ms;   /* usual time that a request keeps its slot */
	double failure_share;  /* share of recent requests that failed */
	double lane_charge_ms; /* charge of balance_lane_charge() */
	bool last_resort;      /* only when there is nothing else */
} balance_option_t;

typedef struct balance_rates {
	double prefill_tokens_per_ms; /* of prompts, read by one engine */
	double failure_cost_ms;	      /* what a failed request loses */
} balance_rates_t;

/*
 * Part of the endpoints that one request looks at. Many hosts that all see the
 * same loads, some time late, would send to the same few endpoints in the
 * meantime: above BALANCE_FULL_SCAN_MAX_HOSTS each request looks at some that
 * it draws.
 */
#define BALANCE_FULL_SCAN_MAX_HOSTS 100
double balance_sample_share(unsigned hosts);

/* Share of its time that an engine reads prompts, by what was sent lately. */
double balance_prefill_share(const balance_option_t *option,
			     const balance_rates_t *rates);

/*
 * Lanes: some engines are kept free of long prompts, since a prompt that is
 * read lengthens the pauses of all streams beside it.
 */
#define BALANCE_LONG_PROMPT_TOKENS 2500

/* Charge for a prompt on an endpoint of the other lane; 0 on its own. */
double balance_lane_charge(uint64_t prompt_tokens, bool express);

/* Time to an endpoint and back. */
double balance_round_trip_ms(balance_distance_t distance);

/* Expected time in ms until the first token or answer. */
double balance_expected_ms(const balance_option_t *option,
			   const balance_rates_t *rates);

/* Expected time plus charges; the option with the lowest cost is best. */
double balance_cost(const balance_option_t *option,
		    const balance_rates_t *rates);

#endif
