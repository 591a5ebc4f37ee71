#ifndef LOAD_LOAD_H
#define LOAD_LOAD_H

#include "base/buf.h"
#include "base/err.h"
#include "transport/address.h"

#include <stdint.h>

/*
 * load - open-loop load on a callers' interface
 *
 * A scenario is turned into a schedule of requests by fixed seeds before the
 * first one is sent. Latency counts from the scheduled time, so that a slow
 * server does not slow the arrivals down and hide its own delay. Times are in
 * microseconds from the start of the run.
 */
#define LOAD_MAX_CLASSES 16
#define LOAD_MAX_CUSTOMERS 64
#define LOAD_MAX_POINTS 32
#define LOAD_MAX_ADDRESSES 64
#define LOAD_NAME_BYTES 64
#define LOAD_PATH_BYTES 256
#define LOAD_MAX_REQUESTS 1000000
#define LOAD_MAX_IN_FLIGHT 10000
#define LOAD_MAX_DURATION_S 3600

/* The rate at a moment; it is interpolated linearly between two points. */
typedef struct load_point {
	double at_us;
	double per_s;
} load_point_t;

typedef struct load_customer {
	char name[LOAD_NAME_BYTES];
	char key[LOAD_NAME_BYTES];
} load_customer_t;

typedef struct load_class {
	char name[LOAD_NAME_BYTES];
	/* A chat completion, unless one of these is set. */
	char service[LOAD_NAME_BYTES]; /* a call of a service */
	char call[LOAD_NAME_BYTES];
	bool once;		    /* the call must run at most once */
	char path[LOAD_PATH_BYTES]; /* a request of the users' platform */
	char host[LOAD_NAME_BYTES]; /* for its Host header */
	unsigned prompt_tokens;	    /* that it announces; 0: none */
	load_point_t rate[LOAD_MAX_POINTS];
	size_t rate_count;
	unsigned customers[LOAD_MAX_CUSTOMERS]; /* drawn evenly */
	size_t customer_count;
	double median_tokens;
	double sigma; /* standard deviation of the logarithm of the length */
	unsigned max_tokens;
	unsigned prefixes; /* shared prompt prefixes, 0: none */
	int64_t first_token_us;
	int64_t between_us; /* 0: no target */
	int64_t deadline_us;
} load_class_t;

typedef struct load_scenario {
	uint64_t seed;
	int64_t duration_us;
	int64_t drain_us; /* wait for answers after the last arrival */
	unsigned max_requests;
	unsigned max_in_flight;
	char model[LOAD_NAME_BYTES];
	char entries[LOAD_MAX_ADDRESSES][ADDRESS_BYTES];
	size_t entry_count;
	char engines[LOAD_MAX_ADDRESSES][ADDRESS_BYTES]; /* control addresses */
	size_t engine_count;
	load_customer_t customers[LOAD_MAX_CUSTOMERS];
	size_t customer_count;
	load_class_t classes[LOAD_MAX_CLASSES];
	size_t class_count;
} load_scenario_t;

typedef enum load_outcome {
	LOAD_UNSENT, /* more than max_in_flight, or the run ended before */
	LOAD_COMPLETED,
	LOAD_NOT_RUN,
	LOAD_FAILED,
	LOAD_UNKNOWN,
	LOAD_WRONG, /* said to be complete, but not the expected answer */
	LOAD_OUTCOMES
} load_outcome_t;

typedef struct load_request {
	int64_t at_us;
	unsigned class_index;
	unsigned customer;
	unsigned entry;
	unsigned prefix;
	unsigned serial;
	unsigned wanted; /* tokens */
	/* results */
	load_outcome_t outcome;
	unsigned tokens;	/* received and as expected */
	int64_t late_us;	/* of the send, caused by this tool */
	int64_t first_token_us; /* from at_us; -1: none */
	int64_t last_token_us;
	int64_t end_us;
} load_request_t;

/* Times between tokens of one class. */
typedef struct load_gaps {
	double *us;
	size_t count;
	size_t cap;
} load_gaps_t;

typedef struct load_run {
	load_scenario_t scenario;
	double scale; /* factor on all rates */
	load_request_t *requests;
	size_t request_count;
	load_gaps_t gaps[LOAD_MAX_CLASSES];
	bool engines_read;
	int64_t engine_tokens; /* generated during the run */
	/* Received before the last arrival: under overload, the capacity. */
	uint64_t tokens_in_duration;
} load_run_t;

/*
 * Reads a scenario file; appends a line for each fault to the report.
 *
 * ERRORS: ERR_IO, ERR_INVALID.
 */
err_code_t load_read_scenario(const char *path, load_scenario_t *scenario,
			      buf_t *report);

/*
 * Parses IP:PORT of a loopback address. Load must not reach another machine.
 *
 * ERRORS: ERR_INVALID.
 */
err_code_t load_check_address(const char *text, char out[ADDRESS_BYTES]);

/* Draws the requests in order of time. ERRORS: ERR_TOO_LARGE. */
err_code_t load_plan(load_run_t *run, err_t *err);

/* Sends the requests and fills in their results. ERRORS: ERR_IO. */
err_code_t load_send(load_run_t *run, err_t *err);

/* Appends the prompt of a request, as in a JSON string. */
void load_append_prompt(buf_t *out, const load_run_t *run,
			const load_request_t *request);

/* Hash of the prompt, from which the stand-in engine draws its tokens. */
uint64_t load_hash_prompt(str_t prompt);
/* Appends the text of token `k`. */
void load_append_token(buf_t *out, uint64_t hash, unsigned k);

void load_print_table(buf_t *out, const load_run_t *run);
void load_print_json(buf_t *out, const load_run_t *run);
void load_print_html(buf_t *out, const load_run_t *run);

#endif
