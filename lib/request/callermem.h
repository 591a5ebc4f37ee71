#ifndef REQUEST_CALLERMEM_H
#define REQUEST_CALLERMEM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * callermem - what callers' connections may take of a host's memory
 *
 * Counts the capacity of the buffers of all connections in two pools, so that
 * large bodies leave room for everything else:
 *
 * - bodies: request bodies above CALLERMEM_SMALL_BYTES;
 * - buffers: smaller bodies, heads, input that can't be parsed yet, and output
 *   that the caller doesn't read.
 *
 * What a connection keeps between requests isn't counted, so that an ordinary
 * request is served while the pools are used up. Decides only; does no input or
 * output. All sizes are in bytes.
 */

/* Bodies up to this capacity belong to the buffers. */
#define CALLERMEM_SMALL_BYTES 16384
/* Buffers of a connection up to this size aren't counted. */
#define CALLERMEM_FREE_BYTES 12288

typedef struct callermem_limits {
	size_t body_bytes;
	size_t buffer_bytes;
	size_t max_callers;
} callermem_limits_t;

/* What one connection takes. */
typedef struct callermem_share {
	size_t body_bytes;
	size_t buffer_bytes;
} callermem_share_t;

typedef struct callermem {
	callermem_limits_t limits;
	callermem_share_t used; /* by all connections */
} callermem_t;

/* Limits of a host with `memory_bytes` of memory and `max_fds` descriptors. */
callermem_limits_t callermem_limits(uint64_t memory_bytes, uint64_t max_fds);

/*
 * Sets what one connection takes.
 *
 * PARAMETERS: `share`: its previous share; `body_cap`: capacity of its body
 * buffer; `other_cap`: of its other buffers together.
 */
void callermem_set(callermem_t *mem, callermem_share_t *share, size_t body_cap,
		   size_t other_cap);

/*
 * RETURN VALUE: whether the body of the connection with this share may grow to
 * the capacity `cap`. A body that is the only one always may.
 */
bool callermem_may_grow(const callermem_t *mem, const callermem_share_t *share,
			size_t cap);

/* True when connections must keep less input and output waiting: half of the
 * buffers are in use. */
bool callermem_is_pressed(const callermem_t *mem);

/* True when more is in use than the buffers' limit. */
bool callermem_is_exceeded(const callermem_t *mem);

/* A connection that may be closed to make room. */
typedef enum callermem_state {
	CALLERMEM_IN_USE,     /* a request runs, and its answer is read */
	CALLERMEM_CLOSING,    /* answered; input is discarded */
	CALLERMEM_IDLE,	      /* between requests */
	CALLERMEM_UNUSED,     /* opened, and no request yet */
	CALLERMEM_INCOMPLETE, /* sends a request */
	CALLERMEM_UNREAD      /* has output that the caller doesn't read */
} callermem_state_t;

typedef struct callermem_view {
	callermem_state_t state;
	int64_t stalled_ms; /* since it last made progress */
	callermem_share_t share;
} callermem_view_t;

/* What is short. */
typedef enum callermem_need {
	CALLERMEM_BODIES,
	CALLERMEM_BUFFERS,
	CALLERMEM_BUFFERS_AT_ONCE, /* and stalled connections didn't suffice */
	CALLERMEM_CONNECTIONS
} callermem_need_t;

/*
 * Ranks a connection by how well closing it serves the need.
 *
 * RETURN VALUE: a rank that grows with the time without progress, or -1 when
 * the connection must stay.
 */
int64_t callermem_rank(const callermem_view_t *view, callermem_need_t need);

#endif
