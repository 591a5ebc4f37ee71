#include "ctl.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>

#include "state/sheetcheck.h"

#define MAX_KEY_BYTES 4096
#define MAX_ANSWER_BYTES (64UL * 1024 * 1024)
#define POLL_MS 100
#define URL_BYTES 128

bool ctl_read_key(const ctl_args_t *args, buf_t *key)
{
	const char *text = getenv("PERIDOT_OPERATOR_KEY");
	const char *end;

	if (args->key_file) {
		if (!ctl_read_file(args->key_file, MAX_KEY_BYTES, key))
			return false;
	} else if (text) {
		buf_append_str(key, str_from(text));
	}
	end = key->len ? memchr(key->ptr, '\n', key->len) : NULL;
	if (end)
		key->len = (size_t)(end - key->ptr);
	if (key->len && key->len <= MAX_KEY_BYTES)
		return true;
	fprintf(stderr, "peridotctl: no operator key: use --key-file or set "
			"PERIDOT_OPERATOR_KEY\n");
	return false;
}

static size_t take_bytes(char *bytes, size_t size, size_t count, void *user)
{
	ctl_answer_t *answer = user;

	if (answer->body.len + size * count > MAX_ANSWER_BYTES)
		return 0;
	buf_append(&answer->body, bytes, size * count);
	return size * count;
}

static CURL *start_question(const ctl_args_t *args, struct curl_slist *headers,
			    const ctl_question_t *question,
			    ctl_answer_t *answer)
{
	CURL *easy = curl_easy_init();
	char url[URL_BYTES];

	if (!easy)
		abort();
	snprintf(url, sizeof(url), "http://%s%s", answer->host, question->path);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	/* An HTTP proxy of the environment must not see the key. */
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)args->limit_ms);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, take_bytes);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, answer);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, answer);
	if (!strcmp(question->method, "POST")) {
		curl_easy_setopt(easy, CURLOPT_POST, 1L);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)question->body.len);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS,
				 question->body.len ? question->body.ptr : "");
	}
	return easy;
}

/* Keeps the host's own reason of a refusal. */
static void read_refusal(ctl_answer_t *answer)
{
	json_t *json = json_loadb(answer->body.ptr ? answer->body.ptr : "",
				  answer->body.len, 0, NULL);
	const char *message = json_string_value(
		json_object_get(json_object_get(json, "error"), "message"));

	snprintf(answer->error, sizeof(answer->error), "%ld %s",
		 answer->http_status, message ? message : "");
	for (char *c = answer->error; *c; c++)
		if (*c == '\n')
			*c = c[1] ? ';' : '\0';
	json_decref(json);
}

static void finish_answer(const ctl_args_t *args, CURL *easy, CURLcode code)
{
	ctl_answer_t *answer;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, &answer);
	if (code == CURLE_OK) {
		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE,
				  &answer->http_status);
		if (answer->http_status == 200)
			answer->json = json_loadb(
				answer->body.ptr ? answer->body.ptr : "",
				answer->body.len, 0, NULL);
		else
			read_refusal(answer);
	} else if (code == CURLE_OPERATION_TIMEDOUT) {
		snprintf(answer->error, sizeof(answer->error),
			 "unreachable: no answer within %lld ms",
			 (long long)args->limit_ms);
	} else if (code == CURLE_COULDNT_CONNECT) {
		snprintf(answer->error, sizeof(answer->error),
			 "unreachable: connection refused or no route");
	} else {
		snprintf(answer->error, sizeof(answer->error),
			 "unreachable: %s", curl_easy_strerror(code));
	}
}

static void run_all(const ctl_args_t *args, CURLM *multi)
{
	int running = 1;

	while (running) {
		struct CURLMsg *message;
		int left;

		curl_multi_perform(multi, &running);
		while ((message = curl_multi_info_read(multi, &left))) {
			CURL *easy = message->easy_handle;
			CURLcode code = message->data.result;

			if (message->msg != CURLMSG_DONE)
				continue;
			finish_answer(args, easy, code);
			curl_multi_remove_handle(multi, easy);
			curl_easy_cleanup(easy);
		}
		if (running)
			curl_multi_poll(multi, NULL, 0, POLL_MS, NULL);
	}
}

