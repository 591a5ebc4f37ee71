#ifndef TRANSPORT_MONITOR_H
#define TRANSPORT_MONITOR_H

#include "base/buf.h"
#include "base/err.h"
#include "transport/loop.h"

/*
 * monitor - answers the GET requests of monitors: readiness, metrics
 */
typedef struct monitor monitor_t;

typedef struct monitor_page {
	unsigned status;
	buf_t body; /* filled by the handler, released by the monitor */
} monitor_page_t;

typedef void (*monitor_handler_t)(void *user, str_t path, monitor_page_t *page);

/* RETURN VALUE: the monitor, or NULL with `err` set. */
monitor_t *monitor_create(loop_t *loop, const char *address,
			  monitor_handler_t handler, void *user, err_t *err);
void monitor_free(monitor_t *monitor);

#endif
