#include "unit.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "platform/store.h"
#include "replicas.h"
#include "transport/tcp.h"

/*
 * The client of the configuration service, and a service that the test
 * simulates on the same loop: it answers the calls in the order of a script.
 */
#define SERVICE_PORT 7620
#define TEST_TIMEOUT_MS 3000
#define MAX_CALLS 8
#define TARGET_BYTES 128

typedef struct answer {
	int era;
	const char *body;
	/* Called before the answer is sent: something happens while the call is
	 * under way. NULL: nothing does. */
	void (*before)(replica_t *replica);
} answer_t;

typedef struct fixture {
	loop_t *loop;
	replica_t *replica;
	pstore_t *store;
	int listen_fd;
	tcp_t connection;
	const answer_t *answers;
	size_t answer_count;
	size_t call_count;
	char targets[MAX_CALLS][TARGET_BYTES];
	loop_timer_t end_timer;
} fixture_t;

static void ignore(void *user)
{
	(void)user;
}

static void ignore_loss(void *user, const err_t *err)
{
	(void)user;
	(void)err;
}

static void on_end(void *user)
{
	loop_stop(((fixture_t *)user)->loop);
}

static void send_answer(fixture_t *fixture, const answer_t *answer)
{
	buf_t out = BUF_INIT;

	if (answer->before)
		answer->before(fixture->replica);
	buf_printf(&out,
		   "HTTP/1.1 200 OK\r\nStore-Era: %d\r\n"
		   "Content-Length: %zu\r\n\r\n%s",
		   answer->era, strlen(answer->body), answer->body);
	tcp_send(&fixture->connection, buf_view(&out));
	buf_release(&out);
}

/* Records the call's target and answers it; the call after the last answer ends
 * the test. */
static void on_service_io(void *user, uint32_t events)
{
	fixture_t *fixture = user;
	char request[1024];
	size_t len, number = fixture->call_count;

	if (events & EPOLLOUT)
		tcp_flush(&fixture->connection);
	if (!(events & EPOLLIN))
		return;
	if (tcp_read(&fixture->connection, request, sizeof(request) - 1,
		     &len) != TCP_READ_DATA) {
		tcp_close(&fixture->connection);
		return;
	}
	request[len] = '\0';
	if (number < MAX_CALLS)
		sscanf(request, "GET %127s", fixture->targets[number]);
	fixture->call_count++;
	if (number < fixture->answer_count)
		send_answer(fixture, &fixture->answers[number]);
	else
		loop_stop(fixture->loop);
}

static void on_service_accept(void *user, uint32_t events)
{
	fixture_t *fixture = user;
	int fd = tcp_accept(fixture->listen_fd);

	(void)events;
	tcp_close(&fixture->connection);
	if (fd >= 0)
		tcp_open(&fixture->connection, fixture->loop, fd, on_service_io,
			 fixture);
}

/* Runs the client against the answers, until one call more is made. */
static void run_calls(fixture_t *fixture, const answer_t *answers, size_t count)
{
	pstore_observer_t observer = {ignore, ignore_loss, ignore, NULL};
	char address[64];
	err_t err;

	memset(fixture, 0, sizeof(*fixture));
	snprintf(address, sizeof(address), "127.%d.%d.1:%d",
		 1 + getpid() / 250 % 250, getpid() % 250, SERVICE_PORT);
	fixture->answers = answers;
	fixture->answer_count = count;
	fixture->connection.fd = TCP_CLOSED;
	fixture->loop = loop_create(mclock_system());
	fixture->replica = create_replica();
	fixture->listen_fd = tcp_listen(address, &err);
	loop_watch(fixture->loop, fixture->listen_fd, EPOLLIN,
		   on_service_accept, fixture);
	fixture->store = pstore_create(fixture->loop, address, fixture->replica,
				       &observer);
	pstore_set_reader(fixture->store, true);
	loop_timer_set(fixture->loop, &fixture->end_timer, TEST_TIMEOUT_MS,
		       on_end, fixture);
	loop_run(fixture->loop);
	CU_ASSERT_EQUAL(fixture->call_count, count + 1);
}