ctl_answer_t *ctl_ask(const ctl_args_t *args, str_t key,
		      const ctl_question_t *question)
{
	ctl_answer_t *answers = calloc(args->host_count, sizeof(*answers));
	CURLM *multi = curl_multi_init();
	struct curl_slist *headers = NULL;
	buf_t authorization = BUF_INIT;

	if (!answers || !multi)
		abort();
	buf_printf(&authorization, "Authorization: Bearer %" STR_FMT,
		   STR_ARG(key));
	buf_append(&authorization, "", 1);
	headers = curl_slist_append(headers, authorization.ptr);
	/* Without this a large body waits for "100 Continue". */
	headers = curl_slist_append(headers, "Expect:");
	headers = curl_slist_append(headers, "Content-Type: application/toml");
	for (size_t i = 0; i < args->host_count; i++) {
		answers[i].host = args->hosts[i];
		curl_multi_add_handle(
			multi,
			start_question(args, headers, question, &answers[i]));
	}
	run_all(args, multi);
	curl_multi_cleanup(multi);
	curl_slist_free_all(headers);
	buf_release(&authorization);
	return answers;
}

void ctl_free_answers(ctl_answer_t *answers, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		buf_release(&answers[i].body);
		json_decref(answers[i].json);
	}
	free(answers);
}

size_t ctl_report_failures(const ctl_answer_t *answers, size_t count)
{
	size_t failures = 0;

	for (size_t i = 0; i < count; i++) {
		if (answers[i].http_status == 200)
			continue;
		failures++;
		fprintf(stderr, "peridotctl: %s: %s\n", answers[i].host,
			answers[i].error);
	}
	return failures;
}

/* Prints one line per host. */
static int report_each(const ctl_args_t *args, const ctl_question_t *question,
		       const char *done)
{
	buf_t key = BUF_INIT;
	ctl_answer_t *answers;
	int status = CTL_EXIT_OK;

	if (!ctl_read_key(args, &key)) {
		buf_release(&key);
		return CTL_EXIT_USAGE;
	}
	answers = ctl_ask(args, buf_view(&key), question);
	for (size_t i = 0; i < args->host_count; i++) {
		bool accepted = answers[i].http_status == 200;

		printf("%s: %s\n", answers[i].host,
		       accepted ? done : answers[i].error);
		if (!accepted)
			status = CTL_EXIT_REFUSED;
	}
	ctl_free_answers(answers, args->host_count);
	buf_release(&key);
	return status;
}

int ctl_run_push(const ctl_args_t *args)
{
	ctl_question_t question = {.method = "POST", .path = "/v1/sheet"};
	buf_t text = BUF_INIT;
	sheet_t *sheet = NULL;
	char done[64];
	int status = CTL_EXIT_USAGE;

	if (ctl_read_file(args->files[0], SHEETCHECK_MAX_BYTES, &text))
		sheet = ctl_parse_sheet(buf_view(&text), args->files[0]);
	if (sheet) {
		snprintf(done, sizeof(done), "version %llu in force",
			 (unsigned long long)sheet->version);
		question.body = buf_view(&text);
		status = report_each(args, &question, done);
	}
	sheet_free(sheet);
	buf_release(&text);
	return status;
}

int ctl_run_drain(const ctl_args_t *args)
{
	ctl_question_t question = {.method = "POST", .path = "/v1/drain"};

	return report_each(args, &question, "leaving");
}

int ctl_run_metrics(const ctl_args_t *args)
{
	ctl_question_t question = {.method = "GET", .path = "/metrics"};
	buf_t key = BUF_INIT;
	ctl_answer_t *answers;
	size_t failures;

	if (!ctl_read_key(args, &key)) {
		buf_release(&key);
		return CTL_EXIT_USAGE;
	}
	answers = ctl_ask(args, buf_view(&key), &question);
	for (size_t i = 0; i < args->host_count; i++)
		if (answers[i].http_status == 200)
			printf("# host %s\n%" STR_FMT, answers[i].host,
			       STR_ARG(buf_view(&answers[i].body)));
	failures = ctl_report_failures(answers, args->host_count);
	ctl_free_answers(answers, args->host_count);
	buf_release(&key);
	return failures ? CTL_EXIT_REFUSED : CTL_EXIT_OK;
}
