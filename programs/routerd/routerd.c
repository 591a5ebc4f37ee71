#include "programs/routerd/routerd.h"

#include <stdio.h>
#include <stdlib.h>

#include "base/metrics.h"
#include "base/plog.h"
#include "coordination/coldunits.h"
#include "protocol/native.h"
#include "protocol/nativeroutes.h"
#include "request/caller.h"
#include "state/sheetcheck.h"

#define TICK_MS 250
#define MS_PER_S 1000
/* A longer gap between ticks counts as a pause of the process, which makes its
 * knowledge of warm engines stale. */
#define MAX_TICK_GAP_MS 1000

const settings_t *routerd_settings(const routerd_t *routerd)
{
	return (const settings_t *)routerd->host.settings;
}

static hostsettings_t *parse_settings(str_t text, buf_t *report)
{
	return (hostsettings_t *)settings_parse(text, "settings", report);
}

static void free_settings(hostsettings_t *settings)
{
	settings_free((settings_t *)settings);
}

static int64_t wall_s(const host_t *host)
{
	return mclock_wall_ms(loop_clock(host->loop)) / MS_PER_S;
}

static void update_cold_units(routerd_t *routerd)
{
	const sheet_t *sheet = sheetsync_sheet(routerd->sheetsync);
	host_t *host = &routerd->host;
	coldunits_self_t self = {host->settings->host,
				 host->settings->listen_peers};
	coldshare_time_t time = {
		.now_ms = host_now_ms(host),
		.started_ms = routerd->started_ms,
		.confirmed_ms = sheetsync_confirmed_ms(routerd->sheetsync),
		.wall_s = wall_s(host)};

	coldunits_update(host->router->fleet, sheet, &self, &time);
}

static void update_states(routerd_t *routerd)
{
	host_t *host = &routerd->host;

	nativeroutes_update_domains(
		host->router->fleet, sheetsync_sheet(routerd->sheetsync),
		host->router->catalog, wall_s(host), host_now_ms(host));
	update_cold_units(routerd);
}

/* Looks up the region in the sheet; the settings hold only the domain. */
static str_t own_region(const host_t *host, const sheet_t *sheet)
{
	int index = sheet_find_domain(sheet, host->settings->domain);

	return index < 0 ? STR_LIT("") : sheet->domains[index].region;
}

static void on_sheet(void *user, const sheet_t *old, const sheet_t *new,
		     const char *source)
{
	routerd_t *routerd = user;
	host_t *host = &routerd->host;
	fleet_t *fleet = host->router->fleet;
	nativeroutes_options_t options = {
		.region = own_region(host, new),
		.max_body_bytes = routerd_settings(routerd)->max_body_bytes};
	catalog_t *catalog = nativeroutes_catalog(new, &options);

	(void)old;
	(void)source;
	coldunits_save_previous(fleet);
	nativeroutes_apply(fleet, new, host_now_ms(host));
	host->router->region = fleet_region(fleet, host->settings->domain);
	router_set_catalog(host->router, catalog);
	catalog_unref(catalog);
}

/* Parses the sheet file's text and offers its sheet for activation. */
static void offer_sheet_text(routerd_t *routerd, const char *path, str_t text)
{
	buf_t report = BUF_INIT;
	sheet_t *sheet = sheetcheck_parse(text, path, &report);
	err_t err;

	routerd->sheet_file_version = sheet ? sheet->version : 0;
	if (sheet)
		sheetsync_submit(routerd->sheetsync, sheet, "file", &err);
	else
		plog_write(PLOG_SHEET_REFUSED,
			   "version=0 source=file step=check "
			   "message=\"%" STR_FMT "\"",
			   STR_ARG(buf_view(&report)));
	buf_release(&report);
}

