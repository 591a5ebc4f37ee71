#ifndef HOST_HOST_H
#define HOST_HOST_H

#include "coordination/peersync.h"
#include "request/loadsync.h"
#include "request/router.h"
#include "state/hostsettings.h"

/*
 * host - the parts that every host process has, put together
 *
 * A program embeds a host_t as its first member and gives a table of functions
 * for what differs: the settings' format, the interface, where the
 * configuration comes from. Starts in the order settings, router, peers, the
 * program's own parts, callers; stops in the reverse order, once no request is
 * left or the time for a stop is nearly over.
 */
typedef struct host host_t;

typedef struct host_ops {
	const char *name;
	const dialect_t *(*dialect)(void);
	int64_t pull_delay_ms; /* see peersync_options_t */
	/* Parses settings; NULL with the faults in `report`. */
	hostsettings_t *(*parse_settings)(str_t text, buf_t *report);
	void (*free_settings)(hostsettings_t *settings);
	/* Starts the program's own parts; router and peers exist. */
	err_code_t (*start)(host_t *host, err_t *err);
	/* All parts serve. */
	void (*on_started)(host_t *host);
	/* Changed settings: takes over what the program keeps of them. */
	void (*apply_settings)(host_t *host, const hostsettings_t *settings);
	/* Looks for changes of other files, every second. NULL: none. */
	void (*check_files)(host_t *host);
	/* A record of the replica is new, changed or gone (ptr NULL). */
	void (*on_record)(host_t *host, str_t key, str_t value);
	/* Records came from a peer. */
	void (*on_pulled)(host_t *host);
	/* A peer's records were left, since they are too many to be passed from
	 * host to host. NULL: they are taken. */
	void (*on_pull_too_large)(host_t *host);
	/* A round of messages to other hosts begins. NULL: no use for it. */
	void (*on_gossip_round)(host_t *host);
	/* A stop begins, or an operator drains the host. */
	void (*on_stopping)(host_t *host);
	/* Frees the program's own parts. */
	void (*release)(host_t *host);
} host_ops_t;

struct host {
	const host_ops_t *ops;
	loop_t *loop;
	char *settings_path;
	const policy_t *policy; /* NULL: the usual one */
	const tracer_t *tracer; /* NULL: no spans */
	buf_t settings_text;
	hostsettings_t *settings;
	router_t *router;
	replica_t *replica;
	peersync_t *peersync;
	loadsync_t *loadsync; /* NULL without a port for it */
	int listen_fd;
	int signal_fd;
	int64_t stop_started_ms; /* when the stop began; 0: it has not */
	loop_timer_t settings_timer;
	loop_timer_t stop_timer;
};

/* Reads and checks the settings; faults go to standard error. */
err_code_t host_load_settings(host_t *host, const char *path);

/* Starts all parts. */
err_code_t host_start(host_t *host, err_t *err);
void host_run(host_t *host);
void host_release(host_t *host);

int64_t host_now_ms(const host_t *host);

#endif
