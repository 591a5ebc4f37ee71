#include "standin.h"

#include <jansson.h>
#include <stdio.h>
#include <time.h>

#define MAX_STREAMS 1024
#define MAX_TOKENS 100000
#define MAX_CACHE 1024
#define PREFIX_BYTES 256
#define SAMPLES 256
#define TICK_US 5000
#define EVENTS_PER_WRITE 256

typedef enum stream_state {
	FREE,
	WAITING,
	RUNNING,
	DONE,
	TIMED_OUT,
	CANCELLED,
	BROKEN
} stream_state_t;

typedef struct chat {
	char id[STANDIN_KEY_MAX];
	uint64_t hash, prefix;
	long priority, wanted, timeout_ms;
	bool stream;
} chat_t;

/*
 * Tokens follow from the prompt's hash, so a stream holds only how many there
 * are. The engine thread advances them whether or not anybody is reading.
 */
typedef struct stream {
	chat_t chat;
	stream_state_t state;
	uint64_t order;
	long tokens;
	int readers;
	int64_t next_us, deadline_us, unread_us, ended_us;
	pthread_cond_t changed;
} stream_t;

typedef struct sample {
	int64_t us;
	const char *state;
	long running, waiting;
} sample_t;

/* clang-format off */
#define SWITCHES(X) \
	X(max_running, 16, "requests running at once") \
	X(max_waiting, 32, "requests waiting at most") \
	X(prefill_ms, 20, "time to the first token") \
	X(cached_percent, 20, "prefill of a cached prefix") \
	X(cache_entries, 64, "prefixes cached") \
	X(token_us, 2000, "time between tokens of one request") \
	X(growth_us, 100, "more per additional running request") \
	X(slow_percent, 100, "factor on all times") \
	X(cold_ms, 0, "length of the cold start") \
	X(cold_limit, 1, "requests allowed while cold") \
	X(cold_factor, 10, "slowdown while cold") \
	X(cold, 0, "control: turn cold for N ms; 0: warm") \
	X(cold_notice_ms, 0, "cold limit not checked for N ms after cold=") \
	X(leaving, 0, "1: refuse new requests") \
	X(grace_ms, 5000, "unread streams are cancelled after N ms") \
	X(keep_ms, 30000, "ended streams are kept for N ms") \
	X(load_lag_ms, 0, "age of load reports") \
	X(check_fence, 0, "1: refuse older orders") \
	X(refuse_next, 0, "refuse the next N requests") \
	X(break_after, 0, "reset the next stream after N tokens") \
	X(restart, 0, "control: crash and start with a new boot id")
#define COUNTERS(X) \
	X(running) X(waiting) X(peak_running) X(peak_cold) \
	X(cold_violations) X(cold_unnoticed) X(refused) X(cancelled) \
	X(timed_out) X(completed) X(failed) X(tokens) X(wasted_tokens) \
	X(resumed) X(cache_hits) X(cache_misses) X(orders) \
	X(orders_refused) X(older_orders_applied) X(max_fence)
/* clang-format on */
STANDIN_DEFINE_TABLES(SWITCHES, COUNTERS);

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t wake = PTHREAD_COND_INITIALIZER;
static pthread_t engine_thread;
static stream_t streams[MAX_STREAMS];
static uint64_t cache[MAX_CACHE]; /* most recent first */
static sample_t samples[SAMPLES];
static size_t sample_count;
static uint64_t boot, next_order;
static int64_t cold_until_us, cold_noticed_us;
static char last_order[64], last_model[64];

static bool is_cold(void)
{
	return standin_now_us() < cold_until_us;
}

static const char *state_name(void)
{
	return set.leaving.value ? "leaving" : is_cold() ? "cold" : "warm";
}

/* Token k is "w" and six hex digits of hash(prompt, k in decimal). */
static void append_token(buf_t *out, uint64_t hash, long k)
{
	char digits[24];

	snprintf(digits, sizeof(digits), "%ld", k);
	hash = standin_hash(hash, str_from(digits));
	buf_printf(out, "%sw%06x", k ? " " : "", (unsigned)(hash & 0xffffff));
}

