/*
 * peridot-dispatchd - owns endpoints and sends requests to them
 *
 * EXIT STATUS: 0 after a graceful stop, 1 when it could not start, 2 for wrong
 * arguments or settings.
 */
#include "dispatchd/dispatchd.h"

#include <argp.h>
#include <curl/curl.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/signalfd.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "base/metrics.h"
#include "base/plog.h"
#include "programs.h"

void dispatchd_leave(dispatchd_t *d, const char *reason)
{
	if (d->leaving)
		return;
	d->leaving = true;
	plog_write(PLOG_STOPPING, "reason=%s requests=%zu", reason,
		   d->request_count);
	requests_refuse_queued(d, "the host is leaving");
	clients_announce(d);
}

static void begin_hold(dispatchd_t *d)
{
	d->hold_until_ms = mclock_now_ms(d->clock) + HOLD_MS;
	d->hold_rounds = peers_rounds(d->peers);
}

bool dispatchd_is_holding(dispatchd_t *d)
{
	return mclock_now_ms(d->clock) < d->hold_until_ms &&
	       peers_rounds(d->peers) == d->hold_rounds;
}

void dispatchd_check_pause(dispatchd_t *d)
{
	int64_t now = mclock_now_ms(d->clock);
	int64_t gap = now - d->alive_ms;

	d->alive_ms = now;
	if (gap <= PAUSE_LIMIT_MS)
		return;
	d->pauses++;
	metrics_inc(METRIC_PAUSES);
	plog_write(PLOG_PAUSE_DETECTED, "gap_ms=%lld", (long long)gap);
	endpoints_on_pause(d);
	begin_hold(d);
}

/* Ends the admin server before the loop, which its handlers wait for. */
static void *stop_admin(void *user)
{
	dispatchd_t *d = user;

	admin_stop(d->admin);
	d->admin = NULL;
	loop_stop(d->loop);
	return NULL;
}

static void stop_if_idle(dispatchd_t *d)
{
	pthread_t thread;

	if (!d->stopping || d->stop_begun || d->request_count)
		return;
	d->stop_begun = true;
	if (pthread_create(&thread, NULL, stop_admin, d))
		loop_stop(d->loop);
	else
		pthread_detach(thread);
}

static void tick(void *user)
{
	dispatchd_t *d = user;

	loop_timer_set(d->loop, &d->tick, TICK_MS, tick, d);
	dispatchd_check_pause(d);
	endpoints_tick(d);
	requests_tick(d);
	clients_sweep(d);
	stop_if_idle(d);
}

static void on_message(void *user, member_t *member, const msg_t *msg)
{
	dispatchd_t *d = user;

	if (msg->kind == MSG_NODE)
		confsync_on_node(d->confsync, peers_link(member), &msg->u.node);
	else if (msg->kind == MSG_NODE_GET)
		confsync_serve(d->confsync, peers_link(member),
			       &msg->u.node_get);
}

static void on_status(void *user, member_t *member, bool fresh)
{
	dispatchd_t *d = user;

	(void)fresh;
	confsync_on_status(d->confsync, member);
	requests_dispatch(d);
}

static void on_member_down(void *user, member_t *member)
{
	dispatchd_t *d = user;

	confsync_on_down(d->confsync, peers_link(member));
}

static const peers_ops_t peers_ops = {on_message, on_status, on_member_down};

static void on_sheet(void *user)
{
	dispatchd_t *d = user;
	const sheet_t *sheet;

	store_read_lock();
	sheet = store_sheet(d->store);
	endpoints_apply_sheet(d, sheet);
	requests_apply_sheet(d, sheet);
	store_read_unlock();
	endpoints_tick(d);
}

static void on_listed(void *user, bool leaving)
{
	dispatchd_t *d = user;

	if (leaving && !d->leaving)
		dispatchd_leave(d, "host-list");
}

static const confsync_ops_t confsync_ops = {on_sheet, on_listed};

static void on_signal(void *user, uint32_t events)
{
	dispatchd_t *d = user;
	struct signalfd_siginfo info;

	(void)events;
	if (read(d->signal_fd, &info, sizeof(info)) != sizeof(info))
		return;
	if (d->stopping) {
		plog_write(PLOG_STOPPED, "reason=second-signal requests=%zu",
			   d->request_count);
		_exit(EXIT_SUCCESS);
	}
	d->stopping = true;
	dispatchd_leave(d, "signal");
}

