#ifndef TRANSPORT_FETCH_H
#define TRANSPORT_FETCH_H

#include "base/err.h"
#include "transport/loop.h"

/*
 * fetch - HTTP requests to endpoints on an event loop (libcurl multi)
 *
 * Callbacks run on the loop's thread. A transfer ends with exactly one on_done
 * unless it was cancelled; the fetch_t is gone after either.
 */
#define FETCH_CONNECT_TIMEOUT_MS 1000
#define FETCH_CONTENT_TYPE_BYTES 64

typedef struct fetcher fetcher_t;
typedef struct fetch fetch_t;

typedef struct fetch_head {
	int http_status;
	char content_type[FETCH_CONTENT_TYPE_BYTES];
	bool refused; /* X-Refused: 1, the endpoint did not run the request */
} fetch_head_t;

typedef struct fetch_result {
	err_code_t code;    /* ERR_OK: the whole answer arrived */
	bool may_have_left; /* a byte of the request may have been sent */
	bool has_head;
	fetch_head_t head;
	char message[ERR_MESSAGE_BYTES];
} fetch_result_t;

typedef struct fetch_ops {
	/* The status line and headers arrived. */
	void (*on_head)(void *user, const fetch_head_t *head);
	/* Bytes of the answer; non-zero ends the transfer with ERR_BAD_STATE.
	 */
	int (*on_data)(void *user, str_t bytes);
	void (*on_done)(void *user, const fetch_result_t *result);
} fetch_ops_t;

typedef struct fetch_request {
	const char *method; /* GET, POST or DELETE */
	const char *url;
	str_t body; /* copied; POST only */
	/* Extra header lines "Name: value", ended by NULL. */
	const char *const *headers;
	int64_t timeout_ms;
	/* Uses a connection of its own. libcurl repeats a request by itself
	 * when a reused connection turns out to be closed, which a call that
	 * must run at most once can't allow. */
	bool fresh;
} fetch_request_t;

fetcher_t *fetcher_create(loop_t *loop);
void fetcher_free(fetcher_t *fetcher);

/* Starts a transfer; NULL when it could not be set up. */
fetch_t *fetch_start(fetcher_t *fetcher, const fetch_request_t *request,
		     const fetch_ops_t *ops, void *user);

/* Ends a transfer and closes its connection without a callback. Allowed inside
 * its own callbacks. */
void fetch_cancel(fetch_t *fetch);

#endif