/* Reads the sheet file; an unchanged file confirms the sheet in force. */
static void read_sheet_file(routerd_t *routerd)
{
	str_t path = routerd_settings(routerd)->sheet_file;
	buf_t text = BUF_INIT;
	err_t err;

	if (!path.len)
		return;
	if (hostsettings_read_file(path.ptr, &text, &err)) {
		plog_write(PLOG_SHEET_REFUSED,
			   "version=0 source=file step=%s message=\"%s\"",
			   err.step, err.message);
		buf_release(&text);
		return;
	}
	if (str_equals(buf_view(&text), buf_view(&routerd->sheet_file_text))) {
		sheetsync_confirm(routerd->sheetsync,
				  routerd->sheet_file_version);
		buf_release(&text);
		return;
	}
	buf_release(&routerd->sheet_file_text);
	routerd->sheet_file_text = text;
	offer_sheet_text(routerd, path.ptr, buf_view(&text));
}

/* Detects a pause of the process, after which engines that this host recorded
 * as warm may be cold, and drops these records. */
static void detect_pause(routerd_t *routerd)
{
	host_t *host = &routerd->host;
	int64_t now_ms = host_now_ms(host);
	int64_t elapsed_ms = now_ms - routerd->last_tick_ms;
	const fleet_t *fleet = host->router->fleet;

	routerd->last_tick_ms = now_ms;
	if (elapsed_ms < MAX_TICK_GAP_MS)
		return;
	routerd->pause_count++;
	metrics_inc(METRIC_PAUSES);
	plog_write(PLOG_PAUSE_DETECTED, "ms=%lld", (long long)elapsed_ms);
	for (size_t i = 0; i < fleet_count(fleet); i++)
		warmth_invalidate(&fleet_at(fleet, i)->warmth, now_ms);
}

static void on_tick(void *user)
{
	routerd_t *routerd = user;

	detect_pause(routerd);
	if (sheetsync_sheet(routerd->sheetsync))
		update_states(routerd);
	loop_timer_set(routerd->host.loop, &routerd->tick_timer, TICK_MS,
		       on_tick, routerd);
}

static err_code_t start(host_t *host, err_t *err)
{
	routerd_t *routerd = (routerd_t *)host;
	sheetsync_observer_t observer = {on_sheet, routerd};

	routerd->started_ms = host_now_ms(host);
	routerd->last_tick_ms = routerd->started_ms;
	routerd->sheetsync = sheetsync_create(
		host->replica, loop_clock(host->loop), &observer);
	if (admin_start(routerd, err))
		return err->code;
	read_sheet_file(routerd);
	on_tick(routerd);
	return ERR_OK;
}

/* Tells the parent process by standard output that the host is ready. */
static void on_started(host_t *host)
{
	printf("ready %s %s\n", host->settings->listen_callers.ptr,
	       ((const settings_t *)host->settings)->admin.ptr);
	fflush(stdout);
}

static void apply_settings(host_t *host, const hostsettings_t *settings)
{
	(void)host;
	(void)settings;
}

/* Does nothing: the nodes of a sheet arrive one by one, and on_pulled() reads
 * them together. */
static void on_record(host_t *host, str_t key, str_t value)
{
	(void)host;
	(void)key;
	(void)value;
}

static void on_pulled(host_t *host)
{
	routerd_t *routerd = (routerd_t *)host;

	sheetsync_refresh(routerd->sheetsync, "peer");
	if (sheetsync_sheet(routerd->sheetsync))
		update_states(routerd);
}

static void check_files(host_t *host)
{
	read_sheet_file((routerd_t *)host);
}

void routerd_drain(routerd_t *routerd, const char *source)
{
	plog_write(PLOG_DRAIN, "source=%s", source);
	routerd->host.router->leaving = true;
	peersync_leave(routerd->host.peersync);
}

static void on_stopping(host_t *host)
{
	host->router->leaving = true;
}

static void release(host_t *host)
{
	routerd_t *routerd = (routerd_t *)host;

	if (host->loop)
		loop_timer_cancel(host->loop, &routerd->tick_timer);
	monitor_free(routerd->admin);
	sheetsync_free(routerd->sheetsync);
	buf_release(&routerd->sheet_file_text);
}

const host_ops_t routerd_ops = {
	.name = "peridot-routerd",
	.dialect = native_dialect,
	.parse_settings = parse_settings,
	.free_settings = free_settings,
	.start = start,
	.on_started = on_started,
	.apply_settings = apply_settings,
	.check_files = check_files,
	.on_record = on_record,
	.on_pulled = on_pulled,
	.on_stopping = on_stopping,
	.release = release,
};
