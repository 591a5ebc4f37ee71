#ifndef STANDIN_H
#define STANDIN_H

#include <civetweb.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/buf.h"

/*
 * standin - common part of the stand-ins, which replace engines, services and
 * networks in tests
 *
 * A stand-in has a published address (--listen) and a control address
 * (--control). It prints "ready ADDRESS CONTROL" once both accept connections
 * and exits 0 on SIGTERM. Every switch is both an option (cold_ms is
 * --cold-ms=N) and a key of POST /control/set.
 */

#define STANDIN_KEY_MAX 96
#define STANDIN_BODY_MAX (4 << 20)

typedef struct standin_switch {
	const char *name;
	const char *doc;
	_Atomic long value;
} standin_switch_t;

typedef _Atomic long standin_counter_t;

/*
 * Defines the structs `switches` and `counters` from two X-macro lists,
 * X(name, value, doc) and X(name).
 */
#define STANDIN_SWITCH_MEMBER(name, value, doc) standin_switch_t name;
#define STANDIN_SWITCH_INIT(name, value, doc) {#name, doc, value},
#define STANDIN_COUNTER_MEMBER(name) standin_counter_t name;
#define STANDIN_COUNTER_NAME(name) #name,
#define STANDIN_DEFINE_TABLES(switch_list, counter_list) \
	static struct {                                  \
		switch_list(STANDIN_SWITCH_MEMBER)       \
	} switches = {switch_list(STANDIN_SWITCH_INIT)}; \
	static struct {                                  \
		counter_list(STANDIN_COUNTER_MEMBER)     \
	} counters;                                      \
	static const char *const counter_names[] = {     \
		counter_list(STANDIN_COUNTER_NAME) NULL}
#define STANDIN_TABLES                                               \
	.switches = (standin_switch_t *)&switches,                   \
	.switch_count = sizeof(switches) / sizeof(standin_switch_t), \
	.counters = (standin_counter_t *)&counters,                  \
	.counter_names = counter_names

typedef struct standin_program {
	const char *doc;
	standin_switch_t *switches;
	size_t switch_count;
	const standin_counter_t *counters;
	const char *const *counter_names;
	/* Handles a request on the published address; NULL if not HTTP. */
	void (*handle)(struct mg_connection *conn, const char *path);
	/* Handles a control path of this stand-in; false when unknown. */
	bool (*control)(struct mg_connection *conn, const char *path);
	/* Called after a switch was set through the control address. */
	void (*on_set)(const standin_switch_t *changed);
	/* Appends further "\"name\":value," members to the statistics. */
	void (*stats)(buf_t *out);
	/* Called after the options were read; false ends the process. */
	bool (*start)(void);
	/* Called on SIGTERM; must wake every waiting handler. */
	void (*stop)(void);
} standin_program_t;

/* Raises a peak to the value if it is higher. */
void standin_raise_peak(standin_counter_t *peak, long value);

/* Decrements fail_next; false when it is 0. */
bool standin_consume_fail_next(void);

/* Addresses of --listen (the relay stores its bound port here) and --to, and
 * the text of --mark: an engine's own name, or the text for which the relay
 * marks a connection. */
#define STANDIN_ADDRESS_MAX 32
extern char standin_address[STANDIN_ADDRESS_MAX];
extern char standin_forward_address[STANDIN_ADDRESS_MAX];
extern char standin_mark[STANDIN_ADDRESS_MAX]; /* empty: none */

/* Connections served at once, and the number of other descriptors: listeners,
 * queue, library. */
extern int standin_threads;
#define STANDIN_OTHER_FDS 256

/* Runs the stand-in; the result is main()'s. */
int standin_main(const standin_program_t *program, int argc, char **argv);

bool standin_stopping(void);
int64_t standin_now_us(void);

/* Waits for the condition, at most for the given time. */
void standin_wait(pthread_cond_t *cond, pthread_mutex_t *mutex, int64_t us);

/* Parses a decimal number; false when it is malformed or out of range. */
bool standin_parse_long(const char *text, long *value);

/* Parses IP:PORT; false when it is malformed. */
bool standin_parse_address(const char *text, struct sockaddr_in *sa);
void standin_format_address(char *text, const struct sockaddr_in *sa);

/* Decrements a switch that counts faults to inject; false when it is 0. */
bool standin_consume_fault(standin_switch_t *remaining);

/* Gets an integer of the query string; `fallback` when missing or invalid. */
long standin_get_query_long(const struct mg_connection *conn, const char *name,
			    long fallback);

/* Appends the body; false when it exceeds STANDIN_BODY_MAX or is truncated. */
bool standin_read_body(struct mg_connection *conn, buf_t *body);

/* Sends a complete response; `headers` holds complete lines or is empty. */
void standin_send_response(struct mg_connection *conn, int status,
			   const char *headers, str_t body);

/* Sends {"error":{"type":TYPE}}. */
void standin_send_error(struct mg_connection *conn, int status,
			const char *headers, const char *type);

/* The connection's socket, which CivetWeb does not expose; -1 if closed. */
int standin_get_socket(const struct mg_connection *conn);
bool standin_peer_closed(int fd);

void standin_reset_socket(int fd);

/* Resets one connection, or all connections of the published address. */
void standin_reset(struct mg_connection *conn);
void standin_reset_all(void);

/* Records a received request; `note` is a literal or empty. */
void standin_log_request(const char *key, const char *path, const char *note);

/* Appends the recorded runs and requests as members of a JSON object. */
void standin_append_records(buf_t *out);

/* Counts a run under the key and returns the key's count; 0 when the table is
 * full. */
long standin_count_run(const char *key);

/* FNV-1a, 64 bits, which the test scripts recompute. */
#define STANDIN_HASH_START 14695981039346656037ULL
uint64_t standin_hash(uint64_t state, str_t bytes);

#endif
