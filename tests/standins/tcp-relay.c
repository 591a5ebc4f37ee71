#include "standin.h"

#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#define MAX_PAIRS 128
#define CHUNK_BYTES 8192
#define QUEUE_CHUNKS 32
#define IDLE_MS 1000

/* Directions: from the client up to --to, and back down. */
enum { UP, DOWN, DIRECTIONS };

typedef struct chunk {
	int64_t due_us;
	size_t len, sent;
	char bytes[CHUNK_BYTES];
} chunk_t;

typedef struct queue {
	chunk_t *chunks[QUEUE_CHUNKS]; /* ring; allocated on first use */
	size_t head, count;
	bool eof; /* no more input; shut down the output once empty */
} queue_t;

/* A client connection and its connection to --to: direction d reads from fd[d]
 * and writes to the other one. fd[UP] is the client's. */
typedef struct pair {
	bool used;
	bool marked; /* the client sent the text of --mark */
	int fd[DIRECTIONS];
	queue_t queue[DIRECTIONS];
} pair_t;

/* clang-format off */
#define SWITCHES(X) \
	X(drop, 0, "1: reset all connections and refuse new ones") \
	X(blackhole_up, 0, "1: forward nothing towards --to") \
	X(blackhole_down, 0, "1: forward nothing back") \
	X(blackhole_marked, 0, "1: forward nothing of marked connections") \
	X(delay_up_ms, 0, "delay towards --to") \
	X(delay_down_ms, 0, "delay back")
#define COUNTERS(X) \
	X(accepted) X(open) X(dropped) X(bytes_up) X(bytes_down)
/* clang-format on */
STANDIN_DEFINE_TABLES(SWITCHES, COUNTERS);

static pair_t pairs[MAX_PAIRS];
static int listener = -1, wake_fd = -1;
static struct sockaddr_in target;
static pthread_t relay_thread;

static void close_pair(pair_t *pair, bool reset)
{
	for (int d = 0; d < DIRECTIONS; d++) {
		if (reset)
			standin_reset_socket(pair->fd[d]);
		close(pair->fd[d]);
		for (int i = 0; i < QUEUE_CHUNKS; i++)
			free(pair->queue[d].chunks[i]);
	}
	memset(pair, 0, sizeof(*pair));
	counters.open--;
}

static void accept_pair(void)
{
	pair_t *pair = pairs;
	int client_fd = accept4(listener, NULL, NULL, SOCK_NONBLOCK), target_fd;

	if (client_fd < 0)
		return;
	while (pair < pairs + MAX_PAIRS && pair->used)
		pair++;
	target_fd = socket(AF_INET, SOCK_STREAM, 0);
	/* A blocking connect is fast enough: the target is on loopback. */
	if (pair == pairs + MAX_PAIRS || target_fd < 0 ||
	    connect(target_fd, (struct sockaddr *)&target, sizeof(target))) {
		close(client_fd);
		if (target_fd >= 0)
			close(target_fd);
		return;
	}
	fcntl(target_fd, F_SETFL, O_NONBLOCK);
	pair->used = true;
	pair->fd[UP] = client_fd;
	pair->fd[DOWN] = target_fd;
	counters.accepted++;
	counters.open++;
}

static bool is_blackholed(const pair_t *pair, int d)
{
	if (pair->marked && switches.blackhole_marked.value)
		return true;
	return (d == UP ? &switches.blackhole_up : &switches.blackhole_down)
		       ->value != 0;
}

/* Reads one chunk; false when the connection failed. */
static bool receive(pair_t *pair, int d)
{
	queue_t *q = &pair->queue[d];
	chunk_t **slot = &q->chunks[(q->head + q->count) % QUEUE_CHUNKS];
	ssize_t got;

	if (!*slot)
		*slot = malloc(sizeof(**slot));
	if (!*slot)
		return false;
	got = recv(pair->fd[d], (*slot)->bytes, CHUNK_BYTES, 0);
	if (got < 0)
		return errno == EAGAIN || errno == EINTR;
	if (!got) {
		q->eof = true;
		return true;
	}
	(*slot)->len = (size_t)got;
	if (d == UP && *standin_mark &&
	    memmem((*slot)->bytes, (size_t)got, standin_mark,
		   strlen(standin_mark)))
		pair->marked = true;
	(*slot)->sent = 0;
	(*slot)->due_us = standin_now_us() + (d == UP ? &switches.delay_up_ms :
							&switches.delay_down_ms)
							     ->value *
						     1000;
	q->count++;
	return true;
}

/* Sends the chunks that are due; false when the connection failed or both
 * directions have ended. */
static bool forward(pair_t *pair, int d)
{
	queue_t *q = &pair->queue[d];
	int out = pair->fd[1 - d];

	while (q->count && q->chunks[q->head]->due_us <= standin_now_us()) {
		chunk_t *c = q->chunks[q->head];
		ssize_t sent = send(out, c->bytes + c->sent, c->len - c->sent,
				    MSG_NOSIGNAL);

		if (sent < 0)
			return errno == EAGAIN || errno == EINTR;
		*(d == UP ? &counters.bytes_up : &counters.bytes_down) += sent;
		c->sent += (size_t)sent;
		if (c->sent < c->len)
			return true;
		q->head = (q->head + 1) % QUEUE_CHUNKS;
		q->count--;
	}
	if (q->eof && !q->count) {
		shutdown(out, SHUT_WR);
		return !pair->queue[1 - d].eof || pair->queue[1 - d].count;
	}
	return true;
}

