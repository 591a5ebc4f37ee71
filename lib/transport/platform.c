#include "transport/platform.h"

#include <curl/curl.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <strings.h>
#include <sys/random.h>

#include "base/mclock.h"
#include "base/metrics.h"
#include "base/plog.h"

#define STEP "platform"
#define URL_BYTES 512
/* A service that answers a watch at once must not become a busy loop. */
#define MIN_INTERVAL_MS 100

typedef struct transfer {
	CURL *easy;
	buf_t value;
	bool too_large;
	bool has_version;
	uint64_t version;
	long status;
} transfer_t;

struct platform_watch {
	char *address;
	char *key;
	uint64_t version; /* highest seen */
	platform_watch_ops_t ops;
	void *user;
	CURLM *multi;
	transfer_t transfer;
	pthread_t thread;
	_Atomic bool stopping;
	int64_t backoff_ms;
	bool outage_logged;
	bool stale_logged;
};

static pthread_once_t library_once = PTHREAD_ONCE_INIT;

static void init_library(void)
{
	curl_global_init(CURL_GLOBAL_DEFAULT);
}

static bool is_key(const char *key)
{
	static const char allowed[] = "abcdefghijklmnopqrstuvwxyz"
				      "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				      "0123456789_-./";
	size_t len = strspn(key, allowed);

	return len && !key[len] && !strstr(key, "..");
}

static size_t take_body(char *bytes, size_t size, size_t count, void *user)
{
	transfer_t *transfer = user;
	size_t len = size * count;

	if (transfer->value.len + len > PLATFORM_MAX_VALUE_BYTES) {
		transfer->too_large = true;
		return 0;
	}
	buf_append(&transfer->value, bytes, len);
	return len;
}

static bool parse_version(str_t text, uint64_t *version)
{
	uint64_t value = 0;

	for (size_t i = 0; i < text.len; i++) {
		uint64_t digit = (uint64_t)(text.ptr[i] - '0');

		if (text.ptr[i] < '0' || text.ptr[i] > '9' ||
		    value > (UINT64_MAX - digit) / 10)
			return false;
		value = value * 10 + digit;
	}
	*version = value;
	return text.len > 0;
}

static str_t trim(str_t text)
{
	while (text.len && strchr(" \t", *text.ptr))
		text = (str_t){text.ptr + 1, text.len - 1};
	while (text.len && strchr(" \t\r\n", text.ptr[text.len - 1]))
		text.len--;
	return text;
}

static size_t take_header(char *bytes, size_t size, size_t count, void *user)
{
	static const char name[] = "X-Version:";
	size_t name_len = sizeof(name) - 1;
	transfer_t *transfer = user;
	size_t len = size * count;

	if (len > name_len && !strncasecmp(bytes, name, name_len))
		transfer->has_version = parse_version(
			trim((str_t){bytes + name_len, len - name_len}),
			&transfer->version);
	return len;
}

