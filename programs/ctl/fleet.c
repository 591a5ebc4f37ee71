#include "ctl.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>

#include "state/sheetcheck.h"

#define MAX_KEY_BYTES 4096
#define MAX_RESPONSE_BYTES (64UL * 1024 * 1024)
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

static size_t on_response_bytes(char *bytes, size_t size, size_t count,
				void *user)
{
	ctl_response_t *response = user;

	if (response->body.len + size * count > MAX_RESPONSE_BYTES)
		return 0;
	buf_append(&response->body, bytes, size * count);
	return size * count;
}

static CURL *create_request(const ctl_args_t *args, struct curl_slist *headers,
			    const ctl_request_t *request,
			    ctl_response_t *response)
{
	CURL *easy = curl_easy_init();
	char url[URL_BYTES];

	if (!easy)
		abort();
	snprintf(url, sizeof(url), "http://%s%s", response->host,
		 request->path);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	/* An HTTP proxy from the environment must not see the key. */
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
			 (long)args->response_timeout_ms);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_response_bytes);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, response);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, response);
	if (!strcmp(request->method, "POST")) {
		curl_easy_setopt(easy, CURLOPT_POST, 1L);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)request->body.len);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS,
				 request->body.len ? request->body.ptr : "");
	}
	return easy;
}

/* Copies the status and the message of an error response to response->error. */
static void read_error_response(ctl_response_t *response)
{
	json_t *json = json_loadb(response->body.ptr ? response->body.ptr : "",
				  response->body.len, 0, NULL);
	const char *message = json_string_value(
		json_object_get(json_object_get(json, "error"), "message"));

	snprintf(response->error, sizeof(response->error), "%ld %s",
		 response->http_status, message ? message : "");
	for (char *c = response->error; *c; c++)
		if (*c == '\n')
			*c = c[1] ? ';' : '\0';
	json_decref(json);
}

static void finish_response(const ctl_args_t *args, CURL *easy, CURLcode code)
{
	ctl_response_t *response;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, &response);
	if (code == CURLE_OK) {
		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE,
				  &response->http_status);
		if (response->http_status == 200)
			response->json = json_loadb(
				response->body.ptr ? response->body.ptr : "",
				response->body.len, 0, NULL);
		else
			read_error_response(response);
	} else if (code == CURLE_OPERATION_TIMEDOUT) {
		snprintf(response->error, sizeof(response->error),
			 "unreachable: no answer within %lld ms",
			 (long long)args->response_timeout_ms);
	} else if (code == CURLE_COULDNT_CONNECT) {
		snprintf(response->error, sizeof(response->error),
			 "unreachable: connection refused or no route");
	} else {
		snprintf(response->error, sizeof(response->error),
			 "unreachable: %s", curl_easy_strerror(code));
	}
}

static void run_transfers(const ctl_args_t *args, CURLM *multi)
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
			finish_response(args, easy, code);
			curl_multi_remove_handle(multi, easy);
			curl_easy_cleanup(easy);
		}
		if (running)
			curl_multi_poll(multi, NULL, 0, POLL_MS, NULL);
	}
}

ctl_response_t *ctl_request_all(const ctl_args_t *args, str_t key,
				const ctl_request_t *request)
{
	ctl_response_t *responses =
		calloc(args->host_count, sizeof(*responses));
	CURLM *multi = curl_multi_init();
	struct curl_slist *headers = NULL;
	buf_t authorization = BUF_INIT;

	if (!responses || !multi)
		abort();
	buf_printf(&authorization, "Authorization: Bearer %" STR_FMT,
		   STR_ARG(key));
	buf_append(&authorization, "", 1);
	headers = curl_slist_append(headers, authorization.ptr);
	/* Otherwise curl delays a large body until "100 Continue". */
	headers = curl_slist_append(headers, "Expect:");
	headers = curl_slist_append(headers, "Content-Type: application/toml");
	for (size_t i = 0; i < args->host_count; i++) {
		responses[i].host = args->hosts[i];
		curl_multi_add_handle(
			multi,
			create_request(args, headers, request, &responses[i]));
	}
	run_transfers(args, multi);
	curl_multi_cleanup(multi);
	curl_slist_free_all(headers);
	buf_release(&authorization);
	return responses;
}

void ctl_free_responses(ctl_response_t *responses, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		buf_release(&responses[i].body);
		json_decref(responses[i].json);
	}
	free(responses);
}

size_t ctl_report_failures(const ctl_response_t *responses, size_t count)
{
	size_t failures = 0;

	for (size_t i = 0; i < count; i++) {
		if (responses[i].http_status == 200)
			continue;
		failures++;
		fprintf(stderr, "peridotctl: %s: %s\n", responses[i].host,
			responses[i].error);
	}
	return failures;
}

/* Sends the request to all hosts and prints one line per host: `success_text`
 * or the error. Returns the exit status. */
static int request_and_print(const ctl_args_t *args,
			     const ctl_request_t *request,
			     const char *success_text)
{
	buf_t key = BUF_INIT;
	ctl_response_t *responses;
	int status = CTL_EXIT_OK;

	if (!ctl_read_key(args, &key)) {
		buf_release(&key);
		return CTL_EXIT_USAGE;
	}
	responses = ctl_request_all(args, buf_view(&key), request);
	for (size_t i = 0; i < args->host_count; i++) {
		bool accepted = responses[i].http_status == 200;

		printf("%s: %s\n", responses[i].host,
		       accepted ? success_text : responses[i].error);
		if (!accepted)
			status = CTL_EXIT_REFUSED;
	}
	ctl_free_responses(responses, args->host_count);
	buf_release(&key);
	return status;
}

int ctl_run_push(const ctl_args_t *args)
{
	ctl_request_t request = {.method = "POST", .path = "/v1/sheet"};
	buf_t text = BUF_INIT;
	sheet_t *sheet = NULL;
	char success_text[64];
	int status = CTL_EXIT_USAGE;

	if (ctl_read_file(args->files[0], SHEETCHECK_MAX_BYTES, &text))
		sheet = ctl_parse_sheet(buf_view(&text), args->files[0]);
	if (sheet) {
		snprintf(success_text, sizeof(success_text),
			 "version %llu in force",
			 (unsigned long long)sheet->version);
		request.body = buf_view(&text);
		status = request_and_print(args, &request, success_text);
	}
	sheet_free(sheet);
	buf_release(&text);
	return status;
}

int ctl_run_drain(const ctl_args_t *args)
{
	ctl_request_t request = {.method = "POST", .path = "/v1/drain"};

	return request_and_print(args, &request, "leaving");
}

int ctl_run_metrics(const ctl_args_t *args)
{
	ctl_request_t request = {.method = "GET", .path = "/metrics"};
	buf_t key = BUF_INIT;
	ctl_response_t *responses;
	size_t failures;

	if (!ctl_read_key(args, &key)) {
		buf_release(&key);
		return CTL_EXIT_USAGE;
	}
	responses = ctl_request_all(args, buf_view(&key), &request);
	for (size_t i = 0; i < args->host_count; i++)
		if (responses[i].http_status == 200)
			printf("# host %s\n%" STR_FMT, responses[i].host,
			       STR_ARG(buf_view(&responses[i].body)));
	failures = ctl_report_failures(responses, args->host_count);
	ctl_free_responses(responses, args->host_count);
	buf_release(&key);
	return failures ? CTL_EXIT_REFUSED : CTL_EXIT_OK;
}
