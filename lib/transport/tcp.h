#ifndef TRANSPORT_TCP_H
#define TRANSPORT_TCP_H

#include "base/buf.h"
#include "base/err.h"
#include "transport/address.h"
#include "transport/loop.h"

/*
 * tcp - non-blocking TCP connections on a loop, with an output buffer
 *
 * tcp_send() writes what the socket takes and keeps the rest, which goes out
 * as the socket allows. The owner's `io` is called for EPOLLIN, EPOLLHUP and
 * EPOLLERR, and for EPOLLOUT once a connect has ended; it must call tcp_flush()
 * for EPOLLOUT. All functions may be called on a closed tcp_t (fd -1).
 */
#define TCP_CLOSED (-1)

typedef struct tcp {
	loop_t *loop;
	int fd;
	uint32_t events;
	bool connecting;
	bool reading;
	buf_t out;
	size_t out_sent;
	uint64_t written; /* bytes that the socket took */
	loop_io_t io;
	void *user;
} tcp_t;

typedef enum tcp_read {
	TCP_READ_DATA,	/* `len` bytes were read */
	TCP_READ_AGAIN, /* nothing there now */
	TCP_READ_END,	/* the peer closed its sending side */
	TCP_READ_BROKEN /* reset or timed out */
} tcp_read_t;

/*
 * Opens a listening socket on "IP:PORT".
 *
 * RETURN VALUE: the descriptor, or -1 with `err` set.
 */
int tcp_listen(const char *address, err_t *err);

/* RETURN VALUE: an accepted descriptor, or -1 when none is waiting. */
int tcp_accept(int listen_fd);

/* Takes over an open descriptor and reads from it. */
void tcp_open(tcp_t *tcp, loop_t *loop, int fd, loop_io_t io, void *user);

/*
 * Starts to connect. The first EPOLLOUT, EPOLLERR or EPOLLHUP tells the end;
 * see tcp_connect_result().
 */
err_code_t tcp_connect(tcp_t *tcp, loop_t *loop, const char *address,
		       loop_io_t io, void *user, err_t *err);

/* 0 once connected, else the errno with which connecting failed. */
int tcp_connect_result(tcp_t *tcp);

/*
 * Lets unacknowledged data and unanswered keep-alive probes break the
 * connection after about `ms`, so that a silent peer is noticed.
 */
void tcp_set_dead_peer_timeout(tcp_t *tcp, unsigned ms);

tcp_read_t tcp_read(tcp_t *tcp, char *data, size_t size, size_t *len);

/* Address of the other end, for logs; "-" when it isn't known. */
void tcp_peer(const tcp_t *tcp, char peer[ADDRESS_BYTES]);

/* True when a read would give bytes, an end or an error now. */
bool tcp_has_input(const tcp_t *tcp);

/* RETURN VALUE: false when the connection is broken. */
bool tcp_send(tcp_t *tcp, str_t data);
bool tcp_flush(tcp_t *tcp);
size_t tcp_unsent(const tcp_t *tcp);

/* Stops or goes on reading, for back-pressure. */
void tcp_set_reading(tcp_t *tcp, bool reading);

/* Ends the sending side; the peer sees an orderly end. */
void tcp_shutdown_write(tcp_t *tcp);

void tcp_close(tcp_t *tcp);

/* Lets tcp_close() reset the connection, so that the peer can't take what it
 * has for complete. */
void tcp_reset_on_close(tcp_t *tcp);

#endif
