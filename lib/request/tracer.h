#ifndef REQUEST_TRACER_H
#define REQUEST_TRACER_H

#include "base/trace.h"
#include "request/dialect.h"

/*
 * tracer - trace spans of a request
 *
 * One span covers the request at this host; each send to an endpoint has a
 * child span. A router without a tracer records no spans.
 */
typedef struct tracer tracer_t;

typedef struct tracer_ops {
	trace_span_t *(*begin_request)(const tracer_t *tracer,
				       const call_t *call);
	/* Writes to `context` the trace context that is sent to the endpoint.
	 */
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

/* The tracer over base/trace. Spans are written once trace_start() was
 * called. */
const tracer_t *tracer_default(void);

#endif
