#ifndef TRANSPORT_LINK_H
#define TRANSPORT_LINK_H

#include "base/err.h"
#include "base/buf.h"
#include "transport/loop.h"

/*
 * link - framed TCP connections between daemons
 *
 * A frame is a 4-byte big-endian length and that many bytes, at most
 * FRAME_MAX_BYTES (transport/frame.h). An outgoing link reconnects by itself
 * with backoff until link_close(). Each link belongs to one loop.
 */
#define LINK_MAX_OUTPUT_BYTES (8 * 1024 * 1024)
#define LINK_BACKOFF_MIN_MS 100
#define LINK_BACKOFF_MAX_MS 2000

typedef struct link link_t;

/*
 * Callbacks of a link's user. on_frame gets the bytes of one frame, valid
 * during the call; a non-zero return closes the connection as invalid. on_down
 * is called once per established or failed connection; an incoming link is
 * freed right after its on_down.
 */
typedef struct link_ops {
	void (*on_up)(link_t *link);
	int (*on_frame)(link_t *link, str_t frame);
	void (*on_down)(link_t *link, const err_t *err);
} link_ops_t;

/* Opens an outgoing link to IP:PORT. NULL for a malformed address. */
link_t *link_open(loop_t *loop, const char *address, const link_ops_t *ops,
		  void *user, err_t *err);

/* Closes and frees a link; on_down is not called. */
void link_close(link_t *link);

typedef struct link_listener link_listener_t;

/*
 * Accepts links on IP:PORT. on_accept may set the link's user; the other
 * callbacks are as above.
 */
link_listener_t *link_listen(loop_t *loop, const char *address,
			     const link_ops_t *ops,
			     void (*on_accept)(void *user, link_t *link),
			     void *user, err_t *err);
void link_listener_close(link_listener_t *listener);

/* The bound port, which a request for port 0 leaves to the system. */
int link_listener_port(const link_listener_t *listener);

/*
 * Queues one frame.
 *
 * RETURN VALUE: ERR_OK; ERR_BAD_STATE when not connected; ERR_FULL when the
 * output buffer is over its limit, in which case the link is to be closed or
 * left.
 */
err_code_t link_send(link_t *link, str_t frame);

bool link_is_up(const link_t *link);
const char *link_peer(const link_t *link); /* IP:PORT */
void *link_user(const link_t *link);
void link_set_user(link_t *link, void *user);
loop_t *link_loop(const link_t *link);

/* Bytes sent and received over the link's life, frames' lengths included. */
uint64_t link_bytes_sent(const link_t *link);
uint64_t link_bytes_received(const link_t *link);

#endif
