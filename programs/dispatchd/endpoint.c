#include "dispatchd.h"

#include <stdio.h>
#include <stdlib.h>
#include <xxhash.h>

#include "base/metrics.h"
#include "base/plog.h"
#include "coordination/coldshare.h"

/* A plain service has no load report. It counts as warm, in slow start, unless
 * a connection to it broke within this time. */
#define SERVICE_DISTRUST_MS 10000
/* First guess of the time for one token, before any was seen. */
#define FIRST_MS_PER_TOKEN 30.0

static void poll_load(endpoint_t *e);

static int64_t now_ms(const dispatchd_t *d)
{
	return mclock_now_ms(d->base.clock);
}

pool_t *pool_find(const dispatchd_t *d, str_t name)
{
	for (size_t i = 0; i < d->pool_count; i++)
		if (str_equals(str_from(d->pools[i]->name), name))
			return d->pools[i];
	return NULL;
}

static pool_t *add_pool(dispatchd_t *d, const sheet_t *sheet,
			const sheet_pool_t *row, const char *name)
{
	pool_t *pool;

	if (d->pool_count == SHEET_MAX_POOLS)
		return NULL;
	pool = calloc(1, sizeof(*pool));
	if (!pool)
		abort();
	str_copy(pool->name, sizeof(pool->name), str_from(name));
	pool->kind = row->kind;
	pool->queue = queue_create(sheet);
	estimate_init(&pool->ms_per_token, FIRST_MS_PER_TOKEN);
	d->pools[d->pool_count++] = pool;
	return pool;
}

static pool_t *sheet_pool(dispatchd_t *d, const sheet_t *sheet, unsigned index)
{
	const sheet_pool_t *row = &sheet->pools[index];
	char name[SHEET_NAME_BYTES + 8];
	pool_t *pool;

	snprintf(name, sizeof(name), "%s/%" STR_FMT,
		 row->kind == SHEET_POOL_MODEL ? "model" : "service",
		 STR_ARG(row->name));
	pool = pool_find(d, str_from(name));
	return pool ? pool : add_pool(d, sheet, row, name);
}

endpoint_t *endpoint_find(const dispatchd_t *d, str_t name)
{
	for (endpoint_t *e = d->endpoints; e; e = e->next)
		if (e->in_sheet && str_equals(str_from(e->name), name))
			return e;
	return NULL;
}

static endpoint_t *add_endpoint(dispatchd_t *d, const sheet_endpoint_t *row)
{
	endpoint_t *e = calloc(1, sizeof(*e));

	if (!e)
		abort();
	e->d = d;
	str_copy(e->name, sizeof(e->name), row->name);
	str_copy(e->address, sizeof(e->address), row->address);
	window_init(&e->window, row->max_in_flight);
	e->next = d->endpoints;
	d->endpoints = e;
	return e;
}

static coldshare_time_t share_time(const dispatchd_t *d)
{
	return (coldshare_time_t){
		.now_ms = now_ms(d),
		.started_ms = d->base.started_ms,
		.confirmed_ms = store_confirmed_ms(d->base.store),
		.wall_s = mclock_wall_ms(d->base.clock) / 1000,
	};
}

static unsigned usable_units(const endpoint_t *e, const sheet_t *sheet,
			     const sheet_endpoint_t *row)
{
	const dispatchd_t *d = e->d;
	coldshare_time_t time = share_time(d);

	return coldshare_usable(sheet, row, str_from(d->base.settings->host),
				str_from(d->base.settings->advertise), &time,
				e->held_units);
}

/* The endpoint's row in the sheet in force; NULL when it has none. */
static const sheet_endpoint_t *find_row(const endpoint_t *e,
					const sheet_t *sheet)
{
	int index = sheet_find_endpoint(sheet, str_from(e->name));

	if (index < 0 ||
	    !str_equals(sheet->endpoints[index].address, str_from(e->address)))
		return NULL;
	return &sheet->endpoints[index];
}

static void take_row(dispatchd_t *d, const sheet_t *sheet,
		     const sheet_endpoint_t *row)
{
	endpoint_t *e;

	for (e = d->endpoints; e; e = e->next)
		if (str_equals(str_from(e->name), row->name) &&
		    str_equals(str_from(e->address), row->address))
			break;
	if (!e)
		e = add_endpoint(d, row);
	e->in_sheet = true;
	e->pool = sheet_pool(d, sheet, row->pool_index);
	e->held_units = e->usable_units;
	window_set_max(&e->window, row->max_in_flight);
}

