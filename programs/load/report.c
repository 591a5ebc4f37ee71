#include "load/load.h"

#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics.h>
#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#define US_PER_MS 1000.0
#define US_PER_S 1000000
#define QUANTILE_COUNT 3
#define PLOT_WIDTH 640.0
#define PLOT_HEIGHT 140.0
#define MAX_BINS 240

static const double quantile_levels[QUANTILE_COUNT] = {0.5, 0.95, 0.99};

/* Results of one class. */
typedef struct summary {
	const load_class_t *class;
	unsigned count[LOAD_OUTCOME_COUNT];
	unsigned sent;
	unsigned first_token_met;	  /* within the target */
	unsigned between_tokens_measured; /* at least two tokens */
	unsigned between_tokens_met;	  /* within the target */
	unsigned good;			  /* completed, both targets met */
	uint64_t tokens;
	uint64_t good_tokens;
	double first_token_ms[QUANTILE_COUNT];
	double between_tokens_ms[QUANTILE_COUNT];
	double send_delay_p99_ms; /* caused by this tool */
} summary_t;

static bool meets_first_token_target(const load_class_t *class,
				     const load_request_t *r)
{
	return r->first_token_us >= 0 &&
	       r->first_token_us <= class->first_token_us;
}

/* Compares the mean time between the tokens of the response with the target. */
static bool meets_between_tokens_target(const load_class_t *class,
					const load_request_t *r)
{
	int64_t span = r->last_token_us - r->at_us - r->first_token_us;

	return !class->between_tokens_us || r->received_tokens < 2 ||
	       span <= class->between_tokens_us * (r->received_tokens - 1);
}

static bool meets_targets(const load_class_t *class, const load_request_t *r)
{
	return r->outcome == LOAD_COMPLETED &&
	       meets_first_token_target(class, r) &&
	       meets_between_tokens_target(class, r);
}

static void compute_quantiles(double *us, size_t count,
			      double out[QUANTILE_COUNT])
{
	gsl_sort(us, 1, count);
	for (size_t i = 0; i < QUANTILE_COUNT; i++)
		out[i] = count ? gsl_stats_quantile_from_sorted_data(
					 us, 1, count, quantile_levels[i]) /
					 US_PER_MS :
				 0;
}

static void count_request(summary_t *sum, const load_request_t *r)
{
	sum->count[r->outcome]++;
	sum->tokens += r->received_tokens;
	if (r->outcome != LOAD_UNSENT)
		sum->sent++;
	if (meets_first_token_target(sum->class, r))
		sum->first_token_met++;
	if (r->outcome != LOAD_COMPLETED)
		return;
	if (r->received_tokens > 1) {
		sum->between_tokens_measured++;
		sum->between_tokens_met +=
			meets_between_tokens_target(sum->class, r);
	}
	if (meets_targets(sum->class, r)) {
		sum->good++;
		sum->good_tokens += r->received_tokens;
	}
}

static summary_t summarize(const load_run_t *run, unsigned index)
{
	summary_t sum = {.class = &run->scenario.classes[index]};
	double *first_token_us =
		calloc(run->request_count + 1, sizeof(*first_token_us));
	double *send_delay_us =
		calloc(run->request_count + 1, sizeof(*send_delay_us));
	double send_delay_ms[QUANTILE_COUNT];
	size_t first_token_count = 0, send_delay_count = 0;

	if (!first_token_us || !send_delay_us)
		abort();
	for (size_t i = 0; i < run->request_count; i++) {
		const load_request_t *r = &run->requests[i];

		if (r->class_index != index)
			continue;
		count_request(&sum, r);
		if (r->first_token_us >= 0)
			first_token_us[first_token_count++] =
				(double)r->first_token_us;
		if (r->outcome != LOAD_UNSENT)
			send_delay_us[send_delay_count++] =
				(double)r->send_delay_us;
	}
	compute_quantiles(first_token_us, first_token_count,
			  sum.first_token_ms);
	compute_quantiles(send_delay_us, send_delay_count, send_delay_ms);
	sum.send_delay_p99_ms = send_delay_ms[QUANTILE_COUNT - 1];
	compute_quantiles(run->token_intervals[index].values_us,
			  run->token_intervals[index].count,
			  sum.between_tokens_ms);
	free(first_token_us);
	free(send_delay_us);
	return sum;
}

static double percent(unsigned part, unsigned whole)
{
	return whole ? 100.0 * part / whole : 0;
}

static double duration_s(const load_run_t *run)
{
	return (double)run->scenario.duration_us / US_PER_S;
}

static uint64_t count_delivered_tokens(const load_run_t *run)
{
	uint64_t tokens = 0;

	for (size_t i = 0; i < run->request_count; i++)
		tokens += run->requests[i].received_tokens;
	return tokens;
}

/* Output tokens requested by the whole schedule. */
static uint64_t count_offered_tokens(const load_run_t *run)
{
	uint64_t tokens = 0;

	for (size_t i = 0; i < run->request_count; i++)
		tokens += run->requests[i].output_tokens;
	return tokens;
}

