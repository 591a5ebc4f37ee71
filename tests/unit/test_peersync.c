#include "unit.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "coordination/peersync.h"
#include "coordination/pullcodec.h"
#include "transport/frame.h"
#include "transport/tcp.h"
#include "transport/udp.h"

/*
 * A host's peersync and a peer that the test simulates: the peer reports a
 * newer revision by gossip and sends the response to the pull in parts.
 */
#define OWN_REVISION 3
#define PEER_REVISION 9
#define GOSSIP_PORT 7600
#define PULL_PORT 7610
#define LARGE_BYTES (3 * PEERSYNC_LARGE_RESPONSE_BYTES)
#define PARTS 8
/* Interval between parts: shorter than the timeout of an idle pull; all
 * intervals together are longer. */
#define PART_MS (PEERSYNC_PULL_TIMEOUT_MS / 4)
#define TEST_TIMEOUT_MS 6000
#define RANDOM_SEED 7

typedef struct fixture {
	loop_t *loop;
	replica_t *replica;
	peersync_t *peersync;
	gossip_t *peer;
	int peer_udp_fd;
	int peer_listen_fd;
	tcp_t pull_connection;
	buf_t response;
	size_t sent_bytes;
	unsigned part_count;	  /* in which the response is sent */
	bool answered;		  /* the host, to a pull of the peer */
	unsigned large_responses; /* that the host did not accept */
	loop_timer_t part_timer, end_timer;
	char own_ip[GOSSIP_IP_BYTES], peer_ip[GOSSIP_IP_BYTES];
} fixture_t;

static void on_changed(void *user, str_t key, str_t value)
{
	(void)user;
	(void)key;
	(void)value;
}

static void on_hosts(void *user, unsigned domain_hosts, unsigned all_hosts)
{
	(void)user;
	(void)domain_hosts;
	(void)all_hosts;
}

static void on_pulled(void *user, const char *peer,
		      const pullcodec_applied_t *applied)
{
	(void)peer;
	(void)applied;
	loop_stop(((fixture_t *)user)->loop);
}

static void on_large(void *user)
{
	fixture_t *fixture = user;

	fixture->large_responses++;
	loop_stop(fixture->loop);
}

static void on_end(void *user)
{
	loop_stop(((fixture_t *)user)->loop);
}

static void send_part(void *user)
{
	fixture_t *fixture = user;
	size_t part_bytes = fixture->response.len / fixture->part_count + 1;

	if (part_bytes > fixture->response.len - fixture->sent_bytes)
		part_bytes = fixture->response.len - fixture->sent_bytes;
	tcp_send(&fixture->pull_connection,
		 (str_t){fixture->response.ptr + fixture->sent_bytes,
			 part_bytes});
	fixture->sent_bytes += part_bytes;
	if (fixture->sent_bytes < fixture->response.len)
		loop_timer_set(fixture->loop, &fixture->part_timer, PART_MS,
			       send_part, fixture);
}

static void on_pull_io(void *user, uint32_t events)
{
	fixture_t *fixture = user;
	char buffer[256];
	size_t len;

	if (events & EPOLLOUT)
		tcp_flush(&fixture->pull_connection);
	if (!(events & EPOLLIN))
		return;
	if (tcp_read(&fixture->pull_connection, buffer, sizeof(buffer), &len) !=
	    TCP_READ_DATA) {
		loop_timer_cancel(fixture->loop, &fixture->part_timer);
		tcp_close(&fixture->pull_connection);
		return;
	}
	fixture->sent_bytes = 0;
	send_part(fixture);
}

static void on_peer_accept(void *user, uint32_t events)
{
	fixture_t *fixture = user;
	int fd = tcp_accept(fixture->peer_listen_fd);

	(void)events;
	tcp_close(&fixture->pull_connection);
	if (fd >= 0)
		tcp_open(&fixture->pull_connection, fixture->loop, fd,
			 on_pull_io, fixture);
}

/* Builds the peer's response: one record with a value of `bytes` bytes. */
static void write_response(fixture_t *fixture, size_t bytes)
{
	replica_observer_t observer = {.changed = on_changed};
	replica_t *replica = replica_create(&observer);
	buf_t value = BUF_INIT, content = BUF_INIT;

	buf_reserve(&value, bytes);
	memset(value.ptr, 'x', bytes);
	value.len = bytes;
	replica_put(replica, STR_LIT("op/config"), buf_view(&value),
		    PEER_REVISION);
	replica_advance(replica, PEER_REVISION);
	pullcodec_write_response(replica, (position_t){0, OWN_REVISION},
				 &content);
	frame_append(&fixture->response, buf_view(&content));
	buf_release(&value);
	buf_release(&content);
	replica_free(replica);
}

