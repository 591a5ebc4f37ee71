#ifndef PROGRAMS_H
#define PROGRAMS_H

#include <jansson.h>

#include "coordination/confsync.h"
#include "state/settings.h"
#include "transport/admin.h"

/*
 * programs - what the daemons' main programs have in common
 */
#define PROGRAMS_VERSION "0.1.0"
#define PROGRAMS_EXIT_USAGE 2

/*
 * Parses the command line and reads the settings file. Ends the process with
 * status 2 and the faults on standard error when either is wrong, and with
 * status 0 for --check, --help and --version.
 */
settings_t *programs_read_settings(int argc, char **argv, settings_role_t role,
				   const char *doc);

/* Starts log, trace and libraries; blocks the signals of the daemon. */
void programs_start(const settings_t *settings, const char *program);
void programs_stop(settings_t *settings);

/* A descriptor that becomes readable on SIGTERM and SIGINT; -1 on failure. */
int programs_open_signals(err_t *err);

/* Prints "ready LISTEN ADMIN" on standard output for whoever started it. */
void programs_print_ready(const char *listen, const char *admin);

/* Offers the sheet file of the settings, if there is one. */
err_code_t programs_load_sheet(const settings_t *settings, confsync_t *confsync,
			       err_t *err);

/* A question of an operator that the loop's thread answers. */
typedef struct programs_query {
	void *daemon;
	json_t *answer;
} programs_query_t;

/* A route of the operators' interface; a list ends with a zero one. */
typedef struct programs_route {
	const char *method;
	const char *path;
	admin_handler_t handler;
} programs_route_t;

/* Starts the operators' interface; NULL on failure. */
admin_t *programs_start_admin(const settings_t *settings,
			      const programs_route_t *routes, void *daemon,
			      err_t *err);

/* Lets the loop's thread build the answer and sends it. */
void programs_answer_query(httpd_call_t *call, loop_t *loop, loop_call_t build,
			   void *daemon);

/* Checks a sheet in TOML and puts it in force: 200, 409 or 422. */
void programs_take_sheet(httpd_call_t *call, confsync_t *confsync, str_t body);

/* Adds sheet_version, sheet_digest, sheet_conflicts and the domains with their
 * states. Call on a thread that is registered with the store. */
void programs_report_sheet(json_t *status, const store_t *store);

#endif
