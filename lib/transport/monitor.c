#include "transport/monitor.h"

#include <stdlib.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "base/metrics.h"
#include "base/plog.h"
#include "transport/httptext.h"
#include "transport/tcp.h"

#define MAX_HEAD_BYTES 8192
#define READ_BUFFER_BYTES 4096
#define IDLE_TIMEOUT_MS 60000
#define MAX_CLIENTS 32
/* Bodies of all clients together, in largest bodies. */
#define MAX_LARGEST_BODIES 2

typedef struct client {
	monitor_t *monitor;
	tcp_t tcp;
	http1_t http;
	loop_timer_t timer;
	buf_t body;
	bool body_too_large;
	bool closes; /* once its last response is sent */
	struct client *next, *prev;
} client_t;

struct monitor {
	loop_t *loop;
	int listen_fd;
	size_t max_body_bytes;
	monitor_handler_t handler;
	void *user;
	client_t *clients; /* the one that was served last is the first */
	size_t client_count;
	size_t body_bytes; /* buffered for all clients */
};

static void link_client(client_t *client)
{
	monitor_t *monitor = client->monitor;

	client->prev = NULL;
	client->next = monitor->clients;
	if (client->next)
		client->next->prev = client;
	monitor->clients = client;
}

static void unlink_client(client_t *client)
{
	if (client->prev)
		client->prev->next = client->next;
	else
		client->monitor->clients = client->next;
	if (client->next)
		client->next->prev = client->prev;
}

static void release_body(client_t *client)
{
	client->monitor->body_bytes -= client->body.cap;
	buf_release(&client->body);
}

static void destroy(client_t *client)
{
	monitor_t *monitor = client->monitor;

	loop_timer_cancel(monitor->loop, &client->timer);
	tcp_close(&client->tcp);
	http1_release(&client->http);
	release_body(client);
	unlink_client(client);
	monitor->client_count--;
	free(client);
}

/* RETURN VALUE: the client that was served, or opened, the longest time ago. */
static client_t *find_oldest(const monitor_t *monitor)
{
	client_t *client = monitor->clients;

	while (client->next)
		client = client->next;
	return client;
}

static void on_idle_timeout(void *user)
{
	destroy(user);
}

/* True when the body of a client may grow to the capacity `cap`. */
static bool has_body_room(const client_t *client, size_t cap)
{
	const monitor_t *monitor = client->monitor;
	size_t others = monitor->body_bytes - client->body.cap;

	return !others ||
	       others + cap <= MAX_LARGEST_BODIES * monitor->max_body_bytes;
}

/* Closes the oldest other clients that hold a body, until this one may grow. */
static void make_body_room(client_t *client, size_t cap)
{
	client_t *prev;

	for (client_t *other = find_oldest(client->monitor);
	     other && !has_body_room(client, cap); other = prev) {
		prev = other->prev;
		if (other != client && other->body.cap)
			destroy(other);
	}
}

static void on_body(http1_t *http, str_t data)
{
	client_t *client =
		(client_t *)((char *)http - offsetof(client_t, http));

	monitor_t *monitor = client->monitor;
	size_t cap = buf_grown_cap(&client->body, data.len);

	if (client->body_too_large ||
	    client->body.len + data.len > monitor->max_body_bytes) {
		client->body_too_large = true;
		return;
	}
	make_body_room(client, cap);
	monitor->body_bytes += cap - client->body.cap;
	buf_append_str(&client->body, data);
}

static const http1_ops_t http_ops = {on_body};

static void write_response(client_t *client, const monitor_response_t *response)
{
	buf_t out = BUF_INIT;

	httptext_append_status(&out, response->status);
	httptext_append_field(&out, STR_LIT("Content-Type"),
			      str_from(response->content_type));
	httptext_append_number(&out, STR_LIT("Content-Length"),
			       (int64_t)response->body.len);
	buf_append_str(&out, STR_LIT("\r\n"));
	if (client->http.head.method != HTTP_HEAD)
		buf_append_str(&out, buf_view(&response->body));
	tcp_send(&client->tcp, buf_view(&out));
	buf_release(&out);
}

