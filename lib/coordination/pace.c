#include "coordination/pace.h"

#include "coordination/unitshare.h"

static unsigned first_cap(unsigned slots)
{
	unsigned cap = slots / PACE_START_DIVISOR;

	return cap ? cap : 1;
}

static void set_cap(pace_t *pace, unsigned cap, unsigned slots, int64_t now_ms)
{
	pace->cap = cap < slots ? cap : 0;
	pace->round_answers = 0;
	pace->changed_ms = now_ms;
}

/* True when a limit ended a short while ago. */
static bool has_ended_lately(const pace_t *pace, int64_t now_ms)
{
	return !pace->cap && pace->changed_ms &&
	       now_ms - pace->changed_ms < PACE_RELAPSE_MS;
}

void pace_start(pace_t *pace, unsigned slots, int64_t now_ms)
{
	set_cap(pace, first_cap(slots), slots, now_ms);
}

void pace_restart_at(pace_t *pace, int64_t restart_ms)
{
	if (restart_ms > pace->restart_ms)
		pace->restart_ms = restart_ms;
}

static int64_t step_ms(const pace_t *pace)
{
	int64_t step = PACE_STEP_MS;

	for (unsigned i = 0; i < pace->faults && step < PACE_MAX_STEP_MS; i++)
		step *= 2;
	return step;
}

/* True when this host learns nothing from answers for now. */
static bool has_none_outstanding(const pace_t *pace, const pace_view_t *view)
{
	return !view->own_in_flight || pace->answered_ms >= pace->sent_ms;
}

static void restart(pace_t *pace, const pace_view_t *view, int64_t now_ms)
{
	pace->restart_ms = 0;
	if (!pace->cap && !has_ended_lately(pace, now_ms))
		pace->faults = 0;
	set_cap(pace, view->all_in_flight + first_cap(view->slots), view->slots,
		now_ms);
}

void pace_update(pace_t *pace, const pace_view_t *view, int64_t now_ms)
{
	if (pace->restart_ms && now_ms >= pace->restart_ms)
		restart(pace, view, now_ms);
	/* A load that is exactly the cap: the hosts with units still wait for
	 * answers. */
	while (pace->cap && has_none_outstanding(pace, view) &&
	       view->all_in_flight != pace->cap &&
	       now_ms - pace->changed_ms >= step_ms(pace))
		set_cap(pace, pace->cap * 2, view->slots,
			pace->changed_ms + step_ms(pace));
}

static unsigned own_units(const pace_t *pace, const pace_view_t *view)
{
	if (view->rank >= view->hosts)
		return 0;
	return unitshare_of(pace->cap, view->hosts, view->rank);
}

bool pace_allows(const pace_t *pace, const pace_view_t *view)
{
	return !pace->cap || (view->own_in_flight < own_units(pace, view) &&
			      view->all_in_flight < pace->cap);
}

void pace_on_send(pace_t *pace, int64_t now_ms)
{
	pace->sent_ms = now_ms;
}

static void shrink(pace_t *pace, unsigned slots, int64_t now_ms)
{
	unsigned first = first_cap(slots);
	unsigned half = pace->cap / 2;

	pace->round_answers = 0;
	if (!pace->cap && !has_ended_lately(pace, now_ms))
		return;
	/* Faults of one moment have one cause. */
	if (pace->cap && pace->faults &&
	    now_ms - pace->changed_ms < PACE_STEP_MS)
		return;
	pace->faults++;
	set_cap(pace, half > first ? half : first, slots, now_ms);
}

void pace_on_answer(pace_t *pace, const pace_view_t *view, bool in_time,
		    int64_t now_ms)
{
	pace->answered_ms = now_ms;
	if (!pace->cap)
		return;
	if (!in_time)
		shrink(pace, view->slots, now_ms);
	/* Without units, answers to requests from before the limit show
	 * nothing of it. */
	else if (own_units(pace, view) &&
		 ++pace->round_answers >= own_units(pace, view))
		set_cap(pace, pace->cap * 2, view->slots, now_ms);
}

void pace_on_fault(pace_t *pace, unsigned slots, int64_t now_ms)
{
	pace->answered_ms = now_ms;
	shrink(pace, slots, now_ms);
}
