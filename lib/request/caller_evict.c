#include "base/metrics.h"
#include "base/plog.h"
#include "request/caller_internal.h"

/* Interval of checks while the memory for buffers is exceeded. */
#define CHECK_INTERVAL_MS 250

static callermem_state_t state_of(const caller_t *caller)
{
	if (tcp_unsent(&caller->tcp))
		return CALLERMEM_UNREAD;
	if (caller->request)
		return CALLERMEM_IN_USE;
	if (caller->closing)
		return CALLERMEM_CLOSING;
	if (http1_has_begun(&caller->http) || caller->pipelined.len)
		return CALLERMEM_INCOMPLETE;
	return caller->answered ? CALLERMEM_IDLE : CALLERMEM_UNUSED;
}

/* True for a connection on which a request has just arrived. */
static bool has_unread_request(const caller_t *caller, callermem_state_t state)
{
	return (state == CALLERMEM_IDLE || state == CALLERMEM_UNUSED) &&
	       tcp_has_input(&caller->tcp);
}

/* RETURN VALUE: the connection that yields first, or NULL. */
static caller_t *find_victim(router_t *router, callermem_need_t need,
			     const caller_t *except)
{
	int64_t now_ms = router_now_ms(router);
	int64_t best_rank = -1;
	caller_t *best = NULL;

	for (caller_t *caller = router->callers; caller;
	     caller = caller->next) {
		callermem_view_t view = {state_of(caller),
					 now_ms - caller->progress_ms,
					 caller->memory};
		int64_t rank = callermem_rank(&view, need);

		/* The end of a request has effects on others, so that it waits
		 * until no connection is being parsed. */
		if (caller == except || (except && caller->request) ||
		    rank <= best_rank || has_unread_request(caller, view.state))
			continue;
		best_rank = rank;
		best = caller;
	}
	return best;
}

static void evict(caller_t *caller, callermem_need_t need)
{
	callermem_state_t state = state_of(caller);
	char peer[ADDRESS_BYTES];

	tcp_peer(&caller->tcp, peer);
	metrics_inc(METRIC_CALLERS_EVICTED);
	plog_write(PLOG_CALLER_EVICTED,
		   "peer=%s need=%s stalled_ms=%lld bytes=%zu", peer,
		   need == CALLERMEM_CONNECTIONS ? "connections" : "memory",
		   (long long)(router_now_ms(caller->router) -
			       caller->progress_ms),
		   caller->memory.body_bytes + caller->memory.buffer_bytes);
	if (state == CALLERMEM_INCOMPLETE)
		caller_answer_unread(caller, 503,
				     "the request did not arrive in time",
				     caller_retry_ms(caller));
	/* A part of an answer must not look like a whole one. */
	if (state == CALLERMEM_UNREAD)
		tcp_reset_on_close(&caller->tcp);
	if (state != CALLERMEM_INCOMPLETE || need == CALLERMEM_CONNECTIONS)
		caller_destroy(caller);
}

void caller_make_body_room(caller_t *caller, size_t cap)
{
	router_t *router = caller->router;
	caller_t *victim;

	while (!callermem_may_grow(&router->caller_memory, &caller->memory,
				   cap) &&
	       (victim = find_victim(router, CALLERMEM_BODIES, caller)))
		evict(victim, CALLERMEM_BODIES);
}

static void make_buffer_room(router_t *router, callermem_need_t need,
			     const caller_t *except)
{
	caller_t *victim;

	while (callermem_is_exceeded(&router->caller_memory) &&
	       (victim = find_victim(router, need, except)))
		evict(victim, need);
}

void caller_make_buffer_room(caller_t *caller)
{
	make_buffer_room(caller->router, CALLERMEM_BUFFERS, caller);
}

bool caller_make_connection_room(router_t *router)
{
	caller_t *victim = find_victim(router, CALLERMEM_CONNECTIONS, NULL);

	if (victim)
		evict(victim, CALLERMEM_CONNECTIONS);
	return victim;
}

static void on_memory_timer(void *user)
{
	router_t *router = user;

	make_buffer_room(router, CALLERMEM_BUFFERS, NULL);
	make_buffer_room(router, CALLERMEM_BUFFERS_AT_ONCE, NULL);
	caller_watch_memory(router);
}

void caller_watch_memory(router_t *router)
{
	if (callermem_is_exceeded(&router->caller_memory) &&
	    !router->caller_memory_timer.due_ms)
		loop_timer_set(router->loop, &router->caller_memory_timer,
			       CHECK_INTERVAL_MS, on_memory_timer, router);
}
