#include "transport/link.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "transport/address.h"
#include "transport/frame.h"

#define LINK_READ_BYTES (64 * 1024)
#define LINK_BACKLOG 128
/* A peer that vanished without closing is noticed by the kernel after this. */
#define LINK_USER_TIMEOUT_MS 10000

typedef enum link_state {
	LINK_WAITING, /* outgoing, before the next attempt */
	LINK_CONNECTING,
	LINK_UP
} link_state_t;

struct link {
	loop_t *loop;
	const link_ops_t *ops;
	void *user;
	int fd;
	link_state_t state;
	bool outgoing;
	/* The memory stays until the loop's turn ends, since callbacks may
	 * close their own link. */
	bool closed;
	struct sockaddr_in address;
	char peer[ADDRESS_BYTES];
	buf_t in;
	buf_t out;
	size_t out_sent;
	loop_timer_t timer;
	int64_t backoff_ms;
	uint64_t bytes_sent;
	uint64_t bytes_received;
};

struct link_listener {
	loop_t *loop;
	int fd;
	const link_ops_t *ops;
	void (*on_accept)(void *user, link_t *link);
	void *user;
};

static void start_connect(void *user);
static void handle_io(void *user, uint32_t events);

static void set_options(int fd)
{
	int one = 1;
	int timeout = LINK_USER_TIMEOUT_MS;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout,
		   sizeof(timeout));
}

static void release(void *user)
{
	link_t *link = user;

	buf_release(&link->in);
	buf_release(&link->out);
	free(link);
}

static void close_socket(link_t *link)
{
	if (link->fd >= 0) {
		loop_unwatch(link->loop, link->fd);
		close(link->fd);
	}
	link->fd = -1;
	buf_reset(&link->in);
	buf_reset(&link->out);
	link->out_sent = 0;
}

static void release_later(link_t *link)
{
	loop_timer_cancel(link->loop, &link->timer);
	link->closed = true;
	loop_post(link->loop, release, link);
}

/* Full jitter over the upper half keeps peers from reconnecting in step. */
static int64_t next_backoff(link_t *link)
{
	int64_t backoff = link->backoff_ms;

	link->backoff_ms = backoff * 2 < LINK_BACKOFF_MAX_MS ?
				   backoff * 2 :
				   LINK_BACKOFF_MAX_MS;
	return backoff / 2 + random() % (backoff / 2 + 1);
}

/* Ends the connection; an outgoing link tries again later. */
static void go_down(link_t *link, const err_t *err)
{
	close_socket(link);
	link->state = LINK_WAITING;
	link->ops->on_down(link, err);
	if (link->closed)
		return;
	if (link->outgoing)
		loop_timer_set(link->loop, &link->timer, next_backoff(link),
			       start_connect, link);
	else
		release_later(link);
}

static void fail(link_t *link, err_code_t code, const char *step,
		 const char *message)
{
	err_t err;

	err_set(&err, code, step, link->peer, "%s", message);
	go_down(link, &err);
}

static void watch_socket(link_t *link)
{
	bool writes = link->state == LINK_CONNECTING ||
		      link->out.len > link->out_sent;

	loop_watch(link->loop, link->fd, EPOLLIN | (writes ? EPOLLOUT : 0),
		   handle_io, link);
}

static void start_connect(void *user)
{
	link_t *link = user;

	link->fd =
		socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (link->fd < 0) {
		fail(link, ERR_IO, "socket", strerror(errno));
		return;
	}
	set_options(link->fd);
	link->state = LINK_CONNECTING;
	if (connect(link->fd, (struct sockaddr *)&link->address,
		    sizeof(link->address)) < 0 &&
	    errno != EINPROGRESS) {
		fail(link, ERR_IO, "connect", strerror(errno));
		return;
	}
	watch_socket(link);
}

static void finish_connect(link_t *link)
{
	int error = 0;
	socklen_t len = sizeof(error);

	getsockopt(link->fd, SOL_SOCKET, SO_ERROR, &error, &len);
	if (error) {
		fail(link, ERR_IO, "connect", strerror(error));
		return;
	}
	link->state = LINK_UP;
	link->backoff_ms = LINK_BACKOFF_MIN_MS;
	watch_socket(link);
	if (link->ops->on_up)
		link->ops->on_up(link);
}

/* Returns false when the link went down. */
static bool deliver_frames(link_t *link)
{
	size_t used = 0;

	while (!link->closed && link->state == LINK_UP) {
		str_t data = {link->in.ptr + used, link->in.len - used};
		str_t content;

		if (frame_peek(data, &content)) {
			fail(link, ERR_TOO_LARGE, "read frame",
			     "frame above the size limit");
			return false;
		}
		if (!content.ptr)
			break;
		if (link->ops->on_frame(link, content)) {
			if (!link->closed && link->state == LINK_UP)
				fail(link, ERR_INVALID, "read frame",
				     "message refused");
			return false;
		}
		used += FRAME_HEADER_BYTES + content.len;
	}
	if (link->closed || link->state != LINK_UP)
		return false;
	buf_consume(&link->in, used);
	return true;
}

