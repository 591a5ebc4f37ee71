#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/plog.h"
#include "programs/hostd/host.h"

/* Exit codes besides 0; 64 is argp's for a wrong command line. */
#define EXIT_START_FAILED 1
#define EXIT_SETTINGS_INVALID 2

typedef struct arguments {
	const char *settings;
	plog_level_t level;
	const policy_t *policy; /* NULL: the usual one */
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

static const struct argp argp = {
	options, parse_option,
	NULL,	 "Routes the requests of a host's callers to endpoints.",
	NULL,	 NULL,
	NULL};

static int run(host_t *host, const arguments_t *arguments)
{
	err_t err = {0};

	if (plog_start("peridot-hostd", arguments->level)) {
		fprintf(stderr, "log4c can't start\n");
		return EXIT_START_FAILED;
	}
	plog_buffer_output(STDOUT_FILENO);
	if (host_start(host, &err)) {
		plog_write(PLOG_START_FAILED, "step=%s peer=%s error=\"%s\"",
			   err.step, err.peer, err.message);
		return EXIT_START_FAILED;
	}
	host_run(host);
	return EXIT_SUCCESS;
}

int main(int argc, char **argv)
{
	arguments_t arguments = {.settings = psettings_path(),
				 .level = PLOG_LEVEL_INFO};
	host_t host;
	int code;

	memset(&host, 0, sizeof(host));
	host.listen_fd = host.signal_fd = -1;
	argp_parse(&argp, argc, argv, 0, NULL, &arguments);
	host.policy = arguments.policy;
	if (!arguments.settings) {
		fprintf(stderr, "no settings file was given\n");
		return EXIT_SETTINGS_INVALID;
	}
	if (host_load_settings(&host, arguments.settings)) {
		host_release(&host);
		return EXIT_SETTINGS_INVALID;
	}
	code = arguments.check ? EXIT_SUCCESS : run(&host, &arguments);
	host_release(&host);
	plog_stop();
	return code;
}
