#include "transport/httpd.h"

#include <arpa/inet.h>
#include <assert.h>
#include <civetweb.h>
#include <dirent.h>
#include <poll.h>
#include <pthread.h>
#include <stdlib.h>
#include <strings.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "base/mclock.h"
#include "base/metrics.h"
#include "base/plog.h"

/* Connections that wait for a worker; CivetWeb's default of 20 is below one
 * burst of callers. */
#define CONNECTION_QUEUE "256"
#define LISTEN_BACKLOG "512"
#define MAX_REQUEST_HEAD "16384" /* bytes of request line and headers */
#define READ_CHUNK_BYTES 16384
#define DISCARD_MS 1000
#define NO_SOCKET (-1)

struct httpd {
	struct mg_context *context;
	httpd_handler_t handler;
	void *user;
	char interface[32];
	int64_t max_body_bytes;
	int64_t read_timeout_ms;
	char address[HTTPD_ADDRESS_BYTES];
};

struct httpd_call {
	httpd_t *httpd;
	struct mg_connection *conn;
	const struct mg_request_info *info;
	int fd; /* the client's socket; CivetWeb owns it */
	char peer[HTTPD_ADDRESS_BYTES];
	buf_t headers;
	int status; /* 0: not answered yet */
	bool chunked;
	bool body_read;
};

typedef struct address_parts {
	char ip[INET6_ADDRSTRLEN];
	bool v6;
	unsigned port;
} address_parts_t;

static pthread_once_t library_once = PTHREAD_ONCE_INIT;

static void init_library(void)
{
	mg_init_library(MG_FEATURES_DEFAULT);
}

static bool parse_port(str_t text, unsigned *port)
{
	*port = 0;
	if (!text.len || text.len > 5)
		return false;
	for (size_t i = 0; i < text.len; i++) {
		if (text.ptr[i] < '0' || text.ptr[i] > '9')
			return false;
		*port = *port * 10 + (unsigned)(text.ptr[i] - '0');
	}
	return *port <= 65535;
}

static bool parse_address(const char *text, address_parts_t *parts)
{
	const char *colon = strrchr(text, ':');
	unsigned char raw[sizeof(struct in6_addr)];
	str_t ip;

	if (!colon)
		return false;
	ip = (str_t){text, (size_t)(colon - text)};
	parts->v6 = ip.len > 2 && *text == '[' && ip.ptr[ip.len - 1] == ']';
	if (parts->v6)
		ip = (str_t){ip.ptr + 1, ip.len - 2};
	return str_copy(parts->ip, sizeof(parts->ip), ip) &&
	       inet_pton(parts->v6 ? AF_INET6 : AF_INET, parts->ip, raw) == 1 &&
	       parse_port(str_from(colon + 1), &parts->port);
}

/* Compares with a port and, unless NULL, with an IP in numeric form. */
static bool matches(const struct sockaddr_storage *address, const char *ip,
		    int port)
{
	char text[INET6_ADDRSTRLEN] = "";
	int actual = -1;

	if (address->ss_family == AF_INET) {
		const struct sockaddr_in *v4 =
			(const struct sockaddr_in *)address;

		inet_ntop(AF_INET, &v4->sin_addr, text, sizeof(text));
		actual = ntohs(v4->sin_port);
	} else if (address->ss_family == AF_INET6) {
		const struct sockaddr_in6 *v6 =
			(const struct sockaddr_in6 *)address;

		inet_ntop(AF_INET6, &v6->sin6_addr, text, sizeof(text));
		actual = ntohs(v6->sin6_port);
	}
	return actual == port && (!ip || !strcasecmp(text, ip));
}

static bool is_socket_of(int fd, const struct mg_request_info *info)
{
	struct sockaddr_storage remote = {0};
	struct sockaddr_storage local = {0};
	socklen_t len = sizeof(remote);

	if (getpeername(fd, (struct sockaddr *)&remote, &len) ||
	    !matches(&remote, info->remote_addr, info->remote_port))
		return false;
	len = sizeof(local);
	return !getsockname(fd, (struct sockaddr *)&local, &len) &&
	       matches(&local, NULL, info->server_port);
}

