#include "request/events.h"

#include <stdint.h>

void events_feed(events_t *events, str_t data)
{
	if (events->consumed) {
		buf_consume(&events->bytes, events->consumed);
		events->consumed = 0;
	}
	buf_append_str(&events->bytes, data);
}

/* RETURN VALUE: length of the line at `at`, line end included; 0 when it is
 * incomplete. */
static size_t line_len(str_t rest, size_t at)
{
	const char *end = memchr(rest.ptr + at, '\n', rest.len - at);

	return end ? (size_t)(end - rest.ptr) - at + 1 : 0;
}

static str_t trim_line(str_t line)
{
	while (line.len && (line.ptr[line.len - 1] == '\n' ||
			    line.ptr[line.len - 1] == '\r'))
		line.len--;
	return line;
}

static void read_field(str_t line, str_t name, str_t *value)
{
	if (!str_starts_with(line, name))
		return;
	*value = (str_t){line.ptr + name.len, line.len - name.len};
	while (value->len && value->ptr[0] == ' ')
		*value = (str_t){value->ptr + 1, value->len - 1};
}

static void read_line(str_t line, event_t *event)
{
	read_field(line, STR_LIT("id:"), &event->id);
	read_field(line, STR_LIT("event:"), &event->type);
	read_field(line, STR_LIT("data:"), &event->data);
}

bool events_next(events_t *events, event_t *event)
{
	str_t rest = events_rest(events);
	size_t at = 0;
	size_t len;

	*event = (event_t){.text = {NULL, 0}};
	while (at < rest.len && (len = line_len(rest, at))) {
		str_t line = trim_line((str_t){rest.ptr + at, len});

		at += len;
		if (line.len) {
			read_line(line, event);
			continue;
		}
		event->text = (str_t){rest.ptr, at};
		events->consumed += at;
		return true;
	}
	return false;
}

str_t events_rest(const events_t *events)
{
	return (str_t){events->bytes.ptr + events->consumed,
		       events->bytes.len - events->consumed};
}

void events_clear(events_t *events)
{
	buf_reset(&events->bytes);
	events->consumed = 0;
}

void events_release(events_t *events)
{
	buf_release(&events->bytes);
	events->consumed = 0;
}

static bool read_number(str_t id, uint64_t *number)
{
	*number = 0;
	for (size_t i = 0; i < id.len; i++) {
		if (id.ptr[i] < '0' || id.ptr[i] > '9' || i > 17)
			return false;
		*number = *number * 10 + (uint64_t)(id.ptr[i] - '0');
	}
	return id.len > 0;
}

bool event_id_is_after(str_t id, str_t last)
{
	uint64_t a, b;

	if (!last.len)
		return true;
	if (read_number(id, &a) && read_number(last, &b))
		return a > b;
	return !str_equals(id, last);
}
