#include "load/load.h"

#include <curl/curl.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/mclock.h"

#define US_PER_MS 1000
#define MAX_POLL_MS 100
#define STATS_TIMEOUT_MS 2000
#define MAX_HEADER_BYTES 512
/* Longer lines and bodies are cut; answers of the stand-ins are shorter. */
#define MAX_KEPT_BYTES 65536

/* One transfer. Its handle is used again for later requests. */
typedef struct transfer {
	struct sender *sender;
	load_request_t *request;
	CURL *easy;
	struct curl_slist *headers;
	buf_t body;
	buf_t line; /* the last line so far, or the whole body of a call */
	buf_t expected;
	uint64_t hash;
	char url[ADDRESS_BYTES + 2 * LOAD_NAME_BYTES + 32];
	char outcome[16];
	bool mismatch;
	bool done; /* the stream ended with [DONE] */
	struct transfer *next_free;
} transfer_t;

typedef struct sender {
	load_run_t *run;
	CURLM *multi;
	transfer_t *transfers;
	size_t transfer_count;
	transfer_t *free_list;
	size_t in_flight;
	int64_t start_us;
} sender_t;

static int64_t now_us(const sender_t *sender)
{
	return mclock_now_us(mclock_system()) - sender->start_us;
}

static const load_class_t *class_of(const transfer_t *t)
{
	return &t->sender->run->scenario.classes[t->request->class_index];
}

static void add_gap(load_gaps_t *gaps, int64_t us)
{
	if (gaps->count == gaps->cap) {
		size_t cap = gaps->cap ? 2 * gaps->cap : 1024;
		double *grown = realloc(gaps->us, cap * sizeof(*grown));

		if (!grown)
			abort();
		gaps->us = grown;
		gaps->cap = cap;
	}
	gaps->us[gaps->count++] = (double)us;
}

static void note_first_token(load_request_t *r, int64_t now)
{
	if (r->first_token_us < 0)
		r->first_token_us = now - r->at_us;
}

static void receive_token(transfer_t *t, const char *text, size_t len)
{
	load_request_t *r = t->request;
	int64_t now = now_us(t->sender);

	buf_reset(&t->expected);
	load_append_token(&t->expected, t->hash, r->tokens);
	if (!str_equals((str_t){text, len}, buf_view(&t->expected))) {
		t->mismatch = true;
		return;
	}
	note_first_token(r, now);
	if (now <= t->sender->run->scenario.duration_us)
		t->sender->run->tokens_in_duration++;
	if (r->tokens++)
		add_gap(&t->sender->run->gaps[r->class_index],
			now - r->last_token_us);
	r->last_token_us = now;
}

/* Copies the value of a member of flat text such as "content":"...". */
static str_t find_member(const char *line, const char *name)
{
	const char *from = strstr(line, name);
	const char *to;

	if (!from)
		return STR_LIT("");
	from += strlen(name);
	to = strchr(from, '"');
	return (str_t){from, to ? (size_t)(to - from) : 0};
}

static void receive_line(transfer_t *t, const char *line)
{
	static const char comment[] = ": outcome ";
	str_t value;

	if (!strncmp(line, comment, sizeof(comment) - 1)) {
		str_copy(t->outcome, sizeof(t->outcome),
			 str_from(line + sizeof(comment) - 1));
		return;
	}
	if (strncmp(line, "data: ", 6) != 0)
		return;
	if (!strcmp(line, "data: [DONE]")) {
		t->done = true;
		return;
	}
	value = find_member(line, "\"content\":\"");
	if (value.len)
		receive_token(t, value.ptr, value.len);
	value = find_member(line, "\"error\":{\"outcome\":\"");
	if (value.len)
		str_copy(t->outcome, sizeof(t->outcome), value);
}

