#include "load/load.h"

#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics.h>
#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#define US_PER_MS 1000.0
#define US_PER_S 1000000
#define QUANTILES 3
#define PLOT_WIDTH 640.0
#define PLOT_HEIGHT 140.0
#define MAX_BINS 240

static const double quantile_at[QUANTILES] = {0.5, 0.95, 0.99};

typedef struct summary {
	const load_class_t *class;
	unsigned count[LOAD_OUTCOMES];
	unsigned sent;
	unsigned first_in_target;
	unsigned gaps_asked; /* answers of at least two tokens */
	unsigned gaps_in_target;
	unsigned good;
	uint64_t tokens;
	uint64_t good_tokens;
	double first_ms[QUANTILES];
	double between_ms[QUANTILES];
	double late_ms; /* p99 of this tool's own delay */
} summary_t;

static bool first_in_target(const load_class_t *class, const load_request_t *r)
{
	return r->first_token_us >= 0 &&
	       r->first_token_us <= class->first_token_us;
}

/* By the mean of the answer's times between tokens. */
static bool gaps_in_target(const load_class_t *class, const load_request_t *r)
{
	int64_t span = r->last_token_us - r->at_us - r->first_token_us;

	return !class->between_us || r->tokens < 2 ||
	       span <= class->between_us * (r->tokens - 1);
}

static bool is_good(const load_class_t *class, const load_request_t *r)
{
	return r->outcome == LOAD_COMPLETED && first_in_target(class, r) &&
	       gaps_in_target(class, r);
}

static void take_quantiles(double *us, size_t count, double out[QUANTILES])
{
	gsl_sort(us, 1, count);
	for (size_t i = 0; i < QUANTILES; i++)
		out[i] = count ? gsl_stats_quantile_from_sorted_data(
					 us, 1, count, quantile_at[i]) /
					 US_PER_MS :
				 0;
}

static void count_request(summary_t *sum, const load_request_t *r)
{
	sum->count[r->outcome]++;
	sum->tokens += r->tokens;
	if (r->outcome != LOAD_UNSENT)
		sum->sent++;
	if (first_in_target(sum->class, r))
		sum->first_in_target++;
	if (r->outcome != LOAD_COMPLETED)
		return;
	if (r->tokens > 1) {
		sum->gaps_asked++;
		sum->gaps_in_target += gaps_in_target(sum->class, r);
	}
	if (is_good(sum->class, r)) {
		sum->good++;
		sum->good_tokens += r->tokens;
	}
}

static summary_t summarize(const load_run_t *run, unsigned index)
{
	summary_t sum = {.class = &run->scenario.classes[index]};
	double *first = calloc(run->request_count + 1, sizeof(*first));
	double *late = calloc(run->request_count + 1, sizeof(*late));
	double late_ms[QUANTILES];
	size_t firsts = 0, lates = 0;

	if (!first || !late)
		abort();
	for (size_t i = 0; i < run->request_count; i++) {
		const load_request_t *r = &run->requests[i];

		if (r->class_index != index)
			continue;
		count_request(&sum, r);
		if (r->first_token_us >= 0)
			first[firsts++] = (double)r->first_token_us;
		if (r->outcome != LOAD_UNSENT)
			late[lates++] = (double)r->late_us;
	}
	take_quantiles(first, firsts, sum.first_ms);
	take_quantiles(late, lates, late_ms);
	sum.late_ms = late_ms[QUANTILES - 1];
	take_quantiles(run->gaps[index].us, run->gaps[index].count,
		       sum.between_ms);
	free(first);
	free(late);
	return sum;
}

static double percent(unsigned part, unsigned whole)
{
	return whole ? 100.0 * part / whole : 0;
}

static double seconds_of(const load_run_t *run)
{
	return (double)run->scenario.duration_us / US_PER_S;
}

static uint64_t delivered_tokens(const load_run_t *run)
{
	uint64_t tokens = 0;

	for (size_t i = 0; i < run->request_count; i++)
		tokens += run->requests[i].tokens;
	return tokens;
}

/* Tokens that the requests of the schedule ask for. */
static uint64_t offered_tokens(const load_run_t *run)
{
	uint64_t tokens = 0;

	for (size_t i = 0; i < run->request_count; i++)
		tokens += run->requests[i].wanted;
	return tokens;
}

