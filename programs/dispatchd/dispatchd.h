#ifndef DISPATCHD_H
#define DISPATCHD_H

#include "base/trace.h"
#include "process.h"
#include "coordination/confsync.h"
#include "coordination/estimate.h"
#include "coordination/peers.h"
#include "coordination/queue.h"
#include "coordination/ticket.h"
#include "coordination/window.h"
#include "protocol/completion.h"
#include "protocol/enginep.h"
#include "state/settings.h"
#include "state/store.h"
#include "transport/admin.h"
#include "transport/fetch.h"
#include "transport/link.h"

/*
 * dispatchd - the dispatch daemon
 *
 * One loop thread owns everything in this header; it is the only place where
 * requests are sent to endpoints, so its counts are exact. The sheet in force
 * is copied into the runtime structures when it changes, and read again
 * through the store where a send depends on it.
 */

/* Longest time without a turn of the loop before beliefs count as old. */
#define PAUSE_LIMIT_MS 1000
/* After a pause or a start, sends wait for a heartbeat round or this long. */
#define HOLD_MS 500
#define TICK_MS 50
#define LOAD_POLL_MS 1000
#define LOAD_TIMEOUT_MS 2000
/* An engine with nothing in flight breaks no connection when it restarts, which
 * takes it longer than the first time below. If it was not heard of for that
 * time, its next send waits for a load report, for the second time at most. */
#define IDLE_CHECK_MS 20
#define IDLE_CHECK_LIMIT_MS 200
/* Refusals by engines after which a request goes back to the entry daemon. */
#define MAX_ENGINE_REFUSALS 3
/* Resumptions of one broken stream. */
#define MAX_RESUMES 2
/* An answer without streaming is collected up to this size. */
#define MAX_ANSWER_BYTES (8 * 1024 * 1024)
/* A ticketed call goes on after its caller's timeout, for this many times the
 * timeout, so that the caller can still ask for the result. */
#define CALL_LINGER_FACTOR 2
#define HOST_RETRY_AFTER_MS 1000
/* Bodies of queued requests: a quarter of a daemon's 256 MB, which is 64 of the
 * largest (1 MiB) or thousands of ordinary ones. */
#define MAX_QUEUED_BYTES ((size_t)64 * 1024 * 1024)
/* Sends a request on to another dispatcher without using the retry budget,
 * because this host leaves and is not overloaded. */
#define RETRY_NOW 0

typedef struct dispatchd dispatchd_t;
typedef struct pool pool_t;

/* One endpoint of the sheet at this host's domain. */
typedef struct endpoint {
	dispatchd_t *d;
	char name[SHEET_NAME_BYTES];
	char address[SHEET_NAME_BYTES];
	pool_t *pool;
	window_t window;
	bool in_sheet;
	bool owned;
	bool logged_warm;
	unsigned held_units;	/* cold units held when the sheet changed */
	unsigned usable_units;	/* cold units that may be used now */
	unsigned limit;		/* the last result of endpoint_limit() */
	bool is_up;		/* wanted by the sheet, as of the last look */
	bool is_unreachable;	/* the last load report could not be read */
	int64_t broken_ms;	/* last broken connection; 0: none */
	int64_t seen_ms;	/* last report or whole answer */
	int64_t check_since_ms; /* a send waits for a report; 0: none does */
	unsigned users;		/* requests that point here */
	fetch_t *poll;
	buf_t poll_body;
	int64_t poll_started_ms;
	int64_t next_poll_ms;
	struct endpoint *next;
} endpoint_t;

struct pool {
	char name[SHEET_NAME_BYTES + 8]; /* model/NAME or service/NAME */
	sheet_pool_kind_t kind;
	queue_t *queue;
	estimate_t ms_per_token; /* time in a slot per token of output */
};

