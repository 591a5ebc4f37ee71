#include "standin.h"

#include <stdio.h>
#include <stdlib.h>

/* Size of the hash table, which is filled to one half at most. */
#define MAX_KEYS 16384
#define MAX_VALUE (1 << 20)
#define MAX_TOTAL (64L << 20)
/* Old versions kept per key, for the stale and lag switches. */
#define HISTORY 8

typedef struct version {
	long number;
	int64_t put_us;
	char *bytes;
	size_t len;
} version_t;

typedef struct value {
	char key[128];
	version_t versions[HISTORY]; /* newest first */
} value_t;

/* clang-format off */
#define SWITCHES(X) \
	X(outage, 0, "1: answer 503, 2: reset connections") \
	X(stale, -1, "freeze the state as of N versions back; -1 ends it") \
	X(lag_ms, 0, "show a value N ms after it was put")
#define COUNTERS(X) \
	X(reads) X(watches) X(waiting) X(bytes) X(version) X(keys) \
	X(stored_bytes)
/* clang-format on */
STANDIN_DEFINE_TABLES(SWITCHES, COUNTERS);

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static value_t values[MAX_KEYS];
static long frozen_at = -1;

/* The entry of the key, or the free entry where it belongs. */
static value_t *find_value(const char *key)
{
	size_t at = standin_hash(STANDIN_HASH_START, str_from(key)) % MAX_KEYS;

	while (values[at].key[0] && strcmp(values[at].key, key) != 0)
		at = (at + 1) % MAX_KEYS;
	return &values[at];
}

static const version_t *find_visible(const char *key)
{
	const value_t *value = find_value(key);
	int64_t latest_us = standin_now_us() - set.lag_ms.value * 1000;

	for (int i = 0; i < HISTORY; i++) {
		const version_t *v = &value->versions[i];

		if (v->number && v->put_us <= latest_us &&
		    (frozen_at < 0 || v->number <= frozen_at))
			return v;
	}
	return NULL;
}

/* Copies the visible version above `after`; 0 when there is none. */
static long read_version(const char *key, long after, buf_t *out)
{
	const version_t *v;
	long number = 0;

	pthread_mutex_lock(&lock);
	v = find_visible(key);
	if (v && v->number > after) {
		number = v->number;
		buf_append(out, v->bytes, v->len);
	}
	pthread_mutex_unlock(&lock);
	return number;
}

static bool answer_outage(struct mg_connection *conn)
{
	long outage = atomic_load(&set.outage.value);

	if (standin_take_failure())
		standin_error(conn, 500, "", "failed");
	else if (outage == 1)
		standin_error(conn, 503, "", "outage");
	else if (outage)
		standin_reset(conn);
	else
		return false;
	return true;
}

static void handle_read(struct mg_connection *conn, const char *path)
{
	static const char prefix[] = "/v1/values/";
	long after = standin_query(conn, "after", -1);
	int64_t end =
		standin_now_us() + standin_query(conn, "wait_ms", 0) * 1000;
	int fd = standin_socket(conn);
	buf_t out = BUF_INIT;
	char header[48];
	long number;

	if (strncmp(path, prefix, sizeof(prefix) - 1) != 0 ||
	    strcmp(mg_get_request_info(conn)->request_method, "GET") != 0) {
		standin_error(conn, 404, "", "unknown");
		return;
	}
	path += sizeof(prefix) - 1;
	standin_log(path, mg_get_request_info(conn)->local_uri,
		    after < 0 ? "read" : "watch");
	standin_count_run(path);
	if (after < 0)
		n.reads++;
	else
		n.watches++;
	n.waiting += after >= 0;
	while (!answer_outage(conn)) {
		number = read_version(path, after, &out);
		if (number) {
			snprintf(header, sizeof(header), "X-Version: %ld\r\n",
				 number);
			n.bytes += (long)out.len;
			standin_answer(conn, 200, header, buf_view(&out));
			break;
		}
		if (after < 0) {
			standin_error(conn, 404, "", "unknown");
			break;
		}
		if (standin_now_us() >= end) {
			mg_printf(conn, "HTTP/1.1 304 Not Modified\r\n\r\n");
			break;
		}
		if (standin_stopping() || standin_peer_closed(fd)) {
			mg_disable_connection_keep_alive(conn);
			break;
		}
		/* Bounded, because the lag and a closed peer give no signal. */
		pthread_mutex_lock(&lock);
		standin_wait(&changed, &lock, set.lag_ms.value ? 2000 : 50000);
		pthread_mutex_unlock(&lock);
	}
	n.waiting -= after >= 0;
	buf_release(&out);
}

/* Returns the new version number, or 0 when the value does not fit. */
static long put_value(const char *key, str_t bytes)
{
	value_t *value = find_value(key);
	version_t *last;

	if (!value->key[0] && n.keys == MAX_KEYS / 2)
		return 0;
	last = &value->versions[HISTORY - 1];
	if (n.stored_bytes + (long)bytes.len - (long)last->len > MAX_TOTAL)
		return 0;
	if (!value->key[0])
		n.keys++;
	str_copy(value->key, sizeof(value->key), str_from(key));
	n.stored_bytes += (long)bytes.len - (long)last->len;
	free(last->bytes);
	memmove(&value->versions[1], &value->versions[0],
		(HISTORY - 1) * sizeof(version_t));
	value->versions[0] = (version_t){++n.version, standin_now_us(),
					 str_dup(bytes), bytes.len};
	return n.version;
}

static bool handle_put(struct mg_connection *conn, const char *path)
{
	const char *query = mg_get_request_info(conn)->query_string;
	buf_t body = BUF_INIT, out = BUF_INIT;
	char key[128];
	long number = 0;

	if (strcmp(path, "/control/put") != 0)
		return false;
	if (!query ||
	    mg_get_var(query, strlen(query), "key", key, sizeof(key)) <= 0) {
		standin_error(conn, 400, "", "key");
		return true;
	}
	if (standin_read_body(conn, &body) && body.len <= MAX_VALUE) {
		pthread_mutex_lock(&lock);
		number = put_value(key, buf_view(&body));
		pthread_cond_broadcast(&changed);
		pthread_mutex_unlock(&lock);
	}
	buf_printf(&out, "{\"version\":%ld}\n", number);
	standin_answer(conn, number ? 200 : 413, "", buf_view(&out));
	buf_release(&body);
	buf_release(&out);
	return true;
}

static void apply_switch(const standin_switch_t *switched)
{
	long back = set.stale.value, at = n.version - back;

	pthread_mutex_lock(&lock);
	if (switched == &set.stale)
		frozen_at = back < 0 ? -1 : at > 0 ? at : 0;
	pthread_cond_broadcast(&changed);
	pthread_mutex_unlock(&lock);
}

static const standin_program_t platform = {
	.doc = "Stand-in of the platform's configuration service.",
	STANDIN_TABLES,
	.handle = handle_read,
	.control = handle_put,
	.on_set = apply_switch,
};

int main(int argc, char **argv)
{
	return standin_main(&platform, argc, argv);
}
