#include "transport/fetch.h"

#include <curl/curl.h>
#include <stdlib.h>
#include <strings.h>
#include <sys/epoll.h>

#define FETCH_MAX_IDLE_CONNECTIONS 256L

struct fetcher {
	loop_t *loop;
	CURLM *multi;
	loop_timer_t timer;
};

struct fetch {
	fetcher_t *fetcher;
	CURL *easy;
	struct curl_slist *headers;
	const fetch_ops_t *ops;
	void *user;
	char *body;
	fetch_head_t head;
	bool head_done;
	bool in_callback;
	bool cancelled;
};

static void free_fetch(fetch_t *fetch)
{
	curl_multi_remove_handle(fetch->fetcher->multi, fetch->easy);
	curl_easy_cleanup(fetch->easy);
	curl_slist_free_all(fetch->headers);
	free(fetch->body);
	free(fetch);
}

static void report_head(fetch_t *fetch)
{
	const char *type = NULL;
	long status = 0;

	if (fetch->head_done)
		return;
	fetch->head_done = true;
	curl_easy_getinfo(fetch->easy, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_getinfo(fetch->easy, CURLINFO_CONTENT_TYPE, &type);
	fetch->head.http_status = (int)status;
	str_copy(fetch->head.content_type, sizeof(fetch->head.content_type),
		 str_from(type));
	if (fetch->ops->on_head)
		fetch->ops->on_head(fetch->user, &fetch->head);
}

/* True for a line "X-Refused: 1". */
static bool is_refusal(const char *line, size_t len)
{
	static const char name[] = "x-refused:";
	size_t at = sizeof(name) - 1;

	if (len < at || strncasecmp(line, name, at) != 0)
		return false;
	while (at < len && line[at] == ' ')
		at++;
	return at < len && line[at] == '1';
}

static size_t take_header(char *line, size_t size, size_t count, void *user)
{
	fetch_t *fetch = user;

	if (is_refusal(line, size * count))
		fetch->head.refused = true;
	return size * count;
}

static size_t take_data(char *data, size_t size, size_t count, void *user)
{
	fetch_t *fetch = user;
	size_t len = size * count;
	int stop = 0;

	fetch->in_callback = true;
	report_head(fetch);
	if (!fetch->cancelled && fetch->ops->on_data)
		stop = fetch->ops->on_data(fetch->user, (str_t){data, len});
	fetch->in_callback = false;
	return stop || fetch->cancelled ? 0 : len;
}

static void run_timeout(void *user);
static void run_socket(void *user, uint32_t events);

static int on_timer(CURLM *multi, long timeout_ms, void *user)
{
	fetcher_t *fetcher = user;

	(void)multi;
	if (timeout_ms < 0)
		loop_timer_cancel(fetcher->loop, &fetcher->timer);
	else
		loop_timer_set(fetcher->loop, &fetcher->timer, timeout_ms,
			       run_timeout, fetcher);
	return 0;
}

/* A socket callback needs its descriptor, which the loop does not pass. */
typedef struct socket_watch {
	fetcher_t *fetcher;
	curl_socket_t fd;
} socket_watch_t;

static int on_socket(CURL *easy, curl_socket_t fd, int what, void *user,
		     void *socket_user)
{
	fetcher_t *fetcher = user;
	socket_watch_t *watch = socket_user;
	uint32_t events = 0;

	(void)easy;
	if (what == CURL_POLL_REMOVE) {
		loop_unwatch(fetcher->loop, fd);
		curl_multi_assign(fetcher->multi, fd, NULL);
		free(watch);
		return 0;
	}
	if (!watch) {
		watch = malloc(sizeof(*watch));
		if (!watch)
			abort();
		*watch = (socket_watch_t){fetcher, fd};
		curl_multi_assign(fetcher->multi, fd, watch);
	}
	if (what == CURL_POLL_IN || what == CURL_POLL_INOUT)
		events |= EPOLLIN;
	if (what == CURL_POLL_OUT || what == CURL_POLL_INOUT)
		events |= EPOLLOUT;
	loop_watch(fetcher->loop, fd, events, run_socket, watch);
	return 0;
}

/* True when no byte of the request can have left this process. */
static bool is_before_send(CURL *easy, CURLcode code)
{
	curl_off_t connected = 0;

	if (code == CURLE_COULDNT_CONNECT ||
	    code == CURLE_COULDNT_RESOLVE_HOST || code == CURLE_URL_MALFORMAT ||
	    code == CURLE_UNSUPPORTED_PROTOCOL)
		return true;
	curl_easy_getinfo(easy, CURLINFO_CONNECT_TIME_T, &connected);
	return code == CURLE_OPERATION_TIMEDOUT && connected == 0;
}

static err_code_t to_code(CURLcode code)
{
	if (code == CURLE_OK)
		return ERR_OK;
	if (code == CURLE_OPERATION_TIMEDOUT)
		return ERR_TIMEOUT;
	return code == CURLE_WRITE_ERROR ? ERR_BAD_STATE : ERR_IO;
}

static void finish(fetch_t *fetch, CURLcode code)
{
	fetch_result_t result = {.code = to_code(code)};

	fetch->in_callback = true;
	if (code == CURLE_OK)
		report_head(fetch);
	if (!fetch->cancelled) {
		result.may_have_left = !is_before_send(fetch->easy, code);
		result.has_head = fetch->head_done;
		result.head = fetch->head;
		str_copy(result.message, sizeof(result.message),
			 str_from(curl_easy_strerror(code)));
		fetch->ops->on_done(fetch->user, &result);
	}
	free_fetch(fetch);
}

static void reap(fetcher_t *fetcher)
{
	CURLMsg *msg;
	int left;

	while ((msg = curl_multi_info_read(fetcher->multi, &left))) {
		fetch_t *fetch;
		CURLcode code = msg->data.result;

		curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE,
				  (char **)&fetch);
		finish(fetch, code);
	}
}

