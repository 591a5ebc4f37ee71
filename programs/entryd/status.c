#include "entryd.h"

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
	const member_table_t *table = peers_table(d->base.peers);
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

void status_fill(process_t *process, json_t *status)
{
	entryd_t *d = (entryd_t *)process;

	json_object_update_new(
		status, json_pack("{s:s, s:b, s:o, s:o}", "role", "entry",
				  "leaving", atomic_load(&d->leaving),
				  "members", report_members(d),
				  "requests_by_class", report_requests(d)));
}
