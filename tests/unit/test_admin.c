#include <arpa/inet.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/mclock.h"
#include "base/metrics.h"
#include "transport/admin.h"
#include "unit.h"

/* SHA-256 of "secret". */
static const uint8_t digest[ADMIN_DIGEST_BYTES] = {
	0x2b, 0xb8, 0x0d, 0x53, 0x7b, 0x1d, 0xa3, 0xe3, 0x8b, 0xd3, 0x03,
	0x61, 0xaa, 0x85, 0x56, 0x86, 0xbd, 0xe0, 0xea, 0xcd, 0x71, 0x62,
	0xfe, 0xf6, 0xa2, 0x5f, 0xe9, 0x7b, 0xf5, 0x27, 0xa2, 0x5b};

#define KEY "Authorization: Bearer secret\r\n"
#define BODY_LIMIT 100000
#define READ_TIMEOUT_MS 500
#define FUZZ_SEED 20261204
#define FUZZ_ROUNDS 300

static int dial(const char *address)
{
	struct sockaddr_in to = {.sin_family = AF_INET};
	struct timeval limit = {10, 0};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	to.sin_port =
		htons((uint16_t)strtol(strrchr(address, ':') + 1, NULL, 10));
	to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	CU_ASSERT_EQUAL_FATAL(connect(fd, (struct sockaddr *)&to, sizeof(to)),
			      0);
	return fd;
}

static void send_text(int fd, str_t text)
{
	while (text.len) {
		ssize_t sent = send(fd, text.ptr, text.len, MSG_NOSIGNAL);

		if (sent <= 0)
			return;
		text = (str_t){text.ptr + sent, text.len - (size_t)sent};
	}
}

/* Reads to the end; the result is NUL-terminated. */
static char *read_answer(int fd, buf_t *answer)
{
	char chunk[4096];
	ssize_t got;

	buf_reset(answer);
	while ((got = recv(fd, chunk, sizeof(chunk), 0)) > 0)
		buf_append(answer, chunk, (size_t)got);
	close(fd);
	buf_append(answer, "", 1);
	return answer->ptr;
}

static char *ask(const char *address, str_t text, buf_t *answer)
{
	int fd = dial(address);

	send_text(fd, text);
	return read_answer(fd, answer);
}

static void echo(void *user, httpd_call_t *call, str_t body)
{
	(void)user;
	httpd_answer(call, 200, "text/plain", body);
}

static admin_t *start_admin(void)
{
	admin_options_t options = {.listen = "127.0.0.1:0",
				   .threads = 4,
				   .max_body_bytes = BODY_LIMIT,
				   .read_timeout_ms = READ_TIMEOUT_MS};
	admin_t *admin;

	memcpy(options.key_digest, digest, sizeof(digest));
	admin = admin_create(&options);
	admin_route(admin, "POST", "/echo", echo, NULL);
	CU_ASSERT_EQUAL_FATAL(admin_start(admin, NULL), ERR_OK);
	return admin;
}

