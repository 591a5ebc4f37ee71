#include "request/answerlog.h"

#include <stddef.h>

void answerlog_add(answerlog_t *log, uint64_t id_hash, bool is_refusal)
{
	log->last_ids[log->answers++ % ANSWERLOG_LAST_IDS] = id_hash;
	if (is_refusal && !answerlog_is_full(log))
		log->refused_ids[log->refusals++] = id_hash;
}

static bool contains(const uint64_t *ids, size_t count, uint64_t id)
{
	for (size_t i = 0; i < count; i++)
		if (ids[i] == id)
			return true;
	return false;
}

bool answerlog_has(const answerlog_t *log, uint64_t id_hash)
{
	size_t last = log->answers < ANSWERLOG_LAST_IDS ? log->answers :
							  ANSWERLOG_LAST_IDS;

	return contains(log->last_ids, last, id_hash) ||
	       contains(log->refused_ids, log->refusals, id_hash);
}

bool answerlog_is_full(const answerlog_t *log)
{
	return log->refusals == ANSWERLOG_MAX_REFUSALS;
}