static void run_timeout(void *user)
{
	fetcher_t *fetcher = user;
	int running;

	curl_multi_socket_action(fetcher->multi, CURL_SOCKET_TIMEOUT, 0,
				 &running);
	reap(fetcher);
}

static void run_socket(void *user, uint32_t events)
{
	socket_watch_t *watch = user;
	fetcher_t *fetcher = watch->fetcher;
	int mask = 0;
	int running;

	if (events & (EPOLLIN | EPOLLHUP))
		mask |= CURL_CSELECT_IN;
	if (events & EPOLLOUT)
		mask |= CURL_CSELECT_OUT;
	if (events & EPOLLERR)
		mask |= CURL_CSELECT_ERR;
	curl_multi_socket_action(fetcher->multi, watch->fd, mask, &running);
	reap(fetcher);
}

fetcher_t *fetcher_create(loop_t *loop)
{
	fetcher_t *fetcher = calloc(1, sizeof(*fetcher));

	if (!fetcher)
		return NULL;
	fetcher->loop = loop;
	fetcher->multi = curl_multi_init();
	if (!fetcher->multi) {
		free(fetcher);
		return NULL;
	}
	curl_multi_setopt(fetcher->multi, CURLMOPT_TIMERFUNCTION, on_timer);
	curl_multi_setopt(fetcher->multi, CURLMOPT_TIMERDATA, fetcher);
	curl_multi_setopt(fetcher->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
	curl_multi_setopt(fetcher->multi, CURLMOPT_SOCKETDATA, fetcher);
	curl_multi_setopt(fetcher->multi, CURLMOPT_MAXCONNECTS,
			  FETCH_MAX_IDLE_CONNECTIONS);
	return fetcher;
}

void fetcher_free(fetcher_t *fetcher)
{
	if (!fetcher)
		return;
	curl_multi_cleanup(fetcher->multi);
	loop_timer_cancel(fetcher->loop, &fetcher->timer);
	free(fetcher);
}

static void set_method(fetch_t *fetch, const fetch_request_t *request)
{
	CURL *easy = fetch->easy;

	if (!strcmp(request->method, "POST")) {
		fetch->body = str_dup(request->body);
		curl_easy_setopt(easy, CURLOPT_POST, 1L);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)request->body.len);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, fetch->body);
		fetch->headers = curl_slist_append(
			fetch->headers, "Content-Type: application/json");
		/* No wait for "100 Continue" before the body. */
		fetch->headers = curl_slist_append(fetch->headers, "Expect:");
	} else if (strcmp(request->method, "GET") != 0) {
		curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request->method);
	}
}

static void set_options(fetch_t *fetch, const fetch_request_t *request)
{
	CURL *easy = fetch->easy;

	curl_easy_setopt(easy, CURLOPT_URL, request->url);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, fetch);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)FETCH_CONNECT_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)request->timeout_ms);
	curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, take_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, fetch);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, take_data);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, fetch);
	if (request->fresh) {
		curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
		curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
	}
	for (const char *const *header = request->headers; header && *header;
	     header++)
		fetch->headers = curl_slist_append(fetch->headers, *header);
	set_method(fetch, request);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, fetch->headers);
}

fetch_t *fetch_start(fetcher_t *fetcher, const fetch_request_t *request,
		     const fetch_ops_t *ops, void *user)
{
	fetch_t *fetch = calloc(1, sizeof(*fetch));

	if (!fetch)
		return NULL;
	fetch->fetcher = fetcher;
	fetch->ops = ops;
	fetch->user = user;
	fetch->easy = curl_easy_init();
	if (!fetch->easy) {
		free(fetch);
		return NULL;
	}
	set_options(fetch, request);
	if (curl_multi_add_handle(fetcher->multi, fetch->easy)) {
		free_fetch(fetch);
		return NULL;
	}
	return fetch;
}

void fetch_cancel(fetch_t *fetch)
{
	if (!fetch)
		return;
	fetch->cancelled = true;
	/* Inside a callback libcurl still uses the handle; the zero that
	 * take_data() returns ends the transfer, and finish() frees it. */
	if (!fetch->in_callback)
		free_fetch(fetch);
}