/* Guards against answers to callers without the key, and wrong statuses. */
static void test_admin_checks_key_then_route(void)
{
	static const char *const cases[][2] = {
		{"GET /metrics HTTP/1.1\r\n\r\n", "HTTP/1.1 401 "},
		{"GET /metrics HTTP/1.1\r\nAuthorization: Bearer secreT\r\n"
		 "\r\n",
		 "HTTP/1.1 401 "},
		{"GET /metrics HTTP/1.1\r\nAuthorization: Bearer \r\n\r\n",
		 "HTTP/1.1 401 "},
		{"GET /metrics HTTP/1.1\r\nAuthorization: Basic secret\r\n\r\n",
		 "HTTP/1.1 401 "},
		{"GET /none HTTP/1.1\r\n\r\n", "HTTP/1.1 401 "},
		{"GET /none HTTP/1.1\r\n" KEY "\r\n", "HTTP/1.1 404 "},
		{"GET /x/../metrics HTTP/1.1\r\n" KEY "\r\n", "HTTP/1.1 404 "},
		{"GET /echo HTTP/1.1\r\n" KEY "\r\n", "HTTP/1.1 405 "},
		{"OPTIONS /echo HTTP/1.1\r\nOrigin: x\r\n"
		 "Access-Control-Request-Method: POST\r\n\r\n",
		 "HTTP/1.1 401 "},
		{"GET /metrics HTTP/1.1\r\n" KEY "\r\n", "HTTP/1.1 200 "},
		{"garbage\r\n\r\n", "HTTP/1.1 400 "},
		{"POST /echo HTTP/1.1\r\n" KEY
		 "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
		 "HTTP/1.1 411 "},
		{"POST /echo HTTP/1.1\r\n" KEY
		 "Content-Length: 100001\r\n\r\nabc",
		 "HTTP/1.1 413 "},
		{"POST /echo HTTP/1.1\r\n" KEY "Content-Length: 3x\r\n\r\nabc",
		 "HTTP/1.1 400 "},
		{"POST /echo HTTP/1.1\r\n" KEY
		 "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
		 "HTTP/1.1 400 "},
		{"POST /echo HTTP/1.1\r\n" KEY "Content-Length: 3\r\n\r\nabc",
		 "HTTP/1.1 200 "},
	};
	admin_t *admin = start_admin();
	uint64_t unauthorized = metrics_total(METRIC_UNAUTHORIZED);
	uint64_t invalid = metrics_total(METRIC_INVALID_INPUT);
	buf_t answer = BUF_INIT;

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		char *text = ask(admin_address(admin), str_from(cases[i][0]),
				 &answer);

		CU_ASSERT_TRUE(
			str_starts_with(str_from(text), str_from(cases[i][1])));
		if (!strstr(text, "HTTP/1.1 200"))
			CU_ASSERT_PTR_NOT_NULL(strstr(
				text, "{\"error\":{\"outcome\":\"not-run\","));
	}
	CU_ASSERT_EQUAL(metrics_total(METRIC_UNAUTHORIZED) - unauthorized, 6);
	CU_ASSERT_EQUAL(metrics_total(METRIC_INVALID_INPUT) - invalid, 8);
	buf_release(&answer);
	admin_stop(admin);
}

/* Guards against bodies that are cut or altered on the way to the handler. */
static void test_admin_reads_large_body(void)
{
	admin_t *admin = start_admin();
	buf_t text = BUF_INIT;
	buf_t answer = BUF_INIT;
	size_t start;

	buf_printf(&text,
		   "POST /echo HTTP/1.1\r\n" KEY "Content-Length: %d\r\n\r\n",
		   BODY_LIMIT);
	start = text.len;
	for (int i = 0; i < BODY_LIMIT; i++)
		buf_append(&text, &"abcdefg"[i % 7], 1);
	ask(admin_address(admin), buf_view(&text), &answer);
	CU_ASSERT_FATAL(answer.len > BODY_LIMIT);
	CU_ASSERT_EQUAL(memcmp(answer.ptr + answer.len - 1 - BODY_LIMIT,
			       text.ptr + start, BODY_LIMIT),
			0);
	buf_release(&text);
	buf_release(&answer);
	admin_stop(admin);
}

/* Guards against a sender of single bytes that holds a worker for ever. */
static void test_admin_ends_slow_sender(void)
{
	admin_t *admin = start_admin();
	int64_t start = mclock_now_ms(mclock_system());
	int fd = dial(admin_address(admin));
	buf_t answer = BUF_INIT;
	char byte;

	send_text(fd, STR_LIT("POST /echo HTTP/1.1\r\n" KEY
			      "Content-Length: 5000\r\n\r\n"));
	while (recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
	       mclock_now_ms(mclock_system()) - start < 8000) {
		send_text(fd, STR_LIT("x"));
		usleep(50000); /* the pace of the slow sender */
	}
	CU_ASSERT_PTR_NOT_NULL(strstr(read_answer(fd, &answer), " 408 "));
	CU_ASSERT(mclock_now_ms(mclock_system()) - start <
		  6L * READ_TIMEOUT_MS);
	buf_release(&answer);
	admin_stop(admin);
}

/* Guards against request heads that crash the server or bypass the key. */
static void test_admin_survives_mutations(void)
{
	static const char head[] = "POST /echo HTTP/1.1\r\nHost: a\r\n"
				   "Content-Length: 3\r\n\r\nabc";
	admin_t *admin = start_admin();
	unsigned seed = FUZZ_SEED;
	buf_t answer = BUF_INIT;

	for (int i = 0; i < FUZZ_ROUNDS; i++) {
		char text[sizeof(head)];
		int fd = dial(admin_address(admin));

		memcpy(text, head, sizeof(head));
		for (int j = rand_r(&seed) % 4; j >= 0; j--)
			text[(size_t)rand_r(&seed) % (sizeof(head) - 1)] =
				(char)rand_r(&seed);
		send_text(fd,
			  (str_t){text, (size_t)rand_r(&seed) % sizeof(head)});
		shutdown(fd, SHUT_WR);
		CU_ASSERT_PTR_NULL(
			strstr(read_answer(fd, &answer), "HTTP/1.1 200"));
	}
	CU_ASSERT_PTR_NOT_NULL(strstr(
		ask(admin_address(admin),
		    STR_LIT("GET /metrics HTTP/1.1\r\n" KEY "\r\n"), &answer),
		"peridot_unauthorized_total"));
	buf_release(&answer);
	admin_stop(admin);
}

