#ifndef COORDINATION_LANES_H
#define COORDINATION_LANES_H

#include <stdbool.h>
#include <stdint.h>

/*
 * lanes - how many engines are kept free of long prompts
 *
 * An engine reads prompts between the tokens of the streams that it runs, whose
 * pauses grow. So a service's engines fall into two lanes: express ones, which
 * get no long prompts, and bulk ones. How much each lane needs depends on the
 * mix of requests, which changes with the hour: the lanes share the engines in
 * the proportion of what they need. A lane needs so many engines that none
 * reads for more than a part of its time, nor has more than a part of its slots
 * taken.
 */
#define LANES_MAX_PREFILL_SHARE 0.35
#define LANES_MAX_SLOT_SHARE 0.75
/* Bounds of the express lane's share of the engines. The lower one holds, too,
 * while nothing is known of the load. */
#define LANES_MIN_SHARE 0.2
#define LANES_MAX_SHARE 0.8
/* The share follows what is needed over about this time, so that hosts which
 * see loads at different moments agree on all but few engines. */
#define LANES_SMOOTHING_MS 1000.0

/* Above so many hosts the loads come in rounds of a second and more, and not
 * all of them: lanes that follow these move engines to and fro, and with them
 * what they have read. The share stays at its lower bound then. */
#define LANES_MAX_HOSTS 100

/* What the engines of a lane do at a moment, summed over them. */
typedef struct lanes_load {
	double prefill_share_sum; /* parts of their time that they read prompts
				   */
	double slot_share_sum;	  /* parts of their slots that are taken */
} lanes_load_t;

typedef struct lanes {
	double share; /* of the engines that are express; 0: not known yet */
	int64_t updated_ms;
} lanes_t;

/* True when the lanes of so many hosts follow the loads. */
bool lanes_follow_load(unsigned hosts);

/* The share that the loads of the two lanes ask for. */
double lanes_wanted_share(const lanes_load_t *express,
			  const lanes_load_t *bulk);

/* Takes the loads of a moment into account. */
void lanes_update(lanes_t *lanes, const lanes_load_t *express,
		  const lanes_load_t *bulk, int64_t now_ms);

/* How many of a group of engines are express; none of fewer than three. */
unsigned lanes_express_count(const lanes_t *lanes, unsigned engines);

#endif