static double wasted_percent(const load_run_t *run)
{
	int64_t wasted =
		run->engine_tokens - (int64_t)count_delivered_tokens(run);

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
		double tokens_per_s = (double)s.good_tokens / duration_s(run);

		goodput += tokens_per_s;
		buf_printf(out,
			   "%-16s %6u %6u %6u %5u %5u %5u %6u | %7.1f %7.1f "
			   "%7.1f %6.1f | %6.2f %6.2f %6.2f %6.1f | %9.0f "
			   "%7.2f\n",
			   s.class->name, s.sent, s.count[LOAD_COMPLETED],
			   s.count[LOAD_NOT_RUN], s.count[LOAD_FAILED],
			   s.count[LOAD_UNKNOWN], s.count[LOAD_WRONG],
			   s.count[LOAD_UNSENT], s.first_token_ms[0],
			   s.first_token_ms[1], s.first_token_ms[2],
			   percent(s.first_token_met, s.sent),
			   s.between_tokens_ms[0], s.between_tokens_ms[1],
			   s.between_tokens_ms[2],
			   percent(s.between_tokens_met,
				   s.between_tokens_measured),
			   tokens_per_s, s.send_delay_p99_ms);
	}
	buf_printf(out, "offered %.0f tokens/s, ",
		   (double)count_offered_tokens(run) / duration_s(run));
	buf_printf(out, "goodput %.0f tokens/s, delivered %.0f tokens/s",
		   goodput,
		   (double)count_delivered_tokens(run) / duration_s(run));
	if (run->has_engine_tokens)
		buf_printf(out, ", generated %" PRId64 " tokens, wasted %.2f%%",
			   run->engine_tokens, wasted_percent(run));
	buf_printf(out, "\n");
}

static void print_quantiles(buf_t *out, const char *name, const double *ms)
{
	buf_printf(out, "\"%s\":[%.3f,%.3f,%.3f],", name, ms[0], ms[1], ms[2]);
}

void load_print_json(buf_t *out, const load_run_t *run)
{
	buf_printf(out,
		   "{\"seed\":%" PRIu64 ",\"scale\":%.4f,\"duration_s\":%.0f,"
		   "\"classes\":[",
		   run->scenario.seed, run->scale, duration_s(run));
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
		print_quantiles(out, "first_token_ms", s.first_token_ms);
		print_quantiles(out, "between_tokens_ms", s.between_tokens_ms);
		buf_printf(out,
			   "\"first_token_attainment\":%.4f,"
			   "\"between_tokens_attainment\":%.4f,"
			   "\"tokens\":%" PRIu64 ",\"goodput_tokens_s\":%.1f,"
			   "\"send_late_p99_ms\":%.3f}",
			   percent(s.first_token_met, s.sent) / 100,
			   percent(s.between_tokens_met,
				   s.between_tokens_measured) /
				   100,
			   s.tokens, (double)s.good_tokens / duration_s(run),
			   s.send_delay_p99_ms);
	}
	buf_printf(out,
		   "],\n\"delivered_tokens\":%" PRIu64
		   ",\"offered_tokens_s\":%.1f"
		   ",\"tokens_in_duration_s\":%.1f",
		   count_delivered_tokens(run),
		   (double)count_offered_tokens(run) / duration_s(run),
		   (double)run->tokens_in_duration / duration_s(run));
	if (run->has_engine_tokens)
		buf_printf(out,
			   ",\"generated_tokens\":%" PRId64
			   ",\"wasted_percent\":%.3f",
			   run->engine_tokens, wasted_percent(run));
	buf_printf(out, "}\n");
}

/* One line of a plot, with a value for each time bin. */
typedef struct series {
	const char *name;
	const char *colour;
	double values[MAX_BINS];
} series_t;

static void draw_plot(buf_t *out, const char *title, const series_t *series,
		      size_t count, size_t bins)
{
	double max_value = 1;

	for (size_t i = 0; i < count; i++)
		for (size_t j = 0; j < bins; j++)
			max_value = fmax(max_value, series[i].values[j]);
	buf_printf(
		out,
		"<svg width=\"%.0f\" height=\"%.0f\"><rect width=\"%.0f\" "
		"height=\"%.0f\" fill=\"none\" stroke=\"#999\"/>"
		"<text x=\"4\" y=\"12\" font-size=\"11\">%s, 0 to %.4g</text>",
		PLOT_WIDTH, PLOT_HEIGHT, PLOT_WIDTH, PLOT_HEIGHT, title,
		max_value);
	for (size_t i = 0; i < count; i++) {
		buf_printf(out,
			   "<text x=\"4\" y=\"%zu\" font-size=\"11\" "
			   "fill=\"%s\">%s</text><polyline fill=\"none\" "
			   "stroke=\"%s\" points=\"",
			   12 * (i + 2), series[i].colour, series[i].name,
			   series[i].colour);
		for (size_t j = 0; j < bins; j++)
			buf_printf(
				out, "%.1f,%.1f ",
				PLOT_WIDTH * ((double)j + 0.5) / (double)bins,
				PLOT_HEIGHT - series[i].values[j] / max_value *
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
		if (meets_targets(class, r))
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
