#ifndef PROGRAMS_H
#define PROGRAMS_H

#include "coordination/confsync.h"
#include "state/settings.h"

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

/* Offers the sheet file of the settings, if there is one. */
err_code_t programs_load_sheet(const settings_t *settings,
			       confsync_t *confsync, err_t *err);

#endif