static _Atomic bool saw_hang_up;

static void stream(void *user, httpd_call_t *call)
{
	int64_t end = mclock_now_ms(mclock_system()) + 5000;

	(void)user;
	httpd_add_header(call, "X-Note", STR_LIT("a\r\nX-Evil: 1"));
	httpd_stream_begin(call, 200, "text/event-stream");
	httpd_stream_write(call, STR_LIT("data: 1\n\n"));
	httpd_stream_write(call, STR_LIT(""));
	if (str_equals(httpd_query(call), STR_LIT("wait"))) {
		while (!httpd_is_hung_up(call) &&
		       mclock_now_ms(mclock_system()) < end)
			usleep(1000);
		atomic_store(&saw_hang_up, httpd_is_hung_up(call));
		return;
	}
	CU_ASSERT_FALSE(httpd_is_hung_up(call));
	httpd_stream_end(call);
}

/* Guards against broken chunks, injected headers and unnoticed hang-ups. */
static void test_httpd_streams(void)
{
	httpd_options_t options = {.listen = "127.0.0.1:0",
				   .interface = "callers",
				   .handler = stream};
	httpd_t *httpd = httpd_start(&options, NULL);
	buf_t answer = BUF_INIT;
	char *text;
	char byte;
	int fd;

	CU_ASSERT_PTR_NOT_NULL_FATAL(httpd);
	text = ask(httpd_address(httpd), STR_LIT("GET / HTTP/1.1\r\n\r\n"),
		   &answer);
	CU_ASSERT_PTR_NOT_NULL(
		strstr(text, "\r\n\r\n9\r\ndata: 1\n\n\r\n0\r\n\r\n"));
	CU_ASSERT_PTR_NULL(strstr(text, "\r\nX-Evil"));
	text = ask(httpd_address(httpd), STR_LIT("GET / HTTP/1.0\r\n\r\n"),
		   &answer);
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "\r\n\r\ndata: 1\n\n"));
	fd = dial(httpd_address(httpd));
	send_text(fd, STR_LIT("GET /?wait HTTP/1.1\r\n\r\n"));
	CU_ASSERT_EQUAL(recv(fd, &byte, 1, 0), 1);
	close(fd);
	httpd_stop(httpd);
	CU_ASSERT_TRUE(atomic_load(&saw_hang_up));
	buf_release(&answer);
}

/* Guards against a start that reports success on an unusable address. */
static void test_httpd_refuses_addresses(void)
{
	static const char *const refused[] = {"",	   "8080",
					      "host:1",	   "127.0.0.1:65536",
					      "127.0.0.1", "127.0.0.1:0,0"};
	httpd_options_t options = {.interface = "callers", .handler = stream};
	httpd_t *first;
	err_t err;

	for (size_t i = 0; i < sizeof(refused) / sizeof(refused[0]); i++) {
		options.listen = refused[i];
		CU_ASSERT_PTR_NULL(httpd_start(&options, &err));
		CU_ASSERT_EQUAL(err.code, ERR_INVALID);
	}
	options.listen = "127.0.0.1:0";
	first = httpd_start(&options, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(first);
	options.listen = httpd_address(first);
	CU_ASSERT_PTR_NULL(httpd_start(&options, &err));
	CU_ASSERT_EQUAL(err.code, ERR_IO);
	httpd_stop(first);
}

int main(void)
{
	CU_TestInfo tests[] = {
		{"key and routes", test_admin_checks_key_then_route},
		{"large body", test_admin_reads_large_body},
		{"slow sender", test_admin_ends_slow_sender},
		{"mutated heads", test_admin_survives_mutations},
		{"streams", test_httpd_streams},
		{"addresses", test_httpd_refuses_addresses},
		CU_TEST_INFO_NULL};

	return unit_run("admin", tests);
}
