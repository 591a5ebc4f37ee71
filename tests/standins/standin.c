#include "standin.h"

#include <argp.h>
#include <arpa/inet.h>
#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "base/mclock.h"

#define MAX_FDS 4096
#define MAX_OPTIONS 64
#define FIXED_OPTIONS 5 /* options without a switch */
#define POLL_US 2000

enum {
	OPT_LISTEN = 'l',
	OPT_CONTROL = 'c',
	OPT_THREADS = 't',
	OPT_MARK = 'm',
	OPT_TO = 'o',
	OPT_SWITCH = 512
};

/* clang-format off */
#define COMMON_SWITCHES(X) \
	X(hang, 0, "accept and never answer while 1") \
	X(fail_next, 0, "answer the next N requests with 500") \
	X(delay_ms, 0, "wait before handling a request") \
	X(down, 0, "accept and reset connections while 1") \
	X(crash, 0, "control: reset all connections now")
/* clang-format on */
static struct {
	COMMON_SWITCHES(STANDIN_SWITCH_MEMBER)
} common_switches = {COMMON_SWITCHES(STANDIN_SWITCH_INIT)};
#define COMMON_COUNT (sizeof(common_switches) / sizeof(standin_switch_t))

static const standin_program_t *program;
char standin_address[STANDIN_ADDRESS_MAX] = "127.0.0.1:0";
char standin_forward_address[STANDIN_ADDRESS_MAX] = "";
char standin_mark[STANDIN_ADDRESS_MAX] = "";
static char control_address[STANDIN_ADDRESS_MAX] = "127.0.0.1:0";
int standin_threads = 64;
static atomic_bool stopping;

static standin_switch_t *switch_at(size_t i)
{
	if (i < program->switch_count)
		return &program->switches[i];
	i -= program->switch_count;
	return i < COMMON_COUNT ? (standin_switch_t *)&common_switches + i :
				  NULL;
}

bool standin_stopping(void)
{
	return atomic_load(&stopping);
}

int64_t standin_now_us(void)
{
	return mclock_now_us(mclock_system());
}

void standin_wait(pthread_cond_t *cond, pthread_mutex_t *mutex, int64_t us)
{
	struct timespec at;

	clock_gettime(CLOCK_MONOTONIC, &at);
	us = us * 1000 + at.tv_nsec;
	at.tv_sec += us / 1000000000;
	at.tv_nsec = us % 1000000000;
	pthread_cond_clockwait(cond, mutex, CLOCK_MONOTONIC, &at);
}

void standin_raise_peak(standin_counter_t *peak, long value)
{
	long old = *peak;

	while (value > old && !atomic_compare_exchange_weak(peak, &old, value))
		;
}

bool standin_consume_fail_next(void)
{
	return standin_consume_fault(&common_switches.fail_next);
}

bool standin_consume_fault(standin_switch_t *remaining)
{
	long count = atomic_load(&remaining->value);

	while (count > 0)
		if (atomic_compare_exchange_weak(&remaining->value, &count,
						 count - 1))
			return true;
	return false;
}

long standin_get_query_long(const struct mg_connection *conn, const char *name,
			    long fallback)
{
	const char *query = mg_get_request_info(conn)->query_string;
	char text[32];
	long value;

	if (!query ||
	    mg_get_var(query, strlen(query), name, text, sizeof(text)) < 0)
		return fallback;
	return standin_parse_long(text, &value) ? value : fallback;
}

bool standin_read_body(struct mg_connection *conn, buf_t *body)
{
	long long content_length = mg_get_request_info(conn)->content_length;
	int got;

	if (content_length > STANDIN_BODY_MAX)
		return false;
	for (;;) {
		buf_reserve(body, 16384);
		got = mg_read(conn, body->ptr + body->len, 16384);
		if (got <= 0)
			break;
		body->len += (size_t)got;
		if (body->len > STANDIN_BODY_MAX)
			return false;
	}
	return !got &&
	       (content_length < 0 || (size_t)content_length == body->len);
}

void standin_send_response(struct mg_connection *conn, int status,
			   const char *headers, str_t body)
{
	mg_printf(conn,
		  "HTTP/1.1 %d %s\r\nContent-Length: %zu\r\n"
		  "Content-Type: application/json\r\n%s\r\n",
		  status, mg_get_response_code_text(conn, status), body.len,
		  headers);
	if (body.len)
		mg_write(conn, body.ptr, body.len);
}

