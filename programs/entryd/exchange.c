#include "entryd.h"

#include <stdlib.h>
#include <time.h>

exchange_t *exchange_create(entryd_t *d)
{
	exchange_t *x = calloc(1, sizeof(*x));
	pthread_condattr_t attributes;

	if (!x)
		abort();
	x->d = d;
	x->events_tail = &x->events;
	pthread_mutex_init(&x->lock, NULL);
	pthread_condattr_init(&attributes);
	pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
	pthread_cond_init(&x->changed, &attributes);
	pthread_condattr_destroy(&attributes);
	return x;
}

void event_free(event_t *event)
{
	buf_release(&event->bytes);
	free(event);
}

void exchange_free(exchange_t *x)
{
	while (x->events) {
		event_t *event = x->events;

		x->events = event->next;
		event_free(event);
	}
	buf_release(&x->collected);
	buf_release(&x->ending.answer);
	pthread_cond_destroy(&x->changed);
	pthread_mutex_destroy(&x->lock);
	free(x);
}

static void append_locked(exchange_t *x, event_kind_t kind, str_t bytes)
{
	event_t *event = calloc(1, sizeof(*event));

	if (!event)
		abort();
	event->kind = kind;
	buf_append_str(&event->bytes, bytes);
	*x->events_tail = event;
	x->events_tail = &event->next;
	x->pending_bytes += bytes.len;
	pthread_cond_signal(&x->changed);
}

bool exchange_push(exchange_t *x, str_t bytes)
{
	bool fits;

	pthread_mutex_lock(&x->lock);
	fits = x->pending_bytes + bytes.len <= MAX_PENDING_BYTES;
	if (fits)
		append_locked(x, EVENT_DATA, bytes);
	pthread_mutex_unlock(&x->lock);
	return fits;
}

void exchange_end(exchange_t *x)
{
	pthread_mutex_lock(&x->lock);
	append_locked(x, EVENT_END, STR_LIT(""));
	pthread_mutex_unlock(&x->lock);
}

event_t *exchange_wait(exchange_t *x, int64_t wait_ms)
{
	struct timespec until;
	event_t *event;
	int result = 0;

	clock_gettime(CLOCK_MONOTONIC, &until);
	until.tv_sec += wait_ms / 1000;
	until.tv_nsec += wait_ms % 1000 * 1000000;
	if (until.tv_nsec >= 1000000000) {
		until.tv_sec++;
		until.tv_nsec -= 1000000000;
	}
	pthread_mutex_lock(&x->lock);
	while (!x->events && !result)
		result = pthread_cond_timedwait(&x->changed, &x->lock, &until);
	event = x->events;
	if (event) {
		x->events = event->next;
		if (!x->events)
			x->events_tail = &x->events;
		x->pending_bytes -= event->bytes.len;
	}
	pthread_mutex_unlock(&x->lock);
	return event;
}
