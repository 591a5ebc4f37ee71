#ifndef ROUTERD_ROUTERD_H
#define ROUTERD_ROUTERD_H

#include "coordination/sheetsync.h"
#include "programs/host/host.h"
#include "state/settings.h"
#include "transport/monitor.h"

/*
 * routerd - a host process of an installation of our own
 *
 * Speaks the native interface, takes its configuration from sheets that
 * operators hand to any host, and answers operators at an address of its own.
 */
typedef struct routerd {
	host_t host; /* first: its functions get it */
	sheetsync_t *sheetsync;
	monitor_t *admin;
	loop_timer_t tick_timer;
	buf_t sheet_file_text;      /* of the sheet file, as read last */
	uint64_t sheet_file_version; /* of the sheet in it; 0: it is faulty */
	int64_t started_ms;
	int64_t last_tick_ms; /* last tick */
	uint64_t pause_count;
} routerd_t;

extern const host_ops_t routerd_ops;

const settings_t *routerd_settings(const routerd_t *routerd);

/* Refuses new requests until the process ends. */
void routerd_drain(routerd_t *routerd, const char *source);

/* admin.c: the operators' interface */
err_code_t admin_start(routerd_t *routerd, err_t *err);

/* status.c: appends the JSON of GET /v1/status */
void status_append(const routerd_t *routerd, buf_t *out);

#endif
