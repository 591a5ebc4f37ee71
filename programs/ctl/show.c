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

static json_int_t get_int(const json_t *json, const char *key)
{
	return json_integer_value(json_object_get(json, key));
}

static const char *get_text(const json_t *json, const char *key)
{
	const char *text = json_string_value(json_object_get(json, key));

	return text ? text : "-";
}

static bool is_set(const json_t *json, const char *key)
{
	return json_is_true(json_object_get(json, key));
}

static void add_amount(json_t *row, const char *key, json_int_t amount)
{
	json_object_set_new(row, key, json_integer(get_int(row, key) + amount));
}

/* Returns the object with this name, which is created if missing. */
static json_t *get_or_add_row(json_t *rows, const char *name)
{
	json_t *row = json_object_get(rows, name);

	if (!row) {
		row = json_object();
		json_object_set_new(rows, name, row);
	}
	return row;
}

static const char *format_bool(bool yes)
{
	return yes ? "yes" : "no";
}

/* Requests the status of all hosts. Returns NULL if there is no operator key; a
 * response that is not JSON counts as unreachable. */
static ctl_response_t *request_status(const ctl_args_t *args)
{
	ctl_request_t request = {.method = "GET", .path = "/v1/status"};
	buf_t key = BUF_INIT;
	ctl_response_t *responses = NULL;

	if (ctl_read_key(args, &key))
		responses = ctl_request_all(args, buf_view(&key), &request);
	buf_release(&key);
	for (size_t i = 0; responses && i < args->host_count; i++) {
		if (responses[i].http_status != 200 || responses[i].json)
			continue;
		responses[i].http_status = 0;
		str_copy(responses[i].error, sizeof(responses[i].error),
			 STR_LIT("unreachable: the answer is not JSON"));
	}
	return responses;
}

