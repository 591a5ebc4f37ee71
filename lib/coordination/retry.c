#include "coordination/retry.h"

#include <stdatomic.h>

#define ONE_RETRY 100

void retry_init(retry_budget_t *budget)
{
	atomic_init(&budget->hundredths, (int64_t)RETRY_BURST * ONE_RETRY);
}

void retry_on_request(retry_budget_t *budget)
{
	const int64_t max = (int64_t)RETRY_BURST * ONE_RETRY;
	int64_t had = atomic_load(&budget->hundredths);
	int64_t next;

	do {
		next = had + RETRY_PERCENT > max ? max : had + RETRY_PERCENT;
	} while (
		!atomic_compare_exchange_weak(&budget->hundredths, &had, next));
}

bool retry_take(retry_budget_t *budget)
{
	int64_t had = atomic_load(&budget->hundredths);

	do {
		if (had < ONE_RETRY)
			return false;
	} while (!atomic_compare_exchange_weak(&budget->hundredths, &had,
					       had - ONE_RETRY));
	return true;
}
