#ifndef ENTRYD_H
#define ENTRYD_H

#include <pthread.h>
#include <stdatomic.h>

#include "base/trace.h"
#include "process.h"
#include "coordination/confsync.h"
#include "coordination/peers.h"
#include "coordination/placement.h"
#include "coordination/retry.h"
#include "coordination/ticket.h"
#include "state/settings.h"
#include "state/store.h"
#include "transport/admin.h"
#include "transport/httpd.h"

/*
 * entryd - the entry daemon
 *
 * A worker thread of the HTTP server reads, checks and answers one caller's
 * request. The loop's thread chooses dispatchers and speaks with them. They
 * share one exchange_t for each request: the loop appends events to it and the
 * worker writes them to the caller.
 */

/* Dispatchers that may say "not here" before a request is refused. */
#define MAX_TRIED 8
/* Bytes that wait for a slow caller before its request is given up. */
#define MAX_PENDING_BYTES (4 * 1024 * 1024)
/* How often a worker that waits looks whether its caller is gone. */
#define HANGUP_POLL_MS 200
#define DEFAULT_RETRY_AFTER_MS 1000

typedef struct entryd entryd_t;

typedef enum event_kind {
	EVENT_DATA, /* bytes of a stream */
	EVENT_END   /* the last one */
} event_kind_t;

typedef struct event {
	event_kind_t kind;
	buf_t bytes;
	struct event *next;
} event_t;

/* How an exchange ended; written by the loop before EVENT_END. */
typedef struct ending {
	msg_outcome_t outcome;
	unsigned http_status;
	char step[ERR_STEP_BYTES];
	char peer[ERR_PEER_BYTES];
	char message[ERR_MESSAGE_BYTES];
	int64_t retry_after_ms;
	char content_type[64];
	buf_t answer;	  /* whole answer without streaming */
	char ticket[512]; /* fresh ticket of a call that came without one */
} ending_t;

typedef struct exchange {
	entryd_t *d;
	/* Set by the worker before the loop sees the exchange. */
	msg_submit_kind_t kind;
	char pool[SHEET_NAME_BYTES + 8];
	char service[SHEET_NAME_BYTES];
	char class_name[SHEET_NAME_BYTES];
	char customer[SHEET_NAME_BYTES];
	char call[SHEET_NAME_BYTES];
	str_t ticket; /* of the caller's header */
	str_t body;
	unsigned class_index;
	unsigned customer_weight;
	unsigned customer_limit;
	bool repeatable;
	bool cross_region;
	bool stream;
	int64_t timeout_ms;
	int64_t first_token_ms;
	int64_t started_ms;
	uint64_t cost_tokens;
	uint64_t affinity;
	char traceparent[TRACE_PARENT_BYTES];

	/* Loop thread only. */
	msg_id_t id;
	member_t *member;  /* that has the request now; NULL: none */
	int64_t sent_ms;   /* when the member got it */
	bool wants_ticket; /* a TICKET_GET is out */
	bool may_have_run;
	unsigned attempts;
	char tried[MAX_TRIED][SHEET_NAME_BYTES];
	unsigned tried_count;
	char endpoint[SHEET_NAME_BYTES]; /* that streams the answer */
	uint64_t next_offset;
	buf_t collected; /* of an answer without streaming */
	unsigned status;
	char content_type[64];
	loop_timer_t deadline;
	struct exchange *prev, *next;

	/* Shared under the lock. */
	pthread_mutex_t lock;
	pthread_cond_t changed;
	event_t *events;
	event_t **events_tail;
	size_t pending_bytes;
	ending_t ending;
} exchange_t;

struct entryd {
	process_t base;
	httpd_t *httpd;
	atomic_bool leaving;
	exchange_t *exchanges;
	atomic_size_t exchange_count; /* from accept to the written answer */
	retry_budget_t budgets[SHEET_MAX_CLASSES];
};

/* caller.c: HTTP side, worker threads */

void caller_handle(void *user, httpd_call_t *call);

/* route.c: dispatcher side, loop thread */

/* Begins an exchange; posted with loop_post(). */
void route_begin(void *exchange);
/* The caller is gone; posted with loop_post(). */
void route_cancel(void *exchange);
void route_on_message(void *entryd, member_t *member, const msg_t *msg);
void route_on_down(void *entryd, member_t *member);

/* exchange.c: the shared part */

exchange_t *exchange_create(entryd_t *d);
void exchange_free(exchange_t *exchange);
/* Appends bytes of the stream. False when the caller is too slow. */
bool exchange_push(exchange_t *exchange, str_t bytes);
/* Ends the exchange; the worker may free it at once. */
void exchange_end(exchange_t *exchange);
/* Waits for the next event for at most `wait_ms`; NULL when none came. */
event_t *exchange_wait(exchange_t *exchange, int64_t wait_ms);
void event_free(event_t *event);

/* status.c: the daemon's part of /v1/status */

void status_fill(process_t *process, json_t *status);

#endif
