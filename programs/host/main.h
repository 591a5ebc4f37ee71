#ifndef HOST_MAIN_H
#define HOST_MAIN_H

#include "programs/host/host.h"

/*
 * main - the command line and the life of a host process
 */

typedef struct host_program {
	const char *doc;      /* for --help */
	const char *default_settings_path; /* the file without --settings; NULL: none */
	int log_fd;
	/* Runs before and after the host; NULL: nothing to do. */
	void (*before_run)(host_t *host);
	void (*after_run)(void);
} host_program_t;

/*
 * RETURN VALUE: the exit status: 0 after a stop, 1 when it could not start, 2
 * for settings that are refused, 64 for a wrong command line.
 */
int host_main(host_t *host, const host_program_t *program, int argc,
	      char **argv);

#endif