static size_t on_bytes(char *bytes, size_t size, size_t count, void *user)
{
	transfer_t *t = user;
	size_t len = size * count;

	if (*class_of(t)->service) {
		note_first_token(t->request, now_us(t->sender));
		if (t->line.len + len < MAX_KEPT_BYTES)
			buf_append(&t->line, bytes, len);
		return len;
	}
	for (size_t i = 0; i < len; i++) {
		if (bytes[i] != '\n') {
			if (bytes[i] != '\r' && t->line.len < MAX_KEPT_BYTES)
				buf_append(&t->line, bytes + i, 1);
			continue;
		}
		buf_append(&t->line, "", 1);
		receive_line(t, t->line.ptr);
		buf_reset(&t->line);
	}
	return len;
}

static void take_header(str_t header, const char *name, char *out, size_t size)
{
	size_t skip = strlen(name);

	if (header.len <= skip || strncasecmp(header.ptr, name, skip) != 0)
		return;
	while (header.len > skip && (header.ptr[header.len - 1] == '\r' ||
				     header.ptr[header.len - 1] == '\n'))
		header.len--;
	str_copy(out, size, (str_t){header.ptr + skip, header.len - skip});
}

static size_t on_header(char *bytes, size_t size, size_t count, void *user)
{
	transfer_t *t = user;
	str_t header = {bytes, size * count};

	take_header(header, "X-Peridot-Outcome: ", t->outcome,
		    sizeof(t->outcome));
	return size * count;
}

static void add_header(transfer_t *t, const char *name, const char *value)
{
	char header[2 * MAX_HEADER_BYTES];

	snprintf(header, sizeof(header), "%s: %s", name, value);
	t->headers = curl_slist_append(t->headers, header);
}

static void write_body(transfer_t *t)
{
	const load_run_t *run = t->sender->run;
	const load_request_t *r = t->request;
	buf_t prompt = BUF_INIT;

	buf_reset(&t->body);
	if (*class_of(t)->service) {
		buf_printf(&t->body, "item-%" PRIu64 "-%u", run->scenario.seed,
			   r->serial);
		return;
	}
	load_append_prompt(&prompt, run, r);
	t->hash = load_hash_prompt(buf_view(&prompt));
	buf_printf(&t->body,
		   "{\"model\":\"%s\",\"stream\":true,\"x_output_tokens\":%u,"
		   "\"messages\":[{\"role\":\"user\",\"content\":\"",
		   run->scenario.model, r->wanted);
	buf_append_str(&t->body, buf_view(&prompt));
	buf_printf(&t->body, "\"}]}");
	buf_release(&prompt);
}

