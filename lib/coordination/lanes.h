#ifndef COORDINATION_LANES_H
#define COORDINATION_LANES_H

#include <stdbool.h>
#include <stdint.h>

/*
 * lanes - how many engines are kept free of long prompts
 *
 * Prefill of a prompt delays the decode steps of all other requests on the same
 * engine. A service's engines are therefore divided into two lanes: express,
 * which gets no long prompts, and bulk. The demand of each lane depends on the
 * mix of requests, which changes over the day, so the engines are divided in
 * proportion to the demand. The demand of a lane is the number of engines at
 * which neither the share of time that an engine spends on prefill nor its
 * share of occupied slots exceeds the maximum below.
 */
#define LANES_MAX_PREFILL_SHARE 0.35
#define LANES_MAX_SLOT_SHARE 0.75
/* Bounds of the express lane's share of the engines. The minimum is also used
 * while the load is unknown. */
#define LANES_MIN_SHARE 0.2
#define LANES_MAX_SHARE 0.8
/* Time constant of the exponential smoothing of the share. With it, hosts that
 * see the loads at different times differ on a few engines only. */
#define LANES_SMOOTHING_MS 1000.0

/* With more hosts, load reports are sent a second or more apart and are
 * incomplete. Lanes that follow them would move engines back and forth,
 * together with the prefixes that these have cached, so the share stays at its
 * minimum. */
#define LANES_MAX_HOSTS 100

/* Load of a lane, summed over its engines. */
typedef struct lanes_load {
	double prefill_share_sum; /* shares of time spent on prefill */
	double slot_share_sum;	  /* shares of slots occupied */
} lanes_load_t;

typedef struct lanes {
	double share; /* of express engines; 0: not known yet */
	int64_t updated_ms;
} lanes_t;

/* Whether the lanes follow the load, with this number of hosts. */
bool lanes_follow_load(unsigned hosts);

/* Express lane's share of the engines, by the demand of both lanes. */
double lanes_wanted_share(const lanes_load_t *express,
			  const lanes_load_t *bulk);

/* Updates the share with the current loads. */
void lanes_update(lanes_t *lanes, const lanes_load_t *express,
		  const lanes_load_t *bulk, int64_t now_ms);

/* Number of express engines in a group of engines; 0 for fewer than three. */
unsigned lanes_express_count(const lanes_t *lanes, unsigned engines);

#endif
