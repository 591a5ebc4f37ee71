#include "coordination/warmth.h"

bool warmth_is_proven(const warmth_t *warmth, int64_t now_ms)
{
	return warmth->proven && now_ms - warmth->proven_ms <= WARMTH_PROOF_MS;
}

void warmth_invalidate(warmth_t *warmth, int64_t now_ms)
{
	warmth->proven = false;
	warmth->invalidated_ms = now_ms;
}

void warmth_on_answer(warmth_t *warmth, str_t boot_id, bool cold,
		      int64_t sent_ms, int64_t now_ms)
{
	warmth->unreachable = false;
	if (boot_id.len && !str_equals(str_from(warmth->boot_id), boot_id)) {
		if (*warmth->boot_id)
			warmth_invalidate(warmth, sent_ms);
		str_copy(warmth->boot_id, sizeof(warmth->boot_id), boot_id);
	}
	if (cold) {
		warmth_invalidate(warmth, now_ms);
		return;
	}
	if (warmth->invalidated_ms && sent_ms <= warmth->invalidated_ms)
		return;
	if (!warmth->proven || sent_ms > warmth->proven_ms)
		warmth->proven_ms = sent_ms;
	warmth->proven = true;
}

void warmth_on_unreachable(warmth_t *warmth, int64_t now_ms)
{
	warmth_invalidate(warmth, now_ms);
	warmth->unreachable = true;
}

void warmth_set_refusing(warmth_t *warmth, bool refusing)
{
	warmth->refusing = refusing;
}

void warmth_on_orphaned(warmth_t *warmth, int64_t now_ms, int64_t until_ms)
{
	if (now_ms >= warmth->orphaned_until_ms)
		warmth->orphaned_requests = 0;
	warmth->orphaned_requests++;
	if (until_ms > warmth->orphaned_until_ms)
		warmth->orphaned_until_ms = until_ms;
}

unsigned warmth_orphaned(const warmth_t *warmth, int64_t now_ms)
{
	return now_ms < warmth->orphaned_until_ms ? warmth->orphaned_requests :
						    0;
}
