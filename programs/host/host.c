#include "programs/host/host.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include "base/plog.h"
#include "request/caller.h"

/* Interval of checks for a changed settings file; an operator may change it
 * without sending SIGHUP. */
#define SETTINGS_CHECK_MS 1000
#define STOP_CHECK_MS 100
/* Part of the grace period kept for the exit; requests still in progress when
 * it begins are ended. */
#define EXIT_RESERVE_MS 700
/* Part of it in which callers read their last responses. */
#define LAST_ANSWERS_MS 300
/* The accept period is at most this part of the grace period, so that what is
 * accepted can be completed. */
#define MAX_ACCEPT_DIVISOR 2
/* After a restore of the configuration service, the time for operators and
 * endpoints to write again what it lost, and for the records of endpoints that
 * are gone to expire. */
#define SETTLE_MS 4000
#define BYTES_PER_MB (1024ull * 1024)

int64_t host_now_ms(const host_t *host)
{
	return mclock_now_ms(loop_clock(host->loop));
}

static void add_domains(host_t *host)
{
	const hostsettings_t *settings = host->settings;

	for (size_t i = 0; i < settings->domain_count; i++)
		fleet_add_domain(host->router->fleet, settings->domains[i].name,
				 settings->domains[i].region);
}

static router_bounds_t router_bounds(const hostsettings_t *settings)
{
	return (router_bounds_t){
		.retry_budget_ratio = settings->retry_budget_ratio,
		.retry_budget_slack = settings->retry_budget_slack,
		.retry_budget_window_ms = settings->retry_budget_window_ms,
		.cold_overshoot = settings->cold_overshoot,
		.cold_slack = settings->cold_slack,
		.drain_ms = settings->drain_ms};
}

static void set_seeds(host_t *host, const hostsettings_t *settings)
{
	str_t ips[HOSTSETTINGS_MAX_SEEDS];
	size_t count = 0;

	for (size_t i = 0; i < settings->seed_count; i++) {
		str_t seed = settings->seeds[i];
		const char *colon = memchr(seed.ptr, ':', seed.len);

		if (colon)
			seed.len = (size_t)(colon - seed.ptr);
		if (!str_equals(seed, settings->ip))
			ips[count++] = seed;
	}
	peersync_set_seeds(host->peersync, ips, count);
}

static hostsettings_t *parse_settings(const host_t *host, const buf_t *text)
{
	buf_t report = BUF_INIT;
	hostsettings_t *settings =
		host->ops->parse_settings(buf_view(text), &report);

	if (!settings) {
		fprintf(stderr, "%" STR_FMT, STR_ARG(buf_view(&report)));
		plog_write(PLOG_SETTINGS_INVALID, "faults=\"%" STR_FMT "\"",
			   STR_ARG(buf_view(&report)));
	}
	buf_release(&report);
	return settings;
}

err_code_t host_load_settings(host_t *host, const char *path)
{
	err_t err;

	if (hostsettings_read_file(path, &host->settings_text, &err)) {
		fprintf(stderr, "%s %s: %s\n", err.step, err.peer, err.message);
		return err.code;
	}
	host->settings = parse_settings(host, &host->settings_text);
	if (!host->settings)
		return ERR_INVALID;
	host->settings_path = str_dup(str_from(path));
	return host->settings_path ? ERR_OK : ERR_FULL;
}

/* Applies changed settings, except for the host's own names and addresses,
 * since the router and the listeners hold views of these. */
static void apply_settings(host_t *host, const hostsettings_t *settings)
{
	set_seeds(host, settings);
	host->router->bounds = router_bounds(settings);
	host->settings->grace_ms = settings->grace_ms;
	for (size_t i = 0; i < settings->domain_count; i++)
		if (!fleet_region(host->router->fleet,
				  settings->domains[i].name)
			     .len)
			fleet_add_domain(host->router->fleet,
					 settings->domains[i].name,
					 settings->domains[i].region);
	host->ops->apply_settings(host, settings);
	plog_write(PLOG_SETTINGS_RELOADED, "path=%s", host->settings_path);
}

static void check_settings(host_t *host)
{
	buf_t text = BUF_INIT;
	hostsettings_t *settings;
	err_t err;

	if (hostsettings_read_file(host->settings_path, &text, &err)) {
		plog_write(PLOG_SETTINGS_INVALID, "step=%s error=\"%s\"",
			   err.step, err.message);
	} else if (!str_equals(buf_view(&text),
			       buf_view(&host->settings_text))) {
		settings = parse_settings(host, &text);
		if (settings) {
			apply_settings(host, settings);
			host->ops->free_settings(settings);
		}
		buf_release(&host->settings_text);
		host->settings_text = text;
		return;
	}
	buf_release(&text);
}

static void on_settings_timer(void *user)
{
	host_t *host = user;

	check_settings(host);
	if (host->ops->check_files)
		host->ops->check_files(host);
	loop_timer_set(host->loop, &host->settings_timer, SETTINGS_CHECK_MS,
		       on_settings_timer, host);
}

static void on_record(void *user, str_t key, str_t value)
{
	host_t *host = user;

	host->ops->on_record(host, key, value);
}

