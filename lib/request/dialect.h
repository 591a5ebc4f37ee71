#ifndef REQUEST_DIALECT_H
#define REQUEST_DIALECT_H

#include "coordination/prefixmap.h"
#include "transport/http1.h"

/*
 * dialect - the wire format of an interface towards callers and endpoints
 *
 * The code that handles requests knows header names only through this table of
 * functions. Views in call_t and reply_t point into the head that they were
 * parsed from.
 */

#define CALL_TEXT_BYTES 160

/* What became of a request, as far as the router knows. */
typedef enum outcome {
	OUTCOME_NOT_RUN,   /* no endpoint has run it, or will */
	OUTCOME_COMPLETED, /* an endpoint answered, and this is its response */
	OUTCOME_FAILED,	   /* an endpoint ran it and failed */
	OUTCOME_UNKNOWN,   /* an endpoint may have run it */
	OUTCOME_STREAMING  /* known only at the end of the response */
} outcome_t;

/* The name used in responses and logs, such as "not-run". */
const char *outcome_name(outcome_t outcome);

/* The parsed head and body of a caller's request. */
typedef struct call {
	str_t id;  /* of the request; empty: none */
	str_t key; /* of the customer; ptr NULL without one */
	str_t host;
	str_t path;	    /* without the query */
	int64_t timeout_ms; /* how long the caller waits; -1: not stated */
	prompt_parts_t parts;
	uint64_t prompt_tokens;
	uint64_t output_tokens; /* upper bound */
	str_t last_event_id;	/* the stream is resumed after this event */
	str_t service;		/* requested; ptr NULL: chosen by the route */
	str_t customer;	   /* named by the caller, unverified; ptr NULL: none */
	str_t trace;	   /* context of the caller's trace; ptr NULL: none */
	bool not_streamed; /* one response instead of a stream of events */
	/* Asks only whether the host takes requests. */
	bool is_health_check;
	/* Why no host could serve the request, and the status of the error
	 * response; NULL for a valid request. */
	const char *fault;
	unsigned fault_status;
	char text[CALL_TEXT_BYTES]; /* backs views that aren't in the head */
} call_t;

/* What the router adds to a request that it sends to an endpoint. */
typedef struct send_params {
	str_t endpoint_id;
	str_t customer;	     /* ptr NULL for a request without a customer */
	int64_t left_ms;     /* until the request's deadline */
	unsigned priority;   /* 0 is the highest */
	str_t resume_after;  /* id of the last event passed on; empty: none */
	str_t prefix_source; /* address of an engine to copy the cached prefix
				from; empty: none */
	size_t body_len;
	unsigned max_output_tokens; /* 0: no bound */
	str_t trace;   /* context for the endpoint; ptr NULL: none */
	str_t boot_id; /* last one received from the endpoint; empty: none */
} send_params_t;

/* The parsed head of an endpoint's response. */
typedef struct reply {
	unsigned status;
	str_t id;	    /* of the request it answers; ptr NULL: none */
	bool stamped;	    /* has the header that only endpoints set; always
			       true in wire formats without one */
	bool not_run;	    /* the endpoint did not run the request */
	bool misdirected;   /* another endpoint has the address */
	bool encoded;	    /* the body has a content coding */
	bool is_events;	    /* the body is a stream of events */
	str_t content_type; /* ptr NULL: not stated */
	int64_t cold_ms; /* the endpoint stays cold this long; -1: not stated */
	str_t boot_id;	 /* changes with each start of the endpoint */
	int64_t keep_alive_ms; /* idle time allowed on the connection; -1: not
				  stated */
	bool leaving;	       /* the endpoint is draining: no new requests */
	bool wants_pause;      /* asks for no requests during `pause_ms` */
	int64_t pause_ms;      /* -1: the value can't be parsed */
	bool names_limit;      /* states how many requests it accepts */
	double limit_per_s;    /* requests/s from all hosts together; -1: the
				  value can't be parsed */
} reply_t;

typedef enum reply_framing {
	REPLY_LENGTH,  /* Content-Length */
	REPLY_CHUNKED, /* chunked transfer coding */
	REPLY_UNTIL_CLOSE
} reply_framing_t;

/* What the router sets in a response that it passes on to the caller. */
typedef struct reply_params {
	reply_framing_t framing;
	size_t body_len; /* with REPLY_LENGTH */
	bool close;
	outcome_t outcome;
	str_t id; /* of the request, used if the endpoint didn't set it */
} reply_params_t;

/* A response that the router itself generates. */
typedef struct own_reply {
	unsigned status;
	outcome_t outcome;
	const char *step;	/* of processing, at which the request ended */
	const char *peer;	/* the last endpoint; NULL: none */
	const char *reason;	/* for the body */
	int64_t retry_after_ms; /* -1: none */
	bool close;
} own_reply_t;

typedef struct dialect dialect_t;

typedef struct dialect_ops {
	/* The router assigns an id to requests that have none. */
	bool assigns_ids;
	/* Data of the last event of every complete stream, and the type of the
	 * event by which an endpoint aborts a stream; NULL when the framing
	 * alone shows whether a stream is complete. */
	const char *last_event;
	const char *error_event;
	/* Parses a complete request into `call`, which is zeroed. */
	void (*read_call)(const dialect_t *dialect, const http1_head_t *head,
			  str_t body, call_t *call);
	/* Appends the request head for an endpoint. */
	void (*write_call)(const dialect_t *dialect, const http1_head_t *head,
			   const call_t *call, const send_params_t *params,
			   buf_t *out);
	/* Parses the head of an endpoint's response. */
	void (*read_reply)(const dialect_t *dialect, const http1_head_t *head,
			   reply_t *reply);
	/* Appends the response head for the caller. */
	void (*write_reply)(const dialect_t *dialect, const http1_head_t *head,
			    const reply_params_t *params, buf_t *out);
	/* Appends a complete response of the router; `call` may be NULL. */
	void (*write_own_reply)(const dialect_t *dialect, const call_t *call,
				const own_reply_t *reply, buf_t *out);
	/* Appends an event that states why a stream is aborted. NULL when the
	 * wire format has none. */
	void (*write_stream_error)(const dialect_t *dialect,
				   const own_reply_t *reply, buf_t *out);
	/* Appends a request for an endpoint's state; read_reply() parses the
	 * response. NULL when the wire format has none. */
	void (*write_probe)(const dialect_t *dialect, const char *endpoint_id,
			    buf_t *out);
} dialect_ops_t;

struct dialect {
	const dialect_ops_t *ops;
};

#endif
