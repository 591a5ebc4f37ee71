#include "coordination/window.h"

#define SLOW_START_LIMIT 1
/* Largest and smallest relative step of the median estimate. */
#define MEDIAN_MAX_STEP 0.5
#define MEDIAN_MIN_STEP 0.05

static unsigned smaller(unsigned a, unsigned b)
{
	return a < b ? a : b;
}

/* Ends the proof; nothing measured or sent up to `at_ms` can renew it. */
static void void_proof(window_t *window, int64_t at_ms)
{
	window->proven = false;
	window->limit = SLOW_START_LIMIT;
	window->late_in_a_row = 0;
	if (at_ms > window->voided_ms)
		window->voided_ms = at_ms;
}

/* Proves warmth by evidence of `at_ms`. A proof that lapsed in between starts
 * a new slow start. */
static void prove(window_t *window, int64_t now_ms, int64_t at_ms)
{
	int64_t until_ms = at_ms + WINDOW_PROOF_MS;

	if (!window_is_warm(window, now_ms)) {
		window->limit = SLOW_START_LIMIT;
		window->proven_until_ms = until_ms;
	} else if (until_ms > window->proven_until_ms) {
		window->proven_until_ms = until_ms;
	}
	window->proven = true;
}

static void note_late(window_t *window, int64_t now_ms)
{
	window->late_in_a_row++;
	if (window->late_in_a_row >= WINDOW_LATE_IN_A_ROW)
		void_proof(window, now_ms);
	else
		window_on_refused(window);
}

/*
 * Moves the estimate of the median towards the sample by a step that does not
 * depend on the distance. Samples of an endpoint that is not warm are left out:
 * learnt from them, the slow answers of a cold start would soon be in time.
 */
static void learn_median(window_t *window, int64_t now_ms, double sample)
{
	double step = 1.0 / (window->median_samples + 1);

	if (window->median_first_token_ms <= 0) {
		if (!window->reported_cold) {
			window->median_first_token_ms = sample;
			window->median_samples = 1;
		}
		return;
	}
	if (!window_is_warm(window, now_ms))
		return;
	if (step > MEDIAN_MAX_STEP)
		step = MEDIAN_MAX_STEP;
	/* One late sample must not make the next one count as in time. */
	if (step < MEDIAN_MIN_STEP ||
	    sample > WINDOW_LATE_FACTOR * window->median_first_token_ms)
		step = MEDIAN_MIN_STEP;
	if (sample > window->median_first_token_ms)
		window->median_first_token_ms *= 1 + step;
	else if (sample < window->median_first_token_ms)
		window->median_first_token_ms /= 1 + step;
	if (window->median_samples < UINT16_MAX)
		window->median_samples++;
}

void window_init(window_t *window, unsigned max_in_flight)
{
	*window = (window_t){.max_in_flight = max_in_flight,
			     .limit = SLOW_START_LIMIT,
			     .reported_cold_ms = INT64_MIN,
			     .reported_ms = INT64_MIN,
			     .voided_ms = INT64_MIN};
}

void window_set_max(window_t *window, unsigned max_in_flight)
{
	window->max_in_flight = max_in_flight;
	if (max_in_flight)
		window->limit = smaller(window->limit, max_in_flight);
}

bool window_is_warm(const window_t *window, int64_t now_ms)
{
	return window->proven && now_ms < window->proven_until_ms;
}

unsigned window_limit(const window_t *window, int64_t now_ms,
		      unsigned cold_units)
{
	unsigned limit = cold_units;

	if (window->leaving)
		return 0;
	/* The cold share may be used in any state, so slow start begins there
	 * when it is larger than one. */
	if (window_is_warm(window, now_ms) && window->limit > limit)
		limit = window->limit;
	return smaller(limit, window->max_in_flight);
}

bool window_may_send(const window_t *window, int64_t now_ms,
		     unsigned cold_units)
{
	unsigned counted = window->in_flight;

	if (!window_is_warm(window, now_ms) && now_ms < window->lost_until_ms)
		counted += window->lost;
	return counted < window_limit(window, now_ms, cold_units);
}

void window_on_send(window_t *window)
{
	window->in_flight++;
}

void window_on_end(window_t *window)
{
	if (window->in_flight)
		window->in_flight--;
}

void window_on_lost(window_t *window, int64_t now_ms, int64_t until_ms)
{
	if (!window->in_flight)
		return;
	window->in_flight--;
	if (now_ms >= window->lost_until_ms)
		window->lost = 0;
	window->lost++;
	if (until_ms > window->lost_until_ms)
		window->lost_until_ms = until_ms;
}

void window_on_first_token(window_t *window, int64_t now_ms,
			   int64_t first_token_ms)
{
	/* A first token within the same millisecond still is a sample. */
	double sample = first_token_ms > 0 ? (double)first_token_ms : 1;
	double median = window->median_first_token_ms;

	if (now_ms - first_token_ms <= window->voided_ms)
		return;
	learn_median(window, now_ms, sample);
	/* The first sample has nothing to be compared with. */
	if (median <= 0)
		return;
	if (sample > WINDOW_LATE_FACTOR * median) {
		note_late(window, now_ms);
		return;
	}
	window->late_in_a_row = 0;
	if (window->reported_cold || window->needs_report)
		return;
	if (window_is_warm(window, now_ms) &&
	    window->limit < window->max_in_flight &&
	    window->limit < 2 * window->in_flight)
		window->limit++;
	prove(window, now_ms, now_ms);
}

void window_on_refused(window_t *window)
{
	window->limit /= 2;
	if (window->limit < SLOW_START_LIMIT)
		window->limit = SLOW_START_LIMIT;
}

void window_on_broken(window_t *window, int64_t now_ms)
{
	window->needs_report = window->boot_known;
	void_proof(window, now_ms);
}

void window_on_silence(window_t *window, int64_t now_ms)
{
	note_late(window, now_ms);
}

void window_on_report(window_t *window, int64_t now_ms,
		      const window_report_t *report)
{
	int64_t age_ms = report->age_ms > 0 ? report->age_ms : 0;
	int64_t measured_ms = now_ms - age_ms;
	bool same_boot = !window->boot_known || window->boot == report->boot;

	if (report->state == WINDOW_REPORT_COLD) {
		void_proof(window, measured_ms);
		window->reported_cold = true;
		if (measured_ms > window->reported_cold_ms)
			window->reported_cold_ms = measured_ms;
	}
	/* Reports that were overtaken say nothing about the present. */
	if (measured_ms < window->reported_ms)
		return;
	window->reported_ms = measured_ms;
	window->boot_known = true;
	window->boot = report->boot;
	window->reported_waiting = report->waiting;
	window->leaving = report->state == WINDOW_REPORT_LEAVING;
	if (!same_boot || window->leaving)
		void_proof(window, measured_ms);
	if (report->state != WINDOW_REPORT_WARM ||
	    age_ms > WINDOW_REPORT_MAX_MS || measured_ms <= window->voided_ms)
		return;
	if (measured_ms > window->reported_cold_ms)
		window->reported_cold = false;
	window->needs_report = false;
	prove(window, now_ms, measured_ms);
}

void window_on_pause(window_t *window, int64_t now_ms)
{
	window->needs_report = window->boot_known;
	void_proof(window, now_ms);
}
