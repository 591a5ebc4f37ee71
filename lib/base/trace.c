#include "base/trace.h"

#include <assert.h>
#include <errno.h>
#include <jansson.h>
#include <pthread.h>
#include <semaphore.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/random.h>
#include <time.h>
#include <urcu/wfcqueue.h>

#include "base/metrics.h"

#define TRACEPARENT_CHARS (TRACE_PARENT_BYTES - 1)
#define FLAG_SAMPLED 1
#define NS_PER_S 1000000000LL
#define BATCH_SPANS 256 /* bounds the length of one exported line */

typedef struct attribute {
	const char *key;
	char value[TRACE_VALUE_BYTES];
} attribute_t;

struct trace_span {
	struct cds_wfcq_node node;
	trace_context_t context;
	uint8_t parent_id[TRACE_SPAN_ID_BYTES];
	bool has_parent;
	char name[TRACE_NAME_BYTES];
	trace_kind_t kind;
	trace_status_t status;
	char message[TRACE_VALUE_BYTES];
	int64_t start_ns;	 /* Unix */
	int64_t start_steady_ns; /* monotonic, for the duration */
	int64_t end_ns;		 /* Unix */
	unsigned attribute_count;
	attribute_t attributes[TRACE_MAX_ATTRIBUTES];
};

typedef struct exporter {
	FILE *file;
	char *service;
	char *host;
	unsigned capacity;
	unsigned sample_percent;
	pthread_t thread;
	sem_t wakeup;
	struct cds_wfcq_head head;
	struct cds_wfcq_tail tail;
	_Atomic unsigned queued;
	_Atomic bool stopping;
	_Atomic bool running;
} exporter_t;

static exporter_t exporter;

static int64_t read_clock(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (int64_t)ts.tv_sec * NS_PER_S + ts.tv_nsec;
}

static void fill_random(void *out, size_t len)
{
	ssize_t got;

	do {
		got = getrandom(out, len, 0);
	} while (got < 0 && errno == EINTR);
	if (got != (ssize_t)len)
		abort();
}

static bool is_zero(const uint8_t *id, size_t len)
{
	for (size_t i = 0; i < len; i++)
		if (id[i])
			return false;
	return true;
}

static void fill_id(uint8_t *id, size_t len)
{
	do {
		fill_random(id, len);
	} while (is_zero(id, len));
}

static int hex_digit(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	if (c >= 'a' && c <= 'f')
		return c - 'a' + 10;
	return -1;
}

static bool parse_hex(const char *text, uint8_t *out, size_t len)
{
	for (size_t i = 0; i < len; i++) {
		int high = hex_digit(text[2 * i]);
		int low = hex_digit(text[2 * i + 1]);

		if (high < 0 || low < 0)
			return false;
		out[i] = (uint8_t)(high << 4 | low);
	}
	return true;
}

static void format_hex(const uint8_t *id, size_t len, char *out)
{
	static const char digits[] = "0123456789abcdef";

	for (size_t i = 0; i < len; i++) {
		out[2 * i] = digits[id[i] >> 4];
		out[2 * i + 1] = digits[id[i] & 15];
	}
	out[2 * len] = '\0';
}

static bool decide_sampled(void)
{
	uint32_t value;

	if (!atomic_load(&exporter.running) || !exporter.sample_percent)
		return false;
	fill_random(&value, sizeof(value));
	return value % 100 < exporter.sample_percent;
}

static trace_span_t *begin_span(const char *name, trace_kind_t kind,
				const trace_context_t *parent)
{
	trace_span_t *span = calloc(1, sizeof(*span));

	if (!span)
		abort();
	if (parent) {
		span->context = *parent;
		memcpy(span->parent_id, parent->span_id, TRACE_SPAN_ID_BYTES);
		span->has_parent = true;
	} else {
		fill_id(span->context.trace_id, TRACE_ID_BYTES);
		span->context.sampled = decide_sampled();
	}
	fill_id(span->context.span_id, TRACE_SPAN_ID_BYTES);
	str_copy(span->name, sizeof(span->name), str_from(name));
	span->kind = kind;
	span->start_ns = read_clock(CLOCK_REALTIME);
	span->start_steady_ns = read_clock(CLOCK_BOOTTIME);
	return span;
}

/* JSON must be UTF-8; in other text, '?' replaces each non-ASCII byte. */
static json_t *make_string(const char *text)
{
	char ascii[TRACE_VALUE_BYTES];
	json_t *value = json_string(text);

	if (value)
		return value;
	str_copy(ascii, sizeof(ascii), str_from(text));
	for (char *p = ascii; *p; p++)
		if ((unsigned char)*p >= 0x80)
			*p = '?';
	return json_string(ascii);
}

static json_t *make_attribute(const char *key, const char *value)
{
	return json_pack("{s:s, s:{s:o}}", "key", key, "value", "stringValue",
			 make_string(value));
}

