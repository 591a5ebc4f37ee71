#include "transport/tcp.h"

#include <errno.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "transport/address.h"

#define TCP_BACKLOG 512
#define TCP_MS_PER_S 1000
/* Output buffers above this capacity are freed once they are empty. */
#define TCP_MAX_IDLE_BUFFER_BYTES 4096

int tcp_listen(const char *address, err_t *err)
{
	struct sockaddr_in sin;
	int one = 1;
	int fd;

	if (address_parse(address, &sin, err))
		return -1;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		goto fail;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) ||
	    listen(fd, TCP_BACKLOG))
		goto fail;
	return fd;
fail:
	err_set(err, ERR_IO, "listen", address, "%s", strerror(errno));
	if (fd >= 0)
		close(fd);
	return -1;
}

int tcp_accept(int listen_fd)
{
	int fd = accept4(listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	int one = 1;

	if (fd >= 0)
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	return fd;
}

static void watch(tcp_t *tcp, uint32_t events)
{
	if (tcp->events == events)
		return;
	tcp->events = events;
	loop_watch(tcp->loop, tcp->fd, events, tcp->io, tcp->user);
}

static void update_watch(tcp_t *tcp)
{
	uint32_t events = tcp->reading ? EPOLLIN : 0;

	if (tcp->connecting || tcp_unsent(tcp))
		events |= EPOLLOUT;
	watch(tcp, events);
}

static void init(tcp_t *tcp, loop_t *loop, int fd, loop_io_t io, void *user)
{
	*tcp = (tcp_t){.loop = loop,
		       .fd = fd,
		       .reading = true,
		       .io = io,
		       .user = user};
}

void tcp_open(tcp_t *tcp, loop_t *loop, int fd, loop_io_t io, void *user)
{
	init(tcp, loop, fd, io, user);
	update_watch(tcp);
}

err_code_t tcp_connect(tcp_t *tcp, loop_t *loop, const char *address,
		       loop_io_t io, void *user, err_t *err)
{
	struct sockaddr_in sin;
	int one = 1;
	int fd;

	init(tcp, loop, TCP_CLOSED, io, user);
	if (address_parse(address, &sin, err))
		return ERR_INVALID;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return err_set(err, ERR_IO, "connect", address, "%s",
			       strerror(errno));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) &&
	    errno != EINPROGRESS) {
		int code = errno;

		close(fd);
		return err_set(err, ERR_IO, "connect", address, "%s",
			       strerror(code));
	}
	tcp->fd = fd;
	tcp->connecting = true;
	update_watch(tcp);
	return ERR_OK;
}

int tcp_connect_result(tcp_t *tcp)
{
	int code = 0;
	socklen_t len = sizeof(code);

	if (getsockopt(tcp->fd, SOL_SOCKET, SO_ERROR, &code, &len))
		code = errno;
	if (!code && tcp->connecting) {
		tcp->connecting = false;
		/* Checked before the first write, which the peer may answer at
		 * once. */
		tcp->early_input = tcp_has_input(tcp);
		if (!tcp->early_input)
			tcp_flush(tcp);
	}
	return code;
}

