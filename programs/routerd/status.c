#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/metrics.h"
#include "programs/routerd/routerd.h"
#include "request/caller.h"

/*
 * The body of GET /v1/status. Its keys follow the sheet, whose entries have
 * other names in the router: a pool is a service, max_in_flight ("limit") is
 * the number of slots, a class is a route. The sheet version of a member is the
 * revision of its replica.
 */

#define MS_PER_S 1000

static json_t *text_to_json(str_t s)
{
	json_t *value = json_stringn(s.ptr ? s.ptr : "", s.len);

	return value ? value : json_string("");
}

static json_t *report_domains(const sheet_t *sheet, int64_t wall_s)
{
	/* Indexed by sheet_state_t. */
	static const char *const states[] = {"up", "leaving", "out"};
	json_t *rows = json_array();

	for (size_t i = 0; sheet && i < sheet->domain_count; i++) {
		const sheet_domain_t *sheet_domain = &sheet->domains[i];
		json_t *domain = json_object();

		json_object_set_new(domain, "name",
				    text_to_json(sheet_domain->name));
		json_object_set_new(domain, "region",
				    text_to_json(sheet_domain->region));
		json_object_set_new(domain, "state",
				    json_string(states[sheet_domain_state(
					    sheet_domain, wall_s)]));
		json_array_append_new(rows, domain);
	}
	return rows;
}

static json_t *report_endpoints(const routerd_t *routerd, int64_t now_ms)
{
	const fleet_t *fleet = routerd->host.router->fleet;
	json_t *rows = json_array();

	for (size_t i = 0; i < fleet_count(fleet); i++) {
		const endpoint_t *endpoint = fleet_at(fleet, i);
		/* A domain that is leaving or out counts as evacuated. */
		bool is_up =
			endpoint->state == ENDPOINT_READY &&
			!fleet_is_evacuated(fleet, str_from(endpoint->domain));

		/* "in_flight" counts requests of this host, "all_in_flight"
		 * those of all hosts. "max_per_s" is the rate that the
		 * endpoint states, "pace_cap" the limit of requests of
		 * all hosts while it starts; 0 without a limit.
		 * "slowness" is how many times as long it takes as the
		 * usual one. */
		json_array_append_new(
			rows,
			json_pack(
				"{s:s, s:s, s:s, s:s, s:b, s:b, s:i, s:i, "
				"s:i, s:i, s:f, s:f, s:i}",
				"name", endpoint->id, "address",
				endpoint->address, "pool", endpoint->service,
				"domain", endpoint->domain, "up", is_up, "warm",
				warmth_is_proven(&endpoint->warmth, now_ms),
				"limit", (int)endpoint->slots, "in_flight",
				(int)endpoint->in_flight, "all_in_flight",
				(int)endpoint_load(endpoint, now_ms).in_flight,
				"cold_units", (int)endpoint->cold_units,
				"max_per_s", endpoint_limit_per_s(endpoint),
				"slowness", endpoint->slowness, "pace_cap",
				(int)endpoint->pace.cap));
	}
	return rows;
}

static json_t *report_members(const routerd_t *routerd, int64_t now_ms)
{
	const gossip_t *gossip = peersync_gossip(routerd->host.peersync);
	json_t *rows = json_array();

	for (size_t i = 0; i < gossip_member_count(gossip); i++) {
		const member_t *member = gossip_member(gossip, i);

		json_array_append_new(
			rows,
			json_pack("{s:s, s:s, s:s, s:b, s:b, s:I}", "host",
				  member->name, "domain", member->domain, "ip",
				  member->ip, "live",
				  gossip_is_live(gossip, member, now_ms),
				  "leaving", member->leaving, "sheet_version",
				  (json_int_t)member->position.revision));
	}
	return rows;
}

/* Counts requests by class. "requests" excludes those that are waiting, unlike
 * the key of the same name in status_append(). */
