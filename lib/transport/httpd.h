#ifndef TRANSPORT_HTTPD_H
#define TRANSPORT_HTTPD_H

#include <stdbool.h>
#include <stdint.h>

#include "base/buf.h"
#include "base/err.h"

/*
 * httpd - HTTP server over CivetWeb, used as a library only
 *
 * No document root, no CGI, no directory listing; every request goes to one
 * handler, which runs on a worker thread and answers the call before it
 * returns. Each connection carries one request ("Connection: close"), because
 * a worker serves one connection at a time and idle ones would hold it.
 *
 * Errors are answered as {"error":{"outcome","step","peer","message",
 * "retry_after_s"}}, also those that CivetWeb finds itself.
 */
#define HTTPD_DEFAULT_THREADS 16
#define HTTPD_DEFAULT_BODY_BYTES 1048576
#define HTTPD_DEFAULT_READ_TIMEOUT_MS 10000
#define HTTPD_ADDRESS_BYTES 64

typedef struct httpd httpd_t;
typedef struct httpd_call httpd_call_t;

/* `user` is the one of the options. */
typedef void (*httpd_handler_t)(void *user, httpd_call_t *call);

typedef struct httpd_options {
	const char *listen; /* IPv4:PORT or [IPv6]:PORT; port 0: any free one */
	const char *interface;	 /* label value in metrics, such as "callers" */
	unsigned threads;	 /* 0: HTTPD_DEFAULT_THREADS */
	int64_t max_body_bytes;	 /* 0: HTTPD_DEFAULT_BODY_BYTES */
	int64_t read_timeout_ms; /* 0: HTTPD_DEFAULT_READ_TIMEOUT_MS */
	httpd_handler_t handler;
	void *user;
} httpd_options_t;

/* An error answer. */
typedef struct httpd_error {
	int status;
	const char *outcome; /* as in section 6.4 of docs/design.md */
	const char *step;
	const char *peer;
	str_t message;
	int64_t retry_after_s; /* 0: no Retry-After header */
} httpd_error_t;

/*
 * Starts the server.
 *
 * ERRORS: ERR_INVALID for a malformed address, ERR_IO when the address can't be
 * bound.
 */
httpd_t *httpd_start(const httpd_options_t *options, err_t *err);

/*
 * Stops accepting, waits until the handlers in progress have returned, and
 * frees the server. CivetWeb looks for the stop every 2 s. NULL is allowed.
 */
void httpd_stop(httpd_t *httpd);

/* The bound IP:PORT with the real port. */
const char *httpd_address(const httpd_t *httpd);

str_t httpd_method(const httpd_call_t *call);
str_t httpd_path(const httpd_call_t *call);	  /* not percent-decoded */
str_t httpd_query(const httpd_call_t *call);	  /* empty without one */
const char *httpd_peer(const httpd_call_t *call); /* IP:PORT */

/* The value of a header, names compared without case; empty when missing. */
str_t httpd_header(const httpd_call_t *call, const char *name);

/*
 * The key of "Authorization: Bearer KEY".
 *
 * RETURN VALUE: an empty view when the header is missing or of another form.
 */
str_t httpd_bearer(const httpd_call_t *call);

/*
 * Appends the whole request body to `body`. The read timeout covers the body as
 * a whole, so that a client that sends single bytes does not extend it; the
 * call ends after at most twice that time.
 *
 * ERRORS: ERR_TOO_LARGE when the stated length is above the limit, without
 * reading anything; ERR_TIMEOUT; ERR_IO when the client hung up before the end;
 * ERR_NOT_FOUND for a chunked body, which has no stated length; ERR_INVALID for
 * a malformed or repeated length. They count in METRIC_INVALID_INPUT;
 * httpd_answer_body_error() answers them.
 */
err_code_t httpd_read_body(httpd_call_t *call, buf_t *body, err_t *err);

/* Adds a header to the answer; call before answering. */
void httpd_add_header(httpd_call_t *call, const char *name, str_t value);

/* Answers with a whole body. RETURN VALUE: ERR_IO when it couldn't be sent. */
err_code_t httpd_answer(httpd_call_t *call, int status,
			const char *content_type, str_t body);

/* Answers with the error's JSON, X-Peridot-Outcome and Retry-After. */
err_code_t httpd_answer_error(httpd_call_t *call, const httpd_error_t *error);

/* Answers 413, 408, 411 or 400 for an error of httpd_read_body(). */
err_code_t httpd_answer_body_error(httpd_call_t *call, const err_t *err);

/*
 * Answers piecewise with chunked encoding (plain bytes until close for an
 * HTTP/1.0 client). httpd_stream_end() writes the last chunk; without it the
 * client sees that the answer broke off.
 *
 * RETURN VALUE: ERR_IO when the client is gone or does not take the bytes
 * within the read timeout.
 */
err_code_t httpd_stream_begin(httpd_call_t *call, int status,
			      const char *content_type);
err_code_t httpd_stream_write(httpd_call_t *call, str_t bytes);
err_code_t httpd_stream_end(httpd_call_t *call);

/*
 * True when the client has closed its side of the connection. A client that
 * shuts down only its sending side counts as gone too. Does not block.
 */
bool httpd_is_hung_up(const httpd_call_t *call);

#endif