/*
 * CivetWeb has no function that returns a connection's socket, which a bounded
 * body read and the detection of a client's hang-up need. The connection stays
 * open during the handler, so the socket with its addresses is the right one.
 */
static int find_socket(const struct mg_request_info *info)
{
	DIR *dir = opendir("/proc/self/fd");
	struct dirent *entry;
	int found = NO_SOCKET;

	if (!dir)
		return NO_SOCKET;
	while (found == NO_SOCKET && (entry = readdir(dir))) {
		int fd = (int)strtol(entry->d_name, NULL, 10);

		if (entry->d_name[0] != '.' && fd != dirfd(dir) &&
		    is_socket_of(fd, info))
			found = fd;
	}
	closedir(dir);
	return found;
}

static err_code_t send_all(httpd_call_t *call, str_t bytes)
{
	if (bytes.len &&
	    mg_write(call->conn, bytes.ptr, bytes.len) != (int)bytes.len)
		return ERR_IO;
	return ERR_OK;
}

/* Line breaks in a value would let it add headers of its own. */
static void append_header(buf_t *out, const char *name, str_t value)
{
	buf_printf(out, "%s: ", name);
	for (size_t i = 0; i < value.len; i++) {
		char c = value.ptr[i];

		buf_append(out, (unsigned char)c < ' ' ? " " : &c, 1);
	}
	buf_append(out, "\r\n", 2);
}

static const char *status_text(const httpd_call_t *call, int status)
{
	switch (status) {
	case 422:
		return "Unprocessable Content";
	case 428:
		return "Precondition Required";
	case 429:
		return "Too Many Requests";
	default:
		return mg_get_response_code_text(call->conn, status);
	}
}

static void append_head(httpd_call_t *call, buf_t *out, int status,
			const char *content_type)
{
	buf_printf(out, "HTTP/1.1 %d %s\r\nConnection: close\r\n", status,
		   status_text(call, status));
	if (content_type)
		append_header(out, "Content-Type", str_from(content_type));
	buf_append_str(out, buf_view(&call->headers));
}

static int64_t now_ms(void)
{
	return mclock_now_ms(mclock_system());
}

/*
 * Closing a socket with unread bytes makes the kernel reset the connection, and
 * the client may lose the answer. Discards what comes for a bounded time, then
 * shuts the receiving side, so that a slow sender does not hold the worker.
 */
static void discard_input(const httpd_call_t *call)
{
	int64_t end = now_ms() + DISCARD_MS;
	char chunk[READ_CHUNK_BYTES];
	struct pollfd poller = {call->fd, POLLIN, 0};

	if (call->fd == NO_SOCKET)
		return;
	shutdown(call->fd, SHUT_WR);
	for (int64_t left = DISCARD_MS; left > 0; left = end - now_ms())
		if (poll(&poller, 1, (int)left) <= 0 ||
		    recv(call->fd, chunk, sizeof(chunk), MSG_DONTWAIT) <= 0)
			break;
	shutdown(call->fd, SHUT_RD);
}

static bool has_unread_body(const httpd_call_t *call)
{
	return !call->body_read &&
	       (call->info->content_length > 0 ||
		httpd_header(call, "Transfer-Encoding").len);
}

static void init_call(httpd_call_t *call, struct mg_connection *conn)
{
	*call = (httpd_call_t){0};
	call->httpd = mg_get_user_context_data(conn);
	call->conn = conn;
	call->info = mg_get_request_info(conn);
	call->fd = find_socket(call->info);
	snprintf(call->peer, sizeof(call->peer), "%s:%d",
		 call->info->remote_addr, call->info->remote_port);
	mg_disable_connection_keep_alive(conn);
}

static int handle_request(struct mg_connection *conn)
{
	httpd_call_t call;

	init_call(&call, conn);
	call.httpd->handler(call.httpd->user, &call);
	if (!call.status)
		httpd_answer_error(
			&call, &(httpd_error_t){500, "failed", "handler", "",
						STR_LIT("no answer"), 0});
	if (has_unread_body(&call))
		discard_input(&call);
	buf_release(&call.headers);
	return call.status;
}

