#include "programs/host/main.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/plog.h"
#include "base/version.h"

/* Exit codes besides 0; argp exits with 64 for a wrong command line. */
#define EXIT_START_FAILED 1
#define EXIT_SETTINGS_INVALID 2

const char *argp_program_version = "peridotpin " PERIDOT_VERSION;

typedef struct arguments {
	const char *settings;
	plog_level_t level;
	const policy_t *policy; /* NULL: the default policy */
	bool check;
} arguments_t;

static const struct argp_option options[] = {
	{"settings", 's', "FILE", 0,
	 "Settings file; default: the file that the environment names", 0},
	{"log-level", 'l', "LEVEL", 0,
	 "debug, info, warn or error; default info", 0},
	{"policy", 'p', "NAME", 0,
	 "Choose endpoints by a baseline, to compare: round-robin, "
	 "fewest-in-flight or least-reported",
	 0},
	{"check", 'c', NULL, 0, "Check the settings and exit", 0},
	{0}};

static error_t parse_option(int key, char *value, struct argp_state *state)
{
	arguments_t *arguments = state->input;

	switch (key) {
	case 's':
		arguments->settings = value;
		return 0;
	case 'l':
		if (plog_parse_level(value, &arguments->level))
			argp_error(state, "unknown log level \"%s\"", value);
		return 0;
	case 'p':
		arguments->policy = policy_find(str_from(value));
		if (!arguments->policy)
			argp_error(state, "unknown policy \"%s\"", value);
		return 0;
	case 'c':
		arguments->check = true;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static int run(host_t *host, const host_program_t *program,
	       const arguments_t *arguments)
{
	int code = EXIT_SUCCESS;
	err_t err = {0};

	if (plog_start(host->ops->name, arguments->level)) {
		fprintf(stderr, "log4c can't start\n");
		return EXIT_START_FAILED;
	}
	plog_buffer_output(program->log_fd);
	if (program->before_run)
		program->before_run(host);
	if (host_start(host, &err)) {
		plog_write(PLOG_START_FAILED, "step=%s peer=%s error=\"%s\"",
			   err.step, err.peer, err.message);
		code = EXIT_START_FAILED;
	} else {
		host_run(host);
	}
	if (program->after_run)
		program->after_run();
	return code;
}

int host_main(host_t *host, const host_program_t *program, int argc,
	      char **argv)
{
	struct argp argp = {.options = options,
			    .parser = parse_option,
			    .doc = program->doc};
	arguments_t arguments = {.settings = program->default_settings_path,
				 .level = PLOG_LEVEL_INFO};
	int code;

	host->listen_fd = host->signal_fd = -1;
	argp_parse(&argp, argc, argv, 0, NULL, &arguments);
	host->policy = arguments.policy;
	if (!arguments.settings) {
		fprintf(stderr, "no settings file was given\n");
		return EXIT_SETTINGS_INVALID;
	}
	if (host_load_settings(host, arguments.settings)) {
		host_release(host);
		return EXIT_SETTINGS_INVALID;
	}
	code = arguments.check ? EXIT_SUCCESS : run(host, program, &arguments);
	host_release(host);
	plog_stop();
	return code;
}
