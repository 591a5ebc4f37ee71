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
 * with the fields as key=value; the caller quotes values that contain blanks.
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
 * names the process in every line. Call before starting any thread.
 *
 * RETURN VALUE: 0, or -1 when log4c can't be initialised.
 */
int plog_start(const char *program, plog_level_t threshold);
void plog_stop(void);

/*
 * Writes lines to `fd`, which becomes non-blocking, and never waits for its
 * reader. Lines are buffered until plog_flush() or until a few KB have
 * accumulated; lines above a rate limit per second are dropped and counted in
 * METRIC_LOG_LINES_LEFT_OUT. Only for processes that log from one thread.
 */
void plog_buffer_output(int fd);
void plog_flush(void);

/* Writes one event; `format` gives the fields, such as "peer=%s step=%s". */
void plog_write(plog_event_t event, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/*
 * Parses a level name (debug, info, warn, error).
 *
 * RETURN VALUE: 0, or -1 for any other name.
 */
int plog_parse_level(const char *name, plog_level_t *level);

#endif
