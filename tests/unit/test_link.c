#include "unit.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#include "transport/address.h"
#include "transport/frame.h"
#include "transport/link.h"

#define TEST_LIMIT_MS 5000

/* One server and one client link on the same loop. */
typedef struct fixture {
	loop_t *loop;
	link_listener_t *listener;
	link_t *client;
	link_t *accepted;
	loop_timer_t limit;
	char address[ADDRESS_BYTES];
	unsigned ups;
	unsigned downs;
	unsigned frames;
	err_code_t last_error;
	size_t last_length;
	unsigned stop_after_frames;
	unsigned stop_after_ups;
	unsigned stop_after_downs;
	bool timed_out;
} fixture_t;

static void check_done(fixture_t *f)
{
	if ((f->stop_after_frames && f->frames >= f->stop_after_frames) ||
	    (f->stop_after_ups && f->ups >= f->stop_after_ups) ||
	    (f->stop_after_downs && f->downs >= f->stop_after_downs))
		loop_stop(f->loop);
}

static void on_up(link_t *link)
{
	fixture_t *f = link_user(link);

	f->ups++;
	check_done(f);
}

static int on_frame(link_t *link, str_t frame)
{
	fixture_t *f = link_user(link);

	f->frames++;
	f->last_length = frame.len;
	check_done(f);
	return str_equals(frame, STR_LIT("refuse")) ? -1 : 0;
}

static void on_down(link_t *link, const err_t *err)
{
	fixture_t *f = link_user(link);

	f->downs++;
	f->last_error = err->code;
	if (link == f->accepted)
		f->accepted = NULL;
	check_done(f);
}

static void on_accept(void *user, link_t *link)
{
	fixture_t *f = user;

	f->accepted = link;
}

static const link_ops_t ops = {on_up, on_frame, on_down};

static void give_up(void *user)
{
	fixture_t *f = user;

	f->timed_out = true;
	loop_stop(f->loop);
}

static void setup(fixture_t *f)
{
	err_t err;

	memset(f, 0, sizeof(*f));
	f->loop = loop_create(mclock_system());
	f->listener =
		link_listen(f->loop, "127.0.0.1:0", &ops, on_accept, f, &err);
	CU_ASSERT_PTR_NOT_NULL_FATAL(f->listener);
	snprintf(f->address, sizeof(f->address), "127.0.0.1:%d",
		 link_listener_port(f->listener));
}

static void run(fixture_t *f)
{
	loop_timer_set(f->loop, &f->limit, TEST_LIMIT_MS, give_up, f);
	loop_run(f->loop);
	CU_ASSERT_FALSE(f->timed_out);
}

static void teardown(fixture_t *f)
{
	loop_timer_cancel(f->loop, &f->limit);
	if (f->accepted)
		link_close(f->accepted);
	link_close(f->client);
	link_listener_close(f->listener);
	loop_free(f->loop);
}

