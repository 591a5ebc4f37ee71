#ifndef STATE_HOSTSETTINGS_H
#define STATE_HOSTSETTINGS_H

#include <stdint.h>

#include "base/buf.h"
#include "base/err.h"

/*
 * hostsettings - settings that all host processes have, in any file format
 *
 * The parsers of the file formats fill them in: platform/settings.h for the
 * users' platform, state/settings.h for TOML.
 */
#define HOSTSETTINGS_MAX_DOMAINS 64
#define HOSTSETTINGS_MAX_SEEDS 8

typedef struct hostsettings_domain {
	str_t name;
	str_t region;
} hostsettings_domain_t;

typedef struct hostsettings {
	char *text; /* owns the bytes of the strings below; each ends in NUL */
	str_t host;
	str_t ip;
	str_t domain;
	str_t region; /* empty: taken from the configuration */
	hostsettings_domain_t domains[HOSTSETTINGS_MAX_DOMAINS];
	size_t domain_count;
	str_t listen_callers;
	str_t listen_peers;
	unsigned first_port, last_port;	     /* for traffic between hosts */
	str_t seeds[HOSTSETTINGS_MAX_SEEDS]; /* addresses of listen_peers */
	size_t seed_count;
	/* A stop: time from SIGTERM to SIGKILL, and time for which new
	 * connections still arrive after readiness has ended. */
	int64_t grace_ms;
	int64_t accept_ms;
	int64_t drain_ms; /* for hosts to stop sending to a leaving endpoint */
	/* Retries, which are all sends beyond the first of a request: at each
	 * host at most this ratio of its requests in a window, plus a slack
	 * for all hosts together. */
	double retry_budget_ratio;
	int64_t retry_budget_window_ms;
	double retry_budget_slack;
	/* Requests a second to a cold endpoint from all hosts: at most
	 * cold_per_s x cold_overshoot + cold_slack. */
	double cold_overshoot;
	double cold_slack;
	/* Of the machine; 0: as the system reports them. */
	uint64_t memory_mb;
	uint64_t max_fds;
} hostsettings_t;

/* Sets the defaults and copies `text`. */
void hostsettings_init(hostsettings_t *settings, str_t text);
void hostsettings_release(hostsettings_t *settings);

/* Appends a whole file to `text`. ERRORS: ERR_IO. */
err_code_t hostsettings_read_file(const char *path, buf_t *text, err_t *err);

#endif
