#include "request/crashcheck.h"

#include <errno.h>
#include <stdlib.h>
#include <sys/epoll.h>

#include "base/plog.h"
#include "request/crashes.h"
#include "transport/tcp.h"

/* Time in which the other connections to a crashed endpoint break. */
#define CRASHCHECK_GATHER_MS 20
#define CRASHCHECK_TIMEOUT_MS 450
#define CRASHCHECK_MAX_CHECKS 64

typedef struct crashcheck {
	router_t *router;
	endpoint_t *endpoint;
	tcp_t tcp;
	loop_timer_t timer;
	crash_report_t report;
	struct crashcheck *next, *prev;
} crashcheck_t;

static void end(crashcheck_t *check)
{
	router_t *router = check->router;

	loop_timer_cancel(router->loop, &check->timer);
	tcp_close(&check->tcp);
	if (check->prev)
		check->prev->next = check->next;
	else
		router->crash_checks = check->next;
	if (check->next)
		check->next->prev = check->prev;
	router->crash_check_count--;
	endpoint_unref(check->endpoint);
	router_defer_free(router, check);
}

static void conclude(crashcheck_t *check, const char *result)
{
	plog_write(PLOG_CRASH_CHECKED, "endpoint=%s result=%s inputs=%zu",
		   check->endpoint->id, result, check->report.input_count);
	end(check);
}

static void on_timeout(void *user)
{
	conclude(user, "no-response");
}

static void on_refused(crashcheck_t *check)
{
	router_t *router = check->router;
	crash_report_t report = check->report;

	conclude(check, "crashed");
	crashes_report(router, &report);
}

static void on_io(void *user, uint32_t events)
{
	crashcheck_t *check = user;
	int error = tcp_connect_result(&check->tcp);

	(void)events;
	if (error == ECONNREFUSED || error == ECONNRESET)
		on_refused(check);
	else if (error)
		conclude(check, "unreachable");
	else
		conclude(check, "runs");
}

static void connect_endpoint(void *user)
{
	crashcheck_t *check = user;
	err_t err = {0};

	if (tcp_connect(&check->tcp, check->router->loop,
			check->endpoint->address, on_io, check, &err)) {
		conclude(check, "unreachable");
		return;
	}
	loop_timer_set(check->router->loop, &check->timer,
		       CRASHCHECK_TIMEOUT_MS, on_timeout, check);
}

static bool has_input(const crash_report_t *report, uint64_t input)
{
	for (size_t i = 0; i < report->input_count; i++)
		if (report->inputs[i] == input)
			return true;
	return false;
}

/* Adds an input; when the report is full, one that was sound before gives way
 * to one that never was. */
static void add_input(const crashboard_t *board, crash_report_t *report,
		      uint64_t input)
{
	size_t at = 0;

	if (report->input_count < CRASHBOARD_REPORT_INPUTS) {
		report->inputs[report->input_count++] = input;
		return;
	}
	if (crashboard_was_sound(board, input))
		return;
	while (at < report->input_count &&
	       !crashboard_was_sound(board, report->inputs[at]))
		at++;
	if (at < report->input_count)
		report->inputs[at] = input;
}

static crashcheck_t *find(const router_t *router, const endpoint_t *endpoint)
{
	crashcheck_t *check = router->crash_checks;

	while (check && check->endpoint != endpoint)
		check = check->next;
	return check;
}

static crashcheck_t *create(router_t *router, endpoint_t *endpoint)
{
	crashcheck_t *check = calloc(1, sizeof(*check));

	if (!check)
		abort();
	check->router = router;
	check->endpoint = endpoint;
	check->tcp.fd = TCP_CLOSED;
	endpoint_ref(endpoint);
	check->report = (crash_report_t){.process = endpoint->process_hash,
					 .at_ms = router_now_ms(router)};
	check->next = router->crash_checks;
	if (check->next)
		check->next->prev = check;
	router->crash_checks = check;
	router->crash_check_count++;
	loop_timer_set(router->loop, &check->timer, CRASHCHECK_GATHER_MS,
		       connect_endpoint, check);
	return check;
}

void crashcheck_start(router_t *router, endpoint_t *endpoint,
		      const uint64_t *inputs, size_t count)
{
	crashcheck_t *check = find(router, endpoint);

	if (!check && router->crash_check_count < CRASHCHECK_MAX_CHECKS)
		check = create(router, endpoint);
	for (size_t i = 0; check && i < count; i++)
		if (!has_input(&check->report, inputs[i]))
			add_input(router->crashes, &check->report, inputs[i]);
}

void crashcheck_stop_all(router_t *router)
{
	for (crashcheck_t *check = router->crash_checks, *next; check;
	     check = next) {
		next = check->next;
		end(check);
	}
}
