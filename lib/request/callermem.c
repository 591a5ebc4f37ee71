#include "request/callermem.h"

/* Shares of the host's memory. An endpoint that doesn't read its request makes
 * the host hold the body twice. */
#define BODY_DIVISOR 5
#define BUFFER_DIVISOR 8
/* More memory than this makes no difference to callers within the limits. */
#define MAX_BODY_BYTES (48u * 1024 * 1024)
#define MAX_BUFFER_BYTES (32u * 1024 * 1024)
#define MAX_CALLERS 2500
/* The platform keeps these for files. */
#define FILE_FDS 200
/* A third of the other descriptors is left to endpoints, hosts and monitors. */
#define MIN_FDS 8
#define MAX_FDS (1024u * 1024)
#define CALLER_FDS_NUMERATOR 2
#define CALLER_FDS_DENOMINATOR 3
#define PRESSURE_DIVISOR 2
/* Without progress for so long, a connection yields to others. */
#define STALL_MS 3000
/* Between two packets of a caller that is at work. */
#define ACTIVE_MS 250
/* Ranks connections that yield before all others. */
#define FIRST_RANK ((int64_t)1 << 40)

static uint64_t at_most(uint64_t value, uint64_t max)
{
	return value < max ? value : max;
}

callermem_limits_t callermem_limits(uint64_t memory_bytes, uint64_t max_fds)
{
	uint64_t fds = at_most(max_fds, MAX_FDS);

	fds = fds > FILE_FDS + MIN_FDS ? fds - FILE_FDS : MIN_FDS;

	return (callermem_limits_t){
		.body_bytes = (size_t)at_most(memory_bytes / BODY_DIVISOR,
					      MAX_BODY_BYTES),
		.buffer_bytes = (size_t)at_most(memory_bytes / BUFFER_DIVISOR,
						MAX_BUFFER_BYTES),
		.max_callers = (size_t)at_most(fds * CALLER_FDS_NUMERATOR /
						       CALLER_FDS_DENOMINATOR,
					       MAX_CALLERS)};
}

void callermem_set(callermem_t *mem, callermem_share_t *share, size_t body_cap,
		   size_t other_cap)
{
	bool is_large = body_cap > CALLERMEM_SMALL_BYTES;
	size_t body = is_large ? body_cap : 0;
	size_t buffers = other_cap + (is_large ? 0 : body_cap);

	buffers = buffers > CALLERMEM_FREE_BYTES ? buffers : 0;
	mem->used.body_bytes += body - share->body_bytes;
	mem->used.buffer_bytes += buffers - share->buffer_bytes;
	*share = (callermem_share_t){body, buffers};
}

bool callermem_may_grow(const callermem_t *mem, const callermem_share_t *share,
			size_t cap)
{
	size_t others = mem->used.body_bytes - share->body_bytes;

	return cap <= CALLERMEM_SMALL_BYTES || !others ||
	       others + cap <= mem->limits.body_bytes;
}

bool callermem_is_pressed(const callermem_t *mem)
{
	return mem->used.buffer_bytes >
	       mem->limits.buffer_bytes / PRESSURE_DIVISOR;
}

bool callermem_is_exceeded(const callermem_t *mem)
{
	return mem->used.buffer_bytes > mem->limits.buffer_bytes;
}

static int64_t rank_for_connections(const callermem_view_t *view)
{
	switch (view->state) {
	case CALLERMEM_CLOSING:
		return FIRST_RANK + view->stalled_ms;
	case CALLERMEM_IDLE:
	case CALLERMEM_UNUSED:
		if (view->stalled_ms < ACTIVE_MS)
			return -1;
		/* A caller that was served before yields last. */
		return view->stalled_ms +
		       (view->state == CALLERMEM_UNUSED ? FIRST_RANK : 0);
	case CALLERMEM_INCOMPLETE:
	case CALLERMEM_UNREAD:
		return view->stalled_ms < STALL_MS ?
			       -1 :
			       FIRST_RANK + view->stalled_ms;
	case CALLERMEM_IN_USE:
		break;
	}
	return -1;
}

int64_t callermem_rank(const callermem_view_t *view, callermem_need_t need)
{
	size_t freed = need == CALLERMEM_BODIES ? view->share.body_bytes :
						  view->share.buffer_bytes;
	int64_t min_ms = STALL_MS;

	if (need == CALLERMEM_CONNECTIONS)
		return rank_for_connections(view);
	if (!freed || view->state == CALLERMEM_IN_USE)
		return -1;
	/* Bodies of running requests stay: their outcome may be open. */
	if (need == CALLERMEM_BODIES && view->state != CALLERMEM_INCOMPLETE)
		return -1;
	if (need == CALLERMEM_BUFFERS_AT_ONCE &&
	    view->state == CALLERMEM_UNREAD)
		min_ms = ACTIVE_MS;
	return view->stalled_ms < min_ms ? -1 : view->stalled_ms;
}
