/*
 * Measures one routing decision at the design size without I/O: customer
 * look-up, queue push and pop, window, placement.
 *
 * Usage: bench_decision [CUSTOMERS...]
 */
#include "base/mclock.h"
#include "coordination/placement.h"
#include "coordination/queue.h"
#include "coordination/window.h"
#include "state/node.h"
#include "state/sheetcheck.h"

#include <stdio.h>
#include <stdlib.h>

/* 760 model servers over 8 failure domains. */
#define ENDPOINTS 95
#define TIERS 5
#define ROUNDS 200000
#define QUEUED 500
#define MAX_CUSTOMERS 200000U
#define WINDOW 1000000U

typedef struct bench {
	sheet_t *sheet;
	queue_t *queue;
	window_t windows[ENDPOINTS];
	char names[ENDPOINTS][32];
	queue_entry_t entries[QUEUED + 1];
	size_t found;
	size_t placed;
} bench_t;

static sheet_t *make_sheet(unsigned customers)
{
	buf_t text = BUF_INIT, report = BUF_INIT;
	sheet_t *sheet;

	buf_printf(&text, "version = 1\n[[domain]]\nname = \"d\"\n"
			  "region = \"r\"\n[[model]]\nname = \"m\"\n");
	for (unsigned i = 0; i < TIERS; i++)
		buf_printf(&text,
			   "[[class]]\nname = \"c%u\"\ntier = %u\n"
			   "first_token_ms = 1700\ntimeout_ms = 120000\n"
			   "floor_percent = 5\nmax_queue = 5000\n",
			   i, i);
	for (unsigned i = 0; i < customers; i++) {
		char name[32];
		node_digest_t digest;

		snprintf(name, sizeof(name), "customer-%06u", i);
		digest = node_digest_bytes(str_from(name));
		buf_printf(&text,
			   "[[customer]]\nname = \"%s\"\nkey_sha256 = \"",
			   name);
		for (size_t j = 0; j < SHEET_DIGEST_BYTES; j++)
			buf_printf(&text, "%02x", digest.bytes[j]);
		buf_printf(&text, "\"\nclasses = [\"c0\"]\n");
	}
	sheet = sheetcheck_parse(buf_view(&text), "bench", &report);
	if (!sheet) {
		fprintf(stderr, "%" STR_FMT, STR_ARG(buf_view(&report)));
		exit(1);
	}
	buf_release(&text);
	buf_release(&report);
	return sheet;
}

static unsigned next_random(unsigned *state)
{
	*state = *state * 1664525 + 1013904223;
	return *state >> 8;
}

static int pick(bench_t *b, int64_t now, uint64_t affinity)
{
	placement_endpoint_t candidates[ENDPOINTS];

	for (size_t i = 0; i < ENDPOINTS; i++)
		candidates[i] = (placement_endpoint_t){
			.name = str_from(b->names[i]),
			.in_flight = b->windows[i].in_flight,
			.limit = window_limit(&b->windows[i], now, 1),
			.median_first_token_ms = 100};
	return placement_pick_endpoint(candidates, ENDPOINTS, affinity);
}

/* Looks up, queues one entry, takes the next one and places it. */
static queue_entry_t *decide(bench_t *b, queue_entry_t *entry, unsigned *random,
			     int64_t now)
{
	size_t at = next_random(random) % b->sheet->customer_count;
	const sheet_customer_t *customer = sheet_find_customer(
		b->sheet, b->sheet->customers[at].key_digest);
	queue_entry_t *displaced, *next;
	int endpoint;

	if (!customer)
		exit(1);
	b->found++;
	*entry = (queue_entry_t){.class_index = next_random(random) % TIERS,
				 .customer = customer->name,
				 .customer_weight = 1,
				 .enqueued_ms = now,
				 .target_ms = now + 1700,
				 .deadline_ms = now + 120000,
				 .cost_tokens = 200};
	if (queue_push(b->queue, entry, now, 0, &displaced) != QUEUE_ACCEPTED)
		exit(1);
	if (queue_length(b->queue) <= QUEUED)
		return NULL;
	next = queue_pop(b->queue, now);
	endpoint = pick(b, now, next_random(random));
	if (!next || endpoint < 0)
		exit(1);
	window_on_send(&b->windows[endpoint]);
	if (b->placed++ % 2)
		window_on_end(&b->windows[endpoint]);
	return next;
}

static void set_up(bench_t *b, unsigned customers, int64_t now)
{
	window_report_t warm = {.boot = 1, .state = WINDOW_REPORT_WARM};

	b->sheet = make_sheet(customers);
	b->queue = queue_create(b->sheet);
	for (size_t i = 0; i < ENDPOINTS; i++) {
		snprintf(b->names[i], sizeof(b->names[i]), "endpoint-%zu", i);
		window_init(&b->windows[i], WINDOW);
		window_on_report(&b->windows[i], now, &warm);
		b->windows[i].limit = WINDOW;
	}
}

static void measure(unsigned customers)
{
	static bench_t bench;
	queue_entry_t *entry;
	unsigned random = 1;
	int64_t now = 1000, start_us;

	bench = (bench_t){0};
	set_up(&bench, customers, now);
	for (size_t i = 0; i < QUEUED; i++)
		decide(&bench, &bench.entries[i], &random, now);
	entry = &bench.entries[QUEUED];
	start_us = mclock_now_us(mclock_system());
	for (unsigned i = 0; i < ROUNDS; i++)
		entry = decide(&bench, entry, &random, now);
	printf("decision: %u customers, %d endpoints, %d tiers, %d queued: "
	       "%.3f us\n",
	       customers, ENDPOINTS, TIERS, QUEUED,
	       (double)(mclock_now_us(mclock_system()) - start_us) / ROUNDS);
	queue_free(bench.queue);
	sheet_free(bench.sheet);
}

int main(int argc, char **argv)
{
	static const unsigned points[] = {10, 1000, 10000, 45000};

	for (int i = 1; i < argc; i++) {
		unsigned long customers = strtoul(argv[i], NULL, 10);

		if (!customers || customers > MAX_CUSTOMERS)
			return 2;
		measure((unsigned)customers);
	}
	for (size_t i = 0; argc == 1 && i < 4; i++)
		measure(points[i]);
	return 0;
}
