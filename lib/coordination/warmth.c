#include "coordination/warmth.h"

bool warmth_is_proven(const warmth_t *warmth, int64_t now_ms)
{
	return warmth->proven && now_ms - warmth->proven_ms <= WARMTH_PROOF_MS;
}

void warmth_void(warmth_t *warmth, int64_t now_ms)
{
	warmth->proven = false;
	warmth->voided_ms = now_ms;
}

void warmth_on_answer(warmth_t *warmth, str_t boot, bool cold, int64_t sent_ms,
		      int64_t now_ms)
{
	warmth->unreachable = false;
	if (boot.len && !str_equals(str_from(warmth->boot), boot)) {
		if (*warmth->boot)
			warmth_void(warmth, sent_ms);
		str_copy(warmth->boot, sizeof(warmth->boot), boot);
	}
	if (cold) {
		warmth_void(warmth, now_ms);
		return;
	}
	if (warmth->voided_ms && sent_ms <= warmth->voided_ms)
		return;
	if (!warmth->proven || sent_ms > warmth->proven_ms)
		warmth->proven_ms = sent_ms;
	warmth->proven = true;
}

void warmth_on_unreachable(warmth_t *warmth, int64_t now_ms)
{
	warmth_void(warmth, now_ms);
	warmth->unreachable = true;
}

void warmth_set_refusing(warmth_t *warmth, bool refusing)
{
	warmth->refusing = refusing;
}

void warmth_on_lost(warmth_t *warmth, int64_t now_ms, int64_t until_ms)
{
	if (now_ms >= warmth->lost_until_ms)
		warmth->lost = 0;
	warmth->lost++;
	if (until_ms > warmth->lost_until_ms)
		warmth->lost_until_ms = until_ms;
}

unsigned warmth_lost(const warmth_t *warmth, int64_t now_ms)
{
	return now_ms < warmth->lost_until_ms ? warmth->lost : 0;
}
