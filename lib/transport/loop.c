#include "transport/loop.h"

#include <assert.h>
#include <errno.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#define LOOP_EVENTS 64
#define LOOP_MAX_WAIT_MS 1000

typedef struct watch {
	loop_io_t io;
	void *user;
	bool removed;	    /* unwatched during the current iteration */
	struct watch *next; /* in the loop's removed_watches */
} watch_t;

typedef struct post {
	loop_call_t call;
	void *user;
	struct post *next;
} post_t;

struct loop {
	const mclock_t *clock;
	int epoll_fd;
	int wake_fd;
	watch_t **watches; /* by descriptor */
	size_t watch_cap;
	watch_t *removed_watches; /* freed at the end of the iteration */
	loop_timer_t *timers;	  /* sorted by due time */
	pthread_mutex_t post_lock;
	post_t *posts;
	post_t **posts_tail;
	atomic_bool stopped;
};

static void free_removed_watches(loop_t *loop);
static void run_posts(loop_t *loop);

static void read_wake(void *user, uint32_t events)
{
	loop_t *loop = user;
	uint64_t count;

	(void)events;
	if (read(loop->wake_fd, &count, sizeof(count)) < 0)
		assert(errno == EAGAIN);
}

static void wake(loop_t *loop)
{
	uint64_t one = 1;

	if (write(loop->wake_fd, &one, sizeof(one)) < 0)
		assert(errno == EAGAIN);
}

loop_t *loop_create(const mclock_t *clock)
{
	loop_t *loop = calloc(1, sizeof(*loop));

	if (!loop)
		return NULL;
	loop->clock = clock;
	loop->posts_tail = &loop->posts;
	pthread_mutex_init(&loop->post_lock, NULL);
	loop->wake_fd = -1;
	loop->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	if (loop->epoll_fd < 0)
		goto fail;
	loop->wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	if (loop->wake_fd < 0)
		goto fail;
	if (loop_watch(loop, loop->wake_fd, EPOLLIN, read_wake, loop))
		goto fail;
	return loop;
fail:
	loop_free(loop);
	return NULL;
}

void loop_free(loop_t *loop)
{
	if (!loop)
		return;
	free_removed_watches(loop);
	for (size_t fd = 0; fd < loop->watch_cap; fd++)
		free(loop->watches[fd]);
	free(loop->watches);
	while (loop->posts)
		run_posts(loop);
	if (loop->wake_fd >= 0)
		close(loop->wake_fd);
	if (loop->epoll_fd >= 0)
		close(loop->epoll_fd);
	pthread_mutex_destroy(&loop->post_lock);
	free(loop);
}

const mclock_t *loop_clock(const loop_t *loop)
{
	return loop->clock;
}

static watch_t *find_watch(const loop_t *loop, int fd)
{
	return (size_t)fd < loop->watch_cap ? loop->watches[fd] : NULL;
}

static watch_t *add_watch(loop_t *loop, int fd)
{
	watch_t *watch = calloc(1, sizeof(*watch));
	size_t cap = loop->watch_cap ? loop->watch_cap : LOOP_EVENTS;
	watch_t **grown;

	if (!watch)
		abort();
	while (cap <= (size_t)fd)
		cap *= 2;
	if (cap > loop->watch_cap) {
		grown = realloc(loop->watches, cap * sizeof(*grown));
		if (!grown)
			abort();
		memset(grown + loop->watch_cap, 0,
		       (cap - loop->watch_cap) * sizeof(*grown));
		loop->watches = grown;
		loop->watch_cap = cap;
	}
	loop->watches[fd] = watch;
	return watch;
}

int loop_watch(loop_t *loop, int fd, uint32_t events, loop_io_t io, void *user)
{
	watch_t *watch = find_watch(loop, fd);
	struct epoll_event event = {.events = events};
	int op = watch ? EPOLL_CTL_MOD : EPOLL_CTL_ADD;

	if (!watch)
		watch = add_watch(loop, fd);
	watch->io = io;
	watch->user = user;
	event.data.ptr = watch;
	return epoll_ctl(loop->epoll_fd, op, fd, &event);
}

void loop_unwatch(loop_t *loop, int fd)
{
	watch_t *watch = find_watch(loop, fd);

	if (!watch)
		return;
	epoll_ctl(loop->epoll_fd, EPOLL_CTL_DEL, fd, NULL);
	loop->watches[fd] = NULL;
	watch->removed = true;
	watch->next = loop->removed_watches;
	loop->removed_watches = watch;
}

static void free_removed_watches(loop_t *loop)
{
	while (loop->removed_watches) {
		watch_t *watch = loop->removed_watches;

		loop->removed_watches = watch->next;
		free(watch);
	}
}

void loop_timer_cancel(loop_t *loop, loop_timer_t *timer)
{
	if (!timer->due_ms)
		return;
	if (timer->prev)
		timer->prev->next = timer->next;
	else
		loop->timers = timer->next;
	if (timer->next)
		timer->next->prev = timer->prev;
	timer->due_ms = 0;
	timer->prev = timer->next = NULL;
}

