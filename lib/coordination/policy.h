#ifndef COORDINATION_POLICY_H
#define COORDINATION_POLICY_H

#include "base/str.h"
#include "coordination/balance.h"

/*
 * policy - by what an endpoint is chosen
 *
 * The policy in use weighs all that balance.h lists. The others are baselines
 * for comparisons: they look at one figure alone and prefer the own domain, so
 * that what the other figures are worth can be measured.
 */
typedef struct policy policy_t;

typedef struct policy_ops {
	const char *name;
	/* The option with the lowest cost gets the request. */
	double (*cost)(const policy_t *policy, const balance_option_t *option,
		       const balance_rates_t *rates);
	/* A long prompt waits before an engine that reads too much. */
	bool holds_long_prompts;
} policy_ops_t;

struct policy {
	const policy_ops_t *ops;
};

/* The policy in use unless another one is asked for. */
const policy_t *policy_default(void);

/* The policy of this name; NULL if there is none. */
const policy_t *policy_find(str_t name);

#endif
