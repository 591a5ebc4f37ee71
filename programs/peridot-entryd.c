/*
 * peridot-entryd - takes callers' requests and forwards them to dispatchers
 *
 * EXIT STATUS: 0 after a graceful stop, 1 when it could not start, 2 for wrong
 * arguments or settings.
 */
#include "entryd/entryd.h"

#include "base/plog.h"

#define TICK_MS 100

static void entryd_leave(entryd_t *d, const char *reason)
{
	if (atomic_exchange(&d->leaving, true))
		return;
	plog_write(PLOG_STOPPING, "reason=%s requests=%zu", reason,
		   atomic_load(&d->exchange_count));
}

static void on_status(void *user, member_t *member, bool fresh)
{
	entryd_t *d = user;

	(void)fresh;
	confsync_on_status(d->base.confsync, member);
}

static void on_sheet(void *user)
{
	(void)user; /* requests read the sheet through the store */
}

static void on_listed(void *user, bool leaving)
{
	if (leaving)
		entryd_leave(user, "host-list");
}

static void describe(process_t *process, peers_self_t *self)
{
	(void)process;
	self->role = MSG_ROLE_ENTRY;
	self->address = STR_LIT("");
}

static err_code_t create(process_t *process, err_t *err)
{
	entryd_t *d = (entryd_t *)process;

	(void)err;
	for (size_t i = 0; i < SHEET_MAX_CLASSES; i++)
		retry_init(&d->budgets[i]);
	return ERR_OK;
}

static err_code_t serve(process_t *process, err_t *err)
{
	entryd_t *d = (entryd_t *)process;
	const settings_t *settings = process->settings;
	httpd_options_t options = {
		.listen = settings->listen,
		.interface = "callers",
		.threads = settings->threads,
		.max_body_bytes = settings->max_body_bytes,
		.handler = caller_handle,
		.user = d,
	};

	d->httpd = httpd_start(&options, err);
	return d->httpd ? ERR_OK : err->code;
}

static const char *address(const process_t *process)
{
	return httpd_address(((const entryd_t *)process)->httpd);
}

static void leave(process_t *process, const char *reason)
{
	entryd_leave((entryd_t *)process, reason);
}

static size_t count_requests(const process_t *process)
{
	return atomic_load(&((const entryd_t *)process)->exchange_count);
}

static void close_servers(process_t *process)
{
	entryd_t *d = (entryd_t *)process;

	httpd_stop(d->httpd);
	d->httpd = NULL;
}

int main(int argc, char **argv)
{
	static const process_ops_t ops = {
		.name = "peridot-entryd",
		.doc = "Takes callers' requests and forwards them to "
		       "dispatchers.",
		.role = SETTINGS_ENTRY,
		.peers = {route_on_message, on_status, route_on_down},
		.confsync = {on_sheet, on_listed},
		.describe = describe,
		.create = create,
		.serve = serve,
		.address = address,
		.leave = leave,
		.count_requests = count_requests,
		.report = status_fill,
		.close_servers = close_servers,
		.tick_ms = TICK_MS,
	};
	static entryd_t entryd;

	return process_run(&entryd.base, &ops, argc, argv);
}