static void report_invalid(const httpd_call_t *call, const char *step,
			   const char *message)
{
	metrics_add(METRIC_INVALID_INPUT, str_from(call->httpd->interface), 1);
	plog_write(PLOG_REQUEST_INVALID,
		   "peer=%s interface=%s step=\"%s\" message=\"%s\"",
		   call->peer, call->httpd->interface, step, message);
}

/* Errors that CivetWeb finds before the handler, such as a malformed head. */
static int handle_error(struct mg_connection *conn, int status,
			const char *message)
{
	httpd_call_t call;

	init_call(&call, conn);
	report_invalid(&call, "http", message);
	httpd_answer_error(&call,
			   &(httpd_error_t){status, "not-run", "http",
					    call.peer, str_from(message), 0});
	buf_release(&call.headers);
	return 0;
}

/* CivetWeb would write its messages to a file. */
static int discard_message(const struct mg_connection *conn,
			   const char *message)
{
	(void)conn;
	(void)message;
	return 1;
}

static bool start_civetweb(httpd_t *httpd, const char *ports, unsigned threads)
{
	static const struct mg_callbacks callbacks = {
		.begin_request = handle_request,
		.http_error = handle_error,
		.log_message = discard_message,
		.log_access = discard_message,
	};
	char thread_text[16];
	char timeout_text[24];
	const char *options[] = {"listening_ports",
				 ports,
				 "num_threads",
				 thread_text,
				 "request_timeout_ms",
				 timeout_text,
				 "connection_queue",
				 CONNECTION_QUEUE,
				 "listen_backlog",
				 LISTEN_BACKLOG,
				 "max_request_size",
				 MAX_REQUEST_HEAD,
				 "tcp_nodelay",
				 "1",
				 "enable_keep_alive",
				 "no",
				 "decode_url",
				 "no",
				 "cgi_pattern",
				 "",
				 "ssi_pattern",
				 "",
				 "enable_directory_listing",
				 "no",
				 "allow_sendfile_call",
				 "no",
				 "enable_auth_domain_check",
				 "no",
				 "access_control_allow_origin",
				 "",
				 "access_control_allow_methods",
				 "",
				 "access_control_allow_headers",
				 "",
				 NULL};

	snprintf(thread_text, sizeof(thread_text), "%u", threads);
	snprintf(timeout_text, sizeof(timeout_text), "%lld",
		 (long long)httpd->read_timeout_ms);
	pthread_once(&library_once, init_library);
	httpd->context = mg_start(&callbacks, httpd, options);
	return httpd->context;
}

static err_code_t refuse_body(const httpd_call_t *call, err_t *err,
			      err_code_t code, const char *message)
{
	report_invalid(call, "body", message);
	return err_set(err, code, "body", call->peer, "%s", message);
}

/* CivetWeb takes "3x" as 3 and the first of several lengths. */
static bool has_valid_length(const httpd_call_t *call)
{
	const struct mg_header *headers = call->info->http_headers;
	int count = 0;

	for (int i = 0; i < call->info->num_headers; i++) {
		const char *value = headers[i].value;

		if (strcasecmp(headers[i].name, "Content-Length") != 0)
			continue;
		if (count++ || !*value || value[strspn(value, "0123456789")])
			return false;
	}
	return true;
}

/*
 * mg_read() blocks until it has all bytes that it is asked for, and each byte
 * that comes extends its wait. Asking for no more than the socket holds, or for
 * one byte, keeps the wait within bounds. The one byte may also come from the
 * at most MAX_REQUEST_HEAD bytes that CivetWeb read along with the head.
 */
static size_t next_read_size(const httpd_call_t *call, int64_t left)
{
	int available = 0;

	if (call->fd != NO_SOCKET)
		ioctl(call->fd, FIONREAD, &available);
	if (available < 1)
		available = 1;
	if (available > READ_CHUNK_BYTES)
		available = READ_CHUNK_BYTES;
	return (int64_t)available < left ? (size_t)available : (size_t)left;
}