static double wasted_percent(const load_run_t *run)
{
	int64_t wasted = run->engine_tokens - (int64_t)delivered_tokens(run);

	return run->engine_tokens > 0 ?
		       100.0 * (double)wasted / (double)run->engine_tokens :
		       0;
}

void load_print_table(buf_t *out, const load_run_t *run)
{
	double goodput = 0;

	buf_printf(out,
		   "%-16s %6s %6s %6s %5s %5s %5s %6s | %7s %7s %7s %6s | "
		   "%6s %6s %6s %6s | %9s %7s\n",
		   "class", "sent", "done", "notrun", "fail", "unkn", "wrong",
		   "unsent", "ft p50", "p95", "p99", "att%", "bt p50", "p95",
		   "p99", "att%", "good tk/s", "late99");
	for (unsigned i = 0; i < run->scenario.class_count; i++) {
		summary_t s = summarize(run, i);
		double tokens_per_s = (double)s.good_tokens / seconds_of(run);

		goodput += tokens_per_s;
		buf_printf(out,
			   "%-16s %6u %6u %6u %5u %5u %5u %6u | %7.1f %7.1f "
			   "%7.1f %6.1f | %6.2f %6.2f %6.2f %6.1f | %9.0f "
			   "%7.2f\n",
			   s.class->name, s.sent, s.count[LOAD_COMPLETED],
			   s.count[LOAD_NOT_RUN], s.count[LOAD_FAILED],
			   s.count[LOAD_UNKNOWN], s.count[LOAD_WRONG],
			   s.count[LOAD_UNSENT], s.first_ms[0], s.first_ms[1],
			   s.first_ms[2], percent(s.first_in_target, s.sent),
			   s.between_ms[0], s.between_ms[1], s.between_ms[2],
			   percent(s.gaps_in_target, s.gaps_asked),
			   tokens_per_s, s.late_ms);
	}
	buf_printf(out, "offered %.0f tokens/s, ",
		   (double)offered_tokens(run) / seconds_of(run));
	buf_printf(out, "goodput %.0f tokens/s, delivered %.0f tokens/s",
		   goodput, (double)delivered_tokens(run) / seconds_of(run));
	if (run->engines_read)
		buf_printf(out, ", generated %" PRId64 " tokens, wasted %.2f%%",
			   run->engine_tokens, wasted_percent(run));
	buf_printf(out, "\n");
}

static void print_triple(buf_t *out, const char *name, const double *ms)
{
	buf_printf(out, "\"%s\":[%.3f,%.3f,%.3f],", name, ms[0], ms[1], ms[2]);
}

void load_print_json(buf_t *out, const load_run_t *run)
{
	buf_printf(out,
		   "{\"seed\":%" PRIu64 ",\"scale\":%.4f,\"duration_s\":%.0f,"
		   "\"classes\":[",
		   run->scenario.seed, run->scale, seconds_of(run));
	for (unsigned i = 0; i < run->scenario.class_count; i++) {
		summary_t s = summarize(run, i);

		buf_printf(out,
			   "%s\n{\"name\":\"%s\",\"sent\":%u,\"completed\":%u,"
			   "\"not_run\":%u,\"failed\":%u,\"unknown\":%u,"
			   "\"wrong\":%u,\"unsent\":%u,\"good\":%u,",
			   i ? "," : "", s.class->name, s.sent,
			   s.count[LOAD_COMPLETED], s.count[LOAD_NOT_RUN],
			   s.count[LOAD_FAILED], s.count[LOAD_UNKNOWN],
			   s.count[LOAD_WRONG], s.count[LOAD_UNSENT], s.good);
		print_triple(out, "first_token_ms", s.first_ms);
		print_triple(out, "between_tokens_ms", s.between_ms);
		buf_printf(out,
			   "\"first_token_attainment\":%.4f,"
			   "\"between_tokens_attainment\":%.4f,"
			   "\"tokens\":%" PRIu64 ",\"goodput_tokens_s\":%.1f,"
			   "\"send_late_p99_ms\":%.3f}",
			   percent(s.first_in_target, s.sent) / 100,
			   percent(s.gaps_in_target, s.gaps_asked) / 100,
			   s.tokens, (double)s.good_tokens / seconds_of(run),
			   s.late_ms);
	}
	buf_printf(out,
		   "],\n\"delivered_tokens\":%" PRIu64
		   ",\"offered_tokens_s\":%.1f"
		   ",\"tokens_in_duration_s\":%.1f",
		   delivered_tokens(run),
		   (double)offered_tokens(run) / seconds_of(run),
		   (double)run->tokens_in_duration / seconds_of(run));
	if (run->engines_read)
		buf_printf(out,
			   ",\"generated_tokens\":%" PRId64
			   ",\"wasted_percent\":%.3f",
			   run->engine_tokens, wasted_percent(run));
	buf_printf(out, "}\n");
}

