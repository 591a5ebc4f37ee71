#ifndef TRANSPORT_MONITOR_H
#define TRANSPORT_MONITOR_H

#include "base/buf.h"
#include "base/err.h"
#include "transport/http1.h"
#include "transport/loop.h"

/*
 * monitor - HTTP server for readiness, metrics and the operators' interface
 *
 * The handler gets each complete request and fills in the response, whose
 * status is 404 by default.
 *
 * A monitor keeps 32 clients; a new one replaces the one that was served, or
 * opened, the longest time ago. A client's next request is read once its last
 * response is sent. The bodies of all clients together take twice the largest
 * one; the clients that were not served for the longest time yield.
 */
typedef struct monitor monitor_t;

typedef struct monitor_request {
	unsigned method; /* an http_method; GET also for a HEAD request, whose
			    response is sent without its body */
	str_t path;	 /* without the query */
	str_t key;	 /* credentials of the Bearer scheme; ptr NULL: none */
	str_t body;
} monitor_request_t;

typedef struct monitor_response {
	unsigned status;
	const char *content_type; /* text/plain unless set */
	buf_t body; /* filled in by the handler, released by the monitor */
} monitor_response_t;

typedef void (*monitor_handler_t)(void *user, const monitor_request_t *request,
				  monitor_response_t *response);

typedef struct monitor_options {
	loop_t *loop;
	const char *address;   /* IP:PORT to listen on */
	size_t max_body_bytes; /* larger ones get status 413 */
	monitor_handler_t handler;
	void *user;
} monitor_options_t;

/* RETURN VALUE: the monitor, or NULL with `err` set. */
monitor_t *monitor_create(const monitor_options_t *options, err_t *err);
void monitor_free(monitor_t *monitor);

#endif