static void init_self(dispatchd_t *d)
{
	str_copy(d->self.host, sizeof(d->self.host),
		 str_from(d->settings->host));
	str_copy(d->self.domain, sizeof(d->self.domain),
		 str_from(d->settings->domain));
	str_copy(d->self.address, sizeof(d->self.address),
		 str_from(d->settings->advertise));
	d->incarnation = msg_id_random();
	d->self.incarnation = d->incarnation;
}

static err_code_t create_parts(dispatchd_t *d, err_t *err)
{
	peers_self_t self = {
		.role = MSG_ROLE_DISPATCH,
		.host = str_from(d->settings->host),
		.domain = str_from(d->settings->domain),
		.address = str_from(d->settings->advertise),
	};

	init_self(d);
	self.incarnation = d->incarnation;
	d->loop = loop_create(d->clock);
	d->store = store_create(d->clock);
	d->fetcher = d->loop ? fetcher_create(d->loop) : NULL;
	d->tickets = ticket_table_create(d->clock, self.host, self.address,
					 &d->incarnation);
	if (!d->loop || !d->store || !d->fetcher || !d->tickets)
		return err_set(err, ERR_IO, "start", d->settings->host,
			       "could not set up the process");
	d->peers = peers_create(d->loop, d->store, &self, &peers_ops, d);
	d->confsync =
		confsync_create(d->loop, d->store, d->peers, &confsync_ops, d);
	for (size_t i = 0; i < d->settings->seed_count; i++)
		peers_add_seed(d->peers, d->settings->seeds[i]);
	begin_hold(d);
	return ERR_OK;
}

static err_code_t start(dispatchd_t *d, err_t *err)
{
	err_code_t code;

	code = create_parts(d, err);
	if (code)
		return code;
	d->signal_fd = programs_open_signals(err);
	if (d->signal_fd < 0)
		return err->code;
	loop_watch(d->loop, d->signal_fd, EPOLLIN, on_signal, d);
	code = clients_listen(d, err);
	if (code)
		return code;
	code = report_start(d, err);
	if (code)
		return code;
	code = programs_load_sheet(d->settings, d->confsync, err);
	if (code)
		return code;
	if (d->settings->platform)
		code = confsync_watch(d->confsync, d->settings->platform, err);
	loop_timer_set(d->loop, &d->tick, 0, tick, d);
	return code;
}

static void stop(dispatchd_t *d)
{
	if (d->admin)
		admin_stop(d->admin);
	if (d->loop)
		clients_free(d);
	confsync_free(d->confsync);
	requests_free(d);
	endpoints_free(d);
	peers_free(d->peers);
	fetcher_free(d->fetcher);
	ticket_table_free(d->tickets);
	if (d->loop)
		loop_timer_cancel(d->loop, &d->tick);
	loop_free(d->loop);
	if (d->store)
		store_free(d->store);
}

int main(int argc, char **argv)
{
	dispatchd_t d = {.clock = mclock_system(), .signal_fd = -1};
	settings_t *settings;
	err_t err = {0};
	int status = EXIT_SUCCESS;

	settings = programs_read_settings(
		argc, argv, SETTINGS_DISPATCH,
		"Owns endpoints of its failure domain and sends requests to "
		"them.");
	d.settings = settings;
	d.started_ms = mclock_now_ms(d.clock);
	d.alive_ms = d.started_ms;
	programs_start(settings, "peridot-dispatchd");
	store_register_thread();
	if (start(&d, &err)) {
		plog_write(PLOG_START_FAILED,
			   "step=\"%s\" peer=%s message=\"%s\"", err.step,
			   err.peer, err.message);
		status = EXIT_FAILURE;
		goto done;
	}
	plog_write(PLOG_STARTED, "host=%s domain=%s listen=%s admin=%s",
		   settings->host, settings->domain, settings->listen,
		   admin_address(d.admin));
	programs_print_ready(settings->listen, admin_address(d.admin));
	loop_run(d.loop);
	plog_write(PLOG_STOPPED, "reason=done requests=%zu", d.request_count);
done:
	stop(&d);
	store_unregister_thread();
	programs_stop(settings);
	return status;
}
