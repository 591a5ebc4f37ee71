#ifndef LOAD_LOAD_H
#define LOAD_LOAD_H

#include "base/buf.h"
#include "base/err.h"
#include "transport/address.h"

#include <stdint.h>

/*
 * load - open-loop load generator
 *
 * The schedule of all requests is generated from the scenario and its seed
 * before the first request is sent. Latency is measured from the scheduled
 * time, so that a slow server neither delays later arrivals nor hides its own
 * delay. Times are in microseconds from the start of the run.
 */
#define LOAD_MAX_CLASSES 16
#define LOAD_MAX_CUSTOMERS 64
#define LOAD_MAX_RATE_POINTS 32
#define LOAD_MAX_ADDRESSES 64
#define LOAD_NAME_BYTES 64
#define LOAD_PATH_BYTES 256
#define LOAD_MAX_REQUESTS 1000000
#define LOAD_MAX_IN_FLIGHT 10000
#define LOAD_MAX_DURATION_S 3600

/* Arrival rate at one time; linearly interpolated between two points. */
typedef struct load_rate_point {
	double at_us;
	double per_s;
} load_rate_point_t;

typedef struct load_customer {
	char name[LOAD_NAME_BYTES];
	char key[LOAD_NAME_BYTES];
} load_customer_t;

typedef struct load_class {
	char name[LOAD_NAME_BYTES];
	/* Requests are chat completions unless `service` or `path` is set. */
	char service[LOAD_NAME_BYTES]; /* service to call */
	char call[LOAD_NAME_BYTES];
	bool at_most_once; /* calls carry an idempotency key and must run once
			    */
	char path[LOAD_PATH_BYTES]; /* of requests to the users' platform */
	char host[LOAD_NAME_BYTES]; /* Host header sent with `path` */
	unsigned prompt_tokens;	    /* announced with `path`; 0: none */
	load_rate_point_t rate[LOAD_MAX_RATE_POINTS];
	size_t rate_count;
	unsigned customers[LOAD_MAX_CUSTOMERS]; /* indexes, chosen uniformly */
	size_t customer_count;
	double median_tokens;
	double sigma; /* standard deviation of the log of the token count */
	unsigned max_tokens;
	unsigned prefixes;	/* number of shared prompt prefixes; 0: none */
	int64_t first_token_us; /* target */
	int64_t between_tokens_us; /* target for the mean; 0: none */
	int64_t deadline_us;
} load_class_t;

typedef struct load_scenario {
	uint64_t seed;
	int64_t duration_us;
	int64_t drain_us; /* wait for responses after the last arrival */
	unsigned max_requests;
	unsigned max_in_flight;
	char model[LOAD_NAME_BYTES];
	char entries[LOAD_MAX_ADDRESSES][ADDRESS_BYTES]; /* of hosts */
	size_t entry_count;
	char engines[LOAD_MAX_ADDRESSES][ADDRESS_BYTES]; /* control addresses */
	size_t engine_count;
	load_customer_t customers[LOAD_MAX_CUSTOMERS];
	size_t customer_count;
	load_class_t classes[LOAD_MAX_CLASSES];
	size_t class_count;
} load_scenario_t;

typedef enum load_outcome {
	LOAD_UNSENT, /* max_in_flight was reached, or the run ended */
	LOAD_COMPLETED,
	LOAD_NOT_RUN, /* was not executed and will not be */
	LOAD_FAILED,  /* final error */
	LOAD_UNKNOWN, /* may have been executed */
	LOAD_WRONG,   /* unexpected content or protocol violation */
	LOAD_OUTCOME_COUNT
} load_outcome_t;

typedef struct load_request {
	int64_t at_us;
	unsigned class_index;
	unsigned customer;
	unsigned entry;
	unsigned prefix;
	unsigned serial; /* index in the schedule, part of the request id */
	unsigned output_tokens; /* requested; 0: not a token stream */
	/* results */
	load_outcome_t outcome;
	unsigned received_tokens; /* with the expected content */
	int64_t send_delay_us;	  /* after at_us, caused by this tool */
	int64_t first_token_us;	  /* since at_us; -1: none */
	int64_t last_token_us;
	int64_t end_us;
} load_request_t;

/* Times between consecutive tokens of the responses of one class. */
typedef struct load_intervals {
	double *values_us;
	size_t count;
	size_t cap;
} load_intervals_t;

typedef struct load_run {
	load_scenario_t scenario;
	double scale; /* factor on all rates */
	load_request_t *requests;
	size_t request_count;
	load_intervals_t token_intervals[LOAD_MAX_CLASSES];
	bool has_engine_tokens; /* all engines reported their counters */
	int64_t engine_tokens;	/* generated during the run */
	/* Tokens received within duration_us; under overload this measures the
	 * capacity. */
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
 * Parses IP:PORT. Only loopback addresses are accepted, so that load cannot
 * reach another machine.
 *
 * ERRORS: ERR_INVALID.
 */
err_code_t load_parse_address(const char *text, char out[ADDRESS_BYTES]);

/* Generates the schedule, sorted by time. ERRORS: ERR_FULL, ERR_TOO_LARGE. */
err_code_t load_plan(load_run_t *run, err_t *err);

/* Sends the requests and fills in their results. ERRORS: ERR_IO. */
err_code_t load_send(load_run_t *run, err_t *err);

/* Appends the prompt of a request; it needs no escaping in JSON. */
void load_append_prompt(buf_t *out, const load_run_t *run,
			const load_request_t *request);

/* Returns the hash from which the stand-in engine derives the tokens of its
 * response to this prompt. */
uint64_t load_hash_prompt(str_t prompt);
/* Appends the text of token `k` of the response, counted from 0. */
void load_append_token(buf_t *out, uint64_t hash, unsigned k);

void load_print_table(buf_t *out, const load_run_t *run);
void load_print_json(buf_t *out, const load_run_t *run);
void load_print_html(buf_t *out, const load_run_t *run);

#endif
