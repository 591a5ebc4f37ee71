#ifndef HOSTD_HOSTD_H
#define HOSTD_HOSTD_H

#include "platform/settings.h"
#include "platform/store.h"
#include "programs/host/host.h"
#include "transport/monitor.h"

/*
 * hostd - a host process on the users' platform
 *
 * Reads the configuration from the platform's configuration service, and serves
 * readiness and metrics at separate addresses.
 */
typedef struct hostd {
	host_t host; /* must be first: host_ops_t functions cast it */
	pstore_t *store;
	bool is_reader;	     /* see readers.h */
	int64_t checked_era; /* for which the service was last asked */
	int64_t era_checked_ms;
	monitor_t *readiness;
	monitor_t *metrics;
} hostd_t;

extern const host_ops_t hostd_ops;

#endif
