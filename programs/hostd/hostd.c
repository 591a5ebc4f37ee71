#include "programs/hostd/hostd.h"

#include <stdio.h>

#include "base/histogram.h"
#include "base/metrics.h"
#include "base/plog.h"
#include "coordination/readers.h"
#include "platform/headers.h"
#include "platform/names.h"
#include "platform/records.h"

#define MAX_ADDRESS_BYTES 64
#define METRICS_PORT 9464
/* Delay before a reader pulls a change from a peer. Its own watch usually
 * reports the change within this time. */
#define WATCH_GRACE_MS 700
/* Interval between calls that only ask the service for its era. */
#define ERA_CHECK_INTERVAL_MS 3000

static const psettings_t *settings_of(const host_t *host)
{
	return (const psettings_t *)host->settings;
}

static hostsettings_t *parse_settings(str_t text, buf_t *report)
{
	return (hostsettings_t *)psettings_parse(text, report);
}

static void free_settings(hostsettings_t *settings)
{
	psettings_free((psettings_t *)settings);
}

static void on_store_reached(void *user)
{
	const hostd_t *hostd = user;

	peersync_allow_large_responses(hostd->host.peersync, false);
	plog_write(PLOG_STORE_REACHED, "era=%lld revision=%lld records=%zu",
		   (long long)replica_position(hostd->host.replica).era,
		   (long long)replica_revision(hostd->host.replica),
		   replica_count(hostd->host.replica));
}

static void on_store_lost(void *user, const err_t *err)
{
	const hostd_t *hostd = user;

	peersync_allow_large_responses(hostd->host.peersync, true);
	plog_write(PLOG_STORE_LOST,
		   "step=%s peer=%s error=\"%s\" revision=%lld", err->step,
		   err->peer, err->message,
		   (long long)replica_revision(hostd->host.replica));
}

static void on_store_changed(void *user)
{
	const hostd_t *hostd = user;

	if (hostd->is_reader)
		peersync_announce(hostd->host.peersync);
}

static bool is_ready(const host_t *host)
{
	return !host->stop_started_ms && router_is_ready(host->router);
}

static void on_readiness(void *user, const monitor_request_t *request,
			 monitor_response_t *response)
{
	if (request->method == HTTP_GET &&
	    str_equals(request->path, STR_LIT(NAME_PATH_READY)))
		response->status = is_ready(user) ? 200 : 503;
}

static void on_metrics(void *user, const monitor_request_t *request,
		       monitor_response_t *response)
{
	(void)user;
	if (request->method != HTTP_GET ||
	    !str_equals(request->path, STR_LIT("/metrics")))
		return;
	response->status = 200;
	metrics_render(&response->body);
	histogram_render(&response->body);
}

static err_code_t start_monitors(hostd_t *hostd, err_t *err)
{
	const psettings_t *settings = settings_of(&hostd->host);
	char address[MAX_ADDRESS_BYTES];
	monitor_options_t options = {.loop = hostd->host.loop,
				     .address = address,
				     .handler = on_metrics,
				     .user = hostd};

	snprintf(address, sizeof(address), "%s:%d", settings->base.ip.ptr,
		 METRICS_PORT);
	hostd->metrics = monitor_create(&options, err);
	if (!hostd->metrics)
		return err->code;
	options.address = settings->listen_readiness.ptr;
	options.handler = on_readiness;
	hostd->readiness = monitor_create(&options, err);
	return hostd->readiness ? ERR_OK : err->code;
}

static err_code_t start(host_t *host, err_t *err)
{
	hostd_t *hostd = (hostd_t *)host;
	pstore_observer_t observer = {on_store_reached, on_store_lost,
				      on_store_changed, hostd};

	hostd->store =
		pstore_create(host->loop, settings_of(host)->store_address.ptr,
			      host->replica, &observer);
	return start_monitors(hostd, err);
}

static void on_started(host_t *host)
{
	(void)host;
}

static void apply_settings(host_t *host, const hostsettings_t *settings)
{
	hostd_t *hostd = (hostd_t *)host;

	pstore_set_address(hostd->store,
			   ((const psettings_t *)settings)->store_address.ptr);
}

static void on_record(host_t *host, str_t key, str_t value)
{
	records_apply(host->router, key, value);
}

static void on_pulled(host_t *host)
{
	hostd_t *hostd = (hostd_t *)host;

	if (hostd->store && pstore_is_reachable(hostd->store))
		pstore_restart(hostd->store);
}

static void on_large_response(host_t *host)
{
	pstore_read_once(((hostd_t *)host)->store);
}

/* Asks the service for its era, unless it was asked for the same era a short
 * time ago. */
static void check_era(hostd_t *hostd, int64_t era)
{
	int64_t now_ms = host_now_ms(&hostd->host);

	if (era == hostd->checked_era &&
	    now_ms - hostd->era_checked_ms < ERA_CHECK_INTERVAL_MS)
		return;
	hostd->checked_era = era;
	hostd->era_checked_ms = now_ms;
	pstore_check_era(hostd->store);
}

static bool on_later_era(host_t *host, int64_t era)
{
	hostd_t *hostd = (hostd_t *)host;

	if (!hostd->store || pstore_is_failing(hostd->store))
		return false;
	check_era(hostd, era);
	return true;
}

/* Decides whether this host is a reader, and sets the service state that gossip
 * carries to other hosts. */
static void on_gossip_round(host_t *host)
{
	hostd_t *hostd = (hostd_t *)host;
	bool is_reader;

	if (!hostd->store)
		return;
	is_reader = readers_includes_self(peersync_gossip(host->peersync),
					  host->router->started_ms,
					  host_now_ms(host));
	if (is_reader != hostd->is_reader)
		plog_write(PLOG_READER_CHANGED, "reads=%d revision=%lld",
			   is_reader,
			   (long long)replica_revision(host->replica));
	hostd->is_reader = is_reader;
	if (pstore_is_of_other_era(hostd->store))
		check_era(hostd, replica_position(host->replica).era);
	pstore_set_reader(hostd->store, is_reader);
	peersync_set_service(host->peersync, !is_reader ?
						     GOSSIP_SERVICE_UNUSED :
					     pstore_is_failing(hostd->store) ?
						     GOSSIP_SERVICE_FAILING :
						     GOSSIP_SERVICE_AVAILABLE);
}

/* Does nothing: the host accepts requests until it exits, since the platform's
 * load balancers take a while to stop sending them. */
static void on_stopping(host_t *host)
{
	(void)host;
}

static void release(host_t *host)
{
	hostd_t *hostd = (hostd_t *)host;

	monitor_free(hostd->readiness);
	monitor_free(hostd->metrics);
	pstore_free(hostd->store);
}

const host_ops_t hostd_ops = {
	.name = "peridot-hostd",
	.dialect = headers_dialect,
	.watch_grace_ms = WATCH_GRACE_MS,
	.parse_settings = parse_settings,
	.free_settings = free_settings,
	.start = start,
	.on_started = on_started,
	.apply_settings = apply_settings,
	.on_record = on_record,
	.is_older = records_is_older,
	.on_later_era = on_later_era,
	.on_pulled = on_pulled,
	.on_large_response = on_large_response,
	.on_gossip_round = on_gossip_round,
	.on_stopping = on_stopping,
	.release = release,
};
