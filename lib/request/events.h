#ifndef REQUEST_EVENTS_H
#define REQUEST_EVENTS_H

#include "base/buf.h"

/*
 * events - splits a text/event-stream into whole events
 *
 * A stream that breaks may stop in the middle of an event, so only whole ones
 * are passed on: a resumed stream then goes on at an event's border.
 */
typedef struct events {
	buf_t bytes;
	size_t consumed; /* bytes of events that were handed out */
} events_t;

typedef struct event {
	str_t text; /* with the blank line that ends it */
	/* Values of its lines; ptr NULL without one. */
	str_t id;
	str_t type;
	str_t data; /* the last data line */
} event_t;

void events_feed(events_t *events, str_t data);

/*
 * RETURN VALUE: true with the next whole event, whose views last until the
 * next call of events_feed().
 */
bool events_next(events_t *events, event_t *event);

/* Bytes after the last whole event. */
str_t events_rest(const events_t *events);
void events_clear(events_t *events);
void events_release(events_t *events);

/* Orders two event ids; numbers by value, other ids only as equal or not. */
bool event_id_is_after(str_t id, str_t last);

#endif
