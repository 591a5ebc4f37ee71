#ifndef COORDINATION_BALANCE_H
#define COORDINATION_BALANCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * balance - choose the endpoint that gets a request
 *
 * The cost of an option is the expected time to its first token or response,
 * plus charges for what that time doesn't include: traffic between domains and
 * regions, repeated work, and the risk that the endpoint fails. The option with
 * the lowest cost gets the request.
 */
typedef enum balance_distance {
	BALANCE_SAME_DOMAIN,
	BALANCE_SAME_REGION,
	BALANCE_OTHER_REGION
} balance_distance_t;

typedef struct balance_option {
	balance_distance_t distance;
	/* Model engines only: prompt tokens sent to the endpoint whose prefill
	 * has not finished. */
	uint64_t backlog_tokens;
	double prefill_tokens_per_s; /* recently sent to it by all hosts */
	/* Of this request, neither cached there nor copied. */
	uint64_t prefill_tokens;
	/* Of prefill_tokens, those that another endpoint has cached. */
	uint64_t recomputed_tokens;
	/* Tokens whose KV cache it would copy from another engine. */
	uint64_t copied_tokens;
	unsigned in_flight; /* requests running or queued at the endpoint */
	/* The next two are for the baselines of policy.h. */
	uint64_t sends_since_last;   /* by this host, since its last send to
				      * the endpoint */
	unsigned reported_in_flight; /* sum of the hosts' last reports */
	unsigned slots;		     /* requests that it runs concurrently */
	double excess_ms;  /* recent response times in excess of the expected */
	double service_ms; /* typical response time; for engines a constant */
	double busy_ms;	   /* mean time that a request occupies a slot */
	double slowness;   /* of the engine, see speed.h; 0: 1 */
	double failure_share;	 /* share of recent requests that failed */
	double lane_charge_ms;	 /* from balance_lane_charge_ms() */
	double decode_charge_ms; /* from decode_charge_ms() of decode.h */
	bool last_resort;	 /* use only if there is no other option */
} balance_option_t;

typedef struct balance_rates {
	double prefill_tokens_per_ms; /* of one engine */
	double failure_cost_ms;	      /* time that a failed request loses */
} balance_rates_t;

/*
 * Share of the endpoints that one request considers. Hosts see each other's
 * loads with a delay: when many of them choose by the same stale loads, they
 * all send to the same few endpoints. Above BALANCE_FULL_SCAN_MAX_HOSTS hosts
 * each request therefore considers a random sample only.
 */
#define BALANCE_FULL_SCAN_MAX_HOSTS 100
double balance_sample_share(unsigned hosts);

/* Share of its time that an engine spends on prefill, by the prompt tokens
 * recently sent to it. */
double balance_prefill_share(const balance_option_t *option,
			     const balance_rates_t *rates);

/*
 * Some engines (the express lane) are kept free of long prompts, since prefill
 * delays the decode steps of all requests on the same engine.
 */
#define BALANCE_LONG_PROMPT_TOKENS 2500

/* Charge in ms for a prompt on an endpoint of the other lane; 0 on its own. */
double balance_lane_charge_ms(uint64_t prompt_tokens, bool express);

/* Network round-trip time to an endpoint. */
double balance_round_trip_ms(balance_distance_t distance);

/* Expected time in ms until the first token or response. */
double balance_expected_ms(const balance_option_t *option,
			   const balance_rates_t *rates);

/* Expected time plus all charges, in ms. */
double balance_cost(const balance_option_t *option,
		    const balance_rates_t *rates);

#endif
