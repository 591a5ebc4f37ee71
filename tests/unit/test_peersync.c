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
 * A host's peersync, and a peer that the test plays: it says by gossip that its
 * records are newer, and answers the pull in parts.
 */
#define OWN_REVISION 3
#define PEER_REVISION 9
#define GOSSIP_PORT 7600
#define PULL_PORT 7610
#define LARGE_BYTES (3 * PEERSYNC_LARGE_RESPONSE_BYTES)
#define PARTS 8
/* Shorter than the silence that ends a pull; all parts together are longer. */
#define PART_MS (PEERSYNC_PULL_TIMEOUT_MS / 4)
#define MOST_MS 6000

typedef struct scene {
	loop_t *loop;
	replica_t *replica;
	peersync_t *peersync;
	gossip_t *peer;
	int peer_udp;
	int peer_listen;
	tcp_t pull;
	buf_t answer;
	size_t sent;
	unsigned parts; /* in which the answer is sent */
	unsigned large; /* how often the host left a large answer */
	loop_timer_t part_timer, end_timer;
	char own_ip[GOSSIP_IP_BYTES], peer_ip[GOSSIP_IP_BYTES];
} scene_t;

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

static void on_pulled(void *user, const char *peer, int64_t revision)
{
	(void)peer;
	(void)revision;
	loop_stop(((scene_t *)user)->loop);
}

static void on_large(void *user)
{
	scene_t *scene = user;

	scene->large++;
	loop_stop(scene->loop);
}

static void on_end(void *user)
{
	loop_stop(((scene_t *)user)->loop);
}

static void send_part(void *user)
{
	scene_t *scene = user;
	size_t part = scene->answer.len / scene->parts + 1;

	if (part > scene->answer.len - scene->sent)
		part = scene->answer.len - scene->sent;
	tcp_send(&scene->pull, (str_t){scene->answer.ptr + scene->sent, part});
	scene->sent += part;
	if (scene->sent < scene->answer.len)
		loop_timer_set(scene->loop, &scene->part_timer, PART_MS,
			       send_part, scene);
}

static void on_pull_io(void *user, uint32_t events)
{
	scene_t *scene = user;
	char buffer[256];
	size_t len;

	if (events & EPOLLOUT)
		tcp_flush(&scene->pull);
	if (!(events & EPOLLIN))
		return;
	if (tcp_read(&scene->pull, buffer, sizeof(buffer), &len) !=
	    TCP_READ_DATA) {
		loop_timer_cancel(scene->loop, &scene->part_timer);
		tcp_close(&scene->pull);
		return;
	}
	scene->sent = 0;
	send_part(scene);
}

static void on_peer_accept(void *user, uint32_t events)
{
	scene_t *scene = user;
	int fd = tcp_accept(scene->peer_listen);

	(void)events;
	tcp_close(&scene->pull);
	if (fd >= 0)
		tcp_open(&scene->pull, scene->loop, fd, on_pull_io, scene);
}

/* The peer's answer: one record of so many bytes. */
static void write_answer(scene_t *scene, size_t bytes)
{
	replica_observer_t observer = {on_changed, NULL};
	replica_t *replica = replica_create(&observer);
	buf_t value = BUF_INIT, content = BUF_INIT;

	buf_reserve(&value, bytes);
	memset(value.ptr, 'x', bytes);
	value.len = bytes;
	replica_put(replica, STR_LIT("op/config"), buf_view(&value),
		    PEER_REVISION);
	replica_advance(replica, PEER_REVISION);
	pullcodec_write_response(replica, OWN_REVISION, &content);
	frame_append(&scene->answer, buf_view(&content));
	buf_release(&value);
	buf_release(&content);
	replica_free(replica);
}

