#ifndef REQUEST_EVENTS_H
#define REQUEST_EVENTS_H

#include "base/buf.h"

/*
 * events - splits a text/event-stream into complete events
 *
 * A broken connection may cut an event. Only complete events are passed on, so
 * that a resumed stream continues at an event boundary.
 */
typedef struct events {
	buf_t bytes;
	size_t consumed; /* leading bytes returned by events_next() */
} events_t;

typedef struct event {
	str_t text; /* raw, with the blank line that ends it */
	/* Values of its fields; ptr NULL without the field. */
	str_t id;
	str_t type;
	str_t data; /* of the last data line */
} event_t;

/* Appends received bytes. */
void events_feed(events_t *events, str_t data);

/*
 * RETURN VALUE: true with the next complete event, whose views are valid until
 * the next call of events_feed(); false when none is left.
 */
bool events_next(events_t *events, event_t *event);

/* Bytes after the last event returned. */
str_t events_rest(const events_t *events);
void events_clear(events_t *events);
void events_release(events_t *events);

/* True when `id` comes after `last`. Numbers are compared by value; any other
 * id comes after `last` unless it is equal. All ids come after an empty one. */
bool event_id_is_after(str_t id, str_t last);

#endif