void standin_send_error(struct mg_connection *conn, int status,
			const char *headers, const char *type)
{
	char body[96];

	snprintf(body, sizeof(body), "{\"error\":{\"type\":\"%s\"}}\n", type);
	standin_send_response(conn, status, headers, str_from(body));
}

uint64_t standin_hash(uint64_t state, str_t bytes)
{
	for (size_t i = 0; i < bytes.len; i++)
		state = (state ^ (unsigned char)bytes.ptr[i]) *
			1099511628211ULL;
	return state;
}

static void append_counters(buf_t *out, const standin_counter_t *counters,
			    const char *const *names)
{
	for (int i = 0; names[i]; i++)
		buf_printf(out, "\"%s\":%ld,", names[i], counters[i]);
}

static void append_stats(buf_t *out)
{
	buf_printf(out, "{");
	append_counters(out, program->counters, program->counter_names);
	if (program->stats)
		program->stats(out);
	standin_append_records(out);
	buf_printf(out, "}\n");
}

/* Sets the switches in the query's order; stops at the first invalid one. */
static bool set_switches(const char *query)
{
	char copy[1024], *save = NULL, *part;

	if (!query || !str_copy(copy, sizeof(copy), str_from(query)))
		return false;
	for (part = strtok_r(copy, "&", &save); part;
	     part = strtok_r(NULL, "&", &save)) {
		char *equals = strchr(part, '=');
		standin_switch_t *found;
		size_t i = 0;
		long value;

		if (!equals || !standin_parse_long(equals + 1, &value))
			return false;
		*equals = '\0';
		while ((found = switch_at(i)) && strcmp(found->name, part) != 0)
			i++;
		if (!found)
			return false;
		found->value = value;
		if (program->on_set)
			program->on_set(found);
		if (found == &common_switches.crash)
			standin_reset_all();
	}
	return true;
}

static int handle_control(struct mg_connection *conn, void *data)
{
	const struct mg_request_info *info = mg_get_request_info(conn);
	bool post = !strcmp(info->request_method, "POST");
	buf_t out = BUF_INIT;

	(void)data;
	if (post && !strcmp(info->local_uri, "/control/set")) {
		if (set_switches(info->query_string))
			standin_send_response(conn, 200, "", STR_LIT("{}\n"));
		else
			standin_send_error(conn, 400, "", "key or value");
	} else if (!post && !strcmp(info->local_uri, "/control/stats")) {
		append_stats(&out);
		standin_send_response(conn, 200, "", buf_view(&out));
	} else if (!program->control ||
		   !program->control(conn, info->local_uri)) {
		standin_send_error(conn, 404, "", "path");
	}
	buf_release(&out);
	return 200;
}

static int handle_published(struct mg_connection *conn, void *data)
{
	int64_t due_us =
		standin_now_us() + common_switches.delay_ms.value * 1000;
	int fd = standin_get_socket(conn);

	(void)data;
	while (!standin_stopping() && !common_switches.down.value &&
	       (common_switches.hang.value || standin_now_us() < due_us)) {
		if (standin_peer_closed(fd)) {
			mg_disable_connection_keep_alive(conn);
			return 200;
		}
		usleep(POLL_US);
	}
	if (common_switches.down.value || standin_stopping()) {
		standin_reset(conn);
		return 200;
	}
	program->handle(conn, mg_get_request_info(conn)->local_uri);
	return 200;
}

/* Keeps CivetWeb from writing a log file. */
static int ignore_log(const struct mg_connection *conn, const char *message)
{
	(void)conn;
	(void)message;
	return 1;
}

