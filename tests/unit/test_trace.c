#include <jansson.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "base/metrics.h"
#include "base/trace.h"
#include "unit.h"

#define PARENT "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
#define FUZZ_SEED 20261204
#define FUZZ_ROUNDS 20000

/* Guards against accepting traceparents that other services would refuse. */
static void test_parse_is_strict(void)
{
	static const char *const refused[] = {
		"",
		"00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331",
		"00-0AF7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
		"00-00000000000000000000000000000000-b7ad6b7169203331-01",
		"00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01",
		"ff-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
		PARENT "-x",
		PARENT "x",
		"01" /* version 01, whose further fields must follow a "-" */
		"-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01x",
		"00_0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"};
	trace_context_t context;
	char text[TRACE_PARENT_BYTES];

	for (size_t i = 0; i < sizeof(refused) / sizeof(refused[0]); i++)
		CU_ASSERT_FALSE(trace_parse(str_from(refused[i]), &context));
	CU_ASSERT_TRUE(trace_parse(STR_LIT(PARENT), &context));
	CU_ASSERT_TRUE(context.sampled);
	trace_format(&context, text);
	CU_ASSERT_STRING_EQUAL(text, PARENT);
	CU_ASSERT_TRUE(trace_parse(
		STR_LIT("cc-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331"
			"-00-future"),
		&context));
	CU_ASSERT_FALSE(context.sampled);
}

/* Guards against reads beyond the text, and against accepted traceparents that
 * are formatted differently. */
static void test_parse_survives_mutations(void)
{
	unsigned seed = FUZZ_SEED;
	trace_context_t context;
	char out[TRACE_PARENT_BYTES];

	for (int i = 0; i < FUZZ_ROUNDS; i++) {
		size_t len = (size_t)rand_r(&seed) % sizeof(PARENT);
		char *text = malloc(len + 1);

		memcpy(text, PARENT, len);
		if (len)
			text[(size_t)rand_r(&seed) % len] = (char)rand_r(&seed);
		if (trace_parse((str_t){text, len}, &context)) {
			trace_format(&context, out);
			CU_ASSERT_EQUAL(memcmp(out + 3, text + 3, 49), 0);
		}
		free(text);
	}
}

static json_t *read_spans(const char *path)
{
	FILE *file = fopen(path, "r");
	json_t *all = json_array();
	json_t *line;

	while ((line = json_loadf(file, JSON_DISABLE_EOF_CHECK, NULL))) {
		json_t *group = json_array_get(
			json_object_get(line, "resourceSpans"), 0);
		json_t *scope =
			json_array_get(json_object_get(group, "scopeSpans"), 0);

		json_array_extend(all, json_object_get(scope, "spans"));
		json_decref(line);
	}
	fclose(file);
	return all;
}

static void start_exporter(char *path, unsigned queue)
{
	trace_options_t options = {path, "entryd", "host-1", queue, 100};
	int fd = mkstemp(path);

	CU_ASSERT_FATAL(fd >= 0);
	close(fd);
	CU_ASSERT_EQUAL_FATAL(trace_start(&options, NULL), ERR_OK);
	CU_ASSERT_EQUAL(trace_start(&options, NULL), ERR_BAD_STATE);
}

/* Guards against spans that an OTLP collector can't parse or can't link to
 * their parents. */
