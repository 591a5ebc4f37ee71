/*
 * peridot-load - open-loop load generator, loopback only
 *
 * EXIT STATUS: 0 on success, 1 if the run failed, a response had unexpected
 * content or a result could not be written, 2 for invalid arguments or an
 * invalid scenario.
 */
#include "load/load.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/version.h"

const char *argp_program_version = "peridotpin " PERIDOT_VERSION;

#define EXIT_USAGE 2
#define MAX_SCALE 1000.0

enum {
	OPTION_SCALE = 's',
	OPTION_SEED = 'S',
	OPTION_DURATION = 'd',
	OPTION_JSON = 'j',
	OPTION_HTML = 'H',
	OPTION_ENTRY = 'e',
	OPTION_ENGINE = 'E'
};

typedef struct arguments {
	const char *scenario;
	const char *json;	   /* output path, or NULL */
	const char *html;	   /* output path, or NULL */
	double scale;		   /* factor on all rates */
	long seed;		   /* -1: the scenario's */
	long duration_s;	   /* 0: the scenario's */
	load_scenario_t addresses; /* only entries and engines are used */
} arguments_t;

static const struct argp_option options[] = {
	{"scale", OPTION_SCALE, "FACTOR", 0, "factor on all rates", 0},
	{"seed", OPTION_SEED, "N", 0, "replaces the scenario's seed", 0},
	{"duration", OPTION_DURATION, "SECONDS", 0,
	 "replaces the scenario's duration; the rates stretch with it", 0},
	{"entry", OPTION_ENTRY, "IP:PORT", 0,
	 "replaces the scenario's entries; may be repeated", 0},
	{"engine", OPTION_ENGINE, "IP:PORT", 0,
	 "replaces the engines' control addresses; may be repeated", 0},
	{"json", OPTION_JSON, "FILE", 0, "writes the result as JSON", 0},
	{"html", OPTION_HTML, "FILE", 0, "writes plots over time", 0},
	{0}};

static void add_address(struct argp_state *state, const char *text,
			char addresses[][ADDRESS_BYTES], size_t *count)
{
	if (*count == LOAD_MAX_ADDRESSES)
		argp_error(state, "at most %d addresses", LOAD_MAX_ADDRESSES);
	else if (load_parse_address(text, addresses[*count]))
		argp_error(state, "%s is not a loopback IP:PORT", text);
	else
		++*count;
}

static long parse_number(struct argp_state *state, const char *text, long max)
{
	char *end;
	long value = strtol(text, &end, 10);

	if (*end || end == text || value < 0 || value > max)
		argp_error(state, "%s is not a number from 0 to %ld", text,
			   max);
	return value;
}

static error_t parse_option(int key, char *value, struct argp_state *state)
{
	arguments_t *a = state->input;
	char *end;

	switch (key) {
	case OPTION_SCALE:
		a->scale = strtod(value, &end);
		if (*end || end == value || !(a->scale > 0) ||
		    a->scale > MAX_SCALE)
			argp_error(state, "%s is not a factor up to %.0f",
				   value, MAX_SCALE);
		return 0;
	case OPTION_SEED:
		a->seed = parse_number(state, value, INT32_MAX);
		return 0;
	case OPTION_DURATION:
		a->duration_s = parse_number(state, value, LOAD_MAX_DURATION_S);
		return 0;
	case OPTION_ENTRY:
		add_address(state, value, a->addresses.entries,
			    &a->addresses.entry_count);
		return 0;
	case OPTION_ENGINE:
		add_address(state, value, a->addresses.engines,
			    &a->addresses.engine_count);
		return 0;
	case OPTION_JSON:
		a->json = value;
		return 0;
	case OPTION_HTML:
		a->html = value;
		return 0;
	case ARGP_KEY_ARG:
		if (a->scenario)
			argp_error(state, "only one scenario is allowed");
		a->scenario = value;
		return 0;
	case ARGP_KEY_END:
		if (!a->scenario)
			argp_error(state, "a scenario file is needed");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static void apply_arguments(const arguments_t *a, load_run_t *run)
{
	load_scenario_t *s = &run->scenario;

	run->scale = a->scale;
	if (a->seed >= 0)
		s->seed = (uint64_t)a->seed;
	if (a->duration_s > 0) {
		double factor =
			(double)a->duration_s * 1e6 / (double)s->duration_us;

		for (size_t i = 0; i < s->class_count; i++)
			for (size_t j = 0; j < s->classes[i].rate_count; j++)
				s->classes[i].rate[j].at_us *= factor;
		s->duration_us = a->duration_s * 1000000;
	}
	if (a->addresses.entry_count) {
		memcpy(s->entries, a->addresses.entries, sizeof(s->entries));
		s->entry_count = a->addresses.entry_count;
	}
	if (a->addresses.engine_count) {
		memcpy(s->engines, a->addresses.engines, sizeof(s->engines));
		s->engine_count = a->addresses.engine_count;
	}
}

static bool write_file(const char *path, const load_run_t *run,
		       void (*print)(buf_t *out, const load_run_t *run))
{
	buf_t out = BUF_INIT;
	FILE *file;
	bool ok;

	if (!path)
		return true;
	file = fopen(path, "we");
	print(&out, run);
	ok = file && fwrite(out.ptr, 1, out.len, file) == out.len;
	if (file && fclose(file))
		ok = false;
	buf_release(&out);
	if (!ok)
		fprintf(stderr, "peridot-load: could not write %s\n", path);
	return ok;
}

static bool print_results(const arguments_t *a, const load_run_t *run)
{
	buf_t out = BUF_INIT;
	bool ok = true;

	load_print_table(&out, run);
	printf("%" STR_FMT, STR_ARG(buf_view(&out)));
	buf_release(&out);
	for (size_t i = 0; i < run->request_count; i++)
		ok = ok && run->requests[i].outcome != LOAD_WRONG;
	if (!ok)
		fprintf(stderr, "peridot-load: an answer was wrong\n");
	ok = write_file(a->json, run, load_print_json) && ok;
	return write_file(a->html, run, load_print_html) && ok;
}

int main(int argc, char **argv)
{
	static arguments_t a = {.scale = 1, .seed = -1};
	static load_run_t run;
	struct argp argp = {.options = options,
			    .parser = parse_option,
			    .args_doc = "SCENARIO",
			    .doc = "Sends the load of a scenario to hosts on "
				   "loopback and verifies each answer."};
	buf_t report = BUF_INIT;
	err_t err = {0};
	int status = EXIT_FAILURE;

	argp_err_exit_status = EXIT_USAGE;
	argp_parse(&argp, argc, argv, 0, NULL, &a);
	if (load_read_scenario(a.scenario, &run.scenario, &report)) {
		fprintf(stderr, "%" STR_FMT, STR_ARG(buf_view(&report)));
		status = EXIT_USAGE;
		goto done;
	}
	apply_arguments(&a, &run);
	if (!run.scenario.entry_count) {
		fprintf(stderr, "peridot-load: an entry is needed\n");
		status = EXIT_USAGE;
		goto done;
	}
	if (load_plan(&run, &err) || load_send(&run, &err)) {
		fprintf(stderr, "peridot-load: %s: %s\n", err.step,
			err.message);
		goto done;
	}
	status = print_results(&a, &run) ? EXIT_SUCCESS : EXIT_FAILURE;
done:
	for (size_t i = 0; i < LOAD_MAX_CLASSES; i++)
		free(run.token_intervals[i].values_us);
	free(run.requests);
	buf_release(&report);
	return status;
}