static json_t *make_status(const trace_span_t *span)
{
	json_t *status = json_pack("{s:i}", "code", (int)span->status);

	if (*span->message)
		json_object_set_new(status, "message",
				    make_string(span->message));
	return status;
}

static json_t *make_span(const trace_span_t *span)
{
	char trace_id[2 * TRACE_ID_BYTES + 1];
	char span_id[2 * TRACE_SPAN_ID_BYTES + 1];
	char parent_id[2 * TRACE_SPAN_ID_BYTES + 1];
	char start[24];
	char end[24];
	json_t *attributes = json_array();
	json_t *value;

	format_hex(span->context.trace_id, TRACE_ID_BYTES, trace_id);
	format_hex(span->context.span_id, TRACE_SPAN_ID_BYTES, span_id);
	format_hex(span->parent_id, TRACE_SPAN_ID_BYTES, parent_id);
	snprintf(start, sizeof(start), "%lld", (long long)span->start_ns);
	snprintf(end, sizeof(end), "%lld", (long long)span->end_ns);
	for (unsigned i = 0; i < span->attribute_count; i++)
		json_array_append_new(
			attributes, make_attribute(span->attributes[i].key,
						   span->attributes[i].value));
	value = json_pack(
		"{s:s, s:s, s:o, s:i, s:s, s:s, s:o, s:o}", "traceId", trace_id,
		"spanId", span_id, "name", make_string(span->name), "kind",
		(int)span->kind, "startTimeUnixNano", start, "endTimeUnixNano",
		end, "attributes", attributes, "status", make_status(span));
	if (span->has_parent)
		json_object_set_new(value, "parentSpanId",
				    json_string(parent_id));
	return value;
}

/* Takes over the reference to `spans`. */
static void write_request(json_t *spans)
{
	json_t *request = json_pack(
		"{s:[{s:{s:[o, o]}, s:[{s:{s:s}, s:o}]}]}", "resourceSpans",
		"resource", "attributes",
		make_attribute("service.name", exporter.service),
		make_attribute("host.name", exporter.host), "scopeSpans",
		"scope", "name", "peridotpin", "spans", spans);

	json_dumpf(request, exporter.file, JSON_COMPACT);
	fputc('\n', exporter.file);
	fflush(exporter.file);
	json_decref(request);
}

static trace_span_t *dequeue_span(void)
{
	struct cds_wfcq_node *node =
		__cds_wfcq_dequeue_blocking(&exporter.head, &exporter.tail);

	if (!node)
		return NULL;
	atomic_fetch_sub(&exporter.queued, 1);
	return caa_container_of(node, trace_span_t, node);
}

/* RETURN VALUE: false when the queue was empty. */
static bool export_batch(void)
{
	trace_span_t *span = dequeue_span();
	json_t *spans;

	if (!span)
		return false;
	spans = json_array();
	for (unsigned i = 0; span; i++) {
		json_array_append_new(spans, make_span(span));
		free(span);
		span = i + 1 < BATCH_SPANS ? dequeue_span() : NULL;
	}
	write_request(spans);
	return true;
}

static void *run_exporter(void *arg)
{
	(void)arg;
	while (!atomic_load(&exporter.stopping)) {
		while (sem_wait(&exporter.wakeup) && errno == EINTR)
			;
		while (export_batch())
			;
	}
	while (export_batch())
		;
	return NULL;
}

static void enqueue_span(trace_span_t *span)
{
	if (atomic_fetch_add(&exporter.queued, 1) >= exporter.capacity) {
		atomic_fetch_sub(&exporter.queued, 1);
		metrics_inc(METRIC_SPANS_DROPPED);
		free(span);
		return;
	}
	cds_wfcq_node_init(&span->node);
	/* The exporter drains the queue at each wake-up, so one post per
	 * transition from empty is enough. */
	if (!cds_wfcq_enqueue(&exporter.head, &exporter.tail, &span->node))
		sem_post(&exporter.wakeup);
}

static void close_exporter(void)
{
	if (exporter.file && exporter.file != stderr)
		fclose(exporter.file);
	free(exporter.service);
	free(exporter.host);
	cds_wfcq_destroy(&exporter.head, &exporter.tail);
	sem_destroy(&exporter.wakeup);
	exporter.file = NULL;
	exporter.service = NULL;
	exporter.host = NULL;
}

