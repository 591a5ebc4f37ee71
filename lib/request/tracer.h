#ifndef REQUEST_TRACER_H
#define REQUEST_TRACER_H

#include "base/trace.h"
#include "request/dialect.h"

/*
 * tracer - spans of a request's hops
 *
 * A span covers the whole request at this host, and one below it each send to
 * an endpoint. A router without a tracer has none.
 */
typedef struct tracer tracer_t;

typedef struct tracer_ops {
	trace_span_t *(*begin_request)(const tracer_t *tracer,
				       const call_t *call);
	/* Appends to `context` what the endpoint gets to go on with. */
	trace_span_t *(*begin_send)(const tracer_t *tracer,
				    const trace_span_t *parent,
				    const char *endpoint,
				    char context[TRACE_PARENT_BYTES]);
	void (*end)(const tracer_t *tracer, trace_span_t *span,
		    outcome_t outcome, const char *reason);
} tracer_ops_t;

struct tracer {
	const tracer_ops_t *ops;
};

/* The tracer over base/trace, which trace_start() makes write. */
const tracer_t *tracer_default(void);

#endif
