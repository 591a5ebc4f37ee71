/*
 * peridotctl - command line tool for operators
 *
 * EXIT STATUS: 0 on success, 1 if a host refused or could not be reached or
 * check-config has warnings alone, 2 for invalid arguments, an invalid file or
 * a failed write.
 */
#include "ctl/ctl.h"

#include <argp.h>
#include <curl/curl.h>
#include <errno.h>
#include <limits.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/version.h"

const char *argp_program_version = "peridotpin " PERIDOT_VERSION;

#define MAX_FLEET_BYTES (1024UL * 1024)
#define MAX_OPTIONS 12	 /* of one command */
#define COMMAND_BYTES 64 /* "peridotctl COMMAND" with its final NUL */

/* Groups of options; each command accepts some of them. */
#define GROUP_HOSTS 1U
#define GROUP_FLEET 2U
#define GROUP_JSON 4U
#define GROUP_WAIT 8U
#define GROUP_OUT 16U
#define GROUP_EDIT 32U
#define GROUP_IN_FORCE 64U
#define GROUP_HOSTS_OR_FLEET (GROUP_HOSTS | GROUP_FLEET)

enum option_key {
	OPTION_HOST = 'd',
	OPTION_FLEET = 'f',
	OPTION_KEY_FILE = 'k',
	OPTION_JSON = 'j',
	OPTION_OUT = 'o',
	OPTION_LIMIT = 256,
	OPTION_WAIT_VERSION,
	OPTION_TIMEOUT,
	OPTION_DOMAIN,
	OPTION_ENDPOINT,
	OPTION_STATE,
	OPTION_IN_FORCE
};

typedef struct command {
	const char *name;
	const char *args_doc;
	const char *doc;
	unsigned option_groups; /* GROUP_* flags */
	size_t file_count;
	int (*run)(const ctl_args_t *args);
} command_t;

typedef struct grouped_option {
	unsigned group;
	struct argp_option option;
} grouped_option_t;

typedef struct parse_context {
	const command_t *command;
	ctl_args_t *args;
} parse_context_t;

static const grouped_option_t options[] = {
	{GROUP_HOSTS,
	 {"host", OPTION_HOST, "IP:PORT", 0,
	  "Admin address of a host; may be given several times", 0}},
	{GROUP_FLEET,
	 {"fleet", OPTION_FLEET, "FILE", 0,
	  "Admin addresses, one a line; # begins a comment", 0}},
	{GROUP_HOSTS,
	 {"key-file", OPTION_KEY_FILE, "FILE", 0,
	  "File whose first line is the operator key; default: the "
	  "environment variable PERIDOT_OPERATOR_KEY",
	  0}},
	{GROUP_HOSTS,
	 {"limit", OPTION_LIMIT, "MS", 0,
	  "Time limit for the answer of a host, 1 to 600000 ms; default "
	  "3000",
	  0}},
	{GROUP_JSON, {"json", OPTION_JSON, NULL, 0, "Print JSON", 0}},
	{GROUP_WAIT,
	 {"wait-version", OPTION_WAIT_VERSION, "N", 0,
	  "Wait until all hosts have version N or a later one", 0}},
	{GROUP_WAIT,
	 {"timeout", OPTION_TIMEOUT, "S", 0,
	  "Time limit for --wait-version, 1 to 86400 s; default 30", 0}},
	{GROUP_OUT, {"out", OPTION_OUT, "PATH", 0, "Where to write", 0}},
	{GROUP_EDIT,
	 {"domain", OPTION_DOMAIN, "NAME", 0, "Change this domain", 0}},
	{GROUP_EDIT,
	 {"endpoint", OPTION_ENDPOINT, "NAME", 0, "Change this endpoint", 0}},
	{GROUP_EDIT,
	 {"state", OPTION_STATE, "STATE", 0, "up, leaving or out", 0}},
	{GROUP_IN_FORCE,
	 {"in-force", OPTION_IN_FORCE, "FILE", 0,
	  "Show what differs from this configuration, which is in force", 0}},
};

