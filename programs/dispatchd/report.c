#include "dispatchd.h"

static json_t *report_endpoint(endpoint_t *e)
{
	int64_t now = mclock_now_ms(e->d->base.clock);
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
	const member_table_t *table = peers_table(d->base.peers);
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

void report_fill(process_t *process, json_t *status)
{
	dispatchd_t *d = (dispatchd_t *)process;
	char incarnation[2 * MSG_ID_BYTES + 1];
	json_t *endpoints = json_array();
	json_t *pools = json_array();

	msg_id_to_hex(&d->base.incarnation, incarnation);
	for (endpoint_t *e = d->endpoints; e; e = e->next)
		if (e->in_sheet)
			json_array_append_new(endpoints, report_endpoint(e));
	for (size_t i = 0; i < d->pool_count; i++)
		json_array_append_new(pools, report_pool(d, d->pools[i]));
	/* Others know the daemon by its advertised address. */
	json_object_update_new(
		status,
		json_pack("{s:s, s:s, s:s, s:b, s:I, s:o, s:o, s:o}", "role",
			  "dispatch", "address", d->base.settings->advertise,
			  "incarnation", incarnation, "leaving", d->leaving,
			  "pauses", (json_int_t)d->pauses, "members",
			  report_members(d), "endpoints", endpoints, "pools",
			  pools));
}
