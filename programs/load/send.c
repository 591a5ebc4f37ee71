#include "load/transfer.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/mclock.h"

#define US_PER_MS 1000
#define MAX_POLL_MS 100
#define STATS_TIMEOUT_MS 2000

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

int64_t transfer_now_us(const transfer_t *t)
{
	return now_us(t->sender);
}

int64_t transfer_remaining_ms(const transfer_t *t)
{
	int64_t left_ms = (t->request->at_us + t->class->deadline_us -
			   transfer_now_us(t)) /
			  US_PER_MS;

	return left_ms > 1 ? left_ms : 1;
}

static size_t on_body(char *bytes, size_t size, size_t count, void *user)
{
	transfer_t *t = user;

	t->protocol->read_body(t, (str_t){bytes, size * count});
	return size * count;
}

static size_t on_header(char *bytes, size_t size, size_t count, void *user)
{
	transfer_t *t = user;

	t->protocol->read_header(t, (str_t){bytes, size * count});
	return size * count;
}

static const load_protocol_t *select_protocol(const load_class_t *class)
{
	if (*class->path)
		return load_platform_protocol();
	return *class->service ? load_native_call_protocol() :
				 load_native_chat_protocol();
}

static void set_options(transfer_t *t)
{
	curl_easy_reset(t->easy);
	curl_easy_setopt(t->easy, CURLOPT_URL, t->url);
	curl_easy_setopt(t->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(t->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(t->easy, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(t->easy, CURLOPT_HTTPHEADER, t->headers);
	curl_easy_setopt(t->easy, CURLOPT_POSTFIELDS, t->body.ptr);
	curl_easy_setopt(t->easy, CURLOPT_POSTFIELDSIZE, (long)t->body.len);
	curl_easy_setopt(t->easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(t->easy, CURLOPT_WRITEDATA, t);
	curl_easy_setopt(t->easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(t->easy, CURLOPT_HEADERDATA, t);
	curl_easy_setopt(t->easy, CURLOPT_PRIVATE, t);
	curl_easy_setopt(t->easy, CURLOPT_TIMEOUT_MS,
			 (long)transfer_remaining_ms(t));
}

static void submit_transfer(transfer_t *t)
{
	curl_slist_free_all(t->headers);
	t->headers = curl_slist_append(NULL, "Expect:");
	snprintf(t->id, sizeof(t->id), "load-%" PRIu64 "-%u",
		 t->run->scenario.seed, t->request->serial);
	buf_reset(&t->received);
	buf_reset(&t->body);
	t->outcome_name[0] = '\0';
	t->response_head = (calls_response_t){.stamped = false};
	t->stream_done = false;
	t->mismatch = false;
	t->protocol->write_request(t);
	set_options(t);
	curl_multi_add_handle(t->sender->multi, t->easy);
}

static void start_transfer(sender_t *sender, load_request_t *request)
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
	t->run = sender->run;
	t->request = request;
	t->class = &t->run->scenario.classes[request->class_index];
	t->protocol = select_protocol(t->class);
	request->send_delay_us = now_us(sender) - request->at_us;
	request->outcome = LOAD_UNKNOWN;
	sender->in_flight++;
	submit_transfer(t);
}

static load_outcome_t get_outcome(transfer_t *t, CURLcode result,
				  unsigned status)
{
	if (result == CURLE_COULDNT_CONNECT)
		return LOAD_NOT_RUN;
	return t->protocol->get_outcome(t, status, result == CURLE_OK);
}

static void finish_transfer(sender_t *sender, transfer_t *t, CURLcode result)
{
	long status = 0;

	curl_easy_getinfo(t->easy, CURLINFO_RESPONSE_CODE, &status);
	curl_multi_remove_handle(sender->multi, t->easy);
	t->request->outcome = get_outcome(t, result, (unsigned)status);
	t->request->end_us = now_us(sender);
	/* The body of an error response does not count as a first byte. */
	if (!t->request->output_tokens && t->request->outcome != LOAD_COMPLETED)
		t->request->first_token_us = -1;
	sender->in_flight--;
	t->next_free = sender->free_list;
	sender->free_list = t;
}

static void finish_completed(sender_t *sender)
{
	CURLMsg *message;
	int left;

	while ((message = curl_multi_info_read(sender->multi, &left))) {
		transfer_t *t;

		if (message->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE,
				  (char **)&t);
		finish_transfer(sender, t, message->data.result);
	}
}

static void send_all(sender_t *sender)
{
	load_run_t *run = sender->run;
	int64_t end_us = run->scenario.duration_us + run->scenario.drain_us;
	size_t next_index = 0;

	for (;;) {
		int64_t now = now_us(sender), wait_ms = MAX_POLL_MS;
		int running;

		while (next_index < run->request_count &&
		       run->requests[next_index].at_us <= now)
			start_transfer(sender, &run->requests[next_index++]);
		curl_multi_perform(sender->multi, &running);
		finish_completed(sender);
		if (now >= end_us ||
		    (next_index == run->request_count && !sender->in_flight))
			return;
		if (next_index < run->request_count)
			wait_ms = (run->requests[next_index].at_us -
				   now_us(sender)) /
				  US_PER_MS;
		if (wait_ms > MAX_POLL_MS)
			wait_ms = MAX_POLL_MS;
		if (wait_ms > 0)
			curl_multi_poll(sender->multi, NULL, 0, (int)wait_ms,
					NULL);
	}
}

static size_t append_bytes(char *bytes, size_t size, size_t count, void *user)
{
	buf_append(user, bytes, size * count);
	return size * count;
}

/* Sums the token counters of all engines. Returns false if one did not report
 * its counter or no engine is configured. */
static bool read_engine_tokens(const load_scenario_t *s, int64_t *tokens)
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
		curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append_bytes);
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

static void release_sender(sender_t *sender)
{
	for (size_t i = 0; i < sender->transfer_count; i++) {
		transfer_t *t = &sender->transfers[i];

		curl_multi_remove_handle(sender->multi, t->easy);
		curl_easy_cleanup(t->easy);
		curl_slist_free_all(t->headers);
		buf_release(&t->body);
		buf_release(&t->received);
		buf_release(&t->expected);
	}
	free(sender->transfers);
	curl_multi_cleanup(sender->multi);
}

err_code_t load_send(load_run_t *run, err_t *err)
{
	const load_scenario_t *s = &run->scenario;
	sender_t sender = {.run = run};
	int64_t tokens_before = 0, tokens_after = 0;

	if (curl_global_init(CURL_GLOBAL_DEFAULT))
		return err_set(err, ERR_IO, "send", "",
			       "could not initialize libcurl");
	sender.multi = curl_multi_init();
	sender.transfers = calloc(s->max_in_flight, sizeof(transfer_t));
	if (!sender.multi || !sender.transfers)
		abort();
	curl_multi_setopt(sender.multi, CURLMOPT_MAXCONNECTS,
			  (long)s->max_in_flight);
	run->has_engine_tokens = read_engine_tokens(s, &tokens_before);
	sender.start_us = mclock_now_us(mclock_system());
	send_all(&sender);
	run->has_engine_tokens =
		run->has_engine_tokens && read_engine_tokens(s, &tokens_after);
	run->engine_tokens = tokens_after - tokens_before;
	release_sender(&sender);
	curl_global_cleanup();
	return ERR_OK;
}