static bool is_older(void *user, str_t key, str_t held, str_t offered)
{
	host_t *host = user;

	return host->ops->is_older(key, held, offered);
}

static void on_settle_timer(void *user)
{
	host_t *host = user;

	replica_settle(host->replica);
	plog_write(PLOG_RECORDS_SETTLED, "era=%lld records=%zu",
		   (long long)replica_position(host->replica).era,
		   replica_count(host->replica));
}

/* The timer starts anew with each era. */
static void on_era_listed(void *user, const replica_held_t *held)
{
	host_t *host = user;

	plog_write(PLOG_RECORDS_HELD,
		   "era=%lld missing=%zu older=%zu removed=%zu",
		   (long long)replica_position(host->replica).era,
		   held->missing, held->older, held->removed);
	loop_timer_set(host->loop, &host->settle_timer, SETTLE_MS,
		       on_settle_timer, host);
}

static bool on_later_era(void *user, int64_t era)
{
	host_t *host = user;

	return host->ops->on_later_era(host, era);
}

static void on_hosts_changed(void *user, unsigned domain_hosts,
			     unsigned all_hosts)
{
	host_t *host = user;

	plog_write(PLOG_HOSTS_CHANGED, "domain=%u all=%u", domain_hosts,
		   all_hosts);
	router_set_host_counts(host->router, domain_hosts, all_hosts);
}

static void on_large_response(void *user)
{
	host_t *host = user;

	host->ops->on_large_response(host);
}

static void on_gossip_round(void *user)
{
	host_t *host = user;

	if (host->ops->on_gossip_round)
		host->ops->on_gossip_round(host);
}

static void on_pulled(void *user, const char *peer,
		      const pullcodec_applied_t *applied)
{
	host_t *host = user;

	plog_write(PLOG_PEER_PULLED,
		   "peer=%s era=%lld revision=%lld delta=%d records=%zu", peer,
		   (long long)replica_position(host->replica).era,
		   (long long)applied->revision, applied->is_delta,
		   applied->records);
	host->ops->on_pulled(host);
}

static void on_listener(void *user, uint32_t events)
{
	host_t *host = user;

	(void)events;
	caller_accept(host->router, host->listen_fd);
}

/* Closes the listener, so that new connections go to another host: a request on
 * a connection accepted late in a stop might not finish. Accepts the pending
 * connections first: closing the listener would reset them, although their
 * callers may have sent a request. */
static void close_listener(host_t *host)
{
	if (host->listen_fd < 0)
		return;
	caller_accept(host->router, host->listen_fd);
	loop_unwatch(host->loop, host->listen_fd);
	close(host->listen_fd);
	host->listen_fd = -1;
}

/* RETURN VALUE: time for which a stopping host accepts connections. */
static int64_t accept_period_ms(const host_t *host)
{
	int64_t max_ms = host->settings->grace_ms / MAX_ACCEPT_DIVISOR;

	return host->settings->accept_ms < max_ms ? host->settings->accept_ms :
						    max_ms;
}

/* Stops the loop when no caller is connected or the grace period is nearly
 * over; before the latter, ends the requests in progress. */
static void on_stop_timer(void *user)
{
	host_t *host = user;
	int64_t elapsed_ms = host_now_ms(host) - host->stop_started_ms;
	int64_t end_ms = host->settings->grace_ms - EXIT_RESERVE_MS;

	router_stop(host->router,
		    host->stop_started_ms + accept_period_ms(host),
		    host->stop_started_ms + end_ms);
	if (elapsed_ms >= accept_period_ms(host) || elapsed_ms >= end_ms) {
		close_listener(host);
		caller_close_idle(host->router);
	}
	if (elapsed_ms >= end_ms)
		caller_end_requests(host->router);
	if ((host->listen_fd < 0 && !host->router->caller_count) ||
	    elapsed_ms >= end_ms + LAST_ANSWERS_MS) {
		loop_stop(host->loop);
		return;
	}
	loop_timer_set(host->loop, &host->stop_timer, STOP_CHECK_MS,
		       on_stop_timer, host);
}

static void begin_stop(host_t *host)
{
	if (host->stop_started_ms)
		return;
	host->stop_started_ms = host_now_ms(host);
	plog_write(PLOG_STOPPING, "callers=%zu requests=%zu",
		   host->router->caller_count, host->router->request_count);
	peersync_leave(host->peersync);
	host->ops->on_stopping(host);
	on_stop_timer(host);
}

static void on_signal(void *user, uint32_t events)
{
	host_t *host = user;
	struct signalfd_siginfo info;

	(void)events;
	while (read(host->signal_fd, &info, sizeof(info)) == sizeof(info)) {
		if (info.ssi_signo == SIGHUP)
			check_settings(host);
		else
			begin_stop(host);
	}
}

static err_code_t open_signals(host_t *host, err_t *err)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigaddset(&set, SIGHUP);
	sigprocmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
	host->signal_fd = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
	if (host->signal_fd < 0)
		return err_set(err, ERR_IO, "signals", "-",
			       "cannot create a signalfd");
	loop_watch(host->loop, host->signal_fd, EPOLLIN, on_signal, host);
	return ERR_OK;
}

