/*
 * peridot-entryd - takes callers' requests and forwards them to dispatchers
 *
 * EXIT STATUS: 0 after a graceful stop, 1 when it could not start, 2 for wrong
 * arguments or settings.
 */
#include "entryd/entryd.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include "base/plog.h"
#include "programs.h"

#define TICK_MS 100

void entryd_leave(entryd_t *d, const char *reason)
{
	if (atomic_exchange(&d->leaving, true))
		return;
	plog_write(PLOG_STOPPING, "reason=%s requests=%zu", reason,
		   atomic_load(&d->exchange_count));
}

/* Ends the servers before the loop, which their handlers wait for. */
static void *stop_servers(void *user)
{
	entryd_t *d = user;

	httpd_stop(d->httpd);
	d->httpd = NULL;
	admin_stop(d->admin);
	d->admin = NULL;
	loop_stop(d->loop);
	return NULL;
}

static void tick(void *user)
{
	entryd_t *d = user;
	pthread_t thread;

	loop_timer_set(d->loop, &d->tick, TICK_MS, tick, d);
	if (!d->stopping || d->stop_begun || atomic_load(&d->exchange_count))
		return;
	d->stop_begun = true;
	if (pthread_create(&thread, NULL, stop_servers, d))
		loop_stop(d->loop);
	else
		pthread_detach(thread);
}

static void on_status(void *user, member_t *member, bool fresh)
{
	entryd_t *d = user;

	(void)fresh;
	confsync_on_status(d->confsync, member);
}

static const peers_ops_t peers_ops = {route_on_message, on_status,
				      route_on_down};

static void on_sheet(void *user)
{
	(void)user; /* requests read the sheet through the store */
}

static void on_listed(void *user, bool leaving)
{
	if (leaving)
		entryd_leave(user, "host-list");
}

static const confsync_ops_t confsync_ops = {on_sheet, on_listed};

static void on_signal(void *user, uint32_t events)
{
	entryd_t *d = user;
	struct signalfd_siginfo info;

	(void)events;
	if (read(d->signal_fd, &info, sizeof(info)) != sizeof(info))
		return;
	if (d->stopping) {
		plog_write(PLOG_STOPPED, "reason=second-signal requests=%zu",
			   atomic_load(&d->exchange_count));
		_exit(EXIT_SUCCESS);
	}
	d->stopping = true;
	entryd_leave(d, "signal");
}

static err_code_t create_parts(entryd_t *d, err_t *err)
{
	const settings_t *settings = d->settings;
	peers_self_t self = {
		.role = MSG_ROLE_ENTRY,
		.host = str_from(settings->host),
		.domain = str_from(settings->domain),
		.address = STR_LIT(""),
		.incarnation = msg_id_random(),
	};

	d->loop = loop_create(d->clock);
	d->store = store_create(d->clock);
	if (!d->loop || !d->store)
		return err_set(err, ERR_IO, "start", settings->host,
			       "could not set up the process");
	d->peers = peers_create(d->loop, d->store, &self, &peers_ops, d);
	d->confsync =
		confsync_create(d->loop, d->store, d->peers, &confsync_ops, d);
	if (settings->local_dispatch)
		peers_add_seed(d->peers, settings->local_dispatch);
	for (size_t i = 0; i < settings->seed_count; i++)
		peers_add_seed(d->peers, settings->seeds[i]);
	for (size_t i = 0; i < SHEET_MAX_CLASSES; i++)
		retry_init(&d->budgets[i]);
	return ERR_OK;
}

static err_code_t start_servers(entryd_t *d, err_t *err)
{
	httpd_options_t options = {
		.listen = d->settings->listen,
		.interface = "callers",
		.threads = d->settings->threads,
		.max_body_bytes = d->settings->max_body_bytes,
		.handler = caller_handle,
		.user = d,
	};
	err_code_t code = status_start(d, err);

	if (code)
		return code;
	d->httpd = httpd_start(&options, err);
	return d->httpd ? ERR_OK : err->code;
}

static err_code_t start(entryd_t *d, err_t *err)
{
	err_code_t code = create_parts(d, err);

	if (code)
		return code;
	d->signal_fd = programs_open_signals(err);
	if (d->signal_fd < 0)
		return err->code;
	loop_watch(d->loop, d->signal_fd, EPOLLIN, on_signal, d);
	code = programs_load_sheet(d->settings, d->confsync, err);
	if (code)
		return code;
	if (d->settings->platform)
		code = confsync_watch(d->confsync, d->settings->platform, err);
	if (code)
		return code;
	code = start_servers(d, err);
	loop_timer_set(d->loop, &d->tick, 0, tick, d);
	return code;
}

static void stop(entryd_t *d)
{
	httpd_stop(d->httpd);
	admin_stop(d->admin);
	confsync_free(d->confsync);
	peers_free(d->peers);
	if (d->loop)
		loop_timer_cancel(d->loop, &d->tick);
	loop_free(d->loop);
	store_free(d->store);
	if (d->signal_fd >= 0)
		close(d->signal_fd);
}

int main(int argc, char **argv)
{
	entryd_t d = {.clock = mclock_system(), .signal_fd = -1};
	settings_t *settings;
	err_t err = {0};
	int status = EXIT_SUCCESS;

	settings = programs_read_settings(
		argc, argv, SETTINGS_ENTRY,
		"Takes callers' requests and forwards them to dispatchers.");
	d.settings = settings;
	d.started_ms = mclock_now_ms(d.clock);
	programs_start(settings, "peridot-entryd");
	store_register_thread();
	if (start(&d, &err)) {
		plog_write(PLOG_START_FAILED,
			   "step=\"%s\" peer=%s message=\"%s\"", err.step,
			   err.peer, err.message);
		status = EXIT_FAILURE;
		goto done;
	}
	plog_write(PLOG_STARTED, "host=%s domain=%s listen=%s admin=%s",
		   settings->host, settings->domain, httpd_address(d.httpd),
		   admin_address(d.admin));
	programs_print_ready(httpd_address(d.httpd), admin_address(d.admin));
	loop_run(d.loop);
	plog_write(PLOG_STOPPED, "reason=done requests=%zu",
		   atomic_load(&d.exchange_count));
done:
	stop(&d);
	store_unregister_thread();
	programs_stop(settings);
	return status;
}