void loop_timer_set(loop_t *loop, loop_timer_t *timer, int64_t delay_ms,
		    loop_call_t call, void *user)
{
	loop_timer_t *prev = NULL;
	loop_timer_t *next;

	loop_timer_cancel(loop, timer);
	timer->due_ms = mclock_now_ms(loop->clock) + delay_ms;
	timer->call = call;
	timer->user = user;
	for (next = loop->timers; next && next->due_ms <= timer->due_ms;
	     next = next->next)
		prev = next;
	timer->prev = prev;
	timer->next = next;
	if (prev)
		prev->next = timer;
	else
		loop->timers = timer;
	if (next)
		next->prev = timer;
}

static void run_timers(loop_t *loop)
{
	int64_t now = mclock_now_ms(loop->clock);

	while (loop->timers && loop->timers->due_ms <= now) {
		loop_timer_t *timer = loop->timers;

		loop_timer_cancel(loop, timer);
		timer->call(timer->user);
	}
}

void loop_post(loop_t *loop, loop_call_t call, void *user)
{
	post_t *post = malloc(sizeof(*post));

	if (!post)
		abort();
	*post = (post_t){call, user, NULL};
	pthread_mutex_lock(&loop->post_lock);
	*loop->posts_tail = post;
	loop->posts_tail = &post->next;
	pthread_mutex_unlock(&loop->post_lock);
	wake(loop);
}

/* A loop_call() in progress, on the stack of the waiting thread. */
typedef struct sync_call {
	loop_call_t call;
	void *user;
	pthread_mutex_t lock;
	pthread_cond_t done_cond;
	bool done;
} sync_call_t;

static void run_sync_call(void *user)
{
	sync_call_t *sync = user;

	sync->call(sync->user);
	pthread_mutex_lock(&sync->lock);
	sync->done = true;
	pthread_cond_signal(&sync->done_cond);
	pthread_mutex_unlock(&sync->lock);
}

void loop_call(loop_t *loop, loop_call_t call, void *user)
{
	sync_call_t sync = {.call = call, .user = user};

	pthread_mutex_init(&sync.lock, NULL);
	pthread_cond_init(&sync.done_cond, NULL);
	loop_post(loop, run_sync_call, &sync);
	pthread_mutex_lock(&sync.lock);
	while (!sync.done)
		pthread_cond_wait(&sync.done_cond, &sync.lock);
	pthread_mutex_unlock(&sync.lock);
	pthread_cond_destroy(&sync.done_cond);
	pthread_mutex_destroy(&sync.lock);
}

static void run_posts(loop_t *loop)
{
	post_t *posts;

	pthread_mutex_lock(&loop->post_lock);
	posts = loop->posts;
	loop->posts = NULL;
	loop->posts_tail = &loop->posts;
	pthread_mutex_unlock(&loop->post_lock);
	while (posts) {
		post_t *post = posts;

		posts = post->next;
		post->call(post->user);
		free(post);
	}
}

static int wait_ms(const loop_t *loop)
{
	int64_t left;

	if (!loop->timers)
		return LOOP_MAX_WAIT_MS;
	left = loop->timers->due_ms - mclock_now_ms(loop->clock);
	if (left < 0)
		return 0;
	return left < LOOP_MAX_WAIT_MS ? (int)left : LOOP_MAX_WAIT_MS;
}

/* Calls the watches of up to LOOP_EVENTS descriptors that are ready.
 *
 * RETURN VALUE: true when more descriptors may be ready. */
static bool run_watches(loop_t *loop, int max_wait_ms)
{
	struct epoll_event events[LOOP_EVENTS];
	int count =
		epoll_wait(loop->epoll_fd, events, LOOP_EVENTS, max_wait_ms);

	/* A stopped process that is continued interrupts the wait too. */
	if (count < 0)
		return errno == EINTR;
	for (int i = 0; i < count; i++) {
		watch_t *watch = events[i].data.ptr;

		if (!watch->removed)
			watch->io(watch->user, events[i].events);
	}
	return count == LOOP_EVENTS;
}

/* Watches run before timers: a response that waits on a connection is not taken
 * for late. Descriptors that stay ready don't hold the timers up for ever. */
static void run_iteration(loop_t *loop)
{
	size_t rounds = loop->watch_cap / LOOP_EVENTS;
	bool more = run_watches(loop, wait_ms(loop));

	while (more && rounds--)
		more = run_watches(loop, 0);
	run_timers(loop);
	run_posts(loop);
	free_removed_watches(loop);
}

void loop_run(loop_t *loop)
{
	while (!atomic_load(&loop->stopped))
		run_iteration(loop);
}

void loop_stop(loop_t *loop)
{
	atomic_store(&loop->stopped, true);
	wake(loop);
}
