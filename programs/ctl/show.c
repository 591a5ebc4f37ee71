#include "ctl.h"

#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "base/mclock.h"

#define POLL_MS 200
#define NS_PER_MS 1000000L
#define DIGEST_PREFIX_CHARS 8

/* The highest reported sheet version, and the first digest reported with it. */
typedef struct newest_sheet {
	json_int_t version;
	const char *digest;
	bool has_conflict; /* hosts report different digests for it */
} newest_sheet_t;

static const char *format_bool(bool yes)
{
	return yes ? "yes" : "no";
}

static newest_sheet_t find_newest(const ctl_response_t *responses, size_t count)
{
	newest_sheet_t newest = {0};

	for (size_t i = 0; i < count; i++) {
		json_int_t version =
			ctl_get_int(responses[i].json, "sheet_version");
		const char *digest =
			ctl_get_text(responses[i].json, "sheet_digest");

		if (!responses[i].json || version < newest.version)
			continue;
		if (version > newest.version)
			newest = (newest_sheet_t){version, digest, false};
		else if (newest.digest && strcmp(newest.digest, digest) != 0)
			newest.has_conflict = true;
	}
	return newest;
}

static const char *find_note(const json_t *status, const newest_sheet_t *newest)
{
	json_int_t version = ctl_get_int(status, "sheet_version");

	if (!version)
		return "NO SHEET";
	if (version < newest->version)
		return "LAGS";
	if (newest->has_conflict)
		return "CONFLICT: digests differ";
	/* The counter is cumulative since the host started. */
	if (ctl_get_int(status, "sheet_conflicts"))
		return "refused a sheet with an equal version";
	return "";
}

static void add_status_row(ctl_table_t *table, const ctl_response_t *response,
			   const newest_sheet_t *newest)
{
	const json_t *json = response->json;

	ctl_table_add(table, "%s", response->host);
	if (!json) {
		for (int i = 0; i < 9; i++)
			ctl_table_add(table, "-");
		ctl_table_add(table, "%s", response->error);
		return;
	}
	ctl_table_add(table, "%s", ctl_get_text(json, "host"));
	ctl_table_add(table, "%s", ctl_get_text(json, "domain"));
	ctl_table_add(table, "%lld",
		      (long long)ctl_get_int(json, "sheet_version"));
	ctl_table_add(table, "%.*s", DIGEST_PREFIX_CHARS,
		      ctl_get_text(json, "sheet_digest"));
	ctl_table_add(table, "%lld",
		      (long long)ctl_get_int(json, "sheet_conflicts"));
	ctl_table_add(table, "%s", format_bool(ctl_is_set(json, "leaving")));
	ctl_table_add(table, "%lld", (long long)ctl_get_int(json, "requests"));
	ctl_table_add(table, "%lld",
		      (long long)ctl_get_int(json, "uptime_ms") / 1000);
	ctl_table_add(table, "%lld", (long long)ctl_get_int(json, "pauses"));
	ctl_table_add(table, "%s", find_note(json, newest));
}

static void print_status_table(const ctl_response_t *responses, size_t count)
{
	static const char *const columns[] = {
		"ADMIN",    "HOST",	 "DOMAIN",  "VERSION",
		"DIGEST",   "CONFLICTS", "LEAVING", "REQUESTS",
		"UPTIME_S", "PAUSES",	 "NOTE",    NULL};
	newest_sheet_t newest = find_newest(responses, count);
	ctl_table_t table;

	ctl_table_init(&table, columns);
	for (size_t i = 0; i < count; i++)
		add_status_row(&table, &responses[i], &newest);
	ctl_table_print(&table, false);
	ctl_table_release(&table);
}

static void print_status_json(const ctl_response_t *responses, size_t count)
{
	newest_sheet_t newest = find_newest(responses, count);
	json_t *rows = json_array();

	for (size_t i = 0; i < count; i++) {
		const ctl_response_t *response = &responses[i];
		json_t *row = json_pack("{s:s, s:b}", "admin", response->host,
					"reached", response->json != NULL);

		if (response->json)
			json_object_set_new(row, "note",
					    json_string(find_note(
						    response->json, &newest)));
		else
			json_object_set_new(row, "error",
					    json_string(response->error));
		if (response->json)
			json_object_set(row, "status", response->json);
		json_array_append_new(rows, row);
	}
	json_dumpf(rows, stdout, JSON_INDENT(1) | JSON_SORT_KEYS);
	putchar('\n');
	json_decref(rows);
}

static size_t count_behind(const ctl_response_t *responses, size_t count,
			   json_int_t version)
{
	size_t behind = 0;

	for (size_t i = 0; i < count; i++)
		if (ctl_get_int(responses[i].json, "sheet_version") < version)
			behind++;
	return behind;
}

/* Polls until all hosts have the version or the timeout expires. Returns the
 * last responses, and in `behind` the number of hosts without the version. */
static ctl_response_t *wait_for_version(const ctl_args_t *args, size_t *behind)
{
	struct timespec poll_interval = {0, POLL_MS * NS_PER_MS};
	int64_t deadline_ms =
		mclock_now_ms(mclock_system()) + args->wait_timeout_s * 1000;
	ctl_response_t *responses = ctl_request_status(args);

	while (responses) {
		*behind = count_behind(responses, args->host_count,
				       args->wait_version);
		if (!*behind || mclock_now_ms(mclock_system()) >= deadline_ms)
			break;
		ctl_free_responses(responses, args->host_count);
		nanosleep(&poll_interval, NULL);
		responses = ctl_request_status(args);
	}
	return responses;
}

int ctl_run_status(const ctl_args_t *args)
{
	size_t count = args->host_count;
	size_t behind = 0;
	ctl_response_t *responses = wait_for_version(args, &behind);
	int status = CTL_EXIT_OK;

	if (!responses)
		return CTL_EXIT_USAGE;
	if (args->json)
		print_status_json(responses, count);
	else
		print_status_table(responses, count);
	fflush(stdout);
	if (args->wait_version && behind) {
		fprintf(stderr,
			"peridotctl: %zu of %zu hosts do not have "
			"version %lld after %lld s\n",
			behind, count, (long long)args->wait_version,
			(long long)args->wait_timeout_s);
		status = CTL_EXIT_REFUSED;
	}
	for (size_t i = 0; i < count; i++)
		if (!responses[i].json)
			status = CTL_EXIT_REFUSED;
	ctl_free_responses(responses, count);
	return status;
}
