#ifndef REQUEST_DIALECT_H
#define REQUEST_DIALECT_H

#include "coordination/prefixmap.h"
#include "transport/http1.h"

/*
 * dialect - the wire format of an interface towards callers and endpoints
 *
 * The life of a request knows header names only through this table of
 * functions. Views in call_t and reply_t point into the head they were read
 * from.
 */

#define CALL_TEXT_BYTES 160

/* What became of a request, as far as the router knows. */
typedef enum outcome {
	OUTCOME_NOT_RUN,   /* no endpoint has run it, or will */
	OUTCOME_COMPLETED, /* an endpoint answered, and this is its answer */
	OUTCOME_FAILED,	   /* an endpoint ran it and failed */
	OUTCOME_UNKNOWN,   /* an endpoint may have run it */
	OUTCOME_STREAMING  /* the answer's end tells */
} outcome_t;

/* As callers and logs read it, such as "not-run". */
const char *outcome_name(outcome_t outcome);

/* What a caller's request says of itself. */
typedef struct call {
	str_t id;  /* of this request; empty: the caller chose none */
	str_t key; /* of the customer; ptr NULL without one */
	str_t host;
	str_t path;	    /* without the query */
	int64_t timeout_ms; /* how long the caller waits; -1: not said */
	prompt_parts_t parts;
	uint64_t prompt_tokens;
	uint64_t output_tokens; /* upper bound */
	str_t last_event_id;	/* the stream goes on after it */
	str_t service;	   /* that it asks for; ptr NULL: the route's choice */
	str_t customer;	   /* that it claims to come from; ptr NULL */
	str_t trace;	   /* context of the caller's trace; ptr NULL */
	bool not_streamed; /* one answer, not a stream of events */
	/* Asks only whether the host takes requests. */
	bool is_health_check;
	/* Why it can't be served by any host, and the status to say so with;
	 * NULL when nothing is wrong. */
	const char *fault;
	unsigned fault_status;
	char text[CALL_TEXT_BYTES]; /* backs views that are not in the head */
} call_t;

/* What the router adds when it sends a request to an endpoint. */
typedef struct send_params {
	str_t endpoint_id;
	str_t customer; /* ptr NULL for a request without a customer */
	int64_t left_ms;
	unsigned priority;   /* 0 is the highest */
	str_t resume_after;  /* id of the last event passed on */
	str_t prefix_source; /* address of an engine to copy read parts from */
	size_t body_len;
	unsigned max_output_tokens; /* 0: no bound */
	str_t trace;		    /* context for the endpoint; ptr NULL */
	str_t boot_id; /* that the endpoint is known to be of; empty: unknown */
} send_params_t;

/* What an endpoint's answer says of itself. */
typedef struct reply {
	unsigned status;
	str_t id;	       /* of the request it answers; ptr NULL */
	bool stamped;	       /* bears the endpoint's stamp */
	bool not_run;	       /* the endpoint did not run the request */
	bool misdirected;      /* another endpoint has the address */
	bool encoded;	       /* the body has a content coding */
	bool is_events;	       /* the body is a stream of events */
	int64_t cold_ms;       /* the endpoint stays cold so long; -1 */
	str_t boot_id;	       /* changes with each start of the endpoint */
	int64_t keep_alive_ms; /* idle time allowed on the connection; -1 */
	bool leaving;	       /* the endpoint takes no new work any more */
	bool wants_pause;      /* it wants no request for `pause_ms` */
	int64_t pause_ms;      /* -1: it can't be read */
} reply_t;

typedef enum reply_framing {
	REPLY_LENGTH,  /* Content-Length */
	REPLY_CHUNKED, /* chunked */
	REPLY_UNTIL_CLOSE
} reply_framing_t;

typedef struct reply_params {
	reply_framing_t framing;
	size_t body_len; /* REPLY_LENGTH */
	bool close;
	outcome_t outcome;
	str_t id; /* of the request, should the endpoint not name it */
} reply_params_t;

/* An answer of the router's own. */
typedef struct own_reply {
	unsigned status;
	outcome_t outcome;
	const char *step;	/* of the request's life, where it ended */
	const char *peer;	/* the last endpoint; NULL: none */
	const char *reason;	/* for the body */
	int64_t retry_after_ms; /* -1: not said */
	bool close;
} own_reply_t;

typedef struct dialect dialect_t;

typedef struct dialect_ops {
	/* Requests without an id are given one. */
	bool assigns_ids;
	/* Data of the last event of every whole stream, and the type of an
	 * event by which an endpoint gives a stream up; NULL when the framing
	 * alone tells whether a stream is whole. */
	const char *last_event;
	const char *error_event;
	/* Reads a whole request; `call` is zeroed. */
	void (*read_call)(const dialect_t *dialect, const http1_head_t *head,
			  str_t body, call_t *call);
	/* Appends the request's head for an endpoint. */
	void (*write_call)(const dialect_t *dialect, const http1_head_t *head,
			   const call_t *call, const send_params_t *params,
			   buf_t *out);
	void (*read_reply)(const dialect_t *dialect, const http1_head_t *head,
			   reply_t *reply);
	/* Appends the answer's head for the caller. */
	void (*write_reply)(const dialect_t *dialect, const http1_head_t *head,
			    const reply_params_t *params, buf_t *out);
	/* Appends a whole answer of the router; `call` may be NULL. */
	void (*write_own_reply)(const dialect_t *dialect, const call_t *call,
				const own_reply_t *reply, buf_t *out);
	/* Appends an event that tells why a stream breaks off. NULL when the
	 * wire format has none. */
	void (*write_stream_error)(const dialect_t *dialect,
				   const own_reply_t *reply, buf_t *out);
	/* Appends a question for an endpoint's state, whose answer read_reply
	 * understands. NULL when there is none. */
	void (*write_probe)(const dialect_t *dialect, const char *endpoint_id,
			    buf_t *out);
} dialect_ops_t;

struct dialect {
	const dialect_ops_t *ops;
};

#endif