static void tear_down(fixture_t *fixture)
{
	loop_timer_cancel(fixture->loop, &fixture->end_timer);
	pstore_free(fixture->store);
	tcp_close(&fixture->connection);
	loop_unwatch(fixture->loop, fixture->listen_fd);
	close(fixture->listen_fd);
	replica_free(fixture->replica);
	loop_free(fixture->loop);
	buf_release(&changes);
}

static bool begins_with(const char *target, const char *path)
{
	return !strncmp(target, path, strlen(path));
}

static bool has(const replica_t *replica, const char *key)
{
	return replica_get(replica, str_from(key)).ptr != NULL;
}

/* A peer's records of era 2, up to revision 12, replace those of era 1. */
static void pull_later_era(replica_t *replica)
{
	static const char *const values[] = {"b=1", NULL};

	replica_begin_era(replica, 2);
	list_records(replica, values, 12);
}

/* Guards against changes that are skipped for good, when the answer to a watch
 * from before a later era arrives after a peer's records of that era (CONFIG).
 */
static void test_watch_across_an_era(void)
{
	static const answer_t answers[] = {
		{1,
		 "{\"at_revision\":17,\"has_more\":false,\"entries\":["
		 "{\"key\":\"a\",\"revision\":5,\"value\":\"MQ==\"}]}",
		 NULL},
		{2, "{\"at_revision\":25,\"events\":[]}", pull_later_era},
		{2,
		 "{\"at_revision\":25,\"has_more\":false,\"entries\":["
		 "{\"key\":\"b\",\"revision\":1,\"value\":\"MQ==\"},"
		 "{\"key\":\"c\",\"revision\":14,\"value\":\"MQ==\"}]}",
		 NULL}};
	fixture_t fixture;

	run_calls(&fixture, answers, 3);
	CU_ASSERT_TRUE(begins_with(fixture.targets[1], "/peridotpin/kv-watch"));
	CU_ASSERT_TRUE(begins_with(fixture.targets[2], "/peridotpin/kv-range"));
	CU_ASSERT_TRUE(has(fixture.replica, "c"));
	CU_ASSERT_EQUAL(replica_revision(fixture.replica), 25);
	tear_down(&fixture);
}

/* A peer's records up to revision 20, of which "k" is not one any more. */
static void pull_all_records(replica_t *replica)
{
	static const char *const values[] = {"a=1", NULL};

	list_records(replica, values, 20);
}

/* Guards against a listing that goes on after a peer's records arrived between
 * two of its pages, and takes up a record that was removed (DRAIN, EVAC). */
static void test_pull_between_pages(void)
{
	static const answer_t answers[] = {
		{0,
		 "{\"at_revision\":10,\"has_more\":true,\"entries\":["
		 "{\"key\":\"a\",\"revision\":1,\"value\":\"MQ==\"}]}",
		 NULL},
		{0,
		 "{\"at_revision\":10,\"has_more\":true,\"entries\":["
		 "{\"key\":\"k\",\"revision\":5,\"value\":\"MQ==\"}]}",
		 pull_all_records}};
	fixture_t fixture;

	run_calls(&fixture, answers, 2);
	CU_ASSERT_TRUE(begins_with(fixture.targets[2],
				   "/peridotpin/kv-watch?prefix=&after=20&"));
	CU_ASSERT_FALSE(has(fixture.replica, "k"));
	CU_ASSERT_TRUE(has(fixture.replica, "a"));
	CU_ASSERT_EQUAL(replica_revision(fixture.replica), 20);
	tear_down(&fixture);
}

int main(void)
{
	CU_TestInfo tests[] = {
		{"watch across an era", test_watch_across_an_era},
		{"pull between pages", test_pull_between_pages},
		CU_TEST_INFO_NULL};

	return unit_run("store", tests);
}