httpd_t *httpd_start(const httpd_options_t *options, err_t *err)
{
	struct mg_server_port port;
	address_parts_t parts;
	httpd_t *httpd;

	assert(options->handler);
	if (!parse_address(options->listen, &parts)) {
		err_set(err, ERR_INVALID, "listen", options->listen,
			"the address is not IP:PORT");
		return NULL;
	}
	httpd = calloc(1, sizeof(*httpd));
	if (!httpd)
		abort();
	httpd->handler = options->handler;
	httpd->user = options->user;
	str_copy(httpd->interface, sizeof(httpd->interface),
		 str_from(options->interface));
	httpd->max_body_bytes = options->max_body_bytes ?
					options->max_body_bytes :
					HTTPD_DEFAULT_BODY_BYTES;
	httpd->read_timeout_ms = options->read_timeout_ms ?
					 options->read_timeout_ms :
					 HTTPD_DEFAULT_READ_TIMEOUT_MS;
	if (!start_civetweb(httpd, options->listen,
			    options->threads ? options->threads :
					       HTTPD_DEFAULT_THREADS) ||
	    mg_get_server_ports(httpd->context, 1, &port) != 1) {
		err_set(err, ERR_IO, "listen", options->listen,
			"cannot listen on the address");
		httpd_stop(httpd);
		return NULL;
	}
	snprintf(httpd->address, sizeof(httpd->address),
		 parts.v6 ? "[%s]:%d" : "%s:%d", parts.ip, port.port);
	return httpd;
}

void httpd_stop(httpd_t *httpd)
{
	if (!httpd)
		return;
	if (httpd->context)
		mg_stop(httpd->context);
	free(httpd);
}

const char *httpd_address(const httpd_t *httpd)
{
	return httpd->address;
}

str_t httpd_method(const httpd_call_t *call)
{
	return str_from(call->info->request_method);
}

str_t httpd_path(const httpd_call_t *call)
{
	return str_from(call->info->local_uri_raw);
}

str_t httpd_query(const httpd_call_t *call)
{
	return str_from(call->info->query_string);
}

const char *httpd_peer(const httpd_call_t *call)
{
	return call->peer;
}

str_t httpd_header(const httpd_call_t *call, const char *name)
{
	const struct mg_header *headers = call->info->http_headers;

	for (int i = 0; i < call->info->num_headers; i++)
		if (!strcasecmp(headers[i].name, name))
			return str_from(headers[i].value);
	return (str_t){"", 0};
}

str_t httpd_bearer(const httpd_call_t *call)
{
	static const char scheme[] = "Bearer ";
	str_t value = httpd_header(call, "Authorization");
	size_t len = sizeof(scheme) - 1;

	if (value.len <= len || strncasecmp(value.ptr, scheme, len) != 0)
		return (str_t){"", 0};
	return (str_t){value.ptr + len, value.len - len};
}

err_code_t httpd_read_body(httpd_call_t *call, buf_t *body, err_t *err)
{
	int64_t left = call->info->content_length;
	int64_t end = now_ms() + call->httpd->read_timeout_ms;

	if (httpd_header(call, "Transfer-Encoding").len)
		return refuse_body(call, err, ERR_NOT_FOUND,
				   "the body has no Content-Length");
	if (!has_valid_length(call))
		return refuse_body(call, err, ERR_INVALID,
				   "Content-Length is malformed or repeated");
	if (left > call->httpd->max_body_bytes)
		return refuse_body(call, err, ERR_TOO_LARGE,
				   "the body is above the size limit");
	if (left > 0 &&
	    str_equals(httpd_header(call, "Expect"), STR_LIT("100-continue")))
		send_all(call, STR_LIT("HTTP/1.1 100 Continue\r\n\r\n"));
	while (left > 0) {
		size_t size = next_read_size(call, left);
		int got;

		buf_reserve(body, size);
		got = mg_read(call->conn, body->ptr + body->len, size);
		if (got <= 0 && httpd_is_hung_up(call))
			return refuse_body(call, err, ERR_IO,
					   "the client closed the connection");
		if (got <= 0 || now_ms() > end)
			return refuse_body(call, err, ERR_TIMEOUT,
					   "the body did not come in time");
		body->len += (size_t)got;
		left -= got;
	}
	call->body_read = true;
	return ERR_OK;
}