static struct mg_context *start_server(char *address, int count,
				       mg_request_handler handler)
{
	struct mg_callbacks callbacks = {.log_message = ignore_log};
	struct mg_server_port port;
	struct mg_context *ctx;
	struct sockaddr_in sa;
	char number[16];
	/* clang-format off */
	const char *options[] = {
		"listening_ports", address, "num_threads", number,
		"enable_keep_alive", "yes", "keep_alive_timeout_ms", "2000",
		"tcp_nodelay", "1", NULL};
	/* clang-format on */

	snprintf(number, sizeof(number), "%d", count);
	if (!standin_parse_address(address, &sa))
		return NULL;
	ctx = mg_start(&callbacks, NULL, options);
	if (!ctx || mg_get_server_ports(ctx, 1, &port) != 1)
		return NULL;
	sa.sin_port = htons((uint16_t)port.port);
	standin_format_address(address, &sa);
	mg_set_request_handler(ctx, "/", handler, NULL);
	return ctx;
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	char *target = key == OPT_LISTEN  ? standin_address :
		       key == OPT_CONTROL ? control_address :
		       key == OPT_MARK	  ? standin_mark :
					    standin_forward_address;
	long value = 0;

	if (key == OPT_LISTEN || key == OPT_CONTROL || key == OPT_TO ||
	    key == OPT_MARK) {
		if (!str_copy(target, STANDIN_ADDRESS_MAX, str_from(arg)))
			argp_error(state, "address too long: %s", arg);
		return 0;
	}
	if (key != OPT_THREADS &&
	    (key < OPT_SWITCH || key >= OPT_SWITCH + MAX_OPTIONS))
		return ARGP_ERR_UNKNOWN;
	if (!standin_parse_long(arg, &value) ||
	    (key == OPT_THREADS && (value < 1 || value > 1024)))
		argp_error(state, "not a valid number: %s", arg);
	if (key == OPT_THREADS)
		standin_threads = (int)value;
	else
		switch_at((size_t)(key - OPT_SWITCH))->value = value;
	return 0;
}

static void parse_options(int argc, char **argv)
{
	static struct argp_option options[MAX_OPTIONS + FIXED_OPTIONS + 1] = {
		{"listen", OPT_LISTEN, "IP:PORT", 0, "published address", 0},
		{"control", OPT_CONTROL, "IP:PORT", 0, "control address", 0},
		{"to", OPT_TO, "IP:PORT", 0, "where the relay forwards to", 0},
		{"mark", OPT_MARK, "TEXT", 0,
		 "the relay marks connections that send this text; "
		 "the engine's name",
		 0},
		{"threads", OPT_THREADS, "N", 0,
		 "connections served at once, idle ones included (64)", 0}};
	static char names[MAX_OPTIONS][32];
	struct argp argp = {.options = options,
			    .parser = parse_option,
			    .doc = program->doc};
	const standin_switch_t *s;

	for (size_t i = 0; i < MAX_OPTIONS && (s = switch_at(i)); i++) {
		str_copy(names[i], sizeof(names[i]), str_from(s->name));
		for (char *c = names[i]; *c; c++)
			if (*c == '_')
				*c = '-';
		options[FIXED_OPTIONS + i].name = names[i];
		options[FIXED_OPTIONS + i].key = OPT_SWITCH + (int)i;
		options[FIXED_OPTIONS + i].arg = "N";
		options[FIXED_OPTIONS + i].doc = s->doc;
	}
	argp_parse(&argp, argc, argv, 0, NULL, NULL);
}

/* Wakes CivetWeb's accepting threads, which otherwise poll every 2 s. */
static void stop_listening(void)
{
	for (int fd = 3; fd < standin_threads + STANDIN_OTHER_FDS; fd++) {
		int is_listener = 0;
		socklen_t len = sizeof(is_listener);

		if (!getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &is_listener,
				&len) &&
		    is_listener)
			shutdown(fd, SHUT_RD);
	}
}

int standin_main(const standin_program_t *selected, int argc, char **argv)
{
	struct mg_context *published = NULL, *control;
	struct rlimit files = {MAX_FDS, MAX_FDS};
	sigset_t end_signals;
	int signal_number;

	program = selected;
	parse_options(argc, argv);
	signal(SIGPIPE, SIG_IGN);
	setrlimit(RLIMIT_NOFILE, &files);
	/* Threads started below inherit the mask; only sigwait() sees these. */
	sigemptyset(&end_signals);
	sigaddset(&end_signals, SIGTERM);
	sigaddset(&end_signals, SIGINT);
	pthread_sigmask(SIG_BLOCK, &end_signals, NULL);
	mg_init_library(0);
	if (program->start && !program->start())
		return 1;
	if (program->handle)
		published = start_server(standin_address, standin_threads,
					 handle_published);
	control = start_server(control_address, 4, handle_control);
	if (!control || (program->handle && !published)) {
		fprintf(stderr, "cannot listen on %s or %s\n", standin_address,
			control_address);
		return 1;
	}
	printf("ready %s %s\n", standin_address, control_address);
	fflush(stdout);
	sigwait(&end_signals, &signal_number);
	atomic_store(&stopping, true);
	if (program->stop)
		program->stop();
	stop_listening();
	if (published)
		mg_stop(published);
	mg_stop(control);
	mg_exit_library();
	return 0;
}
