#ifndef TRANSPORT_MONITOR_H
#define TRANSPORT_MONITOR_H

#include "base/buf.h"
#include "base/err.h"
#include "transport/http1.h"
#include "transport/loop.h"

/*
 * monitor - small HTTP pages for monitors and operators: readiness, metrics
 *
 * The handler gets each whole request and fills in a page; status 404 stays
 * when it doesn't.
 */
typedef struct monitor monitor_t;

typedef struct monitor_request {
	unsigned method; /* an http_method */
	str_t path;	 /* without the query */
	str_t key;	 /* credentials of the scheme Bearer; ptr NULL */
	str_t body;
} monitor_request_t;

typedef struct monitor_response {
	unsigned status;
	const char *content_type; /* of the body; text/plain unless set */
	buf_t body; /* filled by the handler, released by the monitor */
} monitor_response_t;

typedef void (*monitor_handler_t)(void *user, const monitor_request_t *call,
				  monitor_response_t *page);

typedef struct monitor_options {
	loop_t *loop;
	const char *address;   /* IP:PORT to listen on */
	size_t max_body_bytes; /* a larger one is answered 413 */
	monitor_handler_t handler;
	void *user;
} monitor_options_t;

/* RETURN VALUE: the monitor, or NULL with `err` set. */
monitor_t *monitor_create(const monitor_options_t *options, err_t *err);
void monitor_free(monitor_t *monitor);

#endif