static bool has_ended(const stream_t *s)
{
	return s->state >= DONE;
}

static void end_stream(stream_t *s, stream_state_t state,
		       standin_counter_t *counter)
{
	if (s->state == RUNNING)
		n.running--;
	else
		n.waiting--;
	if (state != DONE)
		n.wasted_tokens += s->tokens;
	s->state = state;
	s->ended_us = standin_now_us();
	(*counter)++;
	pthread_cond_broadcast(&s->changed);
}

/* Moves the prefix to the front; true when it was cached. */
static bool touch_cache(uint64_t prefix)
{
	size_t limit = (size_t)set.cache_entries.value, at = 0;
	bool hit;

	if (!limit || limit > MAX_CACHE)
		limit = limit ? MAX_CACHE : 1;
	while (at < limit - 1 && cache[at] != prefix)
		at++;
	hit = cache[at] == prefix;
	memmove(&cache[1], &cache[0], at * sizeof(cache[0]));
	cache[0] = prefix;
	return hit;
}

static int64_t slowed(int64_t us)
{
	us = us * set.slow_percent.value / 100;
	return is_cold() ? us * set.cold_factor.value : us;
}

static void start_waiting(int64_t now)
{
	while (n.waiting && n.running < set.max_running.value) {
		stream_t *best = NULL;
		int64_t prefill = set.prefill_ms.value * 1000;

		for (stream_t *s = streams; s < streams + MAX_STREAMS; s++)
			if (s->state == WAITING &&
			    (!best || s->chat.priority < best->chat.priority ||
			     (s->chat.priority == best->chat.priority &&
			      s->order < best->order)))
				best = s;
		if (!best)
			return;
		if (touch_cache(best->chat.prefix)) {
			n.cache_hits++;
			prefill = prefill * set.cached_percent.value / 100;
		} else {
			n.cache_misses++;
		}
		best->state = RUNNING;
		best->next_us = now + slowed(prefill);
		n.waiting--;
		standin_raise(&n.peak_running, ++n.running);
	}
}

static void advance(stream_t *s, int64_t now)
{
	int64_t gap =
		set.token_us.value + set.growth_us.value * (n.running - 1);

	gap = slowed(gap);
	if (now >= s->deadline_us) {
		end_stream(s, TIMED_OUT, &n.timed_out);
		return;
	}
	if (!s->readers && now >= s->unread_us + set.grace_ms.value * 1000) {
		end_stream(s, CANCELLED, &n.cancelled);
		return;
	}
	if (s->state != RUNNING || now < s->next_us)
		return;
	while (s->tokens < s->chat.wanted && now >= s->next_us) {
		s->tokens++;
		n.tokens++;
		s->next_us += gap > 0 ? gap : 1;
	}
	if (s->tokens == s->chat.wanted)
		end_stream(s, DONE, &n.completed);
	else
		pthread_cond_broadcast(&s->changed);
}

static void take_sample(int64_t now)
{
	const sample_t *last = &samples[(sample_count - 1) % SAMPLES];
	int64_t interval = set.load_lag_ms.value * 1000 / (SAMPLES / 2);

	if (!sample_count || now - last->us >= interval)
		samples[sample_count++ % SAMPLES] =
			(sample_t){now, state_name(), n.running, n.waiting};
}

static void *run_engine(void *arg)
{
	pthread_mutex_lock(&lock);
	while (!standin_stopping()) {
		int64_t now = standin_now_us(), next = now + TICK_US;

		start_waiting(now);
		for (stream_t *s = streams; s < streams + MAX_STREAMS; s++) {
			if (s->state != WAITING && s->state != RUNNING)
				continue;
			advance(s, now);
			if (s->state == RUNNING && s->next_us < next)
				next = s->next_us;
		}
		take_sample(now);
		if (next > now)
			standin_wait(&wake, &lock, next - now);
	}
	pthread_mutex_unlock(&lock);
	return arg;
}