/* An accepted connection of an entry daemon or a peer. */
typedef struct client {
	dispatchd_t *d;
	link_t *link; /* NULL after it was closed from here */
	int64_t accepted_ms;
	bool greeted;
	msg_role_t role;
	char host[SHEET_NAME_BYTES];
	uint64_t status_hash; /* of the last STATUS; 0: none yet */
	unsigned unchanged;   /* messages since then that said the same */
	size_t listed_live;   /* live members when the listing began */
	size_t next_listed;   /* where its next part begins */
	struct client *prev, *next;
} client_t;

typedef enum request_state {
	REQUEST_NEW,
	REQUEST_QUEUED,
	REQUEST_SENT,
	REQUEST_WAITING /* for the result of another one with its ticket */
} request_state_t;

typedef struct request {
	queue_entry_t entry; /* first member: the queue hands it back */
	dispatchd_t *d;
	client_t *client; /* NULL once its connection is gone */
	msg_id_t id;
	char id_text[2 * MSG_ID_BYTES + 1];
	msg_submit_kind_t kind;
	pool_t *pool;
	unsigned tier;
	unsigned max_tokens;
	char class_name[SHEET_NAME_BYTES];
	char customer[SHEET_NAME_BYTES];
	char call[SHEET_NAME_BYTES];
	char resume_endpoint[SHEET_NAME_BYTES];
	bool repeatable;
	bool stream;
	uint64_t affinity;
	char *body;
	size_t body_len;
	size_t queued_bytes; /* of the body, as counted while queued */
	request_state_t state;
	bool has_ticket;
	uint64_t serial; /* of the ticket */
	char *ticket;	 /* text, passed on as Idempotency-Key */

	endpoint_t *endpoint; /* while sent */
	fetch_t *fetch;
	bool started; /* START was sent */
	bool first_token_seen;
	bool may_run_on; /* the connection broke while the endpoint ran it */
	unsigned refusals;
	unsigned resumes;
	int64_t sent_ms;
	uint64_t next_offset; /* number of the next event to deliver */
	uint64_t tokens;
	enginep_sse_t sse;
	completion_t completion; /* of a caller that wants no stream */
	buf_t answer;		 /* of calls, and of an engine's errors */
	fetch_head_t head;
	trace_span_t *span;
	struct request *prev, *next; /* in the daemon's list */
	struct request *waiters;     /* requests that wait for this one */
	struct request *next_waiter;
} request_t;

/* A class of the sheet that was applied last, with what was learned of it. */
typedef struct class_info {
	char name[SHEET_NAME_BYTES];
	unsigned tier;
	unsigned max_tokens;
	estimate_t tokens; /* output length */
} class_info_t;

struct dispatchd {
	process_t base;
	fetcher_t *fetcher;
	ticket_table_t *tickets;
	link_listener_t *listener;
	member_t self;	       /* this host, for the choice of owners */
	int64_t alive_ms;      /* last tick */
	int64_t hold_until_ms; /* no sends before, unless a round is answered */
	uint64_t hold_rounds;
	bool leaving; /* stopping, drained by an operator, or so listed */
	endpoint_t *endpoints;
	pool_t *pools[SHEET_MAX_POOLS];
	size_t pool_count;
	client_t *clients;
	request_t *requests;
	size_t request_count;
	size_t queued_bytes[SHEET_TIERS];	 /* bodies by tier */
	class_info_t classes[SHEET_MAX_CLASSES]; /* as the queues know them */
	size_t class_count;
	uint64_t pauses;
};

/* endpoint.c: endpoints, ownership, load reports, the right to send */

/* Takes over the endpoints and pools of the sheet in force. */
void endpoints_apply_sheet(dispatchd_t *d, const sheet_t *sheet);
void endpoints_free(dispatchd_t *d);
/* Recomputes who owns what; polls load; logs warm and cold. */
void endpoints_tick(dispatchd_t *d);
void endpoints_on_pause(dispatchd_t *d);
endpoint_t *endpoint_find(const dispatchd_t *d, str_t name);
pool_t *pool_find(const dispatchd_t *d, str_t name);

