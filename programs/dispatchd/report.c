#include "dispatchd.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/plog.h"
#include "state/sheetcheck.h"

#define ADMIN_THREADS 4

/* A call of an operator that the loop's thread works on. */
typedef struct query {
	dispatchd_t *d;
	json_t *answer;
} query_t;

static void digest_to_hex(const uint8_t digest[SHEET_DIGEST_BYTES],
			  char hex[2 * SHEET_DIGEST_BYTES + 1])
{
	for (size_t i = 0; i < SHEET_DIGEST_BYTES; i++)
		snprintf(hex + 2 * i, 3, "%02x", digest[i]);
}

static json_t *report_endpoint(endpoint_t *e)
{
	int64_t now = mclock_now_ms(e->d->clock);
	unsigned limit = endpoint_limit(e);

	return json_pack("{s:s, s:s, s:s, s:b, s:b, s:i, s:i, s:i, s:f}",
			 "name", e->name, "address", e->address, "pool",
			 e->pool ? e->pool->name : "", "owned", e->owned,
			 "warm", window_is_warm(&e->window, now), "limit",
			 (int)limit, "in_flight", (int)e->window.in_flight,
			 "cold_units", (int)e->usable_units,
			 "median_first_token_ms",
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
			rows,
			json_pack("{s:s, s:s, s:s, s:b, s:b, s:I}", "host",
				  m->host, "domain", m->domain, "address",
				  m->address, "live", member_is_live(table, m),
				  "leaving", member_is_leaving(m),
				  "sheet_version",
				  (json_int_t)m->sheet_version));
	}
	return rows;
}

static void build_status(void *user)
{
	query_t *query = user;
	dispatchd_t *d = query->d;
	uint8_t digest[SHEET_DIGEST_BYTES];
	char hex[2 * SHEET_DIGEST_BYTES + 1];
	char incarnation[2 * MSG_ID_BYTES + 1];
	uint64_t version = store_version(d->store, digest);
	json_t *endpoints = json_array();
	json_t *pools = json_array();

	digest_to_hex(digest, hex);
	msg_id_to_hex(&d->incarnation, incarnation);
	for (endpoint_t *e = d->endpoints; e; e = e->next)
		if (e->in_sheet)
			json_array_append_new(endpoints, report_endpoint(e));
	for (size_t i = 0; i < d->pool_count; i++)
		json_array_append_new(pools, report_pool(d, d->pools[i]));
	query->answer = json_pack(
		"{s:s, s:s, s:s, s:s, s:s, s:b, s:I, s:s, s:I, s:I, s:I, s:I, "
		"s:o, s:o, s:o}",
		"role", "dispatch", "host", d->settings->host, "domain",
		d->settings->domain, "address", d->settings->advertise,
		"incarnation", incarnation, "leaving", d->leaving,
		"sheet_version", (json_int_t)version, "sheet_digest", hex,
		"sheet_conflicts", (json_int_t)store_conflicts(d->store),
		"pauses", (json_int_t)d->pauses, "requests",
		(json_int_t)d->request_count, "uptime_ms",
		(json_int_t)(mclock_now_ms(d->clock) - d->started_ms), "members",
		report_members(d), "endpoints", endpoints, "pools", pools);
}

static void answer_json(httpd_call_t *call, int status, json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT | JSON_SORT_KEYS);

	httpd_answer(call, status, "application/json", str_from(text));
	free(text);
	json_decref(json);
}

static void get_status(void *user, httpd_call_t *call, str_t body)
{
	query_t query = {user, NULL};

	(void)body;
	loop_call(query.d->loop, build_status, &query);
	answer_json(call, 200, query.answer);
}

static void refuse_sheet(httpd_call_t *call, int status, str_t message)
{
	httpd_error_t error = {
		.status = status,
		.outcome = "not-run",
		.step = "check sheet",
		.peer = "operator",
		.message = message,
	};

	httpd_answer_error(call, &error);
}

static void post_sheet(void *user, httpd_call_t *call, str_t body)
{
	dispatchd_t *d = user;
	buf_t report = BUF_INIT;
	sheet_t *sheet = sheetcheck_parse(body, "sheet", &report);
	uint64_t version = 0;
	err_code_t code;
	err_t err = {0};

	if (!sheet) {
		refuse_sheet(call, 422, buf_view(&report));
		buf_release(&report);
		return;
	}
	buf_release(&report);
	version = sheet->version;
	store_register_thread();
	code = confsync_offer(d->confsync, sheet, "operator", &err);
	store_unregister_thread();
	if (code) {
		refuse_sheet(call, 409, str_from(err.message));
		return;
	}
	answer_json(call, 200,
		    json_pack("{s:I}", "sheet_version", (json_int_t)version));
}

static void drain(void *user)
{
	query_t *query = user;

	dispatchd_leave(query->d, "operator");
	query->answer = json_pack("{s:b}", "leaving", 1);
}

static void post_drain(void *user, httpd_call_t *call, str_t body)
{
	query_t query = {user, NULL};

	(void)body;
	loop_call(query.d->loop, drain, &query);
	answer_json(call, 200, query.answer);
}

err_code_t report_start(dispatchd_t *d, err_t *err)
{
	admin_options_t options = {
		.listen = d->settings->admin,
		.threads = ADMIN_THREADS,
		.max_body_bytes = SHEETCHECK_MAX_BYTES,
	};

	memcpy(options.key_digest, d->settings->operator_digest,
	       sizeof(options.key_digest));
	d->admin = admin_create(&options);
	if (!d->admin)
		return err_set(err, ERR_IO, "start admin", options.listen,
			       "no memory");
	admin_route(d->admin, "GET", "/v1/status", get_status, d);
	admin_route(d->admin, "POST", "/v1/sheet", post_sheet, d);
	admin_route(d->admin, "POST", "/v1/drain", post_drain, d);
	return admin_start(d->admin, err);
}