bool trace_parse(str_t text, trace_context_t *context)
{
	trace_context_t parsed;
	uint8_t version;
	uint8_t flags;

	if (text.len < TRACEPARENT_CHARS || text.ptr[2] != '-' ||
	    text.ptr[35] != '-' || text.ptr[52] != '-' ||
	    !parse_hex(text.ptr, &version, 1) || version == 0xff ||
	    !parse_hex(text.ptr + 3, parsed.trace_id, TRACE_ID_BYTES) ||
	    !parse_hex(text.ptr + 36, parsed.span_id, TRACE_SPAN_ID_BYTES) ||
	    !parse_hex(text.ptr + 53, &flags, 1))
		return false;
	if (text.len > TRACEPARENT_CHARS &&
	    (version == 0 || text.ptr[TRACEPARENT_CHARS] != '-'))
		return false;
	if (is_zero(parsed.trace_id, TRACE_ID_BYTES) ||
	    is_zero(parsed.span_id, TRACE_SPAN_ID_BYTES))
		return false;
	parsed.sampled = flags & FLAG_SAMPLED;
	*context = parsed;
	return true;
}

void trace_format(const trace_context_t *context, char out[TRACE_PARENT_BYTES])
{
	str_copy(out, 4, STR_LIT("00-"));
	format_hex(context->trace_id, TRACE_ID_BYTES, out + 3);
	out[35] = '-';
	format_hex(context->span_id, TRACE_SPAN_ID_BYTES, out + 36);
	str_copy(out + 52, 4,
		 context->sampled ? STR_LIT("-01") : STR_LIT("-00"));
}

trace_span_t *trace_begin(const char *name, trace_kind_t kind,
			  str_t traceparent)
{
	trace_context_t parent;
	bool valid = trace_parse(traceparent, &parent);

	return begin_span(name, kind, valid ? &parent : NULL);
}

trace_span_t *trace_begin_child(const char *name, trace_kind_t kind,
				const trace_span_t *parent)
{
	return begin_span(name, kind, &parent->context);
}

const trace_context_t *trace_context_of(const trace_span_t *span)
{
	return &span->context;
}

void trace_set(trace_span_t *span, const char *key, str_t value)
{
	attribute_t *attribute;

	if (span->attribute_count == TRACE_MAX_ATTRIBUTES)
		return;
	attribute = &span->attributes[span->attribute_count++];
	attribute->key = key;
	str_copy(attribute->value, sizeof(attribute->value), value);
}

void trace_set_int(trace_span_t *span, const char *key, int64_t value)
{
	char text[24];

	snprintf(text, sizeof(text), "%lld", (long long)value);
	trace_set(span, key, str_from(text));
}

void trace_set_status(trace_span_t *span, trace_status_t status, str_t message)
{
	span->status = status;
	str_copy(span->message, sizeof(span->message), message);
}

void trace_end(trace_span_t *span)
{
	if (!span)
		return;
	if (!span->context.sampled || !atomic_load(&exporter.running)) {
		free(span);
		return;
	}
	/* The wall clock may jump, so the duration is monotonic time. */
	span->end_ns = span->start_ns + read_clock(CLOCK_BOOTTIME) -
		       span->start_steady_ns;
	enqueue_span(span);
}

/* The export thread blocks all signals: other threads wait for them, and a
 * signal delivered to a thread that does not block it ends the process. */
static int start_thread(void)
{
	sigset_t all, before;
	int failure;

	sigfillset(&all);
	pthread_sigmask(SIG_BLOCK, &all, &before);
	failure = pthread_create(&exporter.thread, NULL, run_exporter, NULL);
	pthread_sigmask(SIG_SETMASK, &before, NULL);
	return failure;
}

err_code_t trace_start(const trace_options_t *options, err_t *err)
{
	bool to_stderr = !strcmp(options->path, "-");

	if (atomic_load(&exporter.running))
		return err_set(err, ERR_BAD_STATE, "trace", options->path,
			       "the exporter runs already");
	exporter.file = to_stderr ? stderr : fopen(options->path, "ae");
	if (!exporter.file)
		return err_set(err, ERR_IO, "trace", options->path,
			       "cannot open the trace file: errno %d", errno);
	exporter.service = str_dup(str_from(options->service));
	exporter.host = str_dup(str_from(options->host));
	if (!exporter.service || !exporter.host)
		abort();
	exporter.capacity = options->queue_spans ? options->queue_spans :
						   TRACE_DEFAULT_QUEUE_SPANS;
	exporter.sample_percent = options->sample_percent;
	cds_wfcq_init(&exporter.head, &exporter.tail);
	sem_init(&exporter.wakeup, 0, 0);
	atomic_store(&exporter.queued, 0);
	atomic_store(&exporter.stopping, false);
	/* Creates the series now, so that trace_end() never takes its lock. */
	metrics_add(METRIC_SPANS_DROPPED, STR_LIT(""), 0);
	if (start_thread()) {
		close_exporter();
		return err_set(err, ERR_IO, "trace", options->path,
			       "cannot start the export thread");
	}
	atomic_store(&exporter.running, true);
	return ERR_OK;
}

void trace_stop(void)
{
	if (!atomic_exchange(&exporter.running, false))
		return;
	atomic_store(&exporter.stopping, true);
	sem_post(&exporter.wakeup);
	pthread_join(exporter.thread, NULL);
	close_exporter();
}