static json_t *report_classes(const routerd_t *routerd)
{
	const router_t *router = routerd->host.router;
	json_t *rows = json_object();

	for (const caller_t *caller = router->callers; caller;
	     caller = caller->next) {
		const request_t *request = caller->request;
		char name[SHEET_NAME_BYTES];
		const char *counter;
		json_t *row;

		if (!request || !request->admission.route)
			continue;
		str_copy(name, sizeof(name), request->admission.route->name);
		row = json_object_get(rows, name);
		if (!row) {
			row = json_pack("{s:i, s:i}", "requests", 0, "waiting",
					0);
			json_object_set_new(rows, name, row);
		}
		counter = request->in_waiting_list ? "waiting" : "requests";
		json_object_set_new(
			row, counter,
			json_integer(json_integer_value(
					     json_object_get(row, counter)) +
				     1));
	}
	return rows;
}

static json_t *report_blocks(const routerd_t *routerd, int64_t now_ms)
{
	size_t count;
	const crash_block_t *blocks =
		crashboard_blocks(routerd->host.router->crashes, &count);
	json_t *rows = json_array();

	for (size_t i = 0; i < count; i++) {
		json_t *inputs = json_array();

		for (size_t j = 0; j < blocks[i].input_count; j++)
			json_array_append_new(
				inputs,
				json_sprintf("%" PRIx64, blocks[i].inputs[j]));
		json_array_append_new(
			rows,
			json_pack("{s:o, s:i, s:I}", "inputs", inputs,
				  "crashes", (int)blocks[i].crashes, "left_ms",
				  (json_int_t)(blocks[i].until_ms - now_ms)));
	}
	return rows;
}

static void add_sheet(json_t *status, const sheet_t *sheet, int64_t wall_s)
{
	char hex[2 * SHEET_DIGEST_BYTES + 1] = "";

	for (size_t i = 0; sheet && i < SHEET_DIGEST_BYTES; i++)
		snprintf(hex + 2 * i, 3, "%02x", sheet->digest[i]);
	json_object_set_new(
		status, "sheet_version",
		json_integer(sheet ? (json_int_t)sheet->version : 0));
	json_object_set_new(status, "sheet_digest", json_string(hex));
	json_object_set_new(status, "domains", report_domains(sheet, wall_s));
}

void status_append(const routerd_t *routerd, buf_t *out)
{
	const host_t *host = &routerd->host;
	int64_t now_ms = host_now_ms(host);
	int64_t wall_s = mclock_wall_ms(loop_clock(host->loop)) / MS_PER_S;
	json_t *status = json_object();
	char *dump;

	json_object_set_new(status, "host", text_to_json(host->settings->host));
	json_object_set_new(status, "domain",
			    text_to_json(host->settings->domain));
	json_object_set_new(status, "address",
			    text_to_json(host->settings->listen_callers));
	add_sheet(status, sheetsync_sheet(routerd->sheetsync), wall_s);
	json_object_set_new(status, "sheet_conflicts",
			    json_integer((json_int_t)metrics_total(
				    METRIC_SHEET_CONFLICTS)));
	json_object_set_new(status, "leaving",
			    json_boolean(host->router->leaving));
	json_object_set_new(
		status, "requests",
		json_integer((json_int_t)host->router->request_count));
	json_object_set_new(status, "uptime_ms",
			    json_integer(now_ms - routerd->started_ms));
	/* Pauses of this process; see detect_pause(). */
	json_object_set_new(status, "pauses",
			    json_integer((json_int_t)routerd->pause_count));
	json_object_set_new(status, "blocks", report_blocks(routerd, now_ms));
	json_object_set_new(status, "classes", report_classes(routerd));
	json_object_set_new(status, "endpoints",
			    report_endpoints(routerd, now_ms));
	json_object_set_new(status, "members", report_members(routerd, now_ms));
	dump = json_dumps(status, JSON_COMPACT | JSON_SORT_KEYS);
	buf_append_str(out, str_from(dump));
	buf_append_str(out, STR_LIT("\n"));
	free(dump);
	json_decref(status);
}
