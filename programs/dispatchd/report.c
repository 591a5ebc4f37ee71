#include "dispatchd.h"

#include "base/plog.h"
#include "programs.h"

static json_t *report_endpoint(endpoint_t *e)
{
	int64_t now = mclock_now_ms(e->d->clock);
	unsigned limit = endpoint_limit(e);

	return json_pack("{s:s, s:s, s:s, s:b, s:b, s:b, s:i, s:i, s:i, s:f}",
			 "name", e->name, "address", e->address, "pool",
			 e->pool ? e->pool->name : "", "up", e->is_up, "owned",
			 e->owned, "warm", window_is_warm(&e->window, now),
			 "limit", (int)limit, "in_flight",
			 (int)e->window.in_flight, "cold_units",
			 (int)e->usable_units, "median_first_token_ms",
			 e->window.median_first_token_ms);
}

static json_t *report_pool(dispatchd_t *d, const pool_t *pool)
{
	json_t *queues = json_object();

	for (size_t i = 0; i < d->class_count; i++) {
		size_t length = queue_class_length(pool->queue, (unsigned)i);

		if (length)
			json_object_set_new(queues, d->classes[i].name,
					    json_integer((json_int_t)length));
	}
	return json_pack("{s:s, s:I, s:I, s:f, s:o}", "name", pool->name,
			 "queued", (json_int_t)queue_length(pool->queue),
			 "wait_ms", (json_int_t)pool_wait_ms(d, pool, 0),
			 "ms_per_token", estimate_mean(&pool->ms_per_token),
			 "queued_by_class", queues);
}

static json_t *report_members(dispatchd_t *d)
{
	const member_table_t *table = peers_table(d->peers);
	json_t *rows = json_array();

	for (size_t i = 0; i < member_count(table); i++) {
		const member_t *m = member_at(table, i);

		json_array_append_new(
			rows, json_pack("{s:s, s:s, s:s, s:b, s:b, s:I}",
					"host", m->host, "domain", m->domain,
					"address", m->address, "live",
					member_is_live(table, m), "leaving",
					member_is_leaving(m), "sheet_version",
					(json_int_t)m->sheet_version));
	}
	return rows;
}

static void build_status(void *user)
{
	programs_query_t *query = user;
	dispatchd_t *d = query->daemon;
	char incarnation[2 * MSG_ID_BYTES + 1];
	json_t *endpoints = json_array();
	json_t *pools = json_array();

	msg_id_to_hex(&d->incarnation, incarnation);
	for (endpoint_t *e = d->endpoints; e; e = e->next)
		if (e->in_sheet)
			json_array_append_new(endpoints, report_endpoint(e));
	for (size_t i = 0; i < d->pool_count; i++)
		json_array_append_new(pools, report_pool(d, d->pools[i]));
	query->answer = json_object();
	programs_report_sheet(query->answer, d->store);
	json_object_update_new(
		query->answer,
		json_pack("{s:s, s:s, s:s, s:s, s:s, s:b, s:I, s:I, s:I, s:o, "
			  "s:o, s:o}",
			  "role", "dispatch", "host", d->settings->host,
			  "domain", d->settings->domain, "address",
			  d->settings->advertise, "incarnation", incarnation,
			  "leaving", d->leaving, "pauses",
			  (json_int_t)d->pauses, "requests",
			  (json_int_t)d->request_count, "uptime_ms",
			  (json_int_t)(mclock_now_ms(d->clock) - d->started_ms),
			  "members", report_members(d), "endpoints", endpoints,
			  "pools", pools));
}

static void drain(void *user)
{
	programs_query_t *query = user;

	plog_write(PLOG_DRAIN, "source=operator");
	dispatchd_leave(query->daemon, "operator");
	query->answer = json_pack("{s:b}", "leaving", 1);
}

static void get_status(void *user, httpd_call_t *call, str_t body)
{
	dispatchd_t *d = user;

	(void)body;
	programs_answer_query(call, d->loop, build_status, d);
}

static void post_drain(void *user, httpd_call_t *call, str_t body)
{
	dispatchd_t *d = user;

	(void)body;
	programs_answer_query(call, d->loop, drain, d);
}

static void post_sheet(void *user, httpd_call_t *call, str_t body)
{
	dispatchd_t *d = user;

	programs_take_sheet(call, d->confsync, body);
}

err_code_t report_start(dispatchd_t *d, err_t *err)
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