/* A connection made by hand, to send bytes that a link never would. */
static int connect_raw(const fixture_t *f)
{
	struct sockaddr_in address;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	address_parse(f->address, &address, NULL);
	CU_ASSERT_EQUAL_FATAL(
		connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	return fd;
}

static void send_frames(link_t *link)
{
	static char big[FRAME_MAX_BYTES];
	fixture_t *f = link_user(link);

	f->ups++;
	CU_ASSERT_EQUAL(link_send(link, STR_LIT("one")), ERR_OK);
	CU_ASSERT_EQUAL(link_send(link, STR_LIT("")), ERR_OK);
	CU_ASSERT_EQUAL(link_send(link, (str_t){big, sizeof(big)}), ERR_OK);
}

/* A frame larger than one read, and an empty one, must arrive whole. */
static void test_frames_arrive_whole(void)
{
	static const link_ops_t sender = {send_frames, on_frame, on_down};
	fixture_t f;

	setup(&f);
	f.stop_after_frames = 3;
	f.client = link_open(f.loop, f.address, &sender, &f, NULL);
	run(&f);
	CU_ASSERT_EQUAL(f.last_length, FRAME_MAX_BYTES);
	teardown(&f);
}

/* A length above the limit must end the connection before any allocation of
 * that size. */
static void test_oversized_frame_is_refused(void)
{
	fixture_t f;
	uint32_t length = htonl(FRAME_MAX_BYTES + 1);
	int fd;

	setup(&f);
	fd = connect_raw(&f);
	CU_ASSERT_EQUAL(write(fd, &length, sizeof(length)), sizeof(length));
	f.stop_after_downs = 1;
	run(&f);
	CU_ASSERT_EQUAL(f.last_error, ERR_TOO_LARGE);
	close(fd);
	teardown(&f);
}

/* A message that the user refuses must close the connection as invalid. */
static void test_refused_message_closes(void)
{
	fixture_t f;
	buf_t raw = BUF_INIT;
	int fd;

	setup(&f);
	fd = connect_raw(&f);
	frame_append(&raw, STR_LIT("refuse"));
	CU_ASSERT_EQUAL(write(fd, raw.ptr, raw.len), (ssize_t)raw.len);
	f.stop_after_downs = 1;
	run(&f);
	CU_ASSERT_EQUAL(f.last_error, ERR_INVALID);
	close(fd);
	buf_release(&raw);
	teardown(&f);
}

static void restart_listener(void *user)
{
	fixture_t *f = user;

	f->listener =
		link_listen(f->loop, f->address, &ops, on_accept, f, NULL);
	CU_ASSERT_PTR_NOT_NULL(f->listener);
}

/* An outgoing link must come back by itself when its peer was away first. */
static void test_reconnects(void)
{
	loop_timer_t restart = {0};
	fixture_t f;

	setup(&f);
	link_listener_close(f.listener);
	f.listener = NULL;
	f.client = link_open(f.loop, f.address, &ops, &f, NULL);
	loop_timer_set(f.loop, &restart, 3 * LINK_BACKOFF_MIN_MS,
		       restart_listener, &f);
	f.stop_after_ups = 1;
	run(&f);
	CU_ASSERT(f.downs >= 1);
	teardown(&f);
}

static void send_until_full(link_t *link)
{
	static char block[1024 * 1024];
	fixture_t *f = link_user(link);
	err_code_t code = ERR_OK;

	f->ups++;
	for (int i = 0; i < 16 && code == ERR_OK; i++)
		code = link_send(link, (str_t){block, sizeof(block)});
	f->last_error = code;
	check_done(f);
}

/* A peer that does not read must not make the output grow without bound. */
static void test_output_is_bounded(void)
{
	static const link_ops_t sender = {send_until_full, on_frame, on_down};
	fixture_t f;

	setup(&f);
	f.stop_after_ups = 1;
	f.client = link_open(f.loop, f.address, &sender, &f, NULL);
	run(&f);
	CU_ASSERT_EQUAL(f.last_error, ERR_FULL);
	teardown(&f);
}

static void test_addresses(void)
{
	static const char *const bad[] = {
		"",	      "127.0.0.1",   "localhost:1",	"1.2.3:80",
		"127.0.0.1:", "127.0.0.1:x", "127.0.0.1:65536", "127.0.0.1:-1"};
	struct sockaddr_in address;
	char text[ADDRESS_BYTES];

	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		CU_ASSERT_EQUAL(address_parse(bad[i], &address, NULL),
				ERR_INVALID);
	CU_ASSERT_EQUAL(address_parse("127.0.0.9:7001", &address, NULL),
			ERR_OK);
	address_format(&address, text);
	CU_ASSERT_STRING_EQUAL(text, "127.0.0.9:7001");
}

static void count_call(void *user)
{
	fixture_t *f = user;

	f->frames++;
	check_done(f);
}

/* Timers must fire in the order of their due times, and a cancelled one not. */
static void test_timers(void)
{
	fixture_t f;
	loop_timer_t a = {0}, b = {0}, c = {0};

	setup(&f);
	loop_timer_set(f.loop, &a, 20, count_call, &f);
	loop_timer_set(f.loop, &b, 5, count_call, &f);
	loop_timer_set(f.loop, &c, 10, count_call, &f);
	loop_timer_cancel(f.loop, &c);
	f.stop_after_frames = 2;
	run(&f);
	CU_ASSERT_EQUAL(a.due_ms, 0);
	CU_ASSERT_EQUAL(f.frames, 2);
	teardown(&f);
}

int main(void)
{
	CU_TestInfo tests[] = {
		{"frames arrive whole", test_frames_arrive_whole},
		{"oversized frame is refused", test_oversized_frame_is_refused},
		{"refused message closes", test_refused_message_closes},
		{"reconnects", test_reconnects},
		{"output is bounded", test_output_is_bounded},
		{"addresses", test_addresses},
		{"timers", test_timers},
		CU_TEST_INFO_NULL};

	return unit_run("link", tests);
}
