#ifndef TRANSPORT_TCP_H
#define TRANSPORT_TCP_H

#include "base/buf.h"
#include "base/err.h"
#include "transport/address.h"
#include "transport/loop.h"

/*
 * tcp - non-blocking TCP connections on a loop, with an output buffer
 *
 * tcp_send() writes what the socket accepts and buffers the rest until the
 * socket is writable. The loop calls the owner's `io` for EPOLLIN, EPOLLHUP and
 * EPOLLERR, and for EPOLLOUT when a connect has ended or the socket accepts
 * more output; for EPOLLOUT the owner must call tcp_flush(). After a failed
 * write, tcp_read() still returns what the peer sent before. All functions may
 * be called on a closed tcp_t (fd -1).
 */
#define TCP_CLOSED (-1)

typedef struct tcp {
	loop_t *loop;
	int fd;
	uint32_t events;
	bool connecting;
	bool early_input; /* the peer sent something before this side did */
	bool reading;
	bool write_broken; /* a write has failed; received data may remain */
	buf_t out;	   /* pending output, after the first out_sent bytes */
	size_t out_sent;   /* bytes of `out` that are already written */
	uint64_t written;  /* bytes written to the socket since it was opened */
	loop_io_t io;
	void *user;
} tcp_t;

typedef enum tcp_read {
	TCP_READ_DATA,	   /* `len` bytes were read */
	TCP_READ_AGAIN,	   /* no data available yet */
	TCP_READ_END,	   /* the peer closed its sending side */
	TCP_READ_BROKEN,   /* reset, also after that, or closed on this side */
	TCP_READ_TIMED_OUT /* the peer stopped acknowledging */
} tcp_read_t;

/*
 * Opens a listening socket on "IP:PORT".
 *
 * RETURN VALUE: the descriptor, or -1 with `err` set.
 */
int tcp_listen(const char *address, err_t *err);

/* RETURN VALUE: an accepted descriptor, or -1 when none is waiting. */
int tcp_accept(int listen_fd);

/* Takes ownership of a connected descriptor and starts reading. */
void tcp_open(tcp_t *tcp, loop_t *loop, int fd, loop_io_t io, void *user);

/*
 * Starts to connect. The attempt has ended at the first EPOLLOUT, EPOLLERR or
 * EPOLLHUP; see tcp_connect_result().
 */
err_code_t tcp_connect(tcp_t *tcp, loop_t *loop, const char *address,
		       loop_io_t io, void *user, err_t *err);

/* RETURN VALUE: 0 once connected, else the errno of the failed connect. */
int tcp_connect_result(tcp_t *tcp);

/*
 * Sets TCP_USER_TIMEOUT and keep-alive probes so that the kernel breaks the
 * connection after about `ms` without acknowledgements from the peer.
 */
void tcp_set_dead_peer_timeout(tcp_t *tcp, unsigned ms);

tcp_read_t tcp_read(tcp_t *tcp, char *data, size_t size, size_t *len);

/* Writes the address of the peer, for logs; "-" when unknown. */
void tcp_peer(const tcp_t *tcp, char peer[ADDRESS_BYTES]);

/* True when a read would not block: data, end of stream or an error. */
bool tcp_has_input(const tcp_t *tcp);

/* RETURN VALUE: false when the connection is broken. */
bool tcp_send(tcp_t *tcp, str_t data);
bool tcp_flush(tcp_t *tcp);

/* Output bytes that are not yet written to the socket. */
size_t tcp_unsent(const tcp_t *tcp);

/* True when the peer has acknowledged all output. */
bool tcp_is_acknowledged(const tcp_t *tcp);

/* Stops or resumes reading, for back pressure. */
void tcp_set_reading(tcp_t *tcp, bool reading);

/* Shuts down the sending side; the peer reads end of stream. */
void tcp_shutdown_write(tcp_t *tcp);

void tcp_close(tcp_t *tcp);

/* Makes tcp_close() reset the connection, so that the peer can't mistake a
 * truncated message for a complete one. */
void tcp_reset_on_close(tcp_t *tcp);

#endif