static void read_socket(link_t *link)
{
	ssize_t got;

	buf_reserve(&link->in, LINK_READ_BYTES);
	got = recv(link->fd, link->in.ptr + link->in.len, LINK_READ_BYTES, 0);
	if (got < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (!got && link->in.len) {
		fail(link, ERR_INVALID, "read frame",
		     "closed in the middle of a frame");
		return;
	}
	if (got <= 0) {
		fail(link, ERR_IO, "read",
		     got ? strerror(errno) : "closed by the peer");
		return;
	}
	link->in.len += (size_t)got;
	link->bytes_received += (uint64_t)got;
	deliver_frames(link);
}

static void write_socket(link_t *link)
{
	while (link->out_sent < link->out.len) {
		ssize_t sent =
			send(link->fd, link->out.ptr + link->out_sent,
			     link->out.len - link->out_sent, MSG_NOSIGNAL);

		if (sent < 0 && (errno == EAGAIN || errno == EINTR))
			break;
		if (sent < 0) {
			fail(link, ERR_IO, "write", strerror(errno));
			return;
		}
		link->out_sent += (size_t)sent;
		link->bytes_sent += (uint64_t)sent;
	}
	if (link->out_sent == link->out.len) {
		buf_reset(&link->out);
		link->out_sent = 0;
	}
	watch_socket(link);
}

static void handle_io(void *user, uint32_t events)
{
	link_t *link = user;

	if (link->state == LINK_CONNECTING) {
		finish_connect(link);
		return;
	}
	if (events & (EPOLLIN | EPOLLHUP | EPOLLERR))
		read_socket(link);
	if ((events & EPOLLOUT) && link->state == LINK_UP)
		write_socket(link);
}

static link_t *create_link(loop_t *loop, const struct sockaddr_in *address,
			   const link_ops_t *ops, void *user)
{
	link_t *link = calloc(1, sizeof(*link));

	if (!link)
		abort();
	link->loop = loop;
	link->ops = ops;
	link->user = user;
	link->fd = -1;
	link->address = *address;
	link->backoff_ms = LINK_BACKOFF_MIN_MS;
	address_format(address, link->peer);
	return link;
}

link_t *link_open(loop_t *loop, const char *address, const link_ops_t *ops,
		  void *user, err_t *err)
{
	struct sockaddr_in parsed;
	link_t *link;

	if (address_parse(address, &parsed, err))
		return NULL;
	link = create_link(loop, &parsed, ops, user);
	link->outgoing = true;
	/* Connects from the loop, so that no callback runs inside link_open. */
	loop_timer_set(loop, &link->timer, 0, start_connect, link);
	return link;
}

void link_close(link_t *link)
{
	if (!link || link->closed)
		return;
	close_socket(link);
	link->state = LINK_WAITING;
	release_later(link);
}

static void accept_link(void *user, uint32_t events)
{
	link_listener_t *listener = user;
	struct sockaddr_in address;
	socklen_t len = sizeof(address);
	link_t *link;
	int fd;

	(void)events;
	fd = accept4(listener->fd, (struct sockaddr *)&address, &len,
		     SOCK_NONBLOCK | SOCK_CLOEXEC);
	if (fd < 0)
		return;
	set_options(fd);
	link = create_link(listener->loop, &address, listener->ops,
			   listener->user);
	link->fd = fd;
	link->state = LINK_UP;
	watch_socket(link);
	listener->on_accept(listener->user, link);
}

link_listener_t *link_listen(loop_t *loop, const char *address,
			     const link_ops_t *ops,
			     void (*on_accept)(void *user, link_t *link),
			     void *user, err_t *err)
{
	struct sockaddr_in parsed;
	link_listener_t *listener;
	int one = 1;
	int fd;

	if (address_parse(address, &parsed, err))
		return NULL;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		goto fail_socket;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&parsed, sizeof(parsed)) ||
	    listen(fd, LINK_BACKLOG))
		goto fail_bind;
	listener = calloc(1, sizeof(*listener));
	if (!listener)
		goto fail_bind;
	*listener = (link_listener_t){loop, fd, ops, on_accept, user};
	loop_watch(loop, fd, EPOLLIN, accept_link, listener);
	return listener;
fail_bind:
	err_set(err, ERR_IO, "listen", address, "%s", strerror(errno));
	close(fd);
	return NULL;
fail_socket:
	err_set(err, ERR_IO, "socket", address, "%s", strerror(errno));
	return NULL;
}

void link_listener_close(link_listener_t *listener)
{
	if (!listener)
		return;
	loop_unwatch(listener->loop, listener->fd);
	close(listener->fd);
	free(listener);
}

int link_listener_port(const link_listener_t *listener)
{
	struct sockaddr_in address = {0};
	socklen_t len = sizeof(address);

	if (getsockname(listener->fd, (struct sockaddr *)&address, &len))
		return -1;
	return ntohs(address.sin_port);
}

err_code_t link_send(link_t *link, str_t frame)
{
	bool idle;

	if (link->state != LINK_UP)
		return ERR_BAD_STATE;
	if (link->out.len - link->out_sent + frame.len > LINK_MAX_OUTPUT_BYTES)
		return ERR_FULL;
	idle = link->out.len == link->out_sent;
	if (link->out_sent > LINK_READ_BYTES) {
		buf_consume(&link->out, link->out_sent);
		link->out_sent = 0;
	}
	frame_append(&link->out, frame);
	if (idle)
		watch_socket(link);
	return ERR_OK;
}

bool link_is_up(const link_t *link)
{
	return link->state == LINK_UP;
}

const char *link_peer(const link_t *link)
{
	return link->peer;
}

void *link_user(const link_t *link)
{
	return link->user;
}

void link_set_user(link_t *link, void *user)
{
	link->user = user;
}

loop_t *link_loop(const link_t *link)
{
	return link->loop;
}

uint64_t link_bytes_sent(const link_t *link)
{
	return link->bytes_sent;
}

uint64_t link_bytes_received(const link_t *link)
{
	return link->bytes_received;
}
