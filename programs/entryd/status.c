#include "entryd.h"

#include "base/plog.h"
#include "programs.h"

static json_t *report_pools(const member_t *member)
{
	json_t *rows = json_array();

	for (size_t i = 0; i < member->pool_count; i++) {
		const msg_pool_t *pool = &member->pools[i];

		json_array_append_new(
			rows,
			json_pack("{s:s%, s:i, s:i, s:i, s:i, s:I}", "name",
				  pool->name.ptr, pool->name.len, "warm",
				  (int)pool->warm, "window", (int)pool->window,
				  "in_flight", (int)pool->in_flight, "queued",
				  (int)pool->queued, "wait_ms",
				  (json_int_t)pool->wait_ms));
	}
	return rows;
}

static json_t *report_members(entryd_t *d)
{
	const member_table_t *table = peers_table(d->peers);
	json_t *rows = json_array();

	for (size_t i = 0; i < member_count(table); i++) {
		const member_t *m = member_at(table, i);

		json_array_append_new(
			rows,
			json_pack("{s:s, s:s, s:s, s:b, s:b, s:I, s:o}", "host",
				  m->host, "domain", m->domain, "address",
				  m->address, "live", member_is_live(table, m),
				  "leaving", member_is_leaving(m),
				  "sheet_version", (json_int_t)m->sheet_version,
				  "pools", report_pools(m)));
	}
	return rows;
}

/* Requests in progress by class. */
static json_t *report_requests(entryd_t *d)
{
	json_t *rows = json_object();

	for (const exchange_t *x = d->exchanges; x; x = x->next) {
		json_int_t count = json_integer_value(
			json_object_get(rows, x->class_name));

		json_object_set_new(rows, x->class_name,
				    json_integer(count + 1));
	}
	return rows;
}

static void build_status(void *user)
{
	programs_query_t *query = user;
	entryd_t *d = query->daemon;

	query->answer = json_object();
	programs_report_sheet(query->answer, d->store);
	json_object_update_new(
		query->answer,
		json_pack("{s:s, s:s, s:s, s:s, s:b, s:I, s:I, s:o, s:o}",
			  "role", "entry", "host", d->settings->host, "domain",
			  d->settings->domain, "address",
			  httpd_address(d->httpd), "leaving",
			  atomic_load(&d->leaving), "requests",
			  (json_int_t)atomic_load(&d->exchange_count),
			  "uptime_ms",
			  (json_int_t)(mclock_now_ms(d->clock) - d->started_ms),
			  "members", report_members(d), "requests_by_class",
			  report_requests(d)));
}

static void drain(void *user)
{
	programs_query_t *query = user;

	plog_write(PLOG_DRAIN, "source=operator");
	entryd_leave(query->daemon, "operator");
	query->answer = json_pack("{s:b}", "leaving", 1);
}

static void get_status(void *user, httpd_call_t *call, str_t body)
{
	entryd_t *d = user;

	(void)body;
	programs_answer_query(call, d->loop, build_status, d);
}

static void post_drain(void *user, httpd_call_t *call, str_t body)
{
	entryd_t *d = user;

	(void)body;
	programs_answer_query(call, d->loop, drain, d);
}

static void post_sheet(void *user, httpd_call_t *call, str_t body)
{
	entryd_t *d = user;

	programs_take_sheet(call, d->confsync, body);
}

err_code_t status_start(entryd_t *d, err_t *err)
{
	static const programs_route_t routes[] = {
		{"GET", "/v1/status", get_status},
		{"POST", "/v1/sheet", post_sheet},
		{"POST", "/v1/drain", post_drain},
		{0},
	};

	d->admin = programs_start_admin(d->settings, routes, d, err);
	return d->admin ? ERR_OK : err->code;
}
