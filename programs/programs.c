#include "programs.h"

#include <argp.h>
#include <curl/curl.h>
#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include "base/plog.h"
#include "base/trace.h"
#include "state/sheetcheck.h"

#define READ_BYTES 65536
#define TRACE_SAMPLE_PERCENT 100

typedef struct arguments {
	const char *settings_file;
	bool check_only;
} arguments_t;

const char *argp_program_version = "peridotpin " PROGRAMS_VERSION;

static error_t parse_option(int key, char *value, struct argp_state *state)
{
	arguments_t *arguments = state->input;

	switch (key) {
	case 'c':
		arguments->check_only = true;
		return 0;
	case ARGP_KEY_ARG:
		if (arguments->settings_file)
			argp_error(state, "only one settings file is allowed");
		arguments->settings_file = value;
		return 0;
	case ARGP_KEY_NO_ARGS:
		argp_error(state, "a settings file is needed");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

settings_t *programs_read_settings(int argc, char **argv, settings_role_t role,
				   const char *doc)
{
	static const struct argp_option options[] = {
		{"check", 'c', NULL, 0, "Check the settings and exit", 0}, {0}};
	struct argp argp = {.options = options,
			    .parser = parse_option,
			    .args_doc = "SETTINGS.toml",
			    .doc = doc};
	arguments_t arguments = {0};
	buf_t report = BUF_INIT;
	settings_t *settings;

	argp_err_exit_status = PROGRAMS_EXIT_USAGE;
	argp_parse(&argp, argc, argv, 0, NULL, &arguments);
	settings = settings_load(arguments.settings_file, role, &report);
	if (!settings) {
		fprintf(stderr, "%" STR_FMT, STR_ARG(buf_view(&report)));
		buf_release(&report);
		exit(PROGRAMS_EXIT_USAGE);
	}
	buf_release(&report);
	if (arguments.check_only) {
		settings_free(settings);
		exit(EXIT_SUCCESS);
	}
	return settings;
}

static void stop_signals(sigset_t *set)
{
	sigemptyset(set);
	sigaddset(set, SIGTERM);
	sigaddset(set, SIGINT);
}

void programs_start(const settings_t *settings, const char *program)
{
	trace_options_t trace = {
		.path = settings->trace_file,
		.service = program,
		.host = settings->host,
		.sample_percent = TRACE_SAMPLE_PERCENT,
	};
	sigset_t set;
	err_t err;

	/* Threads that start later inherit the mask. */
	stop_signals(&set);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	if (plog_start(program, settings->log_level))
		fprintf(stderr, "%s: no log\n", program);
	if (settings->trace_file && trace_start(&trace, &err))
		plog_write(PLOG_START_FAILED,
			   "step=\"%s\" peer=%s message=\"%s\"", err.step,
			   err.peer, err.message);
}

void programs_stop(settings_t *settings)
{
	if (settings->trace_file)
		trace_stop();
	plog_stop();
	curl_global_cleanup();
	settings_free(settings);
}

int programs_open_signals(err_t *err)
{
	sigset_t set;
	int fd;

	stop_signals(&set);
	fd = signalfd(-1, &set, SFD_CLOEXEC | SFD_NONBLOCK);
	if (fd < 0)
		err_set(err, ERR_IO, "open signals", "", "%s", strerror(errno));
	return fd;
}

void programs_print_ready(const char *listen, const char *admin)
{
	printf("ready %s %s\n", listen, admin);
	fflush(stdout);
}

static err_code_t read_file(const char *path, buf_t *out, err_t *err)
{
	FILE *file = fopen(path, "rb");
	size_t got;

	if (!file)
		return err_set(err, ERR_IO, "read sheet", path, "%s",
			       strerror(errno));
	do {
		buf_reserve(out, READ_BYTES);
		got = fread(out->ptr + out->len, 1, READ_BYTES, file);
		out->len += got;
	} while (got && out->len <= SHEETCHECK_MAX_BYTES);
	fclose(file);
	return ERR_OK;
}

err_code_t programs_load_sheet(const settings_t *settings, confsync_t *confsync,
			       err_t *err)
{
	buf_t text = BUF_INIT;
	buf_t report = BUF_INIT;
	sheet_t *sheet;
	err_code_t code;

	if (!settings->sheet_file)
		return ERR_OK;
	code = read_file(settings->sheet_file, &text, err);
	if (code)
		goto done;
	sheet = sheetcheck_parse(buf_view(&text), settings->sheet_file,
				 &report);
	if (!sheet) {
		code = err_set(err, ERR_INVALID, "check sheet",
			       settings->sheet_file, "%" STR_FMT,
			       STR_ARG(buf_view(&report)));
		goto done;
	}
	code = confsync_offer(confsync, sheet, "file", err);
done:
	buf_release(&text);
	buf_release(&report);
	return code;
}
