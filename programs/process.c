#include "process.h"

#include <pthread.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include "base/plog.h"
#include "programs.h"

bool process_take_node(process_t *process, member_t *member, const msg_t *msg)
{
	switch (msg->kind) {
	case MSG_NODE:
		confsync_on_node(process->confsync, peers_link(member),
				 &msg->u.node);
		return true;
	case MSG_NODE_GET:
		confsync_serve(process->confsync, peers_link(member),
			       &msg->u.node_get);
		return true;
	default:
		return false;
	}
}

/* The operators' interface */

static void build_status(void *user)
{
	programs_query_t *query = user;
	process_t *process = query->daemon;
	int64_t uptime = mclock_now_ms(process->clock) - process->started_ms;

	query->answer = json_pack(
		"{s:s, s:s, s:s, s:I, s:I}", "host", process->settings->host,
		"domain", process->settings->domain, "address",
		process->ops->address(process), "requests",
		(json_int_t)process->ops->count_requests(process), "uptime_ms",
		(json_int_t)uptime);
	programs_report_sheet(query->answer, process->store);
	process->ops->report(process, query->answer);
}

static void drain(void *user)
{
	programs_query_t *query = user;
	process_t *process = query->daemon;

	plog_write(PLOG_DRAIN, "source=operator");
	process->ops->leave(process, "operator");
	query->answer = json_pack("{s:b}", "leaving", 1);
}

static void get_status(void *user, httpd_call_t *call, str_t body)
{
	process_t *process = user;

	(void)body;
	programs_answer_query(call, process->loop, build_status, process);
}

static void post_drain(void *user, httpd_call_t *call, str_t body)
{
	process_t *process = user;

	(void)body;
	programs_answer_query(call, process->loop, drain, process);
}

static void post_sheet(void *user, httpd_call_t *call, str_t body)
{
	process_t *process = user;

	programs_take_sheet(call, process->confsync, body);
}

/* Stop */

/* Ends the servers before the loop, which their handlers wait for. */
static void *stop_servers(void *user)
{
	process_t *process = user;

	admin_stop(process->admin);
	process->admin = NULL;
	if (process->ops->close_servers)
		process->ops->close_servers(process);
	loop_stop(process->loop);
	return NULL;
}

static void stop_if_idle(process_t *process)
{
	pthread_t thread;

	if (!process->stopping || process->stop_begun ||
	    process->ops->count_requests(process))
		return;
	process->stop_begun = true;
	if (pthread_create(&thread, NULL, stop_servers, process))
		loop_stop(process->loop);
	else
		pthread_detach(thread);
}

static void tick(void *user)
{
	process_t *process = user;

	loop_timer_set(process->loop, &process->tick, process->ops->tick_ms,
		       tick, process);
	if (process->ops->tick)
		process->ops->tick(process);
	stop_if_idle(process);
}

static void on_signal(void *user, uint32_t events)
{
	process_t *process = user;
	struct signalfd_siginfo info;

	(void)events;
	if (read(process->signal_fd, &info, sizeof(info)) != sizeof(info))
		return;
	if (process->stopping) {
		plog_write(PLOG_STOPPED, "reason=second-signal requests=%zu",
			   process->ops->count_requests(process));
		_exit(EXIT_SUCCESS);
	}
	process->stopping = true;
	process->ops->leave(process, "signal");
}

static void stop(process_t *process)
{
	const process_ops_t *ops = process->ops;

	admin_stop(process->admin);
	if (ops->close_servers)
		ops->close_servers(process);
	if (process->loop && ops->disconnect)
		ops->disconnect(process);
	confsync_free(process->confsync);
	if (ops->release)
		ops->release(process);
	peers_free(process->peers);
	if (process->loop)
		loop_timer_cancel(process->loop, &process->tick);
	loop_free(process->loop);
	store_free(process->store);
	if (process->signal_fd >= 0)
		close(process->signal_fd);
}

/* Start */

static err_code_t create_parts(process_t *process, err_t *err)
{
	const settings_t *settings = process->settings;
	const process_ops_t *ops = process->ops;
	peers_self_t self = {.host = str_from(settings->host),
			     .domain = str_from(settings->domain)};

	process->loop = loop_create(process->clock);
	process->store = store_create(process->clock);
	if (!process->loop || !process->store)
		return err_set(err, ERR_IO, "start", settings->host,
			       "could not set up the process");
	process->incarnation = msg_id_random();
	self.incarnation = process->incarnation;
	ops->describe(process, &self);
	process->peers = peers_create(process->loop, process->store, &self,
				      &ops->peers, process);
	process->confsync =
		confsync_create(process->loop, process->store, process->peers,
				&ops->confsync, process);
	if (settings->local_dispatch)
		peers_add_seed(process->peers, settings->local_dispatch);
	for (size_t i = 0; i < settings->seed_count; i++)
		peers_add_seed(process->peers, settings->seeds[i]);
	return ops->create(process, err);
}

static err_code_t start_admin(process_t *process, err_t *err)
{
	static const programs_route_t routes[] = {
		{"GET", "/v1/status", get_status},
		{"POST", "/v1/sheet", post_sheet},
		{"POST", "/v1/drain", post_drain},
		{0},
	};

	process->admin =
		programs_start_admin(process->settings, routes, process, err);
	return process->admin ? ERR_OK : err->code;
}

static err_code_t start(process_t *process, err_t *err)
{
	err_code_t code = create_parts(process, err);

	if (code)
		return code;
	process->signal_fd = programs_open_signals(err);
	if (process->signal_fd < 0)
		return err->code;
	loop_watch(process->loop, process->signal_fd, EPOLLIN, on_signal,
		   process);
	code = programs_load_sheet(process->settings, process->confsync, err);
	if (code)
		return code;
	if (process->settings->platform)
		code = confsync_watch(process->confsync,
				      process->settings->platform, err);
	if (code)
		return code;
	code = start_admin(process, err);
	if (code)
		return code;
	loop_timer_set(process->loop, &process->tick, 0, tick, process);
	return process->ops->serve(process, err);
}

int process_run(process_t *process, const process_ops_t *ops, int argc,
		char **argv)
{
	settings_t *settings =
		programs_read_settings(argc, argv, ops->role, ops->doc);
	err_t err = {0};
	int status = EXIT_SUCCESS;

	process->ops = ops;
	process->settings = settings;
	process->clock = mclock_system();
	process->started_ms = mclock_now_ms(process->clock);
	process->signal_fd = -1;
	programs_start(settings, ops->name);
	store_register_thread();
	if (start(process, &err)) {
		plog_write(PLOG_START_FAILED,
			   "step=\"%s\" peer=%s message=\"%s\"", err.step,
			   err.peer, err.message);
		status = EXIT_FAILURE;
		goto done;
	}
	plog_write(PLOG_STARTED, "host=%s domain=%s listen=%s admin=%s",
		   settings->host, settings->domain, ops->address(process),
		   admin_address(process->admin));
	programs_print_ready(ops->address(process),
			     admin_address(process->admin));
	loop_run(process->loop);
	plog_write(PLOG_STOPPED, "reason=done requests=%zu",
		   ops->count_requests(process));
done:
	stop(process);
	store_unregister_thread();
	programs_stop(settings);
	return status;
}
