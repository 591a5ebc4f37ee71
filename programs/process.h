#ifndef PROCESS_H
#define PROCESS_H

#include <jansson.h>

#include "coordination/confsync.h"
#include "coordination/peers.h"
#include "state/settings.h"
#include "state/store.h"
#include "transport/admin.h"

/*
 * process - the life of a daemon: start, operators' interface, graceful stop
 *
 * A daemon embeds a process_t as its first member and gives its own parts as a
 * table of functions. All run on the loop's thread, or before and after it.
 */
typedef struct process process_t;

typedef struct process_ops {
	const char *name;
	const char *doc; /* for --help */
	settings_role_t role;
	peers_ops_t peers;
	confsync_ops_t confsync;
	/* Fills in who this process is; the strings must last. */
	void (*describe)(process_t *process, peers_self_t *self);
	/* Sets up own parts; peers and confsync exist already. */
	err_code_t (*create)(process_t *process, err_t *err);
	/* Opens listeners; the operators' interface runs already. */
	err_code_t (*serve)(process_t *process, err_t *err);
	/* Where it listens, for the log and the ready line. */
	const char *(*address)(const process_t *process);
	/* Refuses new work from now on. Called again, it does nothing. */
	void (*leave)(process_t *process, const char *reason);
	/* Requests that a graceful stop waits for. */
	size_t (*count_requests)(const process_t *process);
	/* Adds the daemon's part of /v1/status. */
	void (*report)(process_t *process, json_t *status);
	/* Ends servers whose handlers wait for the loop; on another thread. */
	void (*close_servers)(process_t *process);
	/* Closes connections that confsync may be using. */
	void (*disconnect)(process_t *process);
	/* Frees own parts. */
	void (*release)(process_t *process);
	/* Called every tick_ms. */
	void (*tick)(process_t *process);
	int64_t tick_ms;
} process_ops_t;

struct process {
	const process_ops_t *ops;
	const settings_t *settings;
	const mclock_t *clock;
	loop_t *loop;
	store_t *store;
	peers_t *peers;
	confsync_t *confsync;
	admin_t *admin;
	msg_id_t incarnation;
	int64_t started_ms;
	loop_timer_t tick;
	int signal_fd;
	bool stopping;	 /* SIGTERM arrived */
	bool stop_begun; /* nothing is left; the process ends */
};

/*
 * Runs the daemon: command line, settings, start, loop, stop.
 *
 * RETURN VALUE: the exit status: 0 after a graceful stop, 1 when it could not
 * start. Wrong arguments or settings end the process with status 2.
 */
int process_run(process_t *process, const process_ops_t *ops, int argc,
		char **argv);

/* Takes NODE and NODE_GET of a member. False for any other message. */
bool process_take_node(process_t *process, member_t *member, const msg_t *msg);

#endif