static newest_sheet_t find_newest(const ctl_response_t *responses, size_t count)
{
	newest_sheet_t newest = {0};

	for (size_t i = 0; i < count; i++) {
		json_int_t version =
			get_int(responses[i].json, "sheet_version");
		const char *digest =
			get_text(responses[i].json, "sheet_digest");

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
	json_int_t version = get_int(status, "sheet_version");

	if (!version)
		return "NO SHEET";
	if (version < newest->version)
		return "LAGS";
	if (newest->has_conflict)
		return "CONFLICT: digests differ";
	/* The counter is cumulative since the host started. */
	if (get_int(status, "sheet_conflicts"))
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
	ctl_table_add(table, "%s", get_text(json, "host"));
	ctl_table_add(table, "%s", get_text(json, "domain"));
	ctl_table_add(table, "%lld", (long long)get_int(json, "sheet_version"));
	ctl_table_add(table, "%.*s", DIGEST_PREFIX_CHARS,
		      get_text(json, "sheet_digest"));
	ctl_table_add(table, "%lld",
		      (long long)get_int(json, "sheet_conflicts"));
	ctl_table_add(table, "%s", format_bool(is_set(json, "leaving")));
	ctl_table_add(table, "%lld", (long long)get_int(json, "requests"));
	ctl_table_add(table, "%lld",
		      (long long)get_int(json, "uptime_ms") / 1000);
	ctl_table_add(table, "%lld", (long long)get_int(json, "pauses"));
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
		if (get_int(responses[i].json, "sheet_version") < version)
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
	ctl_response_t *responses = request_status(args);

	while (responses) {
		*behind = count_behind(responses, args->host_count,
				       args->wait_version);
		if (!*behind || mclock_now_ms(mclock_system()) >= deadline_ms)
			break;
		ctl_free_responses(responses, args->host_count);
		nanosleep(&poll_interval, NULL);
		responses = request_status(args);
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

/* Requests the status of all hosts, prints it as a table and returns the exit
 * status. */
static int show_table(const ctl_args_t *args, const char *const *columns,
		      void (*fill)(ctl_table_t *table,
				   const ctl_response_t *responses,
				   size_t count))
{
	ctl_response_t *responses = request_status(args);
	ctl_table_t table;
	size_t failures;

	if (!responses)
		return CTL_EXIT_USAGE;
	ctl_table_init(&table, columns);
	fill(&table, responses, args->host_count);
	ctl_table_sort(&table);
	ctl_table_print(&table, args->json);
	ctl_table_release(&table);
	fflush(stdout);
	failures = ctl_report_failures(responses, args->host_count);
	ctl_free_responses(responses, args->host_count);
	return failures ? CTL_EXIT_REFUSED : CTL_EXIT_OK;
}

/* Adds the endpoint status that one host reports to the sums over all hosts. */
static void sum_endpoints(json_t *endpoints, const json_t *status)
{
	json_t *reported;
	size_t index;

	json_array_foreach(json_object_get(status, "endpoints"), index,
			   reported)
	{
		json_t *row =
			get_or_add_row(endpoints, get_text(reported, "name"));

		json_object_set(row, "domain",
				json_object_get(reported, "domain"));
		json_object_set(row, "pool", json_object_get(reported, "pool"));
		json_object_set(row, "address",
				json_object_get(reported, "address"));
		json_object_set(row, "limit",
				json_object_get(reported, "limit"));
		add_amount(row, "hosts", 1);
		add_amount(row, "up", is_set(reported, "up"));
		add_amount(row, "warm", is_set(reported, "warm"));
		add_amount(row, "in_flight", get_int(reported, "in_flight"));
		add_amount(row, "cold_units", get_int(reported, "cold_units"));
	}
}

static json_t *sum_all_endpoints(const ctl_response_t *responses, size_t count)
{
	json_t *endpoints = json_object();

	for (size_t i = 0; i < count; i++)
		sum_endpoints(endpoints, responses[i].json);
	return endpoints;
}

static void fill_endpoints(ctl_table_t *table, const ctl_response_t *responses,
			   size_t count)
{
	static const char *const text_keys[] = {"domain", "pool", "address"};
	static const char *const number_keys[] = {
		"hosts", "up", "warm", "limit", "in_flight", "cold_units"};
	json_t *endpoints = sum_all_endpoints(responses, count);
	const char *name;
	json_t *row;

	json_object_foreach(endpoints, name, row)
	{
		ctl_table_add(table, "%s", name);
		for (size_t i = 0; i < sizeof(text_keys) / sizeof(*text_keys);
		     i++)
			ctl_table_add(table, "%s", get_text(row, text_keys[i]));
		for (size_t i = 0;
		     i < sizeof(number_keys) / sizeof(*number_keys); i++)
			ctl_table_add(table, "%lld",
				      (long long)get_int(row, number_keys[i]));
	}
	json_decref(endpoints);
}

int ctl_run_endpoints(const ctl_args_t *args)
{
	static const char *const columns[] = {
		"ENDPOINT", "DOMAIN", "POOL",	   "ADDRESS",	 "HOSTS", "UP",
		"WARM",	    "LIMIT",  "IN_FLIGHT", "COLD_UNITS", NULL};

	return show_table(args, columns, fill_endpoints);
}

static void fill_classes(ctl_table_t *table, const ctl_response_t *responses,
			 size_t count)
{
	json_t *classes = json_object();
	json_t *reported, *row;
	const char *name;

	for (size_t i = 0; i < count; i++) {
		json_object_foreach(
			json_object_get(responses[i].json, "classes"), name,
			reported)
		{
			row = get_or_add_row(classes, name);
			add_amount(row, "requests",
				   get_int(reported, "requests"));
			add_amount(row, "waiting",
				   get_int(reported, "waiting"));
			add_amount(row, "hosts", 1);
		}
	}
	json_object_foreach(classes, name, row)
	{
		ctl_table_add(table, "%s", name);
		ctl_table_add(table, "%lld",
			      (long long)get_int(row, "requests"));
		ctl_table_add(table, "%lld",
			      (long long)get_int(row, "waiting"));
		ctl_table_add(table, "%lld", (long long)get_int(row, "hosts"));
	}
	json_decref(classes);
}

int ctl_run_classes(const ctl_args_t *args)
{
	static const char *const columns[] = {"CLASS", "AT_ENDPOINTS",
					      "WAITING", "HOSTS", NULL};

	return show_table(args, columns, fill_classes);
}

/* A host is live if it responded or a responding host reports it as live. */
static void sum_hosts(json_t *domains, const json_t *status)
{
	json_t *hosts = get_or_add_row(
		get_or_add_row(domains, get_text(status, "domain")), "hosts");
	json_t *member;
	size_t index;

	json_object_set_new(hosts, get_text(status, "host"), json_true());
	json_array_foreach(json_object_get(status, "members"), index, member)
	{
		const char *host = get_text(member, "host");

		hosts = get_or_add_row(
			get_or_add_row(domains, get_text(member, "domain")),
			"hosts");
		if (is_set(member, "live"))
			json_object_set_new(hosts, host, json_true());
		else if (!json_object_get(hosts, host))
			json_object_set_new(hosts, host, json_false());
	}
}

static size_t count_true(const json_t *rows)
{
	const char *name;
	json_t *row;
	size_t count = 0;

	json_object_foreach((json_t *)rows, name, row)
	{
		if (json_is_true(row))
			count++;
	}
	return count;
}

/* Copies state and region from the host with the highest sheet version. */
static void set_domain_states(json_t *domains, const ctl_response_t *responses,
			      size_t count)
{
	json_int_t newest_version = 0;
	const json_t *status = NULL;
	json_t *domain;
	size_t index;

	for (size_t i = 0; i < count; i++) {
		json_int_t version =
			get_int(responses[i].json, "sheet_version");

		if (version > newest_version) {
			newest_version = version;
			status = responses[i].json;
		}
	}
	json_array_foreach(json_object_get(status, "domains"), index, domain)
	{
		json_t *row = get_or_add_row(domains, get_text(domain, "name"));

		json_object_set(row, "state", json_object_get(domain, "state"));
		json_object_set(row, "region",
				json_object_get(domain, "region"));
	}
}

static void sum_endpoints_by_domain(json_t *domains, const json_t *endpoints)
{
	const char *name;
	json_t *endpoint;

	json_object_foreach((json_t *)endpoints, name, endpoint)
	{
		json_t *row =
			get_or_add_row(domains, get_text(endpoint, "domain"));

		add_amount(row, "endpoints", 1);
		add_amount(row, "up", get_int(endpoint, "up") > 0);
		add_amount(row, "warm", get_int(endpoint, "warm") > 0);
		add_amount(row, "in_flight", get_int(endpoint, "in_flight"));
	}
}

static void add_domain_row(ctl_table_t *table, const char *name,
			   const json_t *row)
{
	static const char *const number_keys[] = {"endpoints", "up", "warm",
						  "in_flight"};
	const json_t *hosts = json_object_get(row, "hosts");

	ctl_table_add(table, "%s", name);
	ctl_table_add(table, "%s", get_text(row, "region"));
	ctl_table_add(table, "%s", get_text(row, "state"));
	ctl_table_add(table, "%zu", count_true(hosts));
	ctl_table_add(table, "%zu", json_object_size(hosts));
	for (size_t i = 0; i < sizeof(number_keys) / sizeof(*number_keys); i++)
		ctl_table_add(table, "%lld",
			      (long long)get_int(row, number_keys[i]));
}

static void fill_domains(ctl_table_t *table, const ctl_response_t *responses,
			 size_t count)
{
	json_t *endpoints = sum_all_endpoints(responses, count);
	json_t *domains = json_object();
	const char *name;
	json_t *row;

	set_domain_states(domains, responses, count);
	sum_endpoints_by_domain(domains, endpoints);
	for (size_t i = 0; i < count; i++)
		if (responses[i].json)
			sum_hosts(domains, responses[i].json);
	json_object_foreach(domains, name, row)
		add_domain_row(table, name, row);
	json_decref(domains);
	json_decref(endpoints);
}

int ctl_run_domains(const ctl_args_t *args)
{
	static const char *const columns[] = {
		"DOMAIN",    "REGION", "STATE", "LIVE",	     "HOSTS",
		"ENDPOINTS", "UP",     "WARM",	"IN_FLIGHT", NULL};

	return show_table(args, columns, fill_domains);
}