/* Newest stream of the id, since a retried request may reuse its id. */
static stream_t *find_stream(const char *id)
{
	stream_t *found = NULL;

	for (stream_t *s = streams; s < streams + MAX_STREAMS; s++)
		if (s->state != FREE && s->state != BROKEN &&
		    !strcmp(s->chat.id, id) &&
		    (!found || s->order > found->order))
			found = s;
	return found;
}

/* A free slot, or that of the stream that ended first and is not read. */
static stream_t *take_slot(void)
{
	int64_t expired = standin_now_us() - set.keep_ms.value * 1000;
	stream_t *oldest = NULL;

	for (stream_t *s = streams; s < streams + MAX_STREAMS; s++) {
		if (s->state == FREE)
			return s;
		if (!has_ended(s) || s->readers)
			continue;
		if (s->ended_us < expired)
			return s;
		if (!oldest || s->ended_us < oldest->ended_us)
			oldest = s;
	}
	return oldest;
}

/* Called with the lock held; NULL means refused before running. */
static stream_t *admit(const chat_t *chat)
{
	long in_flight = n.running + n.waiting;
	bool full = in_flight >= set.max_running.value + set.max_waiting.value;
	int64_t now = standin_now_us();
	stream_t *s;

	if (standin_take(&set.refuse_next) || set.leaving.value || full ||
	    !(s = take_slot())) {
		n.refused++;
		return NULL;
	}
	s->chat = *chat;
	s->state = WAITING;
	s->order = ++next_order;
	s->tokens = 0;
	s->readers = 1;
	s->deadline_us = now + chat->timeout_ms * 1000;
	n.waiting++;
	in_flight++;
	if (is_cold() && now < cold_noticed_us) {
		n.cold_unnoticed++;
	} else if (is_cold()) {
		standin_raise(&n.peak_cold, in_flight);
		if (in_flight > set.cold_limit.value)
			n.cold_violations++;
	}
	pthread_cond_signal(&wake);
	return s;
}

static void release_stream(stream_t *s)
{
	s->readers--;
	s->unread_us = standin_now_us();
}