static void set_up(fixture_t *fixture, size_t bytes, unsigned part_count)
{
	replica_observer_t observer = {.changed = on_changed};
	peersync_options_t options = {.gossip_port = GOSSIP_PORT};
	/* Points to peer_ip, which is set below. */
	gossip_self_t self = {"peer", "d1", fixture->peer_ip, 1};
	char pull_listen[ADDRESS_BYTES], peer_listen[ADDRESS_BYTES];
	err_t err;

	memset(fixture, 0, sizeof(*fixture));
	snprintf(fixture->own_ip, GOSSIP_IP_BYTES, "127.%d.%d.1",
		 1 + getpid() / 250 % 250, getpid() % 250);
	snprintf(fixture->peer_ip, GOSSIP_IP_BYTES, "127.%d.%d.2",
		 1 + getpid() / 250 % 250, getpid() % 250);
	snprintf(pull_listen, sizeof(pull_listen), "%s:%d", fixture->own_ip,
		 PULL_PORT);
	snprintf(peer_listen, sizeof(peer_listen), "%s:%d", fixture->peer_ip,
		 PULL_PORT);
	fixture->part_count = part_count;
	fixture->pull_connection.fd = TCP_CLOSED;
	fixture->loop = loop_create(mclock_system());
	fixture->replica = replica_create(&observer);
	replica_advance(fixture->replica, OWN_REVISION);
	options.loop = fixture->loop;
	options.replica = fixture->replica;
	options.self = (gossip_self_t){"own", "d1", fixture->own_ip, 1};
	options.pull_listen = pull_listen;
	options.observer = (peersync_observer_t){.hosts_changed = on_hosts,
						 .pulled = on_pulled,
						 .large_response = on_large,
						 .user = fixture};
	CU_ASSERT_EQUAL(peersync_create(&options, &fixture->peersync, &err),
			ERR_OK);
	fixture->peer = gossip_create(&self, RANDOM_SEED);
	fixture->peer_udp_fd = udp_open(fixture->peer_ip, GOSSIP_PORT, &err);
	fixture->peer_listen_fd = tcp_listen(peer_listen, &err);
	loop_watch(fixture->loop, fixture->peer_listen_fd, EPOLLIN,
		   on_peer_accept, fixture);
	write_response(fixture, bytes);
}

/* Sends a gossip message with the peer's revision and runs the loop until the
 * pull completes, a large response is dropped, or TEST_TIMEOUT_MS have passed.
 */
static void run_pull(fixture_t *fixture)
{
	const gossip_state_t state = {.position.revision = PEER_REVISION};
	buf_t message = BUF_INIT;

	gossip_write_self(fixture->peer, &state, 1, &message);
	udp_send(fixture->peer_udp_fd, fixture->own_ip, GOSSIP_PORT,
		 buf_view(&message));
	buf_release(&message);
	loop_timer_set(fixture->loop, &fixture->end_timer, TEST_TIMEOUT_MS,
		       on_end, fixture);
	loop_run(fixture->loop);
	loop_timer_cancel(fixture->loop, &fixture->end_timer);
}

static void tear_down(fixture_t *fixture)
{
	loop_timer_cancel(fixture->loop, &fixture->part_timer);
	tcp_close(&fixture->pull_connection);
	peersync_free(fixture->peersync);
	loop_unwatch(fixture->loop, fixture->peer_listen_fd);
	close(fixture->peer_listen_fd);
	close(fixture->peer_udp_fd);
	gossip_free(fixture->peer);
	replica_free(fixture->replica);
	buf_release(&fixture->response);
	loop_free(fixture->loop);
}

/* Scenario: a configuration grows by 1,600 routes, and each host of a domain
 * would pull it over the link of one small host, so that changes reached hosts
 * too late (CONFIG). Guards against accepting a large response from a peer
 * while large responses are not allowed, which is the initial state; hosts
 * allow them only while the configuration service is unavailable. */
