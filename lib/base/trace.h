#ifndef BASE_TRACE_H
#define BASE_TRACE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/err.h"

/*
 * trace - one span per hop, W3C trace context and OTLP JSON export
 *
 * trace_begin() allocates a span; trace_end() takes ownership of it. A span
 * whose trace is sampled goes to a bounded queue, from which a background
 * thread writes it to a file as OTLP JSON: one ExportTraceServiceRequest per
 * line, with the resource attributes service.name and host.name. trace_end()
 * takes no lock. When the queue is full, the span is dropped and counted in
 * METRIC_SPANS_DROPPED.
 *
 * Without trace_start() spans still propagate the context, but are not
 * exported.
 */
#define TRACE_ID_BYTES 16
#define TRACE_SPAN_ID_BYTES 8
#define TRACE_PARENT_BYTES 56 /* traceparent text with its NUL */
#define TRACE_MAX_ATTRIBUTES 12
#define TRACE_NAME_BYTES 48
#define TRACE_VALUE_BYTES 96
#define TRACE_DEFAULT_QUEUE_SPANS 4096

typedef struct trace_context {
	uint8_t trace_id[TRACE_ID_BYTES];
	uint8_t span_id[TRACE_SPAN_ID_BYTES];
	bool sampled;
} trace_context_t;

/* Values as in OTLP. */
typedef enum trace_kind {
	TRACE_KIND_INTERNAL = 1,
	TRACE_KIND_SERVER = 2,
	TRACE_KIND_CLIENT = 3
} trace_kind_t;

typedef enum trace_status {
	TRACE_STATUS_UNSET = 0,
	TRACE_STATUS_OK = 1,
	TRACE_STATUS_ERROR = 2
} trace_status_t;

typedef struct trace_span trace_span_t;

typedef struct trace_options {
	const char *path; /* file to append to; "-" for standard error */
	const char *service;
	const char *host;
	unsigned queue_spans; /* 0: TRACE_DEFAULT_QUEUE_SPANS */
	/* Percentage of the traces started by this process that are sampled. */
	unsigned sample_percent;
} trace_options_t;

/*
 * Parses a traceparent header. Version 00 must have exactly 55 characters; a
 * higher version may continue after another "-". Hex digits are lower case.
 *
 * RETURN VALUE: false when malformed, of version ff or with an all-zero id.
 */
bool trace_parse(str_t text, trace_context_t *context);

/* Writes the context as a version 00 traceparent. */
void trace_format(const trace_context_t *context, char out[TRACE_PARENT_BYTES]);

/*
 * Begins a span whose parent is the remote span in `traceparent`; an empty or
 * malformed header starts a new trace.
 */
trace_span_t *trace_begin(const char *name, trace_kind_t kind,
			  str_t traceparent);

/* Begins a span whose parent is a span of this process. */
trace_span_t *trace_begin_child(const char *name, trace_kind_t kind,
				const trace_span_t *parent);

/* The span's own context, to propagate to the next hop. */
const trace_context_t *trace_context_of(const trace_span_t *span);

/*
 * Adds an attribute. Values are truncated to TRACE_VALUE_BYTES - 1 bytes;
 * attributes beyond TRACE_MAX_ATTRIBUTES are dropped. `key` must be a literal.
 */
void trace_set(trace_span_t *span, const char *key, str_t value);
void trace_set_int(trace_span_t *span, const char *key, int64_t value);
void trace_set_status(trace_span_t *span, trace_status_t status, str_t message);

/* Ends the span; it must not be used afterwards. NULL is allowed. */
void trace_end(trace_span_t *span);

/*
 * Opens the file and starts the export thread.
 *
 * ERRORS: ERR_IO when the file can't be opened or the thread can't be started,
 * ERR_BAD_STATE when already started.
 */
err_code_t trace_start(const trace_options_t *options, err_t *err);

/*
 * Exports the queued spans and ends the export thread. Threads that end spans
 * must have stopped before the call.
 */
void trace_stop(void);

#endif