void endpoints_apply_sheet(dispatchd_t *d, const sheet_t *sheet)
{
	int domain =
		sheet_find_domain(sheet, str_from(d->base.settings->domain));

	for (endpoint_t *e = d->endpoints; e; e = e->next)
		e->in_sheet = false;
	for (size_t i = 0; i < sheet->endpoint_count; i++)
		if ((int)sheet->endpoints[i].domain_index == domain)
			take_row(d, sheet, &sheet->endpoints[i]);
}

static void free_endpoint(endpoint_t *e)
{
	fetch_cancel(e->poll);
	buf_release(&e->poll_body);
	free(e);
}

void endpoints_free(dispatchd_t *d)
{
	while (d->endpoints) {
		endpoint_t *e = d->endpoints;

		d->endpoints = e->next;
		free_endpoint(e);
	}
	for (size_t i = 0; i < d->pool_count; i++) {
		queue_free(d->pools[i]->queue);
		free(d->pools[i]);
	}
	d->pool_count = 0;
}

/* Frees endpoints that left the sheet once nothing can run there any more,
 * since the sheet may bring them back. */
static void sweep(dispatchd_t *d)
{
	endpoint_t **at = &d->endpoints;

	while (*at) {
		endpoint_t *e = *at;

		if (e->in_sheet || e->window.in_flight || e->users ||
		    now_ms(d) < e->window.lost_until_ms) {
			at = &e->next;
			continue;
		}
		*at = e->next;
		free_endpoint(e);
	}
}

unsigned endpoint_limit(endpoint_t *e)
{
	dispatchd_t *d = e->d;
	const sheet_endpoint_t *row;
	const sheet_t *sheet;
	unsigned limit = 0;
	bool was_up;

	store_read_lock();
	sheet = store_sheet(d->base.store);
	row = sheet ? find_row(e, sheet) : NULL;
	was_up = e->is_up;
	e->is_up = row && sheet_endpoint_state(sheet, row,
					       mclock_wall_ms(d->base.clock) /
						       1000) == SHEET_STATE_UP;
	/* What was known before the absence does not hold after it. */
	if (e->is_up != was_up)
		window_on_pause(&e->window, now_ms(d));
	if (e->is_up) {
		e->usable_units = usable_units(e, sheet, row);
		if (e->owned || !window_is_warm(&e->window, now_ms(d)))
			limit = window_limit(&e->window, now_ms(d),
					     e->usable_units);
	}
	store_read_unlock();
	e->limit = limit;
	return limit;
}

bool pool_is_served(dispatchd_t *d, const pool_t *pool)
{
	for (endpoint_t *e = d->endpoints; e; e = e->next) {
		if (e->pool != pool || !e->in_sheet)
			continue;
		/* A cold share is of use to a host that does not own the
		 * endpoint only while it does not know it as warm. */
		if ((!e->is_unreachable && endpoint_limit(e)) ||
		    (e->is_up && e->owned && !e->window.leaving &&
		     !e->is_unreachable))
			return true;
	}
	return false;
}

/* True while sends above the cold share wait for a load report, because the
 * engine was idle; asks for the report. */
static bool waits_for_report(endpoint_t *e)
{
	int64_t now = now_ms(e->d);

	if (e->pool->kind != SHEET_POOL_MODEL ||
	    !window_is_warm(&e->window, now))
		return false;
	if (!e->check_since_ms) {
		if (e->window.in_flight || now - e->seen_ms <= IDLE_CHECK_MS)
			return false;
		e->check_since_ms = now;
	}
	if (now - e->check_since_ms > IDLE_CHECK_LIMIT_MS)
		return false;
	if (!e->poll)
		poll_load(e);
	return true;
}

bool endpoint_may_send(endpoint_t *e)
{
	dispatchd_t *d = e->d;

	dispatchd_check_pause(d);
	if (dispatchd_is_holding(d) || d->leaving || !e->in_sheet)
		return false;
	if (!endpoint_limit(e))
		return false;
	if (!window_may_send(&e->window, now_ms(d), e->usable_units))
		return false;
	return !waits_for_report(e) || e->window.in_flight < e->usable_units;
}

static void log_warmth(endpoint_t *e)
{
	bool warm = window_is_warm(&e->window, now_ms(e->d));

	if (warm == e->logged_warm)
		return;
	e->logged_warm = warm;
	plog_write(warm ? PLOG_ENDPOINT_WARM : PLOG_ENDPOINT_COLD,
		   "endpoint=%s in_flight=%u", e->name, e->window.in_flight);
}

