#ifndef HOSTD_HOST_H
#define HOSTD_HOST_H

#include "coordination/peersync.h"
#include "platform/settings.h"
#include "platform/store.h"
#include "request/loadsync.h"
#include "request/router.h"
#include "transport/monitor.h"

/*
 * host - the parts of a host process, put together
 *
 * Starts in the order settings, router, peers, configuration service,
 * listeners; stops in the reverse order, once no request is left or the time
 * for a stop is nearly over.
 */
typedef struct host {
	loop_t *loop;
	char *settings_path;
	const policy_t *policy; /* NULL: the usual one */
	buf_t settings_text;
	psettings_t *settings;
	router_t *router;
	replica_t *replica;
	peersync_t *peersync;
	loadsync_t *loadsync; /* NULL without a port for it */
	pstore_t *store;
	bool eager; /* calls the configuration service often */
	monitor_t *readiness;
	monitor_t *metrics;
	int listen_fd;
	int signal_fd;
	int64_t stop_ms; /* when the stop began; 0: it has not */
	loop_timer_t settings_timer;
	loop_timer_t stop_timer;
} host_t;

/* Reads and checks the settings; faults go to standard error. */
err_code_t host_load_settings(host_t *host, const char *path);

/* Starts all parts. */
err_code_t host_start(host_t *host, err_t *err);
void host_run(host_t *host);
void host_release(host_t *host);

#endif