static const command_t commands[] = {
	{"check", "SHEET", "Report every fault of a sheet.", 0, 1,
	 ctl_run_check},
	{"check-settings", "FILE", "Report every fault of a settings file.", 0,
	 1, ctl_run_check_settings},
	{"check-config", "FILE", "Review a configuration of the platform.",
	 GROUP_IN_FORCE, 1, ctl_run_check_config},
	{"diff", "OLD NEW", "Show what a new sheet changes.", 0, 2,
	 ctl_run_diff},
	{"edit", "SHEET", "Change one state and raise the version.",
	 GROUP_OUT | GROUP_EDIT, 1, ctl_run_edit},
	{"push", "SHEET", "Hand a sheet to every host named.",
	 GROUP_HOSTS_OR_FLEET, 1, ctl_run_push},
	{"status", "", "Show all hosts.",
	 GROUP_HOSTS_OR_FLEET | GROUP_JSON | GROUP_WAIT, 0, ctl_run_status},
	{"endpoints", "", "Show the endpoints, summed over the hosts asked.",
	 GROUP_HOSTS_OR_FLEET | GROUP_JSON, 0, ctl_run_endpoints},
	{"classes", "", "Show requests at endpoints and waiting, by class.",
	 GROUP_HOSTS_OR_FLEET | GROUP_JSON, 0, ctl_run_classes},
	{"domains", "", "Show hosts, endpoints and load by domain.",
	 GROUP_HOSTS_OR_FLEET | GROUP_JSON, 0, ctl_run_domains},
	{"metrics", "", "Print the metrics of each host.", GROUP_HOSTS_OR_FLEET,
	 0, ctl_run_metrics},
	{"drain", "", "Drain hosts: they refuse new requests until they exit.",
	 GROUP_HOSTS, 0, ctl_run_drain},
};

#define COMMAND_COUNT (sizeof(commands) / sizeof(*commands))
#define OPTION_COUNT (sizeof(options) / sizeof(*options))

static void add_host(struct argp_state *state, ctl_args_t *args, str_t text)
{
	if (!sheet_is_address(text))
		argp_error(state, "%.*s is not an IP:PORT", STR_ARG(text));
	if (args->host_count == CTL_MAX_HOSTS)
		argp_error(state, "more than %d hosts", CTL_MAX_HOSTS);
	for (size_t i = 0; i < args->host_count; i++)
		if (str_equals(str_from(args->hosts[i]), text))
			return;
	args->hosts[args->host_count] = str_dup(text);
	if (!args->hosts[args->host_count])
		abort();
	args->host_count++;
}

static bool is_blank(char c)
{
	return c == ' ' || c == '\t' || c == '\r';
}

static void read_fleet(struct argp_state *state, ctl_args_t *args,
		       const char *path)
{
	buf_t text = BUF_INIT;
	unsigned line_number = 0;
	size_t offset = 0;

	if (!ctl_read_file(path, MAX_FLEET_BYTES, &text))
		exit(CTL_EXIT_USAGE);
	while (offset < text.len) {
		str_t line = {text.ptr + offset, 0};

		line_number++;
		while (offset < text.len && text.ptr[offset] != '\n')
			offset++;
		line.len = (size_t)(text.ptr + offset - line.ptr);
		offset++;
		for (size_t i = 0; i < line.len; i++)
			if (line.ptr[i] == '#')
				line.len = i;
		while (line.len && is_blank(line.ptr[line.len - 1]))
			line.len--;
		while (line.len && is_blank(*line.ptr)) {
			line.ptr++;
			line.len--;
		}
		if (line.len && !sheet_is_address(line)) {
			fprintf(stderr,
				"%s:%u: host: expected IP:PORT, found "
				"\"%" STR_FMT "\"\n",
				path, line_number, STR_ARG(line));
			exit(CTL_EXIT_USAGE);
		}
		if (line.len)
			add_host(state, args, line);
	}
	buf_release(&text);
}

static int64_t parse_number(struct argp_state *state, const char *option,
			    const char *text, int64_t max)
{
	char *end;
	long long value;

	errno = 0;
	value = strtoll(text, &end, 10);
	if (errno || end == text || *end || value < 1 || value > max)
		argp_error(state, "--%s needs a number from 1 to %lld", option,
			   (long long)max);
	return value;
}

static void parse_state(struct argp_state *state, ctl_args_t *args,
			const char *value)
{
	args->state = value;
	if (strcmp(value, "up") != 0 && strcmp(value, "leaving") != 0 &&
	    strcmp(value, "out") != 0)
		argp_error(state, "--state needs up, leaving or out");
}

static void check_required_options(struct argp_state *state,
				   const command_t *command,
				   const ctl_args_t *args)
{
	if (args->file_count != command->file_count)
		argp_error(state, "expected %s",
			   *command->args_doc ? command->args_doc :
						"no arguments");
	if ((command->option_groups & GROUP_HOSTS) && !args->host_count)
		argp_error(state, "no host is named: use --host%s",
			   command->option_groups & GROUP_FLEET ?
				   " or --fleet" :
				   "");
	if ((command->option_groups & GROUP_OUT) && !args->out_path)
		argp_error(state, "--out is needed");
	if (!(command->option_groups & GROUP_EDIT))
		return;
	if (!args->domain == !args->endpoint)
		argp_error(state, "one of --domain and --endpoint is needed");
	if (!args->state)
		argp_error(state, "--state is needed");
}

