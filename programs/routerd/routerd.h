#ifndef ROUTERD_ROUTERD_H
#define ROUTERD_ROUTERD_H

#include "coordination/sheetsync.h"
#include "programs/host/host.h"
#include "state/settings.h"
#include "transport/monitor.h"

/*
 * routerd - a host process of a self-managed installation
 *
 * Serves the native interface, takes its configuration from sheets that an
 * operator submits to any host, and serves the operators' interface at a
 * separate address.
 */
typedef struct routerd {
	host_t host; /* must be first: host_ops_t functions cast it */
	sheetsync_t *sheetsync;
	monitor_t *admin;
	loop_timer_t tick_timer;
	buf_t sheet_file_text;	     /* last content read */
	uint64_t sheet_file_version; /* 0: its sheet is invalid */
	int64_t started_ms;
	int64_t last_tick_ms;
	uint64_t pause_count;
} routerd_t;

extern const host_ops_t routerd_ops;

const settings_t *routerd_settings(const routerd_t *routerd);

/* Drains the host: it refuses new requests until the process exits. */
void routerd_drain(routerd_t *routerd, const char *source);

/* admin.c: the operators' interface */
err_code_t admin_start(routerd_t *routerd, err_t *err);

/* status.c: appends the JSON of GET /v1/status */
void status_append(const routerd_t *routerd, buf_t *out);

#endif
