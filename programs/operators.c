#include "programs.h"

#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "state/sheetcheck.h"

#define ADMIN_THREADS 4

/* Domains of the sheet in force with their states, plans included. */
static json_t *report_domains(const store_t *store)
{
	static const char *const states[] = {"up", "leaving", "out"};
	json_t *rows = json_array();
	const sheet_t *sheet;

	store_read_lock();
	sheet = store_sheet(store);
	for (size_t i = 0; sheet && i < sheet->domain_count; i++) {
		const sheet_domain_t *row = &sheet->domains[i];
		sheet_state_t state = sheet_domain_state(row, time(NULL));

		json_array_append_new(
			rows,
			json_pack("{s:s%, s:s%, s:s}", "name", row->name.ptr,
				  row->name.len, "region", row->region.ptr,
				  row->region.len, "state", states[state]));
	}
	store_read_unlock();
	return rows;
}

void programs_report_sheet(json_t *status, const store_t *store)
{
	uint8_t digest[SHEET_DIGEST_BYTES];
	char hex[2 * SHEET_DIGEST_BYTES + 1];
	uint64_t version = store_version(store, digest);

	for (size_t i = 0; i < SHEET_DIGEST_BYTES; i++)
		snprintf(hex + 2 * i, 3, "%02x", digest[i]);
	json_object_update_new(status,
			       json_pack("{s:I, s:s, s:I, s:o}",
					 "sheet_version", (json_int_t)version,
					 "sheet_digest", hex, "sheet_conflicts",
					 (json_int_t)store_conflicts(store),
					 "domains", report_domains(store)));
}

static void answer_json(httpd_call_t *call, json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT | JSON_SORT_KEYS);

	httpd_answer(call, 200, "application/json", str_from(text));
	free(text);
	json_decref(json);
}

void programs_answer_query(httpd_call_t *call, loop_t *loop, loop_call_t build,
			   void *daemon)
{
	programs_query_t query = {daemon, NULL};

	loop_call(loop, build, &query);
	answer_json(call, query.answer);
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

void programs_take_sheet(httpd_call_t *call, confsync_t *confsync, str_t body)
{
	buf_t report = BUF_INIT;
	sheet_t *sheet = sheetcheck_parse(body, "sheet", &report);
	uint64_t version;
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
	code = confsync_offer(confsync, sheet, "operator", &err);
	store_unregister_thread();
	if (code)
		refuse_sheet(call, 409, str_from(err.message));
	else
		answer_json(call, json_pack("{s:I}", "sheet_version",
					    (json_int_t)version));
}

admin_t *programs_start_admin(const settings_t *settings,
			      const programs_route_t *routes, void *daemon,
			      err_t *err)
{
	admin_options_t options = {
		.listen = settings->admin,
		.threads = ADMIN_THREADS,
		.max_body_bytes = (int64_t)SHEETCHECK_MAX_BYTES,
	};
	admin_t *admin;

	memcpy(options.key_digest, settings->operator_digest,
	       sizeof(options.key_digest));
	admin = admin_create(&options);
	if (!admin) {
		err_set(err, ERR_IO, "start admin", options.listen,
			"no memory");
		return NULL;
	}
	for (; routes->method; routes++)
		admin_route(admin, routes->method, routes->path,
			    routes->handler, daemon);
	if (admin_start(admin, err)) {
		admin_stop(admin);
		return NULL;
	}
	return admin;
}
