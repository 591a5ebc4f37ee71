#ifndef REQUEST_REQUEST_H
#define REQUEST_REQUEST_H

#include "request/admit.h"
#include "request/events.h"
#include "request/router.h"
#include "transport/address.h"

/*
 * request - one caller's request from its last byte to its final answer
 *
 * State: waiting for an endpoint, sent, or answering; a request ends by exactly
 * one of request_finish() and request_abandon().
 */
#define REQUEST_MAX_TRIED 8
#define REQUEST_EVENT_ID_BYTES 32
#define REQUEST_ID_BYTES 33 /* of an id given here */
#define REQUEST_PEER_BYTES 64

struct caller;
struct channel;

typedef enum request_state {
	REQUEST_WAITING,
	REQUEST_SENT,
	REQUEST_ANSWERING /* the answer's head was passed on */
} request_state_t;

/* How a send ended without an answer that can be passed on. */
typedef enum send_failure {
	SEND_NOT_CONNECTED, /* no byte was sent */
	SEND_OUTDATED,	    /* the same; what it was decided on has changed */
	SEND_NOT_RUN,	    /* the endpoint says that it did not run it */
	SEND_LOST,	    /* may have run; connection or answer is broken */
	SEND_STALLED,	    /* may have run; no progress for too long */
	SEND_FAILED	    /* ran; the endpoint answered with an error */
} send_failure_t;

typedef struct request {
	router_t *router;
	struct caller *caller;
	const http1_head_t *head; /* the caller's */
	str_t body;
	call_t call;
	char id[REQUEST_ID_BYTES];		/* when the caller gave none */
	trace_span_t *span;			/* NULL without a tracer */
	trace_span_t *send_span;		/* of the present send */
	char trace_context[TRACE_PARENT_BYTES]; /* for its endpoint */
	struct customer_load *customer_load;	/* NULL: not counted */
	double fair_order; /* in the order of its class; 0: by arrival */
	uint64_t id_hash;
	request_state_t state;
	int64_t arrived_ms;
	int64_t deadline_ms;
	catalog_t *catalog; /* in which `admission` points */
	admission_t admission;
	/* Sends so far. */
	unsigned sends;			   /* that reached an endpoint */
	unsigned possible_runs;		   /* that may have run */
	unsigned failures;		   /* of any kind */
	uint64_t tried[REQUEST_MAX_TRIED]; /* hashes of endpoints */
	unsigned tried_count;
	char last_endpoint[REQUEST_PEER_BYTES]; /* empty: none yet */
	send_failure_t last_failure;
	/* The present send. */
	endpoint_t *endpoint; /* NULL while nothing is sent */
	struct channel *channel;
	reply_t reply;			/* once its head is known */
	const http1_head_t *reply_head; /* while the answer is read */
	int64_t sent_ms;
	uint64_t backlog_tokens; /* counted at the endpoint until its answer */
	uint64_t prefill_tokens; /* that the endpoint had to read at the send */
	bool no_eligible_endpoint; /* none is known that may ever get it */
	int64_t paused_until_ms;   /* when the first of them that asked for a
			      pause takes requests again; 0: none did */
	bool prefix_uncached;	   /* its shared parts were not read there */
	char prefix_source[ADDRESS_BYTES]; /* of the engine that has read more
					    */
	bool prefills_alone;  /* it had nothing else to read then */
	double round_trip_ms; /* to the endpoint and back */
	double prefill_share; /* of its time that it read prompts then */
	double expected_ms;
	int64_t last_progress_ms; /* when the endpoint last sent something */
	/* The answer. */
	buf_t answer;
	size_t buffered_bytes; /* of the answer, as counted in the router */
	events_t events;
	char last_event_id[REQUEST_EVENT_ID_BYTES];
	bool chunked;
	bool closes_connection; /* the connection ends after the answer */
	bool ended;
	bool stream_is_complete; /* its last event has come */
	bool stream_has_failed;	 /* the endpoint gave it up */
	uint64_t event_count;
	int64_t first_event_ms;
	int64_t last_event_ms;
	int64_t longest_pause_ms; /* between events */
	loop_timer_t deadline_timer;
	loop_timer_t progress_timer;
	struct request *next, *prev; /* in the waiting list */
	bool in_waiting_list;
	bool waits_for_room;
	bool floor_is_due; /* its class's floor is due: it goes before others */
	bool was_queued;
} request_t;

/* Begins the life of a request that has been read as a whole. */
void request_start(router_t *router, struct caller *caller);

/* Sends the request on, lets it wait, or answers that it can't be served. */
void request_dispatch(request_t *request);

/* The caller is gone: whatever runs for it is ended. */
void request_abandon(request_t *request);

/* Called by the channel. */

/* True when the configuration or the endpoint's state has changed since the
 * send was decided. Asked once connected, before a byte is sent. */
bool request_is_outdated(const request_t *request);
void request_on_sent(request_t *request);
void request_on_reply_head(request_t *request, const http1_head_t *head,
			   const reply_t *reply);
void request_on_reply_body(request_t *request, str_t data);
void request_on_reply_end(request_t *request, const http1_head_t *head,
			  const reply_t *reply);
/* The caller takes the answer again. */
void request_resume_reading(request_t *request);
void request_on_failure(request_t *request, send_failure_t failure);

/* Called by answer.c once the final answer has been handed to the caller. */
void request_finish(request_t *request, outcome_t outcome, const char *reason);

bool request_was_tried(const request_t *request, const endpoint_t *endpoint);

#endif