/*
 * True when the sheet has an endpoint of the pool up that this host owns or has
 * a cold share of. It may be cold for now; then requests wait in the queue.
 */
bool pool_is_served(dispatchd_t *d, const pool_t *pool);

/*
 * The right to send one more request to the endpoint, checked against the
 * sheet, the clock and the counts immediately before each send.
 */
bool endpoint_may_send(endpoint_t *endpoint);
/* Requests that may be in flight now; 0 for an endpoint that gets none. */
unsigned endpoint_limit(endpoint_t *endpoint);

/* request.c: life of a request */

void request_submit(client_t *client, const msg_submit_t *submit);
void request_cancel(client_t *client, const msg_id_t *id);
void request_on_client_down(client_t *client);
/* Sends what may be sent; ends what is past its deadline. */
void requests_dispatch(dispatchd_t *d);
void requests_tick(dispatchd_t *d);
void requests_free(dispatchd_t *d);
/* Refuses everything queued, because this daemon leaves. */
void requests_refuse_queued(dispatchd_t *d, const char *reason);
/* Takes over the classes; refuses what is queued for a class or a pool that is
 * gone or that this host has no usable endpoint for any more. */
void requests_apply_sheet(dispatchd_t *d, const sheet_t *sheet);

/* How a request ended. */
typedef struct request_result {
	msg_outcome_t outcome;
	const char *step;
	const char *peer;
	unsigned http_status;
	const char *message;
	int64_t retry_after_ms;
	bool retry_elsewhere;
} request_result_t;

/* Sends END and frees the request; its place in flight must be free again. */
void request_end(request_t *request, const request_result_t *result);
void request_end_not_run(request_t *request, const char *step,
			 const char *message, int64_t retry_after_ms);
/* Counts the body towards the bound while the request is queued. */
void request_count_body(request_t *request, bool is_queued);
/* Expected wait in ms of a new request of this tier. */
int64_t pool_wait_ms(dispatchd_t *d, const pool_t *pool, unsigned tier);
class_info_t *class_find(dispatchd_t *d, str_t name);

/* transfer.c: one request at an endpoint */

/* Sends a queued request. False when the transfer could not be set up. */
bool transfer_start(request_t *request, endpoint_t *endpoint);
/* Asks the endpoint for the rest of a stream. */
bool transfer_resume(request_t *request, endpoint_t *endpoint);
/* Stops the transfer and tells the engine to cancel. */
void transfer_cancel(request_t *request);
/* Stops the transfer since the entry daemon is lost. A stream with delivered
 * events stays at the engine, which another dispatcher may ask for the rest;
 * the engine cancels what nobody reads. */
void transfer_abandon(request_t *request);

/* call.c: tickets */

void call_issue_ticket(client_t *client, const msg_ticket_get_t *get);
/* Decides a ticketed call. True when the request is to be queued. */
bool call_admit(request_t *request, str_t service);
/* Records the result of a ticketed call and answers those who wait. */
void call_finished(request_t *request, const request_result_t *result);

/* client.c: accepted connections */

err_code_t clients_listen(dispatchd_t *d, err_t *err);
void clients_free(dispatchd_t *d);
/* Sends a STATUS to everyone at once, when this host begins to leave. */
void clients_announce(dispatchd_t *d);
/* Closes connections that never greeted; drops closed ones. */
void clients_sweep(dispatchd_t *d);
void client_send(client_t *client, const msg_t *msg);

/* report.c: the daemon's part of /v1/status */

void report_fill(process_t *process, json_t *status);

/* peridot-dispatchd.c */

void dispatchd_leave(dispatchd_t *d, const char *reason);
bool dispatchd_is_holding(dispatchd_t *d);
/* Notices a pause of the process; call before each decision to send. */
void dispatchd_check_pause(dispatchd_t *d);

#endif