static void set_up(scene_t *scene, size_t bytes, unsigned parts)
{
	replica_observer_t observer = {on_changed, NULL};
	peersync_options_t options = {.gossip_port = GOSSIP_PORT};
	gossip_self_t self = {"peer", "d1", scene->peer_ip, 1};
	char pull_listen[ADDRESS_BYTES], peer_listen[ADDRESS_BYTES];
	err_t err;

	memset(scene, 0, sizeof(*scene));
	snprintf(scene->own_ip, GOSSIP_IP_BYTES, "127.%d.%d.1",
		 1 + getpid() / 250 % 250, getpid() % 250);
	snprintf(scene->peer_ip, GOSSIP_IP_BYTES, "127.%d.%d.2",
		 1 + getpid() / 250 % 250, getpid() % 250);
	snprintf(pull_listen, sizeof(pull_listen), "%s:%d", scene->own_ip,
		 PULL_PORT);
	snprintf(peer_listen, sizeof(peer_listen), "%s:%d", scene->peer_ip,
		 PULL_PORT);
	scene->parts = parts;
	scene->pull.fd = TCP_CLOSED;
	scene->loop = loop_create(mclock_system());
	scene->replica = replica_create(&observer);
	replica_advance(scene->replica, OWN_REVISION);
	options.loop = scene->loop;
	options.replica = scene->replica;
	options.self = (gossip_self_t){"own", "d1", scene->own_ip, 1};
	options.pull_listen = pull_listen;
	options.observer = (peersync_observer_t){.hosts_changed = on_hosts,
						 .pulled = on_pulled,
						 .large_response = on_large,
						 .user = scene};
	CU_ASSERT_EQUAL(peersync_create(&options, &scene->peersync, &err),
			ERR_OK);
	scene->peer = gossip_create(&self, 7);
	scene->peer_udp = udp_open(scene->peer_ip, GOSSIP_PORT, &err);
	scene->peer_listen = tcp_listen(peer_listen, &err);
	loop_watch(scene->loop, scene->peer_listen, EPOLLIN, on_peer_accept,
		   scene);
	write_answer(scene, bytes);
}

/* Lets the peer say that it is ahead, and runs until something came of it. */
static void run(scene_t *scene)
{
	const gossip_state_t state = {.revision = PEER_REVISION};
	buf_t message = BUF_INIT;

	gossip_write_self(scene->peer, &state, 1, &message);
	udp_send(scene->peer_udp, scene->own_ip, GOSSIP_PORT,
		 buf_view(&message));
	buf_release(&message);
	loop_timer_set(scene->loop, &scene->end_timer, MOST_MS, on_end, scene);
	loop_run(scene->loop);
	loop_timer_cancel(scene->loop, &scene->end_timer);
}

static void tear_down(scene_t *scene)
{
	loop_timer_cancel(scene->loop, &scene->part_timer);
	tcp_close(&scene->pull);
	peersync_free(scene->peersync);
	loop_unwatch(scene->loop, scene->peer_listen);
	close(scene->peer_listen);
	close(scene->peer_udp);
	gossip_free(scene->peer);
	replica_free(scene->replica);
	buf_release(&scene->answer);
	loop_free(scene->loop);
}

/* Pattern: a configuration grows by 1,600 routes, and each host of a domain
 * would pull it over the link of one small host (CONFIG was broken so). Guards
 * against taking it from a peer while the service answers. */
static void test_large_answer_is_left(void)
{
	scene_t scene;

	set_up(&scene, LARGE_BYTES, 1);
	run(&scene);
	CU_ASSERT_EQUAL(scene.large, 1);
	CU_ASSERT_EQUAL(replica_revision(scene.replica), OWN_REVISION);
	tear_down(&scene);
}

/* Pattern: the same while the service doesn't answer, over a slow link. Guards
 * against a pull that is given up although bytes come, and begins anew. */
static void test_slow_pull_goes_on(void)
{
	scene_t scene;

	set_up(&scene, LARGE_BYTES, PARTS);
	peersync_allow_large_responses(scene.peersync, true);
	run(&scene);
	CU_ASSERT_EQUAL(scene.large, 0);
	CU_ASSERT_EQUAL(replica_revision(scene.replica), PEER_REVISION);
	tear_down(&scene);
}

/* Small changes come from peers whatever the service does. */
static void test_small_answer_is_taken(void)
{
	scene_t scene;

	set_up(&scene, 100, 1);
	run(&scene);
	CU_ASSERT_EQUAL(scene.large, 0);
	CU_ASSERT_EQUAL(replica_revision(scene.replica), PEER_REVISION);
	tear_down(&scene);
}

int main(void)
{
	CU_TestInfo tests[] = {
		{"large answer is left", test_large_answer_is_left},
		{"slow pull goes on", test_slow_pull_goes_on},
		{"small answer is taken", test_small_answer_is_taken},
		CU_TEST_INFO_NULL};

	return unit_run("peersync", tests);
}
