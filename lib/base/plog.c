#include "base/plog.h"

#include <fcntl.h>
#include <log4c.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#include "base/buf.h"
#include "base/metrics.h"

#define PLOG_LINE_BYTES 1024
#define PLOG_FLUSH_BYTES 4096
#define PLOG_BUFFER_BYTES 65536
#define PLOG_MAX_LINES_PER_S 400
#define US_PER_MS 1000

typedef struct event_info {
	int number;
	const char *name;
	plog_level_t level;
} event_info_t;

static const event_info_t events[] = {
#define PLOG_EVENT(number, id, name, level, text) \
	{number, name, PLOG_LEVEL_##level},
#include "base/plog_events.def"
#undef PLOG_EVENT
};

static const char *const level_names[] = {"DEBUG", "INFO", "WARN", "ERROR"};

static log4c_category_t *category;

static const event_info_t *find_event(plog_event_t event)
{
	for (size_t i = 0; i < sizeof(events) / sizeof(events[0]); i++)
		if (events[i].number == (int)event)
			return &events[i];
	return NULL;
}

static int to_priority(plog_level_t level)
{
	static const int priorities[] = {
		LOG4C_PRIORITY_DEBUG, LOG4C_PRIORITY_INFO, LOG4C_PRIORITY_WARN,
		LOG4C_PRIORITY_ERROR};

	return priorities[level];
}

static const char *format_line(const log4c_layout_t *layout,
			       const log4c_logging_event_t *event)
{
	(void)layout;
	return event->evt_msg;
}

/* Buffered output, see plog_buffer_output(); unused while fd is -1. */
static struct {
	int fd; /* -1: standard error, unbuffered */
	buf_t lines;
	time_t second;	       /* current interval of the rate limit */
	unsigned second_lines; /* lines in this interval */
	unsigned long dropped; /* drops by the rate limit or a full buffer */
} output = {.fd = -1};

static int append_line(log4c_appender_t *appender,
		       const log4c_logging_event_t *event)
{
	(void)appender;
	if (output.fd < 0)
		return fputs(event->evt_rendered_msg, stderr);
	buf_append_str(&output.lines, str_from(event->evt_rendered_msg));
	if (output.lines.len > PLOG_FLUSH_BYTES)
		plog_flush();
	return 0;
}

void plog_buffer_output(int fd)
{
	int flags = fcntl(fd, F_GETFL);

	if (flags >= 0)
		fcntl(fd, F_SETFL, flags | O_NONBLOCK);
	output.fd = fd;
}

void plog_flush(void)
{
	ssize_t written;

	if (output.fd < 0 || !output.lines.len)
		return;
	written = write(output.fd, output.lines.ptr, output.lines.len);
	if (written > 0)
		buf_consume(&output.lines, (size_t)written);
	if (output.lines.len > PLOG_BUFFER_BYTES) {
		/* The reader doesn't keep up: drop the buffer, don't block. */
		output.dropped++;
		buf_reset(&output.lines);
	}
}

/* Limits the lines per second; the limit of warnings and errors is higher. */
static bool is_within_rate_limit(plog_level_t level)
{
	time_t now;
	unsigned limit = level >= PLOG_LEVEL_WARN ? 2 * PLOG_MAX_LINES_PER_S :
						    PLOG_MAX_LINES_PER_S;

	if (output.fd < 0)
		return true;
	now = time(NULL);
	if (now != output.second) {
		output.second = now;
		output.second_lines = 0;
	}
	if (output.second_lines++ < limit)
		return true;
	output.dropped++;
	metrics_inc(METRIC_LOG_LINES_LEFT_OUT);
	return false;
}

int plog_start(const char *program, plog_level_t threshold)
{
	static const log4c_layout_type_t layout_type = {"peridot-line",
							format_line};
	static const log4c_appender_type_t appender_type = {
		"peridot-output", NULL, append_line, NULL};
	log4c_layout_t *layout;
	log4c_appender_t *appender;

	if (log4c_init())
		return -1;
	layout = log4c_layout_get("peridot");
	log4c_layout_set_type(layout, &layout_type);
	appender = log4c_appender_get("peridot");
	log4c_appender_set_type(appender, &appender_type);
	log4c_appender_set_layout(appender, layout);
	category = log4c_category_get(program);
	log4c_category_set_appender(category, appender);
	log4c_category_set_additivity(category, 0);
	log4c_category_set_priority(category, to_priority(threshold));
	return 0;
}

void plog_stop(void)
{
	plog_flush();
	buf_release(&output.lines);
	category = NULL;
	log4c_fini();
}

static size_t write_prefix(char *line, size_t size, const event_info_t *info)
{
	struct timeval now;
	struct tm utc;
	char date[32];
	int len;

	gettimeofday(&now, NULL);
	gmtime_r(&now.tv_sec, &utc);
	strftime(date, sizeof(date), "%Y-%m-%dT%H:%M:%S", &utc);
	len = snprintf(line, size, "%s.%03dZ %s E%d %s ", date,
		       (int)(now.tv_usec / US_PER_MS), level_names[info->level],
		       info->number, info->name);
	return (size_t)len;
}

void plog_write(plog_event_t event, const char *format, ...)
{
	const event_info_t *info = find_event(event);
	char line[PLOG_LINE_BYTES];
	va_list args;
	size_t len;

	if (!category || !info ||
	    !log4c_category_is_priority_enabled(category,
						to_priority(info->level)) ||
	    !is_within_rate_limit(info->level))
		return;
	len = write_prefix(line, sizeof(line), info);
	va_start(args, format);
	vsnprintf(line + len, sizeof(line) - len - 1, format, args);
	va_end(args);
	len = strlen(line);
	for (size_t i = 0; i < len; i++)
		if ((unsigned char)line[i] < ' ')
			line[i] = '?';
	line[len] = '\n';
	line[len + 1] = '\0';
	log4c_category_log(category, to_priority(info->level), "%s", line);
}

int plog_parse_level(const char *name, plog_level_t *level)
{
	static const char *const names[] = {"debug", "info", "warn", "error"};

	for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
		if (!strcmp(name, names[i])) {
			*level = (plog_level_t)i;
			return 0;
		}
	}
	return -1;
}