static void set_options(transfer_t *t)
{
	const load_scenario_t *s = &t->sender->run->scenario;
	const load_class_t *class = class_of(t);
	const char *entry = s->entries[t->request->entry];
	int64_t left_ms =
		(t->request->at_us + class->deadline_us - now_us(t->sender)) /
		US_PER_MS;

	if (*class->service)
		snprintf(t->url, sizeof(t->url), "http://%s/v1/services/%s/%s",
			 entry, class->service, class->call);
	else
		snprintf(t->url, sizeof(t->url),
			 "http://%s/v1/chat/completions", entry);
	curl_easy_reset(t->easy);
	curl_easy_setopt(t->easy, CURLOPT_URL, t->url);
	curl_easy_setopt(t->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(t->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(t->easy, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(t->easy, CURLOPT_HTTPHEADER, t->headers);
	curl_easy_setopt(t->easy, CURLOPT_POSTFIELDS, t->body.ptr);
	curl_easy_setopt(t->easy, CURLOPT_POSTFIELDSIZE, (long)t->body.len);
	curl_easy_setopt(t->easy, CURLOPT_WRITEFUNCTION, on_bytes);
	curl_easy_setopt(t->easy, CURLOPT_WRITEDATA, t);
	curl_easy_setopt(t->easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(t->easy, CURLOPT_HEADERDATA, t);
	curl_easy_setopt(t->easy, CURLOPT_PRIVATE, t);
	curl_easy_setopt(t->easy, CURLOPT_TIMEOUT_MS,
			 (long)(left_ms > 1 ? left_ms : 1));
}

/* A name of the request that no other one has. */
static const char *request_id(const transfer_t *t, char id[LOAD_NAME_BYTES])
{
	snprintf(id, LOAD_NAME_BYTES, "load-%" PRIu64 "-%u",
		 t->sender->run->scenario.seed, t->request->serial);
	return id;
}

static void submit(transfer_t *t)
{
	const load_scenario_t *s = &t->sender->run->scenario;
	const load_customer_t *customer = &s->customers[t->request->customer];
	char authorization[LOAD_NAME_BYTES + 16];
	char id[LOAD_NAME_BYTES];

	snprintf(authorization, sizeof(authorization), "Bearer %s",
		 customer->key);
	curl_slist_free_all(t->headers);
	t->headers = NULL;
	add_header(t, "Authorization", authorization);
	add_header(t, "X-Peridot-Class", class_of(t)->name);
	add_header(t, "Content-Type", "application/json");
	t->headers = curl_slist_append(t->headers, "Expect:");
	if (class_of(t)->once)
		add_header(t, "Idempotency-Key", request_id(t, id));
	add_header(t, "X-Peridot-Request", request_id(t, id));
	buf_reset(&t->line);
	t->outcome[0] = '\0';
	t->done = false;
	t->mismatch = false;
	write_body(t);
	set_options(t);
	curl_multi_add_handle(t->sender->multi, t->easy);
}

static void begin(sender_t *sender, load_request_t *request)
{
	transfer_t *t = sender->free_list;

	if (t)
		sender->free_list = t->next_free;
	else if (sender->transfer_count < sender->run->scenario.max_in_flight)
		t = &sender->transfers[sender->transfer_count++];
	if (!t)
		return;
	if (!t->easy)
		t->easy = curl_easy_init();
	t->sender = sender;
	t->request = request;
	request->late_us = now_us(sender) - request->at_us;
	request->outcome = LOAD_UNKNOWN;
	sender->in_flight++;
	submit(t);
}

/* The answer names the call and the body that was sent, and a call that must
 * run once has done so. */
static bool is_call_answer(transfer_t *t)
{
	buf_t wanted = BUF_INIT;
	bool found;

	buf_printf(&wanted, "\"call\":\"%s\",\"body\":\"%" STR_FMT "\"}",
		   class_of(t)->call, STR_ARG(buf_view(&t->body)));
	buf_append(&wanted, "", 1);
	buf_append(&t->line, "", 1);
	found = strstr(t->line.ptr, wanted.ptr) != NULL;
	if (class_of(t)->once && !strstr(t->line.ptr, "\"key_run\":1,"))
		found = false;
	buf_release(&wanted);
	return found;
}

static bool is_whole_answer(transfer_t *t)
{
	if (*class_of(t)->service)
		return is_call_answer(t);
	return t->done && !t->mismatch &&
	       t->request->tokens == t->request->wanted;
}

static load_outcome_t judge(transfer_t *t, CURLcode result, long status)
{
	static const struct {
		const char *name;
		load_outcome_t outcome;
	} names[] = {
		{"not-run", LOAD_NOT_RUN},
		{"failed", LOAD_FAILED},
		{"unknown", LOAD_UNKNOWN},
	};

	if (result == CURLE_COULDNT_CONNECT)
		return LOAD_NOT_RUN;
	for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++)
		if (!strcmp(t->outcome, names[i].name))
			return names[i].outcome;
	if (result != CURLE_OK)
		return LOAD_UNKNOWN;
	if (status != 200)
		return LOAD_FAILED;
	return is_whole_answer(t) ? LOAD_COMPLETED : LOAD_WRONG;
}

static void finish(sender_t *sender, transfer_t *t, CURLcode result)
{
	long status = 0;

	curl_easy_getinfo(t->easy, CURLINFO_RESPONSE_CODE, &status);
	curl_multi_remove_handle(sender->multi, t->easy);
	t->request->outcome = judge(t, result, status);
	t->request->end_us = now_us(sender);
	/* The bytes of a refusal are no answer. */
	if (*class_of(t)->service && t->request->outcome != LOAD_COMPLETED)
		t->request->first_token_us = -1;
	sender->in_flight--;
	t->next_free = sender->free_list;
	sender->free_list = t;
}

static void collect(sender_t *sender)
{
	CURLMsg *message;
	int left;

	while ((message = curl_multi_info_read(sender->multi, &left))) {
		transfer_t *t;

		if (message->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE,
				  (char **)&t);
		finish(sender, t, message->data.result);
	}
}

static void send_all(sender_t *sender)
{
	load_run_t *run = sender->run;
	int64_t end_us = run->scenario.duration_us + run->scenario.drain_us;
	size_t next = 0;

	for (;;) {
		int64_t now = now_us(sender), wait_ms = MAX_POLL_MS;
		int running;

		while (next < run->request_count &&
		       run->requests[next].at_us <= now)
			begin(sender, &run->requests[next++]);
		curl_multi_perform(sender->multi, &running);
		collect(sender);
		if (now >= end_us ||
		    (next == run->request_count && !sender->in_flight))
			return;
		if (next < run->request_count)
			wait_ms = (run->requests[next].at_us - now_us(sender)) /
				  US_PER_MS;
		if (wait_ms > MAX_POLL_MS)
			wait_ms = MAX_POLL_MS;
		if (wait_ms > 0)
			curl_multi_poll(sender->multi, NULL, 0, (int)wait_ms,
					NULL);
	}
}

static size_t keep_bytes(char *bytes, size_t size, size_t count, void *user)
{
	buf_append(user, bytes, size * count);
	return size * count;
}

/* Sum of the tokens that the engines have generated; false without an answer
 * of each. */
static bool read_engines(const load_scenario_t *s, int64_t *tokens)
{
	CURL *easy = curl_easy_init();
	bool ok = easy && s->engine_count;

	*tokens = 0;
	for (size_t i = 0; ok && i < s->engine_count; i++) {
		char url[ADDRESS_BYTES + 32];
		buf_t body = BUF_INIT;
		json_t *root = NULL;

		snprintf(url, sizeof(url), "http://%s/control/stats",
			 s->engines[i]);
		curl_easy_setopt(easy, CURLOPT_URL, url);
		curl_easy_setopt(easy, CURLOPT_PROXY, "");
		curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
				 (long)STATS_TIMEOUT_MS);
		curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, keep_bytes);
		curl_easy_setopt(easy, CURLOPT_WRITEDATA, &body);
		if (curl_easy_perform(easy) == CURLE_OK)
			root = json_loadb(body.ptr, body.len, 0, NULL);
		ok = json_is_integer(json_object_get(root, "tokens"));
		*tokens += json_integer_value(json_object_get(root, "tokens"));
		json_decref(root);
		buf_release(&body);
	}
	curl_easy_cleanup(easy);
	return ok;
}

static void release(sender_t *sender)
{
	for (size_t i = 0; i < sender->transfer_count; i++) {
		transfer_t *t = &sender->transfers[i];

		curl_multi_remove_handle(sender->multi, t->easy);
		curl_easy_cleanup(t->easy);
		curl_slist_free_all(t->headers);
		buf_release(&t->body);
		buf_release(&t->line);
		buf_release(&t->expected);
	}
	free(sender->transfers);
	curl_multi_cleanup(sender->multi);
}

err_code_t load_send(load_run_t *run, err_t *err)
{
	const load_scenario_t *s = &run->scenario;
	sender_t sender = {.run = run};
	int64_t before = 0, after = 0;

	if (curl_global_init(CURL_GLOBAL_DEFAULT))
		return err_set(err, ERR_IO, "send", "", "libcurl failed");
	sender.multi = curl_multi_init();
	sender.transfers = calloc(s->max_in_flight, sizeof(transfer_t));
	if (!sender.multi || !sender.transfers)
		abort();
	curl_multi_setopt(sender.multi, CURLMOPT_MAXCONNECTS,
			  (long)s->max_in_flight);
	run->engines_read = read_engines(s, &before);
	sender.start_us = mclock_now_us(mclock_system());
	send_all(&sender);
	run->engines_read = run->engines_read && read_engines(s, &after);
	run->engine_tokens = after - before;
	release(&sender);
	curl_global_cleanup();
	return ERR_OK;
}
