#ifndef REQUEST_REQUEST_H
#define REQUEST_REQUEST_H

#include "coordination/pauses.h"
#include "request/admit.h"
#include "request/events.h"
#include "request/router.h"
#include "transport/address.h"

/*
 * request - the life of one caller's request, from its last byte to the end of
 * its response
 *
 * A request waits for an endpoint, is sent, and is answered. It ends by exactly
 * one call of request_finish() or request_abandon().
 */
#define REQUEST_MAX_TRIED 8
#define REQUEST_EVENT_ID_BYTES 32
#define REQUEST_CONTENT_TYPE_BYTES 64
/* Shared parts of the prompt, and the request as a whole. */
#define REQUEST_MAX_INPUTS (PROMPTPARTS_MAX_IDS + 1)
#define REQUEST_ID_BYTES 33 /* of an id assigned by this host */
#define REQUEST_PEER_BYTES 64

struct caller;
struct channel;

typedef enum request_state {
	REQUEST_WAITING,
	REQUEST_SENT,
	REQUEST_ANSWERING /* the response head was sent to the caller */
} request_state_t;

/* How a send ended without a response that can be passed on. */
typedef enum send_failure {
	SEND_NOT_CONNECTED, /* no byte was sent */
	SEND_OUTDATED,	    /* no byte was sent: the catalog or the endpoint's
			       state changed after the endpoint was chosen */
	SEND_NOT_RUN,	    /* the endpoint states that it did not run it */
	SEND_LOST,	    /* may have run; the connection broke or the
			       response is invalid */
	SEND_STALLED,	    /* may have run; no progress within the limit */
	SEND_FAILED	    /* ran; the endpoint answered with an error */
} send_failure_t;

/* How the connection of a lost send broke. */
typedef enum send_break {
	SEND_BREAK_NONE,     /* it did not: the host gave up or the response is
				invalid */
	SEND_BREAK_CLOSED,   /* the endpoint closed it */
	SEND_BREAK_RESET,    /* it was reset */
	SEND_BREAK_TIMED_OUT /* the endpoint stopped acknowledging */
} send_break_t;