static void transfer_open(transfer_t *transfer)
{
	pthread_once(&library_once, init_library);
	transfer->easy = curl_easy_init();
	if (!transfer->easy)
		abort();
	curl_easy_setopt(transfer->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(transfer->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(transfer->easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(transfer->easy, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)PLATFORM_CONNECT_TIMEOUT_MS);
	curl_easy_setopt(transfer->easy, CURLOPT_WRITEFUNCTION, take_body);
	curl_easy_setopt(transfer->easy, CURLOPT_WRITEDATA, transfer);
	curl_easy_setopt(transfer->easy, CURLOPT_HEADERFUNCTION, take_header);
	curl_easy_setopt(transfer->easy, CURLOPT_HEADERDATA, transfer);
}

static void transfer_close(transfer_t *transfer)
{
	curl_easy_cleanup(transfer->easy);
	buf_release(&transfer->value);
}

static void transfer_prepare(transfer_t *transfer, const char *url,
			     long timeout_ms)
{
	buf_reset(&transfer->value);
	transfer->too_large = false;
	transfer->has_version = false;
	transfer->version = 0;
	transfer->status = 0;
	curl_easy_setopt(transfer->easy, CURLOPT_URL, url);
	curl_easy_setopt(transfer->easy, CURLOPT_TIMEOUT_MS, timeout_ms);
	metrics_inc(METRIC_PLATFORM_READS);
}

static void count_bytes(const transfer_t *transfer)
{
	curl_off_t body = 0;
	long head = 0;

	curl_easy_getinfo(transfer->easy, CURLINFO_SIZE_DOWNLOAD_T, &body);
	curl_easy_getinfo(transfer->easy, CURLINFO_HEADER_SIZE, &head);
	metrics_add(METRIC_PLATFORM_BYTES, STR_LIT(""),
		    (uint64_t)body + (uint64_t)head);
}

/* Turns the end of a transfer into an error code; 200 and 304 are ERR_OK. */
static err_code_t transfer_finish(transfer_t *transfer, CURLcode result,
				  const char *address, err_t *err)
{
	count_bytes(transfer);
	curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE,
			  &transfer->status);
	if (transfer->too_large)
		return err_set(err, ERR_TOO_LARGE, STEP, address,
			       "the value is above %d bytes",
			       PLATFORM_MAX_VALUE_BYTES);
	if (result == CURLE_OPERATION_TIMEDOUT)
		return err_set(err, ERR_TIMEOUT, STEP, address,
			       "no answer within the time limit");
	if (result != CURLE_OK)
		return err_set(err, ERR_IO, STEP, address, "%s",
			       curl_easy_strerror(result));
	switch (transfer->status) {
	case 200:
	case 304:
		return ERR_OK;
	case 404:
		return err_set(err, ERR_NOT_FOUND, STEP, address,
			       "the key is unknown");
	case 503:
		return err_set(err, ERR_REFUSED, STEP, address,
			       "the service is unavailable");
	default:
		return err_set(err, ERR_INVALID, STEP, address,
			       "unexpected HTTP status %ld", transfer->status);
	}
}

/* Runs the prepared transfer until it ends or the watch is stopped. */
static err_code_t run_transfer(platform_watch_t *watch, err_t *err)
{
	CURLcode result = CURLE_ABORTED_BY_CALLBACK;
	int running = 1;
	int left;
	CURLMsg *message;

	curl_multi_add_handle(watch->multi, watch->transfer.easy);
	while (running && !atomic_load(&watch->stopping)) {
		if (curl_multi_perform(watch->multi, &running))
			break;
		if (running)
			curl_multi_poll(watch->multi, NULL, 0, 1000, NULL);
	}
	while ((message = curl_multi_info_read(watch->multi, &left)))
		if (message->msg == CURLMSG_DONE)
			result = message->data.result;
	curl_multi_remove_handle(watch->multi, watch->transfer.easy);
	return transfer_finish(&watch->transfer, result, watch->address, err);
}

static err_code_t read_once(platform_watch_t *watch, err_t *err)
{
	char url[URL_BYTES];

	snprintf(url, sizeof(url),
		 "http://%s/v1/values/%s?after=%llu&wait_ms=%d", watch->address,
		 watch->key, (unsigned long long)watch->version,
		 PLATFORM_WATCH_MS);
	transfer_prepare(&watch->transfer, url,
			 PLATFORM_WATCH_MS + PLATFORM_WATCH_MARGIN_MS);
	return run_transfer(watch, err);
}

/* A stop wakes the poll. */
static void wait_ms(platform_watch_t *watch, int64_t ms)
{
	const mclock_t *clock = mclock_system();
	int64_t end = mclock_now_ms(clock) + ms;

	for (int64_t left = ms; left > 0 && !atomic_load(&watch->stopping);
	     left = end - mclock_now_ms(clock))
		curl_multi_poll(watch->multi, NULL, 0, (int)left, NULL);
}

/* Jitter keeps the hosts from returning all at once after an outage. */
static void wait_backoff(platform_watch_t *watch)
{
	int64_t half = watch->backoff_ms / 2;
	uint32_t random = 0;

	if (getrandom(&random, sizeof(random), 0) < 0)
		random = 0;
	wait_ms(watch, watch->backoff_ms - (int64_t)random % half);
	watch->backoff_ms *= 2;
	if (watch->backoff_ms > PLATFORM_BACKOFF_MAX_MS)
		watch->backoff_ms = PLATFORM_BACKOFF_MAX_MS;
}

static void on_failure(platform_watch_t *watch, const err_t *err)
{
	if (atomic_load(&watch->stopping))
		return;
	if (!watch->outage_logged)
		plog_write(PLOG_PLATFORM_UNREACHABLE,
			   "peer=%s key=%s error=%s message=\"%s\"",
			   watch->address, watch->key, err_code_name(err->code),
			   err->message);
	watch->outage_logged = true;
	wait_backoff(watch);
}

static void on_stale(platform_watch_t *watch)
{
	metrics_inc(METRIC_PLATFORM_STALE);
	if (!watch->stale_logged)
		plog_write(PLOG_PLATFORM_STALE,
			   "peer=%s key=%s version=%llu seen=%llu",
			   watch->address, watch->key,
			   (unsigned long long)watch->transfer.version,
			   (unsigned long long)watch->version);
	watch->stale_logged = true;
	watch->outage_logged = false;
	wait_backoff(watch);
}

/* A 304 may come without a version; a 200 may not. */
static err_code_t check_answer(const platform_watch_t *watch, err_t *err)
{
	const transfer_t *transfer = &watch->transfer;

	if (transfer->status == 200 && !transfer->has_version)
		return err_set(err, ERR_INVALID, STEP, watch->address,
			       "X-Version is missing or malformed");
	if (transfer->status == 304 && transfer->has_version &&
	    transfer->version > watch->version)
		return err_set(err, ERR_INVALID, STEP, watch->address,
			       "a newer version came without its value");
	return ERR_OK;
}

static void on_answer(platform_watch_t *watch)
{
	const transfer_t *transfer = &watch->transfer;

	bool repeated =
		transfer->status == 200 && transfer->version == watch->version;

	watch->outage_logged = false;
	watch->stale_logged = false;
	if (transfer->status == 200) {
		watch->version = transfer->version;
		watch->ops.on_value(watch->user, watch->version,
				    buf_view(&transfer->value));
	} else if (watch->ops.on_unchanged) {
		watch->ops.on_unchanged(watch->user, watch->version);
	}
	if (repeated)
		wait_backoff(watch);
	else
		watch->backoff_ms = PLATFORM_BACKOFF_MIN_MS;
}

static void watch_once(platform_watch_t *watch)
{
	const transfer_t *transfer = &watch->transfer;
	int64_t start = mclock_now_ms(mclock_system());
	err_t err;

	if (read_once(watch, &err) || check_answer(watch, &err)) {
		on_failure(watch, &err);
	} else if (transfer->has_version &&
		   transfer->version < watch->version) {
		on_stale(watch);
	} else {
		on_answer(watch);
		wait_ms(watch, start + MIN_INTERVAL_MS -
				       mclock_now_ms(mclock_system()));
	}
}

static void *run_watch(void *arg)
{
	platform_watch_t *watch = arg;

	while (!atomic_load(&watch->stopping))
		watch_once(watch);
	return NULL;
}

static void free_watch(platform_watch_t *watch)
{
	transfer_close(&watch->transfer);
	curl_multi_cleanup(watch->multi);
	free(watch->address);
	free(watch->key);
	free(watch);
}

err_code_t platform_get(const char *address, const char *key, buf_t *value,
			uint64_t *version, err_t *err)
{
	transfer_t transfer = {0};
	char url[URL_BYTES];
	err_code_t code;
	int len = snprintf(url, sizeof(url), "http://%s/v1/values/%s", address,
			   key);

	if (!is_key(key) || (size_t)len >= sizeof(url))
		return err_set(err, ERR_INVALID, STEP, address,
			       "malformed key");
	transfer_open(&transfer);
	transfer_prepare(&transfer, url, PLATFORM_GET_TIMEOUT_MS);
	code = transfer_finish(&transfer, curl_easy_perform(transfer.easy),
			       address, err);
	if (!code && transfer.status != 200)
		code = err_set(err, ERR_INVALID, STEP, address,
			       "unexpected HTTP status %ld", transfer.status);
	if (!code && version && !transfer.has_version)
		code = err_set(err, ERR_INVALID, STEP, address,
			       "X-Version is missing or malformed");
	if (!code) {
		buf_append_str(value, buf_view(&transfer.value));
		if (version)
			*version = transfer.version;
	}
	transfer_close(&transfer);
	return code;
}

platform_watch_t *platform_watch_start(const char *address, const char *key,
				       uint64_t after,
				       const platform_watch_ops_t *ops,
				       void *user, err_t *err)
{
	platform_watch_t *watch;

	if (!is_key(key) || strlen(key) + strlen(address) > URL_BYTES / 2) {
		err_set(err, ERR_INVALID, STEP, address, "malformed key");
		return NULL;
	}
	watch = calloc(1, sizeof(*watch));
	if (!watch)
		abort();
	watch->address = str_dup(str_from(address));
	watch->key = str_dup(str_from(key));
	watch->version = after;
	watch->ops = *ops;
	watch->user = user;
	watch->backoff_ms = PLATFORM_BACKOFF_MIN_MS;
	transfer_open(&watch->transfer);
	watch->multi = curl_multi_init();
	if (!watch->multi || !watch->address || !watch->key)
		abort();
	if (pthread_create(&watch->thread, NULL, run_watch, watch)) {
		err_set(err, ERR_IO, STEP, address,
			"cannot start the watch thread");
		free_watch(watch);
		return NULL;
	}
	return watch;
}

void platform_watch_stop(platform_watch_t *watch)
{
	if (!watch)
		return;
	atomic_store(&watch->stopping, true);
	curl_multi_wakeup(watch->multi);
	pthread_join(watch->thread, NULL);
	free_watch(watch);
}
