#ifndef COORDINATION_POLICY_H
#define COORDINATION_POLICY_H

#include "base/str.h"
#include "coordination/balance.h"

/*
 * policy - cost functions for the choice of an endpoint
 *
 * The default policy weighs all the costs of balance.h. The others are
 * baselines for measuring what these are worth: each uses a single criterion
 * and prefers endpoints in the host's own domain.
 */
typedef struct policy policy_t;

typedef struct policy_ops {
	const char *name;
	/* The option with the lowest cost gets the request. */
	double (*cost)(const policy_t *policy, const balance_option_t *option,
		       const balance_rates_t *rates);
	/* Long prompts wait while the engine is saturated with prefill. */
	bool holds_long_prompts;
} policy_ops_t;

struct policy {
	const policy_ops_t *ops;
};

/* The policy used unless another one is configured. */
const policy_t *policy_default(void);

/* Policy of this name; NULL if there is none. */
const policy_t *policy_find(str_t name);

#endif
