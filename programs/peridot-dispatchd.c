/*
 * peridot-dispatchd - owns endpoints and sends requests to them
 *
 * EXIT STATUS: 0 after a graceful stop, 1 when it could not start, 2 for wrong
 * arguments or settings.
 */
#include "dispatchd/dispatchd.h"

#include "base/metrics.h"
#include "base/plog.h"

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
	d->hold_until_ms = mclock_now_ms(d->base.clock) + HOLD_MS;
	d->hold_rounds = peers_rounds(d->base.peers);
}

bool dispatchd_is_holding(dispatchd_t *d)
{
	return mclock_now_ms(d->base.clock) < d->hold_until_ms &&
	       peers_rounds(d->base.peers) == d->hold_rounds;
}

void dispatchd_check_pause(dispatchd_t *d)
{
	int64_t now = mclock_now_ms(d->base.clock);
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

static void tick(process_t *process)
{
	dispatchd_t *d = (dispatchd_t *)process;

	dispatchd_check_pause(d);
	endpoints_tick(d);
	requests_tick(d);
	clients_sweep(d);
}

static void on_message(void *user, member_t *member, const msg_t *msg)
{
	process_take_node(user, member, msg);
}

static void on_status(void *user, member_t *member, bool fresh)
{
	dispatchd_t *d = user;

	(void)fresh;
	confsync_on_status(d->base.confsync, member);
	requests_dispatch(d);
}

static void on_member_down(void *user, member_t *member)
{
	dispatchd_t *d = user;

	confsync_on_down(d->base.confsync, peers_link(member));
}

static void on_sheet(void *user)
{
	dispatchd_t *d = user;
	const sheet_t *sheet;

	store_read_lock();
	sheet = store_sheet(d->base.store);
	endpoints_apply_sheet(d, sheet);
	requests_apply_sheet(d, sheet);
	store_read_unlock();
	endpoints_tick(d);
}

static void on_listed(void *user, bool leaving)
{
	if (leaving)
		dispatchd_leave(user, "host-list");
}

static void describe(process_t *process, peers_self_t *self)
{
	self->role = MSG_ROLE_DISPATCH;
	self->address = str_from(process->settings->advertise);
}

static void init_self(dispatchd_t *d)
{
	const settings_t *settings = d->base.settings;

	str_copy(d->self.host, sizeof(d->self.host), str_from(settings->host));
	str_copy(d->self.domain, sizeof(d->self.domain),
		 str_from(settings->domain));
	str_copy(d->self.address, sizeof(d->self.address),
		 str_from(settings->advertise));
	d->self.incarnation = d->base.incarnation;
}

static err_code_t create(process_t *process, err_t *err)
{
	dispatchd_t *d = (dispatchd_t *)process;
	const settings_t *settings = process->settings;

	init_self(d);
	d->alive_ms = process->started_ms;
	d->fetcher = fetcher_create(process->loop);
	d->tickets = ticket_table_create(
		process->clock, str_from(settings->host),
		str_from(settings->advertise), &process->incarnation);
	if (!d->fetcher || !d->tickets)
		return err_set(err, ERR_IO, "start", settings->host,
			       "could not set up the process");
	begin_hold(d);
	return ERR_OK;
}

static err_code_t serve(process_t *process, err_t *err)
{
	return clients_listen((dispatchd_t *)process, err);
}

static const char *address(const process_t *process)
{
	return process->settings->listen;
}

static void leave(process_t *process, const char *reason)
{
	dispatchd_leave((dispatchd_t *)process, reason);
}

static size_t count_requests(const process_t *process)
{
	return ((const dispatchd_t *)process)->request_count;
}

static void disconnect(process_t *process)
{
	clients_free((dispatchd_t *)process);
}

static void release(process_t *process)
{
	dispatchd_t *d = (dispatchd_t *)process;

	requests_free(d);
	endpoints_free(d);
	fetcher_free(d->fetcher);
	ticket_table_free(d->tickets);
}

int main(int argc, char **argv)
{
	static const process_ops_t ops = {
		.name = "peridot-dispatchd",
		.doc = "Owns endpoints of its failure domain and sends "
		       "requests to them.",
		.role = SETTINGS_DISPATCH,
		.peers = {on_message, on_status, on_member_down},
		.confsync = {on_sheet, on_listed},
		.describe = describe,
		.create = create,
		.serve = serve,
		.address = address,
		.leave = leave,
		.count_requests = count_requests,
		.report = report_fill,
		.disconnect = disconnect,
		.release = release,
		.tick = tick,
		.tick_ms = TICK_MS,
	};
	static dispatchd_t dispatchd;

	return process_run(&dispatchd.base, &ops, argc, argv);
}