static err_code_t start_peers(host_t *host, err_t *err)
{
	const hostsettings_t *settings = host->settings;
	peersync_options_t options = {
		.loop = host->loop,
		.replica = host->replica,
		.self = {settings->host.ptr, settings->domain.ptr,
			 settings->ip.ptr,
			 (uint64_t)mclock_wall_ms(loop_clock(host->loop))},
		.gossip_port = settings->first_port,
		.pull_listen = settings->listen_peers.ptr,
		.watch_grace_ms = host->ops->watch_grace_ms,
		.observer = {.hosts_changed = on_hosts_changed,
			     .pulled = on_pulled,
			     .large_response = host->ops->on_large_response ?
						       on_large_response :
						       NULL,
			     .later_era = host->ops->on_later_era ?
						  on_later_era :
						  NULL,
			     .round_started = on_gossip_round,
			     .user = host}};
	err_code_t code = peersync_create(&options, &host->peersync, err);

	if (code)
		return code;
	host->router->gossip = peersync_gossip(host->peersync);
	set_seeds(host, settings);
	if (settings->last_port == settings->first_port)
		return ERR_OK;
	host->loadsync = loadsync_create(host->router, host->peersync,
					 settings->ip.ptr, settings->host.ptr,
					 settings->first_port + 1, err);
	return host->loadsync ? ERR_OK : err->code;
}

static err_code_t start_listener(host_t *host, err_t *err)
{
	host->listen_fd = tcp_listen(host->settings->listen_callers.ptr, err);
	if (host->listen_fd < 0)
		return err->code;
	loop_watch(host->loop, host->listen_fd, EPOLLIN, on_listener, host);
	return ERR_OK;
}

/* RETURN VALUE: the limits by the settings, or by what the system reports. */
static callermem_limits_t caller_limits(const hostsettings_t *settings)
{
	uint64_t memory = settings->memory_mb * BYTES_PER_MB;
	uint64_t fds = settings->max_fds;
	struct rlimit limit;

	if (!memory)
		memory = (uint64_t)sysconf(_SC_PHYS_PAGES) *
			 (uint64_t)sysconf(_SC_PAGESIZE);
	if (!fds && !getrlimit(RLIMIT_NOFILE, &limit))
		fds = limit.rlim_cur;
	return callermem_limits(memory, fds);
}

static router_options_t router_options(const host_t *host)
{
	const hostsettings_t *settings = host->settings;

	return (router_options_t){.loop = host->loop,
				  .caller_limits = caller_limits(settings),
				  .dialect = host->ops->dialect(),
				  .policy = host->policy,
				  .tracer = host->tracer,
				  .domain = settings->domain,
				  .region = settings->region,
				  .bounds = router_bounds(settings)};
}

err_code_t host_start(host_t *host, err_t *err)
{
	const hostsettings_t *settings = host->settings;
	replica_observer_t records = {
		.changed = on_record,
		.is_older = host->ops->is_older ? is_older : NULL,
		.era_listed = host->ops->is_older ? on_era_listed : NULL,
		.user = host};
	router_options_t options;

	host->listen_fd = -1;
	host->signal_fd = -1;
	host->loop = loop_create(mclock_system());
	if (!host->loop)
		return err_set(err, ERR_IO, "loop", "-",
			       "cannot create an epoll instance");
	options = router_options(host);
	host->router = router_create(&options);
	host->replica = replica_create(&records);
	add_domains(host);
	if (open_signals(host, err) || start_peers(host, err) ||
	    host->ops->start(host, err) || start_listener(host, err))
		return err->code;
	on_settings_timer(host);
	plog_write(PLOG_STARTED, "host=%s domain=%s callers=%s peers=%s",
		   settings->host.ptr, settings->domain.ptr,
		   settings->listen_callers.ptr, settings->listen_peers.ptr);
	plog_flush();
	host->ops->on_started(host);
	return ERR_OK;
}

void host_run(host_t *host)
{
	loop_run(host->loop);
	plog_write(PLOG_STOPPED, "callers=%zu requests=%zu",
		   host->router->caller_count, host->router->request_count);
}

static void release_loop(host_t *host)
{
	if (!host->loop)
		return;
	loop_timer_cancel(host->loop, &host->settings_timer);
	loop_timer_cancel(host->loop, &host->stop_timer);
	loop_timer_cancel(host->loop, &host->settle_timer);
	loop_free(host->loop);
}

void host_release(host_t *host)
{
	if (host->router)
		caller_close_all(host->router);
	host->ops->release(host);
	loadsync_free(host->loadsync);
	if (host->router)
		host->router->gossip = NULL;
	peersync_free(host->peersync);
	router_free(host->router);
	replica_free(host->replica);
	if (host->listen_fd >= 0)
		close(host->listen_fd);
	if (host->signal_fd >= 0)
		close(host->signal_fd);
	release_loop(host);
	if (host->settings)
		host->ops->free_settings(host->settings);
	buf_release(&host->settings_text);
	free(host->settings_path);
}
