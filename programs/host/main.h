#ifndef HOST_MAIN_H
#define HOST_MAIN_H

#include "programs/host/host.h"

/*
 * main - command line and main function of a host process
 */

typedef struct host_program {
	const char *doc;		   /* for --help */
	const char *default_settings_path; /* without --settings; NULL: none */
	int log_fd;
	/* Called before the host starts, and after it has stopped or failed to
	 * start; may be NULL. */
	void (*before_run)(host_t *host);
	void (*after_run)(void);
} host_program_t;

/*
 * RETURN VALUE: the exit status: 0 after a regular stop, 1 if the host could
 * not start, 2 for invalid settings. A wrong command line exits with 64.
 */
int host_main(host_t *host, const host_program_t *program, int argc,
	      char **argv);

#endif