static void test_export_keeps_parents_and_times(void)
{
	char path[] = "/tmp/trace-test-XXXXXX";
	trace_span_t *span;
	trace_span_t *child;
	json_t *spans;
	json_t *first;
	json_t *second;
	const char *value;

	start_exporter(path, 0);
	span = trace_begin("serve", TRACE_KIND_SERVER, STR_LIT(PARENT));
	child = trace_begin_child("send", TRACE_KIND_CLIENT, span);
	trace_set(child, "endpoint", STR_LIT("bad\xff\"utf8"));
	trace_set_status(child, TRACE_STATUS_ERROR, STR_LIT("broken"));
	trace_end(child);
	trace_end(span);
	trace_end(trace_begin("new", TRACE_KIND_SERVER, STR_LIT("bad")));
	trace_end(trace_begin(
		"unsampled", TRACE_KIND_SERVER,
		STR_LIT("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331"
			"-00")));
	trace_stop();
	spans = read_spans(path);
	CU_ASSERT_EQUAL_FATAL(json_array_size(spans), 3);
	first = json_array_get(spans, 0);
	second = json_array_get(spans, 1);
	CU_ASSERT_STRING_EQUAL(
		json_string_value(json_object_get(first, "parentSpanId")),
		json_string_value(json_object_get(second, "spanId")));
	CU_ASSERT_STRING_EQUAL(
		json_string_value(json_object_get(first, "traceId")),
		"0af7651916cd43dd8448eb211c80319c");
	CU_ASSERT_STRING_EQUAL(
		json_string_value(json_object_get(second, "parentSpanId")),
		"b7ad6b7169203331");
	CU_ASSERT_PTR_NULL(
		json_object_get(json_array_get(spans, 2), "parentSpanId"));
	CU_ASSERT_EQUAL(json_unpack(first, "{s:[{s:{s:s}}]}", "attributes",
				    "value", "stringValue", &value),
			0);
	CU_ASSERT_STRING_EQUAL(value, "bad?\"utf8");
	CU_ASSERT(strtoll(json_string_value(
				  json_object_get(first, "endTimeUnixNano")),
			  NULL, 10) >=
		  strtoll(json_string_value(
				  json_object_get(first, "startTimeUnixNano")),
			  NULL, 10));
	json_decref(spans);
	unlink(path);
}

#define THREADS 4
#define SPANS_PER_THREAD 2000

static void *end_spans(void *arg)
{
	for (int i = 0; i < SPANS_PER_THREAD; i++)
		trace_end(trace_begin("s", TRACE_KIND_INTERNAL, STR_LIT("")));
	return arg;
}

/* Guards against spans that are exported twice, or lost without being counted,
 * under contention. */
static void test_full_queue_counts_drops(void)
{
	char path[] = "/tmp/trace-test-XXXXXX";
	uint64_t before = metrics_total(METRIC_SPANS_DROPPED);
	pthread_t threads[THREADS];
	json_t *spans;
	uint64_t dropped;

	start_exporter(path, 8);
	for (int i = 0; i < THREADS; i++)
		pthread_create(&threads[i], NULL, end_spans, NULL);
	for (int i = 0; i < THREADS; i++)
		pthread_join(threads[i], NULL);
	trace_stop();
	spans = read_spans(path);
	dropped = metrics_total(METRIC_SPANS_DROPPED) - before;
	CU_ASSERT(dropped > 0);
	CU_ASSERT_EQUAL(json_array_size(spans) + dropped,
			(uint64_t)THREADS * SPANS_PER_THREAD);
	json_decref(spans);
	unlink(path);
}

/* Guards against a signal that ends the process because it is delivered to the
 * export thread, which started before the program blocked the signal. */
static void test_signals_go_to_the_program(void)
{
	char path[] = "/tmp/trace-test-XXXXXX";
	struct timespec limit = {.tv_sec = 2};
	sigset_t set;

	start_exporter(path, 0);
	sigemptyset(&set);
	sigaddset(&set, SIGUSR1);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	CU_ASSERT_EQUAL(kill(getpid(), SIGUSR1), 0);
	CU_ASSERT_EQUAL(sigtimedwait(&set, NULL, &limit), SIGUSR1);
	trace_stop();
	unlink(path);
}

int main(void)
{
	CU_TestInfo tests[] = {
		{"traceparent is strict", test_parse_is_strict},
		{"traceparent mutations", test_parse_survives_mutations},
		{"export", test_export_keeps_parents_and_times},
		{"full queue", test_full_queue_counts_drops},
		{"signals", test_signals_go_to_the_program},
		CU_TEST_INFO_NULL};

	return unit_run("trace", tests);
}