static void update_owner(endpoint_t *e, const sheet_t *sheet)
{
	dispatchd_t *d = e->d;
	const sheet_endpoint_t *row = find_row(e, sheet);
	bool owned = row && !d->leaving &&
		     member_owner(peers_table(d->base.peers), sheet, row,
				  &d->self) == &d->self;

	if (owned == e->owned)
		return;
	e->owned = owned;
	plog_write(PLOG_OWNER_CHANGED, "endpoint=%s owned=%d", e->name, owned);
	if (!owned)
		return;
	/* What an earlier owner knew is not known here. The next report proves
	 * warmth when it was measured after this moment. */
	window_on_pause(&e->window, now_ms(d));
	e->next_poll_ms = now_ms(d) + TICK_MS;
}

static window_report_state_t to_window_state(enginep_state_t state)
{
	switch (state) {
	case ENGINEP_WARM:
		return WINDOW_REPORT_WARM;
	case ENGINEP_LEAVING:
		return WINDOW_REPORT_LEAVING;
	case ENGINEP_COLD:
		break;
	}
	return WINDOW_REPORT_COLD;
}

static int take_poll_data(void *user, str_t bytes)
{
	endpoint_t *e = user;

	buf_append_str(&e->poll_body, bytes);
	return e->poll_body.len > ENGINEP_MAX_EVENT_BYTES;
}

static void take_report(endpoint_t *e, const enginep_report_t *report)
{
	int64_t now = now_ms(e->d);
	window_report_t seen = {
		.boot = XXH3_64bits(report->boot, strlen(report->boot)),
		.state = to_window_state(report->state),
		.running = report->running,
		.waiting = report->waiting,
		.age_ms = report->age_ms + now - e->poll_started_ms,
	};

	window_on_report(&e->window, now, &seen);
	e->seen_ms = now;
	e->check_since_ms = 0;
	log_warmth(e);
	requests_dispatch(e->d);
}

static void finish_poll(void *user, const fetch_result_t *result)
{
	endpoint_t *e = user;
	enginep_report_t report;
	err_t err;

	e->poll = NULL;
	e->is_unreachable = result->code != ERR_OK;
	if (result->code == ERR_OK && result->head.http_status == 200) {
		if (enginep_parse_report(buf_view(&e->poll_body), &report,
					 &err)) {
			metrics_add(METRIC_INVALID_INPUT, STR_LIT("endpoints"),
				    1);
			plog_write(PLOG_ENDPOINT_FAILED,
				   "endpoint=%s step=\"%s\" message=\"%s\"",
				   e->name, err.step, err.message);
		} else {
			take_report(e, &report);
		}
	} else if (!result->may_have_left) {
		/* Nobody listens: the engine is gone and will be cold. */
		window_on_broken(&e->window, now_ms(e->d));
		log_warmth(e);
	}
	buf_reset(&e->poll_body);
}

static void poll_load(endpoint_t *e)
{
	static const fetch_ops_t ops = {NULL, take_poll_data, finish_poll};
	char url[SHEET_NAME_BYTES + 32];
	fetch_request_t request = {
		.method = "GET", .url = url, .timeout_ms = LOAD_TIMEOUT_MS};

	snprintf(url, sizeof(url), "http://%s/v1/load", e->address);
	e->poll_started_ms = now_ms(e->d);
	e->poll = fetch_start(e->d->fetcher, &request, &ops, e);
}

/* Stands for the load report that a plain service does not have. */
static void assume_service_warm(endpoint_t *e)
{
	window_report_t report = {.boot = 1, .state = WINDOW_REPORT_WARM};
	int64_t now = now_ms(e->d);

	if (e->broken_ms && now - e->broken_ms < SERVICE_DISTRUST_MS)
		return;
	window_on_report(&e->window, now, &report);
}

static void poll_if_due(endpoint_t *e)
{
	int64_t now = now_ms(e->d);

	if (!e->in_sheet || now < e->next_poll_ms)
		return;
	e->next_poll_ms = now + LOAD_POLL_MS;
	if (e->pool && e->pool->kind == SHEET_POOL_SERVICE)
		assume_service_warm(e);
	else if (!e->poll && (e->owned || e->usable_units))
		poll_load(e);
}

void endpoints_tick(dispatchd_t *d)
{
	const sheet_t *sheet;

	store_read_lock();
	sheet = store_sheet(d->base.store);
	for (endpoint_t *e = d->endpoints; sheet && e; e = e->next)
		update_owner(e, sheet);
	store_read_unlock();
	for (endpoint_t *e = d->endpoints; e; e = e->next) {
		endpoint_limit(e);
		poll_if_due(e);
		log_warmth(e);
	}
	sweep(d);
}

void endpoints_on_pause(dispatchd_t *d)
{
	for (endpoint_t *e = d->endpoints; e; e = e->next)
		window_on_pause(&e->window, now_ms(d));
}
