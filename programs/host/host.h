#ifndef HOST_HOST_H
#define HOST_HOST_H

#include "coordination/peersync.h"
#include "request/loadsync.h"
#include "request/router.h"
#include "state/hostsettings.h"

/*
 * host - the components that all host processes share
 *
 * A program embeds a host_t as its first member and supplies a table of
 * functions for what differs: the settings format, the interface, the source of
 * the configuration. The host starts in the order settings, router, peers, the
 * program's components, listener for callers. It stops in the reverse order,
 * when no request is left or the grace period is nearly over.
 */
typedef struct host host_t;

typedef struct host_ops {
	const char *name;
	const dialect_t *(*dialect)(void);
	int64_t watch_grace_ms; /* see peersync_options_t */
	/* RETURN VALUE: the parsed settings, or NULL with the faults in
	 * `report`. */
	hostsettings_t *(*parse_settings)(str_t text, buf_t *report);
	void (*free_settings)(hostsettings_t *settings);
	/* Starts the program's components, after router and peers. */
	err_code_t (*start)(host_t *host, err_t *err);
	/* The host accepts callers. */
	void (*on_started)(host_t *host);
	/* Applies changed settings to the program's components. */
	void (*apply_settings)(host_t *host, const hostsettings_t *settings);
	/* Checks other files for changes, every second. NULL: no such files. */
	void (*check_files)(host_t *host);
	/* A record of the replica was added, changed or removed (value.ptr is
	 * NULL). */
	void (*on_record)(host_t *host, str_t key, str_t value);
	/* Compares two values of a record, see replica_observer_t. NULL: the
	 * configuration has no eras. */
	bool (*is_older)(str_t key, str_t held, str_t offered);
	/* A peer has records of a later era, see peersync_observer_t. NULL: the
	 * configuration has no eras. */
	bool (*on_later_era)(host_t *host, int64_t era);
	/* The replica now holds records pulled from a peer. */
	void (*on_pulled)(host_t *host);
	/* A peer's response to a pull was discarded since it is too large to be
	 * passed from host to host. NULL: responses of any size are used. */
	void (*on_large_response)(host_t *host);
	/* A gossip round begins. NULL: not called. */
	void (*on_gossip_round)(host_t *host);
	/* The host has begun to stop. */
	void (*on_stopping)(host_t *host);
	/* Frees the program's components. */
	void (*release)(host_t *host);
} host_ops_t;

struct host {
	const host_ops_t *ops;
	loop_t *loop;
	char *settings_path;
	const policy_t *policy; /* NULL: the default policy */
	const tracer_t *tracer; /* NULL: no tracing */
	buf_t settings_text;
	hostsettings_t *settings;
	router_t *router;
	replica_t *replica;
	peersync_t *peersync;
	loadsync_t *loadsync; /* NULL if the settings give no port for it */
	int listen_fd;
	int signal_fd;
	int64_t stop_started_ms; /* 0: not stopping */
	loop_timer_t settings_timer;
	loop_timer_t stop_timer;
	loop_timer_t settle_timer;
};

/* Loads and checks the settings; writes faults to standard error. */
err_code_t host_load_settings(host_t *host, const char *path);

/* Starts all components. */
err_code_t host_start(host_t *host, err_t *err);
void host_run(host_t *host);
void host_release(host_t *host);

int64_t host_now_ms(const host_t *host);

#endif
