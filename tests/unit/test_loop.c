#include "unit.h"

#include <signal.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/time.h>
#include <unistd.h>

#include "transport/loop.h"

#define PIPES 200
#define TIMER_MS 1000
#define SIGNAL_US 20000
#define US_PER_MS 1000

typedef struct fixture {
	mclock_manual_t clock;
	loop_t *loop;
	int pipes[PIPES][2];
	unsigned reads;
	unsigned reads_at_timer; /* when the timer ran */
} fixture_t;

static fixture_t fixture;

static void on_readable(void *user, uint32_t events)
{
	const int *pipe = user;
	char byte;

	(void)events;
	CU_ASSERT_EQUAL(read(pipe[0], &byte, 1), 1);
	fixture.reads++;
}

static void on_timer(void *user)
{
	(void)user;
	fixture.reads_at_timer = fixture.reads;
	loop_stop(fixture.loop);
}

static void set_up(unsigned pipes, loop_timer_t *timer)
{
	fixture = (fixture_t){.reads = 0};
	mclock_manual_init(&fixture.clock, 1000);
	fixture.loop = loop_create(&fixture.clock.base);
	for (unsigned i = 0; i < pipes; i++) {
		CU_ASSERT_EQUAL(pipe(fixture.pipes[i]), 0);
		loop_watch(fixture.loop, fixture.pipes[i][0], EPOLLIN,
			   on_readable, fixture.pipes[i]);
	}
	loop_timer_set(fixture.loop, timer, TIMER_MS, on_timer, NULL);
}

static void write_byte(unsigned pipe)
{
	if (write(fixture.pipes[pipe][1], "x", 1) != 1)
		abort();
}

static void tear_down(unsigned pipes)
{
	for (unsigned i = 0; i < pipes; i++) {
		loop_unwatch(fixture.loop, fixture.pipes[i][0]);
		close(fixture.pipes[i][0]);
		close(fixture.pipes[i][1]);
	}
	loop_free(fixture.loop);
}

/* Guards against a deadline that ends requests whose responses wait on more
 * connections than one call of epoll_wait() returns. */
static void test_many_inputs_before_timers(void)
{
	loop_timer_t timer = {.due_ms = 0};

	set_up(PIPES, &timer);
	for (unsigned i = 0; i < PIPES; i++)
		write_byte(i);
	mclock_manual_advance(&fixture.clock, 2 * TIMER_MS);
	loop_run(fixture.loop);
	CU_ASSERT_EQUAL(fixture.reads_at_timer, PIPES);
	tear_down(PIPES);
}

/* The process was away until the timer's time, and a response came. */
static void on_signal(int number)
{
	(void)number;
	fixture.clock.now_us += 2 * TIMER_MS * US_PER_MS;
	if (write(fixture.pipes[0][1], "x", 1) != 1)
		abort();
}

/* Guards against a deadline that ends a request whose response came while the
 * process was stopped: to continue it interrupts epoll_wait(). */
static void test_input_before_timers_after_a_signal(void)
{
	loop_timer_t timer = {.due_ms = 0};
	struct itimerval interval = {.it_value = {.tv_usec = SIGNAL_US}};

	set_up(1, &timer);
	signal(SIGALRM, on_signal);
	CU_ASSERT_EQUAL(setitimer(ITIMER_REAL, &interval, NULL), 0);
	loop_run(fixture.loop);
	CU_ASSERT_EQUAL(fixture.reads_at_timer, 1);
	signal(SIGALRM, SIG_DFL);
	tear_down(1);
}

int main(void)
{
	CU_TestInfo tests[] = {
		{"many inputs before timers", test_many_inputs_before_timers},
		{"input before timers after a signal",
		 test_input_before_timers_after_a_signal},
		CU_TEST_INFO_NULL};

	return unit_run("loop", tests);
}