static void append_event(buf_t *out, const stream_t *s, long k)
{
	buf_printf(out, "id: %ld\ndata: {\"id\":", k);
	buf_append_json(out, str_from(s->chat.id));
	buf_printf(out, ",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"");
	append_token(out, s->chat.hash, k);
	buf_printf(out, "\"},\"finish_reason\":%s}]}\n\n",
		   k + 1 == s->chat.wanted ? "\"stop\"" : "null");
}

static const char *end_name(stream_state_t state)
{
	return state == TIMED_OUT ? "timeout" : "cancelled";
}

static void answer_ended(struct mg_connection *conn, stream_state_t state)
{
	if (state == BROKEN)
		standin_reset(conn);
	else
		standin_error(conn, state == TIMED_OUT ? 504 : 500, "",
			      end_name(state));
}

/* Appends what ends a stream's events; nothing when the engine crashed. */
static void append_end(buf_t *out, stream_state_t state, long k)
{
	if (state == DONE)
		buf_printf(out, "id: %ld\ndata: [DONE]\n\n", k);
	else if (state != BROKEN)
		buf_printf(out,
			   "event: error\ndata: {\"error\":{\"type\":\"%s\"}}"
			   "\n\n",
			   end_name(state));
}

/* Sends events from `sent` on; the headers go out with the first event. */
static void send_events(struct mg_connection *conn, stream_t *s, long sent,
			long break_after)
{
	static const char headers[] = "HTTP/1.1 200 OK\r\nConnection: close\r\n"
				      "Content-Type: text/event-stream\r\n\r\n";
	long stop_at = break_after > 0 ? break_after : MAX_TOKENS + 1;
	int fd = standin_socket(conn);
	bool started = false, open = true;
	buf_t out = BUF_INIT;

	mg_disable_connection_keep_alive(conn);
	while (open && sent < stop_at && !standin_stopping()) {
		stream_state_t state = s->state;
		long made = s->tokens < stop_at ? s->tokens : stop_at;

		if (sent >= made && state < DONE) {
			standin_wait(&s->changed, &lock, 50000);
			open = !standin_peer_closed(fd);
			continue;
		}
		pthread_mutex_unlock(&lock);
		open = sent < made;
		if (!started && !open && state > DONE) {
			answer_ended(conn, state);
		} else {
			if (!started)
				buf_append_str(&out, STR_LIT(headers));
			started = true;
			if (!open)
				append_end(&out, state, sent);
			for (int i = 0; i < EVENTS_PER_WRITE && sent < made;
			     i++)
				append_event(&out, s, sent++);
			if (out.len && mg_write(conn, out.ptr, out.len) <= 0)
				open = false;
			buf_reset(&out);
		}
		pthread_mutex_lock(&lock);
	}
	if (sent >= stop_at)
		standin_reset(conn);
	buf_release(&out);
}

static void send_whole(struct mg_connection *conn, stream_t *s)
{
	int fd = standin_socket(conn);
	stream_state_t state;
	buf_t out = BUF_INIT;

	while (!has_ended(s) && !standin_stopping()) {
		standin_wait(&s->changed, &lock, 50000);
		if (standin_peer_closed(fd))
			return;
	}
	state = s->state;
	pthread_mutex_unlock(&lock);
	if (state < DONE) {
		standin_reset(conn);
	} else if (state > DONE) {
		answer_ended(conn, state);
	} else {
		buf_printf(&out, "{\"id\":");
		buf_append_json(&out, str_from(s->chat.id));
		buf_printf(&out, ",\"choices\":[{\"index\":0,\"message\":"
				 "{\"role\":\"assistant\",\"content\":\"");
		for (long k = 0; k < s->chat.wanted; k++)
			append_token(&out, s->chat.hash, k);
		buf_printf(&out,
			   "\"},\"finish_reason\":\"stop\"}],\"usage\":"
			   "{\"completion_tokens\":%ld}}\n",
			   s->chat.wanted);
		standin_answer(conn, 200, "", buf_view(&out));
	}
	buf_release(&out);
	pthread_mutex_lock(&lock);
}

static long get_long(const json_t *object, const char *name, long fallback)
{
	const json_t *value = json_object_get(object, name);

	return json_is_integer(value) ? (long)json_integer_value(value) :
					fallback;
}

/* The prompt is the contents of all messages, each followed by a newline. */
static bool parse_chat(str_t body, chat_t *chat)
{
	json_t *root = json_loadb(body.ptr, body.len, 0, NULL);
	const json_t *messages = json_object_get(root, "messages");
	const char *id = json_string_value(json_object_get(root, "request_id"));
	buf_t prompt = BUF_INIT;
	bool valid = json_array_size(messages) > 0;
	long max_tokens;

	for (size_t i = 0; i < json_array_size(messages); i++) {
		const json_t *content =
			json_object_get(json_array_get(messages, i), "content");

		valid = valid && json_is_string(content);
		if (valid)
			buf_append(&prompt, json_string_value(content),
				   json_string_length(content));
		buf_append(&prompt, "\n", 1);
	}
	chat->hash = standin_hash(STANDIN_HASH_START, buf_view(&prompt));
	chat->prefix = standin_hash(
		STANDIN_HASH_START,
		(str_t){prompt.ptr,
			prompt.len < PREFIX_BYTES ? prompt.len : PREFIX_BYTES});
	max_tokens = get_long(root, "max_tokens", MAX_TOKENS);
	chat->wanted =
		get_long(root, "x_output_tokens", 1 + (long)(chat->hash % 64));
	valid = valid && chat->wanted > 0 && chat->wanted <= MAX_TOKENS;
	if (chat->wanted > max_tokens)
		chat->wanted = max_tokens;
	chat->priority = get_long(root, "priority", 0);
	chat->timeout_ms = get_long(root, "timeout_ms", 600000);
	chat->stream = json_is_true(json_object_get(root, "stream"));
	valid = valid && max_tokens > 0 && chat->timeout_ms > 0 &&
		str_copy(chat->id, sizeof(chat->id), str_from(id ? id : ""));
	buf_release(&prompt);
	json_decref(root);
	return valid;
}

/* Lists the run under its first token, which identifies the prompt. */
static void log_prompt(const chat_t *chat)
{
	buf_t token = BUF_INIT;
	char key[STANDIN_KEY_MAX];

	append_token(&token, chat->hash, 0);
	str_copy(key, sizeof(key), buf_view(&token));
	standin_log(key, "run", "");
	buf_release(&token);
}

static void handle_chat(struct mg_connection *conn, str_t body)
{
	long break_after;
	chat_t chat;
	stream_t *s;
	char prompt_key[32];

	if (!parse_chat(body, &chat)) {
		standin_error(conn, 400, "", "invalid");
		return;
	}
	pthread_mutex_lock(&lock);
	if (!chat.id[0])
		snprintf(chat.id, sizeof(chat.id), "auto-%llu",
			 (unsigned long long)next_order + 1);
	s = admit(&chat);
	standin_log(chat.id, "/v1/chat/completions",
		    !s	      ? "refused" :
		    is_cold() ? "cold" :
				"warm");
	if (!s) {
		pthread_mutex_unlock(&lock);
		standin_error(conn, 503, "X-Refused: 1\r\n", "refused");
		return;
	}
	standin_count_run(chat.id);
	/* Callers know their prompts but not the ids of their requests. */
	snprintf(prompt_key, sizeof(prompt_key), "prompt:%016llx",
		 (unsigned long long)chat.hash);
	standin_count_run(prompt_key);
	log_prompt(&chat);
	if (standin_take_failure()) {
		end_stream(s, CANCELLED, &n.failed);
		pthread_mutex_unlock(&lock);
		standin_error(conn, 500, "", "failed");
		pthread_mutex_lock(&lock);
	} else if (chat.stream) {
		break_after = atomic_exchange(&set.break_after.value, 0);
		send_events(conn, s, 0, break_after);
	} else {
		send_whole(conn, s);
	}
	release_stream(s);
	pthread_mutex_unlock(&lock);
}

static void handle_stream(struct mg_connection *conn, const char *id,
			  bool cancel)
{
	long offset = standin_query(conn, "offset", 0);
	stream_t *s;
	int status = 404;

	pthread_mutex_lock(&lock);
	s = find_stream(id);
	if (s && cancel) {
		status = 200;
		if (!has_ended(s))
			end_stream(s, CANCELLED, &n.cancelled);
	} else if (s && (offset < 0 || offset > s->tokens)) {
		status = 416;
	} else if (s && s->state <= DONE) {
		n.resumed++;
		s->readers++;
		send_events(conn, s, offset, 0);
		release_stream(s);
		status = 0;
	}
	pthread_mutex_unlock(&lock);
	if (status)
		standin_error(conn, status, "", "stream");
}

static void handle_load(struct mg_connection *conn)
{
	buf_t out = BUF_INIT;
	sample_t seen;
	int64_t now, wanted;

	pthread_mutex_lock(&lock);
	now = standin_now_us();
	wanted = now - set.load_lag_ms.value * 1000;
	seen = (sample_t){now, state_name(), n.running, n.waiting};
	for (size_t i = sample_count; wanted < now && i > 0; i--) {
		if (sample_count - i >= SAMPLES)
			break;
		seen = samples[(i - 1) % SAMPLES];
		if (seen.us <= wanted)
			break;
	}
	buf_printf(&out,
		   "{\"boot\":\"%016llx\",\"state\":\"%s\",\"running\":%ld,"
		   "\"waiting\":%ld,\"age_ms\":%lld}\n",
		   (unsigned long long)boot, seen.state, seen.running,
		   seen.waiting, (long long)(now - seen.us) / 1000);
	pthread_mutex_unlock(&lock);
	standin_answer(conn, 200, "", buf_view(&out));
	buf_release(&out);
}

static void handle_order(struct mg_connection *conn, str_t body)
{
	json_t *root = json_loadb(body.ptr, body.len, 0, NULL);
	const char *order = json_string_value(json_object_get(root, "order"));
	const char *model = json_string_value(json_object_get(root, "model"));
	long fence = get_long(root, "fence", -1);
	int status = order && fence >= 0 ? 200 : 400;
	buf_t out = BUF_INIT;

	pthread_mutex_lock(&lock);
	n.orders++;
	if (status == 200 && fence < n.max_fence && set.check_fence.value) {
		n.orders_refused++;
		status = 409;
	} else if (status == 200) {
		if (fence < n.max_fence)
			n.older_orders_applied++;
		else
			n.max_fence = fence;
		str_copy(last_order, sizeof(last_order), str_from(order));
		str_copy(last_model, sizeof(last_model), str_from(model));
	}
	buf_printf(&out, "{\"fence\":%ld}\n", n.max_fence);
	pthread_mutex_unlock(&lock);
	standin_answer(conn, status, "", buf_view(&out));
	buf_release(&out);
	json_decref(root);
}

static void handle_engine(struct mg_connection *conn, const char *path)
{
	static const char streams_path[] = "/v1/streams/";
	const char *method = mg_get_request_info(conn)->request_method;
	bool get = !strcmp(method, "GET"), post = !strcmp(method, "POST");
	size_t prefix = sizeof(streams_path) - 1;
	buf_t body = BUF_INIT;

	if (post && !standin_read_body(conn, &body)) {
		standin_error(conn, 413, "", "size");
		mg_disable_connection_keep_alive(conn);
	} else if (post && !strcmp(path, "/v1/chat/completions")) {
		handle_chat(conn, buf_view(&body));
	} else if (post && !strcmp(path, "/v1/orders")) {
		handle_order(conn, buf_view(&body));
	} else if (get && !strcmp(path, "/v1/load")) {
		handle_load(conn);
	} else if (!strncmp(path, streams_path, prefix) &&
		   (get || !strcmp(method, "DELETE"))) {
		handle_stream(conn, path + prefix, !get);
	} else {
		standin_error(conn, 404, "", "path");
	}
	buf_release(&body);
}

static void start_boot(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	boot = standin_hash(STANDIN_HASH_START,
			    (str_t){(const char *)&now, sizeof(now)});
	cold_until_us = standin_now_us() + set.cold_ms.value * 1000;
	memset(cache, 0, sizeof(cache));
	sample_count = 0;
}

static void apply_switch(const standin_switch_t *changed)
{
	pthread_mutex_lock(&lock);
	if (changed == &set.cold) {
		cold_until_us = standin_now_us() + changed->value * 1000;
		cold_noticed_us =
			standin_now_us() + set.cold_notice_ms.value * 1000;
	} else if (changed == &set.restart) {
		for (stream_t *s = streams; s < streams + MAX_STREAMS; s++) {
			if (s->state == WAITING || s->state == RUNNING)
				end_stream(s, BROKEN, &n.failed);
			else if (s->state != FREE)
				s->state = BROKEN;
		}
		standin_reset_all();
		start_boot();
	}
	pthread_cond_signal(&wake);
	pthread_mutex_unlock(&lock);
}

static void append_stats(buf_t *out)
{
	pthread_mutex_lock(&lock);
	buf_printf(out, "\"boot\":\"%016llx\",\"state\":\"%s\",",
		   (unsigned long long)boot, state_name());
	buf_printf(out, "\"last_order\":");
	buf_append_json(out, str_from(last_order));
	buf_printf(out, ",\"last_model\":");
	buf_append_json(out, str_from(last_model));
	buf_printf(out, ",");
	pthread_mutex_unlock(&lock);
}

static bool start_engine(void)
{
	for (stream_t *s = streams; s < streams + MAX_STREAMS; s++)
		pthread_cond_init(&s->changed, NULL);
	start_boot();
	return !pthread_create(&engine_thread, NULL, run_engine, NULL);
}

static void stop_engine(void)
{
	pthread_cond_signal(&wake);
	pthread_join(engine_thread, NULL);
}

static const standin_program_t engine = {
	.doc = "Stand-in of a model engine with continuous batching.",
	STANDIN_TABLES,
	.handle = handle_engine,
	.on_set = apply_switch,
	.stats = append_stats,
	.start = start_engine,
	.stop = stop_engine};

int main(int argc, char **argv)
{
	return standin_main(&engine, argc, argv);
}
