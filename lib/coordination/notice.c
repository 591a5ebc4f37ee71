#include "coordination/notice.h"

#include <stddef.h>

void notice_on_leaving(notice_t *notice, bool has_incarnation, int64_t now_ms)
{
	notice->leaving_until_ms =
		has_incarnation ? INT64_MAX :
				  now_ms + NOTICE_UNIDENTIFIED_LEAVING_MS;
}

void notice_on_leaving_hint(notice_t *notice, int64_t now_ms)
{
	if (!notice->leaving_hint_ms)
		notice->leaving_hint_ms = now_ms;
}

int64_t notice_on_pause(notice_t *notice, int64_t pause_ms, int64_t now_ms)
{
	if (pause_ms < 0)
		pause_ms = NOTICE_DEFAULT_PAUSE_MS;
	if (pause_ms > NOTICE_MAX_PAUSE_MS)
		pause_ms = NOTICE_MAX_PAUSE_MS;
	if (now_ms + pause_ms > notice->paused_until_ms)
		notice->paused_until_ms = now_ms + pause_ms;
	notice->sends_since_pause = 0;
	return pause_ms;
}

void notice_on_send(notice_t *notice, int64_t now_ms)
{
	if (now_ms >= notice->paused_until_ms)
		notice->sends_since_pause++;
}

/* Steps since the end of the pause; from NOTICE_RAMP_STEPS on there is no
 * limit. */
static int64_t ramp_steps(const notice_t *notice, int64_t now_ms)
{
	return (now_ms - notice->paused_until_ms) / NOTICE_RAMP_STEP_MS;
}

static bool is_paused(const notice_t *notice, int64_t now_ms)
{
	int64_t steps;

	if (now_ms < notice->paused_until_ms)
		return true;
	steps = ramp_steps(notice, now_ms);
	return notice->paused_until_ms && steps < NOTICE_RAMP_STEPS &&
	       notice->sends_since_pause >= 1u << steps;
}

static bool is_leaving(const notice_t *notice, int64_t drain_ms, int64_t now_ms)
{
	return now_ms < notice->leaving_until_ms ||
	       (notice->leaving_hint_ms &&
		now_ms - notice->leaving_hint_ms >= drain_ms);
}

notice_verdict_t notice_check(const notice_t *notice, int64_t drain_ms,
			      int64_t now_ms)
{
	if (!notice)
		return NOTICE_OPEN;
	if (is_leaving(notice, drain_ms, now_ms))
		return NOTICE_LEAVING;
	if (is_paused(notice, now_ms))
		return NOTICE_PAUSED;
	return notice->leaving_hint_ms ? NOTICE_LAST_RESORT : NOTICE_OPEN;
}

bool notice_forbids(const notice_t *notice, int64_t drain_ms, int64_t now_ms)
{
	return notice && (is_leaving(notice, drain_ms, now_ms) ||
			  now_ms < notice->paused_until_ms);
}

int64_t notice_next_send_ms(const notice_t *notice, int64_t now_ms)
{
	if (now_ms < notice->paused_until_ms)
		return notice->paused_until_ms;
	return notice->paused_until_ms +
	       (ramp_steps(notice, now_ms) + 1) * NOTICE_RAMP_STEP_MS;
}
