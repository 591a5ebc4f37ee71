#include "coordination/placement.h"

#include <xxhash.h>

#include "coordination/rendezvous.h"

/* An endpoint this many times slower than the fastest gets no affinity. */
#define PLACEMENT_SLOW_FACTOR 2.0
/* The penalty ends here, so that a slow endpoint still takes overflow. */
#define PLACEMENT_MAX_PENALTY 8.0

static uint64_t affinity_weight(uint64_t affinity, str_t name)
{
	str_t key = {(const char *)&affinity, sizeof(affinity)};

	return rendezvous_weight(STR_LIT("affinity"), key, name);
}

static bool has_room(const placement_endpoint_t *endpoint)
{
	return endpoint->in_flight < endpoint->limit;
}

static double penalty(const placement_endpoint_t *endpoint, double fastest_ms)
{
	double factor;

	if (endpoint->median_first_token_ms <= 0 || fastest_ms <= 0)
		return 1;
	factor = endpoint->median_first_token_ms / fastest_ms;
	return factor < PLACEMENT_MAX_PENALTY ? factor : PLACEMENT_MAX_PENALTY;
}

static double dispatcher_load(const placement_dispatcher_t *dispatcher)
{
	double work = (double)dispatcher->in_flight + dispatcher->queued;

	return work / (dispatcher->window ? dispatcher->window : 1);
}

/* Expected wait; without any window, no wait can be promised. */
static int64_t expected_wait(const placement_dispatcher_t *dispatcher)
{
	return dispatcher->window ? dispatcher->wait_ms : INT64_MAX;
}

/* The dispatcher of its domain that the prompt's prefix prefers, if its load is
 * near the mean, else the least loaded, among those within the target. */
static int pick_in_domain(const placement_dispatcher_t *dispatchers,
			  size_t count, int64_t target_ms, uint64_t affinity)
{
	int preferred = -1;
	int least = -1;
	uint64_t best = 0;
	double sum = 0;
	size_t n = 0;

	for (size_t i = 0; i < count; i++) {
		const placement_dispatcher_t *one = &dispatchers[i];
		uint64_t weight;

		if (one->tried || !one->same_domain ||
		    expected_wait(one) > target_ms)
			continue;
		n++;
		sum += dispatcher_load(one);
		weight = affinity_weight(affinity, one->host);
		if (preferred < 0 || weight > best) {
			preferred = (int)i;
			best = weight;
		}
		if (least < 0 ||
		    dispatcher_load(one) < dispatcher_load(&dispatchers[least]))
			least = (int)i;
	}
	if (preferred < 0)
		return -1;
	if (affinity && dispatcher_load(&dispatchers[preferred]) * (double)n <=
				PLACEMENT_AFFINITY_LOAD * sum)
		return preferred;
	return least;
}

static int pick_shortest(const placement_dispatcher_t *dispatchers,
			 size_t count, bool same_region)
{
	int best = -1;

	for (size_t i = 0; i < count; i++) {
		const placement_dispatcher_t *one = &dispatchers[i];
		int64_t wait = expected_wait(one);
		int64_t best_wait;

		if (one->tried ||
		    (one->same_region || one->same_domain) != same_region)
			continue;
		best_wait = best < 0 ? 0 : expected_wait(&dispatchers[best]);
		if (best < 0 || wait < best_wait ||
		    (wait == best_wait &&
		     dispatcher_load(one) <
			     dispatcher_load(&dispatchers[best])))
			best = (int)i;
	}
	return best;
}

int placement_pick_endpoint(const placement_endpoint_t *endpoints, size_t count,
			    uint64_t affinity)
{
	double fastest_ms = 0;
	double sum = 0;
	double best_score = 0;
	uint64_t best_weight = 0;
	size_t n = 0;
	int best = -1;
	int preferred = -1;

	for (size_t i = 0; i < count; i++) {
		double median = endpoints[i].median_first_token_ms;
		uint64_t weight;

		if (!endpoints[i].limit)
			continue;
		n++;
		sum += (double)endpoints[i].in_flight / endpoints[i].limit;
		if (median > 0 && (fastest_ms <= 0 || median < fastest_ms))
			fastest_ms = median;
		weight = affinity_weight(affinity, endpoints[i].name);
		if (preferred < 0 || weight > best_weight) {
			preferred = (int)i;
			best_weight = weight;
		}
	}
	if (affinity && preferred >= 0 && has_room(&endpoints[preferred]) &&
	    penalty(&endpoints[preferred], fastest_ms) <
		    PLACEMENT_SLOW_FACTOR) {
		const placement_endpoint_t *one = &endpoints[preferred];

		if (!one->in_flight ||
		    (double)one->in_flight / one->limit * (double)n <
			    PLACEMENT_AFFINITY_LOAD * sum)
			return preferred;
	}
	for (size_t i = 0; i < count; i++) {
		const placement_endpoint_t *one = &endpoints[i];
		double score;

		if (!has_room(one))
			continue;
		/* The load with this request, so that idle endpoints compare
		 * by speed. */
		score = (one->in_flight + 1.0) / one->limit *
			penalty(one, fastest_ms);
		if (best < 0 || score < best_score ||
		    (score <= best_score &&
		     one->reported_waiting <
			     endpoints[best].reported_waiting)) {
			best = (int)i;
			best_score = score;
		}
	}
	return best;
}

int placement_pick_dispatcher(const placement_dispatcher_t *dispatchers,
			      size_t count, int64_t target_ms,
			      bool cross_region, uint64_t affinity)
{
	int near = pick_in_domain(dispatchers, count, target_ms, affinity);
	int far;

	if (near >= 0)
		return near;
	near = pick_shortest(dispatchers, count, true);
	if (!cross_region ||
	    (near >= 0 && expected_wait(&dispatchers[near]) <= target_ms))
		return near;
	far = pick_shortest(dispatchers, count, false);
	/* Billed links are used only where they help to meet the target. */
	if (near < 0 ||
	    (far >= 0 && expected_wait(&dispatchers[far]) <= target_ms))
		return far;
	return near;
}

uint64_t placement_affinity(str_t prompt)
{
	size_t len = prompt.len < PLACEMENT_AFFINITY_BYTES ?
			     prompt.len :
			     PLACEMENT_AFFINITY_BYTES;

	return len ? XXH3_64bits(prompt.ptr, len) : 0;
}
