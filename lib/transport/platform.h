#ifndef TRANSPORT_PLATFORM_H
#define TRANSPORT_PLATFORM_H

#include <stdint.h>

#include "base/buf.h"
#include "base/err.h"

/*
 * platform - client of the configuration service
 *
 * Reads and watches values by key. Every call counts in METRIC_PLATFORM_READS,
 * a waiting watch as one, and the bytes of the answers, headers included, in
 * METRIC_PLATFORM_BYTES. Proxy settings of the environment are not used and
 * redirects are not followed.
 */
#define PLATFORM_MAX_VALUE_BYTES 1048576
#define PLATFORM_WATCH_MS 30000	      /* wait that a watch asks for */
#define PLATFORM_WATCH_MARGIN_MS 5000 /* then the service counts as silent */
#define PLATFORM_CONNECT_TIMEOUT_MS 2000
#define PLATFORM_GET_TIMEOUT_MS 5000
#define PLATFORM_BACKOFF_MIN_MS 200
#define PLATFORM_BACKOFF_MAX_MS 5000

/*
 * Reads one value, blocking for at most PLATFORM_GET_TIMEOUT_MS. `address` is
 * IP:PORT. A key has the characters A-Z a-z 0-9 _ - . / only.
 *
 * ERRORS: ERR_NOT_FOUND for 404, ERR_REFUSED for 503, ERR_IO when the service
 * can't be reached, ERR_TIMEOUT, ERR_TOO_LARGE for a value above
 * PLATFORM_MAX_VALUE_BYTES, ERR_INVALID for a malformed key, another status, or
 * a missing or malformed X-Version when `version` is not NULL. `value` is
 * appended to on success only.
 */
err_code_t platform_get(const char *address, const char *key, buf_t *value,
			uint64_t *version, err_t *err);

/*
 * Callbacks of a watch, on its own thread. They should return soon: a watch is
 * not renewed, and platform_watch_stop() waits, while one runs.
 */
typedef struct platform_watch_ops {
	/*
	 * A value of a higher version than any before, or of the same one (for
	 * the detection of conflicts; retried with backoff, as the service
	 * should have waited).
	 */
	void (*on_value)(void *user, uint64_t version, str_t value);
	/*
	 * The service answered that `version` is still the latest, which
	 * confirms it. Not called for a stale answer or during an outage. May
	 * be NULL.
	 */
	void (*on_unchanged)(void *user, uint64_t version);
} platform_watch_ops_t;

typedef struct platform_watch platform_watch_t;

/*
 * Starts a thread that watches `key` for versions above `after` (0: any).
 *
 * While the service does not answer, or answers what it should not, the watch
 * retries after PLATFORM_BACKOFF_MIN_MS, doubled each time up to
 * PLATFORM_BACKOFF_MAX_MS, less up to half as jitter, and logs
 * PLOG_PLATFORM_UNREACHABLE once per outage. An answer with a lower X-Version
 * than the highest seen is counted in METRIC_PLATFORM_STALE, logged as
 * PLOG_PLATFORM_STALE (once until the next answer that is not stale), not given
 * to a callback, and retried with the same backoff.
 *
 * RETURN VALUE: the watch, or NULL with `err` filled (ERR_INVALID for a
 * malformed key, ERR_IO when the thread can't be started).
 */
platform_watch_t *platform_watch_start(const char *address, const char *key,
				       uint64_t after,
				       const platform_watch_ops_t *ops,
				       void *user, err_t *err);

/*
 * Ends the watch at once, also in the middle of a wait, and frees it. Not to be
 * called from a callback. NULL is allowed.
 */
void platform_watch_stop(platform_watch_t *watch);

#endif
