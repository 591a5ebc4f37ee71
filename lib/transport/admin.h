#ifndef TRANSPORT_ADMIN_H
#define TRANSPORT_ADMIN_H

#include "transport/httpd.h"

/*
 * admin - the operators' HTTP server
 *
 * Every call needs "Authorization: Bearer KEY"; the server knows only the key's
 * SHA-256 digest. The key is checked before the path, so that a caller without
 * one learns nothing about the routes. GET /metrics is built in. Errors: 401,
 * 404 unknown path, 405 known path with another method, and those of
 * httpd_answer_body_error(). Refused keys count in METRIC_UNAUTHORIZED, other
 * refused calls in METRIC_INVALID_INPUT, both under "operators".
 */
#define ADMIN_DIGEST_BYTES 32
#define ADMIN_MAX_ROUTES 16

typedef struct admin admin_t;

/* Answers the call; `body` is the whole request body. */
typedef void (*admin_handler_t)(void *user, httpd_call_t *call, str_t body);

typedef struct admin_options {
	const char *listen; /* as in httpd_options_t */
	uint8_t key_digest[ADMIN_DIGEST_BYTES];
	unsigned threads;	 /* 0: HTTPD_DEFAULT_THREADS */
	int64_t max_body_bytes;	 /* 0: HTTPD_DEFAULT_BODY_BYTES */
	int64_t read_timeout_ms; /* 0: HTTPD_DEFAULT_READ_TIMEOUT_MS */
} admin_options_t;

admin_t *admin_create(const admin_options_t *options);

/*
 * Adds a route before admin_start(). `method` and `path` must be literals; the
 * path is matched as a whole.
 */
void admin_route(admin_t *admin, const char *method, const char *path,
		 admin_handler_t handler, void *user);

/* Starts serving. ERRORS: those of httpd_start(). */
err_code_t admin_start(admin_t *admin, err_t *err);

/* The bound IP:PORT with the real port. */
const char *admin_address(const admin_t *admin);

/* Waits for the handlers in progress and frees the server. NULL is allowed. */
void admin_stop(admin_t *admin);

#endif
