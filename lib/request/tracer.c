#include "request/tracer.h"

static trace_span_t *begin_request(const tracer_t *tracer, const call_t *call)
{
	trace_span_t *span =
		trace_begin("request", TRACE_KIND_SERVER, call->trace);

	(void)tracer;
	trace_set(span, "peridot.request", call->id);
	trace_set(span, "peridot.path", call->path);
	return span;
}

static trace_span_t *begin_send(const tracer_t *tracer,
				const trace_span_t *parent,
				const char *endpoint,
				char context[TRACE_PARENT_BYTES])
{
	trace_span_t *span =
		trace_begin_child("send", TRACE_KIND_CLIENT, parent);

	(void)tracer;
	trace_set(span, "peridot.endpoint", str_from(endpoint));
	trace_format(trace_context_of(span), context);
	return span;
}

static void end(const tracer_t *tracer, trace_span_t *span, outcome_t outcome,
		const char *reason)
{
	(void)tracer;
	trace_set(span, "peridot.outcome", str_from(outcome_name(outcome)));
	if (outcome != OUTCOME_COMPLETED)
		trace_set_status(span, TRACE_STATUS_ERROR, str_from(reason));
	trace_end(span);
}

static const tracer_ops_t ops = {begin_request, begin_send, end};

const tracer_t *tracer_default(void)
{
	static const tracer_t tracer = {&ops};

	return &tracer;
}