typedef struct request {
	router_t *router;
	struct caller *caller;
	const http1_head_t *head;  /* of the request, owned by the caller */
	str_t body;		   /* view into the caller's body buffer */
	call_t call;		   /* what the head and body ask for */
	char id[REQUEST_ID_BYTES]; /* assigned by this host; empty if the
				      caller sent an id */
	trace_span_t *span;	   /* NULL without a tracer */
	trace_span_t *send_span;   /* of the current send; NULL without one */
	char trace_context[TRACE_PARENT_BYTES]; /* sent to the endpoint */
	struct customer_load *customer_load;	/* NULL: not counted */
	double fair_order;   /* place in the weighted order of customers within
				the class, lowest first; 0: order of arrival */
	double share_excess; /* how many times its share the customer uses of a
				service that is short; 0: within its share */
	uint64_t inputs[REQUEST_MAX_INPUTS]; /* that may crash an endpoint, see
						crashes.h */
	size_t input_count;
	uint64_t id_hash; /* picks the service of a split route and ranks
			     endpoints; the same for all sends */
	request_state_t state;
	int64_t arrived_ms;    /* when the request had been read completely */
	int64_t deadline_ms;   /* when the request is given up */
	catalog_t *catalog;    /* referenced; `admission` points into it */
	admission_t admission; /* route, customer and service */
	/* All sends so far. */
	unsigned sends;		/* written to a connected endpoint */
	unsigned possible_runs; /* sends that the endpoint may have run */
	unsigned failures;	/* failed sends to a connected endpoint */
	unsigned unconnected;	/* endpoints that couldn't be connected to */
	unsigned broken_sends;	/* whose connection broke before an answer */
	uint64_t tried[REQUEST_MAX_TRIED]; /* hashes of endpoints that failed;
					      they aren't chosen again */
	unsigned tried_count;
	char last_endpoint[REQUEST_PEER_BYTES]; /* its id; empty: none yet */
	send_failure_t last_failure;
	send_break_t last_break; /* of the send that failed last */
	/* The current send. */
	endpoint_t *endpoint;	 /* referenced; NULL while nothing is sent */
	struct channel *channel; /* connection to the endpoint, or NULL */
	reply_t reply;		 /* valid once the response head was read */
	const http1_head_t *reply_head; /* owned by the channel */
	int64_t sent_ms; /* when the latest send was written; 0: never */
	uint64_t backlog_tokens;   /* counted in endpoint->backlog_tokens until
				      prefill ends */
	uint64_t prefill_tokens;   /* prompt tokens that the endpoint has to
				      prefill, as estimated at the choice */
	bool no_eligible_endpoint; /* no known endpoint may serve the request,
				      now or later */
	int64_t paused_until_ms;   /* see choice_t */
	bool rate_limited;	   /* the same */
	int64_t answer_began_ms;   /* when the current send's response began; 0:
				      not yet */
	bool reported_sound;  /* the current send's response showed that the
				 inputs are sound */
	bool noted_stalled;   /* the current send made no progress for its
				 limit; the endpoint's breaker has counted it */
	bool prefix_uncached; /* a shared prefix wasn't cached at the endpoint;
				 reported to other hosts after prefill */
	char prefix_source[ADDRESS_BYTES]; /* address of an engine to copy the
					      cached prefix from; or empty */
	bool prefills_alone; /* the endpoint had no other prefill at the send */
	double round_trip_ms; /* expected network time to the endpoint */
	double prefill_share; /* of its time that the endpoint spent on prefill
				 when it was chosen; an estimate, so it may
				 exceed 1 */
	double expected_ms; /* expected time until the first token, or until the
			       response when it isn't streamed */
	int64_t last_progress_ms; /* when the response progressed, see
				     request_on_reply_body() */
	/* The response. */
	buf_t answer;	       /* body bytes not yet passed to the caller */
	size_t buffered_bytes; /* share of this request in
 router->held_response_bytes */
	events_t events;       /* parser of an event stream */
	char last_event_id[REQUEST_EVENT_ID_BYTES]; /* last one passed on */
	/* Content type of the stream that is passed on. */
	char stream_type[REQUEST_CONTENT_TYPE_BYTES];
	bool is_continuation;	    /* the current response follows a part of an
				       earlier one that the caller has */
	bool has_unnumbered_events; /* passed on; they can't be resumed after */
	bool chunked;		    /* chunked coding towards the caller */
	bool closes_connection;	    /* after the response */
	bool ended;		    /* released; freed at the next tick */
	bool stream_is_complete;    /* its last event was received */
	bool stream_has_failed;	    /* the endpoint sent an error event */
	uint64_t event_count;	    /* events passed on, in all sends */
	int64_t first_event_ms;	    /* when it was received; 0: none yet */
	int64_t last_event_ms;	    /* the same for the latest event */
	int64_t longest_pause_ms;   /* between two events */
	pauses_t pauses;	    /* between those of the current send */
	loop_timer_t deadline_timer; /* ends the request */
	loop_timer_t progress_timer; /* ends a send that makes no progress */
	struct request *next, *prev; /* in router->waiting */
	bool in_waiting_list;
	bool waits_for_capacity; /* all endpoints are full or cold; less urgent
				requests stay behind it */
	bool floor_is_due; /* its class is below its floor: it goes first */
	bool was_queued;   /* waited on a route whose requests may wait until
			      their deadline */
} request_t;

/* Creates the request that `caller` has read completely, and dispatches it. */
void request_start(router_t *router, struct caller *caller);

/*
 * Sends the request to an endpoint, queues it, or answers with an error. May
 * end the request.
 */
void request_dispatch(request_t *request);

/* Ends a request whose caller has disconnected, and cancels its send. */
void request_abandon(request_t *request);

/* The functions up to request_on_failure() are called by the channel. */

/*
 * True when the catalog or the endpoint's state has changed since the endpoint
 * was chosen. Called once connected, before a byte is sent.
 */
bool request_is_outdated(const request_t *request);
void request_on_sent(request_t *request);
void request_on_reply_head(request_t *request, const http1_head_t *head,
			   const reply_t *reply);
void request_on_reply_body(request_t *request, str_t data);
void request_on_reply_end(request_t *request, const http1_head_t *head,
			  const reply_t *reply);
/* Reads the response again after the caller's output buffer has drained. */
void request_resume_reading(request_t *request);
void request_on_failure(request_t *request, send_failure_t failure);

/* Cancels the send of a request that an endpoint must not get any more, and
 * dispatches the request again. */
void request_withdraw(request_t *request);

/*
 * Ends a request whose response is not complete: aborts a response that has
 * begun, else answers 503 when it has not run, or 502 or 504.
 */
void request_fail(request_t *request, const char *reason);

/* Ends the request. Called once its response has been sent to the caller. */
void request_finish(request_t *request, outcome_t outcome, const char *reason);

/* Identifies the request's class: a hash of its route's name. */
uint64_t request_class_id(const request_t *request);

/* True when a send to the endpoint has failed. */
bool request_was_tried(const request_t *request, const endpoint_t *endpoint);

#endif