void httpd_add_header(httpd_call_t *call, const char *name, str_t value)
{
	append_header(&call->headers, name, value);
}

err_code_t httpd_answer(httpd_call_t *call, int status,
			const char *content_type, str_t body)
{
	buf_t out = BUF_INIT;
	err_code_t code;

	assert(!call->status);
	call->status = status;
	append_head(call, &out, status, content_type);
	buf_printf(&out, "Content-Length: %zu\r\n\r\n", body.len);
	buf_append_str(&out, body);
	code = send_all(call, buf_view(&out));
	buf_release(&out);
	return code;
}

err_code_t httpd_answer_error(httpd_call_t *call, const httpd_error_t *error)
{
	buf_t body = BUF_INIT;
	char retry_after[24];
	err_code_t code;

	snprintf(retry_after, sizeof(retry_after), "%lld",
		 (long long)error->retry_after_s);
	buf_printf(&body, "{\"error\":{\"outcome\":");
	buf_append_json(&body, str_from(error->outcome));
	buf_printf(&body, ",\"step\":");
	buf_append_json(&body, str_from(error->step));
	buf_printf(&body, ",\"peer\":");
	buf_append_json(&body, str_from(error->peer));
	buf_printf(&body, ",\"message\":");
	buf_append_json(&body, error->message);
	buf_printf(&body, ",\"retry_after_s\":%s}}\n", retry_after);
	httpd_add_header(call, "X-Peridot-Outcome", str_from(error->outcome));
	if (error->retry_after_s > 0)
		httpd_add_header(call, "Retry-After", str_from(retry_after));
	code = httpd_answer(call, error->status, "application/json",
			    buf_view(&body));
	buf_release(&body);
	return code;
}

err_code_t httpd_answer_body_error(httpd_call_t *call, const err_t *err)
{
	httpd_error_t error = {
		400, "not-run", err->step, err->peer, str_from(err->message),
		0};

	if (err->code == ERR_TOO_LARGE)
		error.status = 413;
	else if (err->code == ERR_TIMEOUT)
		error.status = 408;
	else if (err->code == ERR_NOT_FOUND)
		error.status = 411;
	return httpd_answer_error(call, &error);
}

err_code_t httpd_stream_begin(httpd_call_t *call, int status,
			      const char *content_type)
{
	buf_t out = BUF_INIT;
	err_code_t code;

	assert(!call->status);
	call->status = status;
	call->chunked =
		!str_equals(str_from(call->info->http_version), STR_LIT("1.0"));
	append_head(call, &out, status, content_type);
	if (call->chunked)
		buf_printf(&out, "Transfer-Encoding: chunked\r\n");
	buf_append(&out, "\r\n", 2);
	code = send_all(call, buf_view(&out));
	buf_release(&out);
	return code;
}

err_code_t httpd_stream_write(httpd_call_t *call, str_t bytes)
{
	buf_t out = BUF_INIT;
	err_code_t code;

	if (!bytes.len) /* an empty chunk would end the answer */
		return ERR_OK;
	if (!call->chunked)
		return send_all(call, bytes);
	buf_printf(&out, "%zx\r\n", bytes.len);
	buf_append_str(&out, bytes);
	buf_append(&out, "\r\n", 2);
	code = send_all(call, buf_view(&out));
	buf_release(&out);
	return code;
}

err_code_t httpd_stream_end(httpd_call_t *call)
{
	return call->chunked ? send_all(call, STR_LIT("0\r\n\r\n")) : ERR_OK;
}

bool httpd_is_hung_up(const httpd_call_t *call)
{
	struct pollfd poller = {call->fd, POLLRDHUP, 0};

	return call->fd != NO_SOCKET && poll(&poller, 1, 0) > 0 &&
	       (poller.revents & (POLLRDHUP | POLLHUP | POLLERR));
}