static error_t parse_option(int key, char *value, struct argp_state *state)
{
	parse_context_t *context = state->input;
	ctl_args_t *args = context->args;

	switch (key) {
	case OPTION_HOST:
		add_host(state, args, str_from(value));
		return 0;
	case OPTION_FLEET:
		read_fleet(state, args, value);
		return 0;
	case OPTION_KEY_FILE:
		args->key_file = value;
		return 0;
	case OPTION_LIMIT:
		args->response_timeout_ms =
			parse_number(state, "limit", value, 600000);
		return 0;
	case OPTION_JSON:
		args->json = true;
		return 0;
	case OPTION_WAIT_VERSION:
		args->wait_version =
			parse_number(state, "wait-version", value, INT64_MAX);
		return 0;
	case OPTION_TIMEOUT:
		args->wait_timeout_s =
			parse_number(state, "timeout", value, 86400);
		return 0;
	case OPTION_OUT:
		args->out_path = value;
		return 0;
	case OPTION_DOMAIN:
		args->domain = value;
		return 0;
	case OPTION_ENDPOINT:
		args->endpoint = value;
		return 0;
	case OPTION_IN_FORCE:
		args->in_force = value;
		return 0;
	case OPTION_STATE:
		parse_state(state, args, value);
		return 0;
	case ARGP_KEY_ARG:
		if (args->file_count == context->command->file_count)
			argp_error(state, "unexpected argument %s", value);
		else
			args->files[args->file_count++] = value;
		return 0;
	case ARGP_KEY_END:
		check_required_options(state, context->command, args);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static int run_command(const command_t *command, int argc, char **argv)
{
	static ctl_args_t args = {.response_timeout_ms =
					  CTL_DEFAULT_RESPONSE_TIMEOUT_MS,
				  .wait_timeout_s = CTL_DEFAULT_WAIT_TIMEOUT_S};
	struct argp_option accepted_options[MAX_OPTIONS + 1] = {{0}};
	parse_context_t context = {command, &args};
	struct argp argp = {.options = accepted_options,
			    .parser = parse_option,
			    .args_doc = command->args_doc,
			    .doc = command->doc};
	char name[COMMAND_BYTES];
	size_t count = 0;
	int status;

	for (size_t i = 0; i < OPTION_COUNT; i++)
		if (options[i].group & command->option_groups)
			accepted_options[count++] = options[i].option;
	snprintf(name, sizeof(name), "peridotctl %s", command->name);
	argv[0] = name; /* shown in usage and error messages */
	argp_parse(&argp, argc, argv, 0, NULL, &context);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	status = command->run(&args);
	curl_global_cleanup();
	for (size_t i = 0; i < args.host_count; i++)
		free(args.hosts[i]);
	/* A full disk or a closed pipe must not look like success. */
	if (fflush(stdout) || ferror(stdout)) {
		fprintf(stderr, "peridotctl: cannot write the output\n");
		status = CTL_EXIT_USAGE;
	}
	return status;
}

static error_t parse_command(int key, char *value, struct argp_state *state)
{
	int *command_index = state->input;

	switch (key) {
	case ARGP_KEY_ARG:
		for (size_t i = 0; i < COMMAND_COUNT; i++) {
			if (strcmp(commands[i].name, value) != 0)
				continue;
			/* Ends the parsing here: the remaining arguments belong
			 * to the command. */
			*command_index = state->next - 1;
			state->next = state->argc;
			return 0;
		}
		argp_error(state, "unknown command %s", value);
		return 0;
	case ARGP_KEY_NO_ARGS:
		argp_error(state, "a command is needed");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int main(int argc, char **argv)
{
	buf_t doc = BUF_INIT;
	struct argp argp = {.parser = parse_command,
			    .args_doc = "COMMAND [OPTION...]"};
	const command_t *command = commands;
	int command_index = 1;

	signal(SIGPIPE, SIG_IGN);
	buf_printf(&doc, "Checks sheets and runs a fleet of peridotpin hosts."
			 "\vCommands:\n");
	for (size_t i = 0; i < COMMAND_COUNT; i++)
		buf_printf(&doc, "  %-15s %s\n", commands[i].name,
			   commands[i].doc);
	buf_printf(&doc, "\nEach command has its own --help.\n\n"
			 "Exit status: 0 when all went well, 1 when a host "
			 "refused or could not be reached or check-config "
			 "has warnings alone, 2 for wrong arguments or a "
			 "faulty file.\n");
	buf_append(&doc, "", 1);
	argp.doc = doc.ptr;
	argp_err_exit_status = CTL_EXIT_USAGE;
	argp_parse(&argp, argc, argv, ARGP_IN_ORDER, NULL, &command_index);
	buf_release(&doc);
	while (strcmp(command->name, argv[command_index]) != 0)
		command++;
	return run_command(command, argc - command_index, argv + command_index);
}
