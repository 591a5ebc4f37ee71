#ifndef BASE_PLOG_H
#define BASE_PLOG_H

/*
 * plog - numbered, structured log events over log4c
 *
 * Every event has a number, a name and a level in plog_events.def and a row in
 * docs/EVENTS.md. A line reads
 *
 *	2026-12-04T03:00:00.123Z WARN E2003 link-down peer=127.0.0.1:7001 ...
 *
 * with the fields as key=value; a value with blanks is quoted by the caller.
 */
typedef enum plog_event {
#define PLOG_EVENT(number, id, name, level, text) PLOG_##id = (number),
#include "base/plog_events.def"
#undef PLOG_EVENT
} plog_event_t;

typedef enum plog_level {
	PLOG_LEVEL_DEBUG,
	PLOG_LEVEL_INFO,
	PLOG_LEVEL_WARN,
	PLOG_LEVEL_ERROR
} plog_level_t;

/*
 * Sets up log4c with one appender that writes to standard error. `program`
 * names the process in every line. Call before any thread starts.
 *
 * RETURN VALUE: 0, or -1 when log4c can't start.
 */
int plog_start(const char *program, plog_level_t threshold);
void plog_stop(void);

/*
 * Sends lines to `fd`, without ever waiting for its reader. Lines are gathered
 * until plog_flush() or a few KB; lines beyond a bound a second are left out
 * and counted (METRIC_LOG_LINES_LEFT_OUT). For processes that log from one
 * thread.
 */
void plog_buffer_output(int fd);
void plog_flush(void);

/* Writes one event; `format` gives the fields, such as "peer=%s step=%s". */
void plog_write(plog_event_t event, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/*
 * Level from its name (debug, info, warn, error).
 *
 * RETURN VALUE: 0, or -1 for any other name.
 */
int plog_parse_level(const char *name, plog_level_t *level);

#endif