static void test_large_response_is_dropped(void)
{
	fixture_t fixture;

	set_up(&fixture, LARGE_BYTES, 1);
	run_pull(&fixture);
	CU_ASSERT_EQUAL(fixture.large_responses, 1);
	CU_ASSERT_EQUAL(replica_revision(fixture.replica), OWN_REVISION);
	tear_down(&fixture);
}

/* Scenario: a large response arrives over a slow link while the configuration
 * service is unavailable: 8 parts over 1.75 s, with a timeout of 1 s without
 * progress. Guards against a pull that is aborted and restarted although bytes
 * arrive. */
static void test_slow_pull_continues(void)
{
	fixture_t fixture;

	set_up(&fixture, LARGE_BYTES, PARTS);
	peersync_allow_large_responses(fixture.peersync, true);
	run_pull(&fixture);
	CU_ASSERT_EQUAL(fixture.large_responses, 0);
	CU_ASSERT_EQUAL(replica_revision(fixture.replica), PEER_REVISION);
	tear_down(&fixture);
}

/* Guards against a small change that is not accepted from a peer while large
 * responses are not allowed. */
static void test_small_response_is_accepted(void)
{
	fixture_t fixture;

	set_up(&fixture, 100, 1);
	run_pull(&fixture);
	CU_ASSERT_EQUAL(fixture.large_responses, 0);
	CU_ASSERT_EQUAL(replica_revision(fixture.replica), PEER_REVISION);
	tear_down(&fixture);
}

static void on_silent_io(void *user, uint32_t events)
{
	(void)user;
	(void)events;
}

static void on_answer(void *user, uint32_t events)
{
	fixture_t *fixture = user;
	tcp_t *connection = &fixture->pull_connection;
	char byte;
	size_t len;

	if (events & EPOLLOUT) {
		tcp_connect_result(connection);
		tcp_flush(connection);
	}
	if (!(events & (EPOLLIN | EPOLLHUP | EPOLLERR)))
		return;
	fixture->answered =
		tcp_read(connection, &byte, 1, &len) == TCP_READ_DATA;
	loop_stop(fixture->loop);
}

/* Sends the request of a pull by a peer without records. */
static void send_request(fixture_t *fixture, const char *address)
{
	buf_t request = BUF_INIT;
	buf_t out = BUF_INIT;
	err_t err;

	CU_ASSERT_EQUAL(tcp_connect(&fixture->pull_connection, fixture->loop,
				    address, on_answer, fixture, &err),
			ERR_OK);
	pullcodec_write_request((position_t){.revision = 0}, &request);
	frame_append(&out, buf_view(&request));
	tcp_send(&fixture->pull_connection, buf_view(&out));
	buf_release(&request);
	buf_release(&out);
}

/* Load: as many connections as a host serves pulls at once, on which nothing is
 * sent. Guards against a peer whose pull is refused meanwhile. */
static void test_pull_beside_silent_connections(void)
{
	tcp_t silent[PEERSYNC_MAX_SERVED_PULLS];
	char address[ADDRESS_BYTES];
	fixture_t fixture;
	err_t err;

	set_up(&fixture, 100, 1);
	snprintf(address, sizeof(address), "%s:%d", fixture.own_ip, PULL_PORT);
	for (size_t i = 0; i < PEERSYNC_MAX_SERVED_PULLS; i++)
		CU_ASSERT_EQUAL(tcp_connect(&silent[i], fixture.loop, address,
					    on_silent_io, NULL, &err),
				ERR_OK);
	send_request(&fixture, address);
	loop_timer_set(fixture.loop, &fixture.end_timer, TEST_TIMEOUT_MS,
		       on_end, &fixture);
	loop_run(fixture.loop);
	loop_timer_cancel(fixture.loop, &fixture.end_timer);
	CU_ASSERT_TRUE(fixture.answered);
	for (size_t i = 0; i < PEERSYNC_MAX_SERVED_PULLS; i++)
		tcp_close(&silent[i]);
	tear_down(&fixture);
}

int main(void)
{
	CU_TestInfo tests[] = {
		{"large response is dropped", test_large_response_is_dropped},
		{"slow pull continues", test_slow_pull_continues},
		{"small response is accepted", test_small_response_is_accepted},
		{"pull beside silent connections",
		 test_pull_beside_silent_connections},
		CU_TEST_INFO_NULL};

	return unit_run("peersync", tests);
}