/* Applies the drop switch. shutdown() stops listening but keeps the port. */
static void apply_drop(bool *listening)
{
	bool drop = switches.drop.value != 0;

	if (drop && *listening)
		shutdown(listener, SHUT_RD);
	else if (!drop && !*listening)
		listen(listener, MAX_PAIRS);
	*listening = !drop;
	for (pair_t *pair = pairs; drop && pair < pairs + MAX_PAIRS; pair++) {
		if (!pair->used)
			continue;
		close_pair(pair, true);
		counters.dropped++;
	}
}

/* Fills the poll entries of one pair and limits the wait to its next send. */
static void prepare_polls(const pair_t *pair, struct pollfd *polls,
			  int *wait_ms)
{
	for (int d = 0; d < DIRECTIONS; d++) {
		polls[d].fd = -1;
		polls[d].events = 0;
	}
	for (int d = 0; pair->used && d < DIRECTIONS; d++) {
		const queue_t *q = &pair->queue[d];
		int64_t left;

		if (!q->eof && q->count < QUEUE_CHUNKS)
			polls[d].events |= POLLIN;
		if (!q->count || is_blackholed(pair, d))
			continue;
		left = q->chunks[q->head]->due_us - standin_now_us();
		if (left <= 0)
			polls[1 - d].events |= POLLOUT;
		else if (left / 1000 + 1 < *wait_ms)
			*wait_ms = (int)(left / 1000) + 1;
	}
	for (int d = 0; d < DIRECTIONS; d++)
		if (polls[d].events)
			polls[d].fd = pair->fd[d];
}

static void serve_pair(pair_t *pair, const struct pollfd *polls)
{
	bool alive = true;

	for (int d = 0; alive && d < DIRECTIONS; d++) {
		queue_t *q = &pair->queue[d];

		if (polls[d].revents && !q->eof && q->count < QUEUE_CHUNKS)
			alive = receive(pair, d);
		if (alive && !is_blackholed(pair, d))
			alive = forward(pair, d);
	}
	if (!alive)
		close_pair(pair, false);
}

static void *run_relay(void *arg)
{
	struct pollfd polls[2 + MAX_PAIRS * DIRECTIONS];
	bool listening = true;
	uint64_t ignored;

	while (!standin_stopping()) {
		int wait_ms = IDLE_MS;

		apply_drop(&listening);
		polls[0] = (struct pollfd){wake_fd, POLLIN, 0};
		polls[1] =
			(struct pollfd){listening ? listener : -1, POLLIN, 0};
		for (int i = 0; i < MAX_PAIRS; i++)
			prepare_polls(&pairs[i], &polls[2 + i * DIRECTIONS],
				      &wait_ms);
		if (poll(polls, 2 + MAX_PAIRS * DIRECTIONS, wait_ms) < 0)
			continue;
		if (polls[0].revents && read(wake_fd, &ignored, 8) != 8)
			continue;
		for (int i = 0; i < MAX_PAIRS; i++)
			if (pairs[i].used)
				serve_pair(&pairs[i],
					   &polls[2 + i * DIRECTIONS]);
		if (polls[1].revents & POLLIN)
			accept_pair();
	}
	for (pair_t *pair = pairs; pair < pairs + MAX_PAIRS; pair++)
		if (pair->used)
			close_pair(pair, false);
	return arg;
}

static void wake_relay(const standin_switch_t *changed)
{
	uint64_t one = 1;

	(void)changed;
	if (write(wake_fd, &one, 8) != 8)
		perror("eventfd");
}

static bool start_relay(void)
{
	struct sockaddr_in sa;
	socklen_t len = sizeof(sa);
	int on = 1;

	if (!standin_parse_address(standin_forward_address, &target) ||
	    !standin_parse_address(standin_address, &sa)) {
		fprintf(stderr, "--to and --listen need IP:PORT\n");
		return false;
	}
	/*
	 * A port chosen by the kernel is released when the socket stops
	 * listening, so it is looked up first and then bound by number.
	 */
	for (bool chosen = false; !chosen;) {
		chosen = sa.sin_port != 0;
		if (listener >= 0)
			close(listener);
		listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
		if (bind(listener, (struct sockaddr *)&sa, sizeof(sa)) ||
		    getsockname(listener, (struct sockaddr *)&sa, &len)) {
			perror("bind");
			return false;
		}
	}
	standin_format_address(standin_address, &sa);
	wake_fd = eventfd(0, 0);
	return wake_fd >= 0 && !listen(listener, MAX_PAIRS) &&
	       !pthread_create(&relay_thread, NULL, run_relay, NULL);
}

static void stop_relay(void)
{
	wake_relay(NULL);
	pthread_join(relay_thread, NULL);
}

static const standin_program_t relay = {
	.doc = "Forwards TCP connections and injects network faults.",
	STANDIN_TABLES,
	.on_set = wake_relay,
	.start = start_relay,
	.stop = stop_relay};

int main(int argc, char **argv)
{
	return standin_main(&relay, argc, argv);
}
