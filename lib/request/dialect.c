#include "request/dialect.h"

const char *outcome_name(outcome_t outcome)
{
	static const char *const names[] = {"not-run", "completed", "failed",
					    "unknown", "streaming"};

	return names[outcome];
}
