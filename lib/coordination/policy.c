#include "coordination/policy.h"

/* Exceeds the criterion of every baseline. */
#define DISTANCE_COST 1e6
#define LAST_RESORT_COST 1e9

static double weighed_cost(const policy_t *policy,
			   const balance_option_t *option,
			   const balance_rates_t *rates)
{
	(void)policy;
	return balance_cost(option, rates);
}

/* Common to all baselines: orders by distance first, then by the criterion;
 * last-resort endpoints come last. */
static double baseline_cost(const balance_option_t *option, double criterion)
{
	return criterion + DISTANCE_COST * (double)option->distance +
	       (option->last_resort ? LAST_RESORT_COST : 0.0);
}

static double round_robin_cost(const policy_t *policy,
			       const balance_option_t *option,
			       const balance_rates_t *rates)
{
	(void)policy;
	(void)rates;
	return baseline_cost(option, -(double)option->sends_since_last);
}

static double fewest_in_flight_cost(const policy_t *policy,
				    const balance_option_t *option,
				    const balance_rates_t *rates)
{
	(void)policy;
	(void)rates;
	return baseline_cost(option, (double)option->in_flight);
}

static double least_reported_cost(const policy_t *policy,
				  const balance_option_t *option,
				  const balance_rates_t *rates)
{
	(void)policy;
	(void)rates;
	return baseline_cost(option, (double)option->reported_in_flight);
}

static const policy_ops_t weighed = {"weighed", weighed_cost, true};
static const policy_ops_t round_robin = {"round-robin", round_robin_cost,
					 false};
static const policy_ops_t fewest_in_flight = {"fewest-in-flight",
					      fewest_in_flight_cost, false};
static const policy_ops_t least_reported = {"least-reported",
					    least_reported_cost, false};

static const policy_t policies[] = {
	{&weighed}, {&round_robin}, {&fewest_in_flight}, {&least_reported}};

const policy_t *policy_default(void)
{
	return &policies[0];
}

const policy_t *policy_find(str_t name)
{
	for (size_t i = 0; i < sizeof(policies) / sizeof(policies[0]); i++)
		if (str_equals(str_from(policies[i].ops->name), name))
			return &policies[i];
	return NULL;
}