void tcp_set_dead_peer_timeout(tcp_t *tcp, unsigned ms)
{
	int on = 1;
	int probe_count = 2;
	/* The idle time and both probes take one interval each. */
	int probe_interval_s = (int)(ms / (3 * TCP_MS_PER_S)) + 1;

	setsockopt(tcp->fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
	setsockopt(tcp->fd, IPPROTO_TCP, TCP_KEEPIDLE, &probe_interval_s,
		   sizeof(probe_interval_s));
	setsockopt(tcp->fd, IPPROTO_TCP, TCP_KEEPINTVL, &probe_interval_s,
		   sizeof(probe_interval_s));
	setsockopt(tcp->fd, IPPROTO_TCP, TCP_KEEPCNT, &probe_count,
		   sizeof(probe_count));
	setsockopt(tcp->fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
}

/* True when the connection has broken. The kernel reports an error once, by the
 * call that comes first, and end of stream from then on. */
static bool has_error(const tcp_t *tcp)
{
	int code = 0;
	socklen_t len = sizeof(code);

	return tcp->write_broken ||
	       getsockopt(tcp->fd, SOL_SOCKET, SO_ERROR, &code, &len) || code;
}

tcp_read_t tcp_read(tcp_t *tcp, char *data, size_t size, size_t *len)
{
	ssize_t got;

	if (tcp->fd < 0)
		return TCP_READ_BROKEN;
	got = recv(tcp->fd, data, size, 0);
	if (got > 0) {
		*len = (size_t)got;
		return TCP_READ_DATA;
	}
	if (!got)
		return has_error(tcp) ? TCP_READ_BROKEN : TCP_READ_END;
	if (errno == EAGAIN || errno == EINTR)
		return TCP_READ_AGAIN;
	return errno == ETIMEDOUT ? TCP_READ_TIMED_OUT : TCP_READ_BROKEN;
}

void tcp_peer(const tcp_t *tcp, char peer[ADDRESS_BYTES])
{
	struct sockaddr_in sin = {0};
	socklen_t len = sizeof(sin);

	if (getpeername(tcp->fd, (struct sockaddr *)&sin, &len))
		str_copy(peer, ADDRESS_BYTES, STR_LIT("-"));
	else
		address_format(&sin, peer);
}

bool tcp_has_input(const tcp_t *tcp)
{
	char byte;

	return recv(tcp->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0 ||
	       errno != EAGAIN;
}

/* Writes as much as the socket accepts; false when the connection is broken. */
static bool write_some(tcp_t *tcp, str_t data, size_t *written)
{
	*written = 0;
	while (*written < data.len) {
		ssize_t sent = send(tcp->fd, data.ptr + *written,
				    data.len - *written, MSG_NOSIGNAL);

		if (sent < 0 && (errno == EAGAIN || errno == EINTR))
			return true;
		if (sent < 0) {
			tcp->write_broken = true;
			return false;
		}
		*written += (size_t)sent;
		tcp->written += (uint64_t)sent;
	}
	return true;
}

bool tcp_send(tcp_t *tcp, str_t data)
{
	size_t written = 0;

	if (tcp->fd < 0)
		return false;
	if (!tcp->connecting && !tcp_unsent(tcp) &&
	    !write_some(tcp, data, &written))
		return false;
	if (written == data.len)
		return true;
	/* With a slow peer the buffer may never become empty, so remove the
	 * written bytes. */
	if (tcp->out_sent > tcp_unsent(tcp)) {
		buf_consume(&tcp->out, tcp->out_sent);
		tcp->out_sent = 0;
	}
	buf_append(&tcp->out, data.ptr + written, data.len - written);
	update_watch(tcp);
	return true;
}

bool tcp_flush(tcp_t *tcp)
{
	str_t rest = {tcp->out.ptr + tcp->out_sent, tcp_unsent(tcp)};
	size_t written;

	if (tcp->fd < 0)
		return false;
	if (tcp->connecting)
		return true;
	if (!write_some(tcp, rest, &written))
		return false;
	tcp->out_sent += written;
	if (!tcp_unsent(tcp)) {
		tcp->out_sent = 0;
		buf_reset(&tcp->out);
		if (tcp->out.cap > TCP_MAX_IDLE_BUFFER_BYTES)
			buf_release(&tcp->out);
	}
	update_watch(tcp);
	return true;
}

size_t tcp_unsent(const tcp_t *tcp)
{
	return tcp->out.len - tcp->out_sent;
}

bool tcp_is_acknowledged(const tcp_t *tcp)
{
	int unacknowledged = 0;

	return tcp->fd >= 0 && !tcp_unsent(tcp) &&
	       !ioctl(tcp->fd, SIOCOUTQ, &unacknowledged) && !unacknowledged;
}

void tcp_set_reading(tcp_t *tcp, bool reading)
{
	if (tcp->fd < 0 || tcp->reading == reading)
		return;
	tcp->reading = reading;
	update_watch(tcp);
}

void tcp_shutdown_write(tcp_t *tcp)
{
	if (tcp->fd >= 0)
		shutdown(tcp->fd, SHUT_WR);
}

void tcp_close(tcp_t *tcp)
{
	if (tcp->fd >= 0) {
		loop_unwatch(tcp->loop, tcp->fd);
		close(tcp->fd);
	}
	tcp->fd = TCP_CLOSED;
	buf_release(&tcp->out);
	tcp->out_sent = 0;
}

void tcp_reset_on_close(tcp_t *tcp)
{
	struct linger reset = {.l_onoff = 1, .l_linger = 0};

	if (tcp->fd >= 0)
		setsockopt(tcp->fd, SOL_SOCKET, SO_LINGER, &reset,
			   sizeof(reset));
}
