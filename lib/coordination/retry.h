#ifndef COORDINATION_RETRY_H
#define COORDINATION_RETRY_H

#include <stdbool.h>
#include <stdint.h>

/*
 * retry - budget of retries, one per class and entry daemon
 *
 * A token bucket: every request adds a tenth of a retry, up to the burst, and
 * every retry takes one. Safe for several threads.
 */
#define RETRY_MAX_ATTEMPTS 3
#define RETRY_PERCENT 10
#define RETRY_BURST 10

typedef struct retry_budget {
	_Atomic int64_t hundredths;
} retry_budget_t;

void retry_init(retry_budget_t *budget);
void retry_on_request(retry_budget_t *budget);

/* Takes one retry; false when the budget is used up. */
bool retry_take(retry_budget_t *budget);

#endif