/* One line of a plot: a value for each bin of time. */
typedef struct series {
	const char *name;
	const char *colour;
	double values[MAX_BINS];
} series_t;

static void draw_plot(buf_t *out, const char *title, const series_t *series,
		      size_t count, size_t bins)
{
	double top = 1;

	for (size_t i = 0; i < count; i++)
		for (size_t j = 0; j < bins; j++)
			top = fmax(top, series[i].values[j]);
	buf_printf(
		out,
		"<svg width=\"%.0f\" height=\"%.0f\"><rect width=\"%.0f\" "
		"height=\"%.0f\" fill=\"none\" stroke=\"#999\"/>"
		"<text x=\"4\" y=\"12\" font-size=\"11\">%s, 0 to %.4g</text>",
		PLOT_WIDTH, PLOT_HEIGHT, PLOT_WIDTH, PLOT_HEIGHT, title, top);
	for (size_t i = 0; i < count; i++) {
		buf_printf(out,
			   "<text x=\"4\" y=\"%zu\" font-size=\"11\" "
			   "fill=\"%s\">%s</text><polyline fill=\"none\" "
			   "stroke=\"%s\" points=\"",
			   12 * (i + 2), series[i].colour, series[i].name,
			   series[i].colour);
		for (size_t j = 0; j < bins; j++)
			buf_printf(out, "%.1f,%.1f ",
				   PLOT_WIDTH * ((double)j + 0.5) /
					   (double)bins,
				   PLOT_HEIGHT - series[i].values[j] / top *
							 (PLOT_HEIGHT - 16));
		buf_printf(out, "\"/>");
	}
	buf_printf(out, "</svg>\n");
}

static void draw_class(buf_t *out, const load_run_t *run, unsigned index)
{
	const load_class_t *class = &run->scenario.classes[index];
	int64_t bin_us = run->scenario.duration_us / MAX_BINS;
	series_t rates[3] = {{"sent", "#999", {0}},
			     {"completed", "#36c", {0}},
			     {"completed within the target", "#292", {0}}};
	series_t latency[2] = {{"slowest", "#c33", {0}},
			       {"target", "#999", {0}}};
	size_t bins;

	if (bin_us < US_PER_S)
		bin_us = US_PER_S;
	bins = (size_t)((run->scenario.duration_us + bin_us - 1) / bin_us);
	for (size_t i = 0; i < run->request_count; i++) {
		const load_request_t *r = &run->requests[i];
		size_t bin = (size_t)(r->at_us / bin_us);
		double per_s = (double)US_PER_S / (double)bin_us;

		if (r->class_index != index || bin >= bins)
			continue;
		rates[0].values[bin] += per_s;
		if (r->outcome == LOAD_COMPLETED)
			rates[1].values[bin] += per_s;
		if (is_good(class, r))
			rates[2].values[bin] += per_s;
		latency[0].values[bin] =
			fmax(latency[0].values[bin],
			     (double)r->first_token_us / US_PER_MS);
	}
	for (size_t i = 0; i < bins; i++)
		latency[1].values[i] =
			(double)class->first_token_us / US_PER_MS;
	buf_printf(out, "<h2>%s</h2>\n", class->name);
	draw_plot(out, "requests/s by time of arrival", rates, 3, bins);
	draw_plot(out, "first token in ms by time of arrival", latency, 2,
		  bins);
}

void load_print_html(buf_t *out, const load_run_t *run)
{
	buf_printf(out, "<!DOCTYPE html><meta charset=\"utf-8\">"
			"<title>peridot-load</title>\n<pre>");
	load_print_table(out, run);
	buf_printf(out, "</pre>\n");
	for (unsigned i = 0; i < run->scenario.class_count; i++)
		draw_class(out, run, i);
}
