#ifndef TRANSPORT_LOOP_H
#define TRANSPORT_LOOP_H

#include <stdbool.h>
#include <stdint.h>

#include "base/mclock.h"

/*
 * loop - single-threaded event loop over epoll
 *
 * All functions except loop_post(), loop_call() and loop_stop() must be called
 * on the loop's thread, or before loop_run().
 */
typedef struct loop loop_t;

typedef void (*loop_io_t)(void *user, uint32_t epoll_events);
typedef void (*loop_call_t)(void *user);

typedef struct loop_timer {
	int64_t due_ms; /* monotonic; 0: not armed */
	loop_call_t call;
	void *user;
	struct loop_timer *prev, *next;
} loop_timer_t;

loop_t *loop_create(const mclock_t *clock);

/* Runs the calls that are still posted and frees the loop. */
void loop_free(loop_t *loop);

const mclock_t *loop_clock(const loop_t *loop);

/* Runs until loop_stop(). */
void loop_run(loop_t *loop);
void loop_stop(loop_t *loop);

/*
 * Watches a descriptor for EPOLLIN, EPOLLOUT; a later call changes the set.
 *
 * RETURN VALUE: 0, or -1 with errno of epoll_ctl().
 */
int loop_watch(loop_t *loop, int fd, uint32_t events, loop_io_t io, void *user);
void loop_unwatch(loop_t *loop, int fd);

/* Arms or re-arms a one-shot timer; the caller owns the memory of `timer`. */
void loop_timer_set(loop_t *loop, loop_timer_t *timer, int64_t delay_ms,
		    loop_call_t call, void *user);
void loop_timer_cancel(loop_t *loop, loop_timer_t *timer);

/* Queues `call` to run on the loop's thread. Safe from any thread. */
void loop_post(loop_t *loop, loop_call_t call, void *user);

/*
 * Runs `call` on the loop's thread and blocks until it has returned. Must not
 * be called on the loop's thread; the loop must keep running until then.
 */
void loop_call(loop_t *loop, loop_call_t call, void *user);

#endif