static void handle_request(client_t *client)
{
	monitor_t *monitor = client->monitor;
	const http1_head_t *head = &client->http.head;
	monitor_request_t request = {
		.method = head->method == HTTP_HEAD ? HTTP_GET : head->method,
		.path = httptext_path(head),
		.key = httptext_bearer(head),
		.body = buf_view(&client->body)};
	monitor_response_t response = {
		.status = 404, .content_type = "text/plain", .body = BUF_INIT};

	if (client->body_too_large)
		response.status = 413;
	else
		monitor->handler(monitor->user, &request, &response);
	write_response(client, &response);
	buf_release(&response.body);
	release_body(client);
	client->body_too_large = false;
}

static void log_malformed(const client_t *client)
{
	char peer[ADDRESS_BYTES];

	tcp_peer(&client->tcp, peer);
	metrics_add(METRIC_INVALID_INPUT, STR_LIT("monitors"), 1);
	plog_write(PLOG_REQUEST_INVALID,
		   "peer=%s step=monitor status=0 reason=malformed", peer);
}

/* Ends a request; the next one is read once the response is sent. */
static void finish_request(client_t *client)
{
	handle_request(client);
	client->closes = !client->http.head.keep_alive;
	http1_next(&client->http);
	unlink_client(client);
	link_client(client);
	loop_timer_set(client->monitor->loop, &client->timer, IDLE_TIMEOUT_MS,
		       on_idle_timeout, client);
}

/* Reads on, or ends the connection, once all output is sent. */
static void update(client_t *client)
{
	bool is_sent = !tcp_unsent(&client->tcp);

	tcp_set_reading(&client->tcp, is_sent);
	if (is_sent && client->closes)
		tcp_shutdown_write(&client->tcp);
}

/* Bytes behind a request are dropped: clients wait for each response. */
static void on_input(client_t *client, str_t data)
{
	size_t consumed;

	if (client->closes)
		return;
	switch (http1_feed(&client->http, data, &consumed)) {
	case HTTP1_MORE:
		return;
	case HTTP1_MESSAGE:
		finish_request(client);
		update(client);
		return;
	default:
		log_malformed(client);
		destroy(client);
		return;
	}
}

static void on_io(void *user, uint32_t events)
{
	client_t *client = user;
	char buffer[READ_BUFFER_BYTES];
	size_t len;

	if (events & EPOLLOUT) {
		if (!tcp_flush(&client->tcp)) {
			destroy(client);
			return;
		}
		update(client);
	}
	if (!(events & (EPOLLIN | EPOLLHUP | EPOLLERR)))
		return;
	switch (tcp_read(&client->tcp, buffer, sizeof(buffer), &len)) {
	case TCP_READ_DATA:
		on_input(client, (str_t){buffer, len});
		return;
	case TCP_READ_AGAIN:
		return;
	default:
		destroy(client);
		return;
	}
}

static void add_client(monitor_t *monitor, int fd)
{
	client_t *client = calloc(1, sizeof(*client));

	if (!client)
		abort();
	client->monitor = monitor;
	link_client(client);
	monitor->client_count++;
	http1_init(&client->http, &http_ops, HTTP_REQUEST, MAX_HEAD_BYTES);
	tcp_open(&client->tcp, monitor->loop, fd, on_io, client);
	loop_timer_set(monitor->loop, &client->timer, IDLE_TIMEOUT_MS,
		       on_idle_timeout, client);
}

/* Accepts one connection; the loop calls again while others wait. */
static void on_accept(void *user, uint32_t events)
{
	monitor_t *monitor = user;
	int fd = tcp_accept(monitor->listen_fd);

	(void)events;
	if (fd < 0)
		return;
	add_client(monitor, fd);
	if (monitor->client_count > MAX_CLIENTS)
		destroy(find_oldest(monitor));
}

monitor_t *monitor_create(const monitor_options_t *options, err_t *err)
{
	int fd = tcp_listen(options->address, err);
	monitor_t *monitor;

	if (fd < 0)
		return NULL;
	monitor = calloc(1, sizeof(*monitor));
	if (!monitor)
		abort();
	*monitor = (monitor_t){.loop = options->loop,
			       .listen_fd = fd,
			       .max_body_bytes = options->max_body_bytes,
			       .handler = options->handler,
			       .user = options->user};
	loop_watch(options->loop, fd, EPOLLIN, on_accept, monitor);
	return monitor;
}

void monitor_free(monitor_t *monitor)
{
	if (!monitor)
		return;
	for (client_t *client = monitor->clients, *next; client;
	     client = next) {
		next = client->next;
		destroy(client);
	}
	loop_unwatch(monitor->loop, monitor->listen_fd);
	close(monitor->listen_fd);
	free(monitor);
}
