#include "ctl.h"

#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "base/mclock.h"

#define POLL_MS 200
#define NS_PER_MS 1000000L
#define DIGEST_PREFIX 8

/* The highest version that a host reported, and the first digest with it. */
typedef struct newest {
	json_int_t version;
	const char *digest;
	bool is_split; /* hosts have this version with different digests */
} newest_t;

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

static void add_to(json_t *row, const char *key, json_int_t amount)
{
	json_object_set_new(row, key, json_integer(get_int(row, key) + amount));
}

/* The object with this name, created if needed. */
static json_t *find_row(json_t *rows, const char *name)
{
	json_t *row = json_object_get(rows, name);

	if (!row) {
		row = json_object();
		json_object_set_new(rows, name, row);
	}
	return row;
}

static const char *format_yes(bool yes)
{
	return yes ? "yes" : "no";
}

/* Asks all hosts for their status; NULL without a key. */
static ctl_answer_t *ask_status(const ctl_args_t *args)
{
	ctl_question_t question = {.method = "GET", .path = "/v1/status"};
	buf_t key = BUF_INIT;
	ctl_answer_t *answers = NULL;

	if (ctl_read_key(args, &key))
		answers = ctl_ask(args, buf_view(&key), &question);
	buf_release(&key);
	for (size_t i = 0; answers && i < args->host_count; i++) {
		if (answers[i].http_status != 200 || answers[i].json)
			continue;
		answers[i].http_status = 0;
		str_copy(answers[i].error, sizeof(answers[i].error),
			 STR_LIT("unreachable: the answer is not JSON"));
	}
	return answers;
}

static newest_t find_newest(const ctl_answer_t *answers, size_t count)
{
	newest_t newest = {0};

	for (size_t i = 0; i < count; i++) {
		json_int_t version = get_int(answers[i].json, "sheet_version");
		const char *digest = get_text(answers[i].json, "sheet_digest");

		if (!answers[i].json || version < newest.version)
			continue;
		if (version > newest.version)
			newest = (newest_t){version, digest, false};
		else if (newest.digest && strcmp(newest.digest, digest) != 0)
			newest.is_split = true;
	}
	return newest;
}

static const char *find_note(const json_t *status, const newest_t *newest)
{
	json_int_t version = get_int(status, "sheet_version");

	if (!version)
		return "NO SHEET";
	if (version < newest->version)
		return "LAGS";
	if (newest->is_split)
		return "CONFLICT: digests differ";
	/* The counter covers the time since the host's start. */
	if (get_int(status, "sheet_conflicts"))
		return "refused a sheet with an equal version";
	return "";
}

static void add_status_row(ctl_table_t *table, const ctl_answer_t *answer,
			   const newest_t *newest)
{
	const json_t *json = answer->json;

	ctl_table_add(table, "%s", answer->host);
	if (!json) {
		for (int i = 0; i < 9; i++)
			ctl_table_add(table, "-");
		ctl_table_add(table, "%s", answer->error);
		return;
	}
	ctl_table_add(table, "%s", get_text(json, "host"));
	ctl_table_add(table, "%s", get_text(json, "domain"));
	ctl_table_add(table, "%lld", (long long)get_int(json, "sheet_version"));
	ctl_table_add(table, "%.*s", DIGEST_PREFIX,
		      get_text(json, "sheet_digest"));
	ctl_table_add(table, "%lld",
		      (long long)get_int(json, "sheet_conflicts"));
	ctl_table_add(table, "%s", format_yes(is_set(json, "leaving")));
	ctl_table_add(table, "%lld", (long long)get_int(json, "requests"));
	ctl_table_add(table, "%lld",
		      (long long)get_int(json, "uptime_ms") / 1000);
	ctl_table_add(table, "%lld", (long long)get_int(json, "pauses"));
	ctl_table_add(table, "%s", find_note(json, newest));
}

static void print_status_table(const ctl_answer_t *answers, size_t count)
{
	static const char *const columns[] = {
		"ADMIN",    "HOST",	 "DOMAIN",  "VERSION",
		"DIGEST",   "CONFLICTS", "LEAVING", "REQUESTS",
		"UPTIME_S", "PAUSES",	 "NOTE",    NULL};
	newest_t newest = find_newest(answers, count);
	ctl_table_t table;

	ctl_table_init(&table, columns);
	for (size_t i = 0; i < count; i++)
		add_status_row(&table, &answers[i], &newest);
	ctl_table_print(&table, false);
	ctl_table_release(&table);
}

static void print_status_json(const ctl_answer_t *answers, size_t count)
{
	newest_t newest = find_newest(answers, count);
	json_t *rows = json_array();

	for (size_t i = 0; i < count; i++) {
		const ctl_answer_t *answer = &answers[i];
		json_t *row = json_pack("{s:s, s:b}", "admin", answer->host,
					"reached", answer->json != NULL);

		if (answer->json)
			json_object_set_new(
				row, "note",
				json_string(find_note(answer->json, &newest)));
		else
			json_object_set_new(row, "error",
					    json_string(answer->error));
		if (answer->json)
			json_object_set(row, "status", answer->json);
		json_array_append_new(rows, row);
	}
	json_dumpf(rows, stdout, JSON_INDENT(1) | JSON_SORT_KEYS);
	putchar('\n');
	json_decref(rows);
}

static size_t count_behind(const ctl_answer_t *answers, size_t count,
			   json_int_t version)
{
	size_t behind = 0;

	for (size_t i = 0; i < count; i++)
		if (get_int(answers[i].json, "sheet_version") < version)
			behind++;
	return behind;
}

/* Asks until all hosts have the version or the time is over. */
static ctl_answer_t *wait_for_version(const ctl_args_t *args, size_t *behind)
{
	struct timespec pause = {0, POLL_MS * NS_PER_MS};
	int64_t end = mclock_now_ms(mclock_system()) + args->wait_s * 1000;
	ctl_answer_t *answers = ask_status(args);

	while (answers) {
		*behind = count_behind(answers, args->host_count,
				       args->wait_version);
		if (!*behind || mclock_now_ms(mclock_system()) >= end)
			break;
		ctl_free_answers(answers, args->host_count);
		nanosleep(&pause, NULL);
		answers = ask_status(args);
	}
	return answers;
}

int ctl_run_status(const ctl_args_t *args)
{
	size_t count = args->host_count;
	size_t behind = 0;
	ctl_answer_t *answers = wait_for_version(args, &behind);
	int status = CTL_EXIT_OK;

	if (!answers)
		return CTL_EXIT_USAGE;
	if (args->json)
		print_status_json(answers, count);
	else
		print_status_table(answers, count);
	fflush(stdout);
	if (args->wait_version && behind) {
		fprintf(stderr,
			"peridotctl: %zu of %zu hosts do not have "
			"version %lld after %lld s\n",
			behind, count, (long long)args->wait_version,
			(long long)args->wait_s);
		status = CTL_EXIT_REFUSED;
	}
	for (size_t i = 0; i < count; i++)
		if (!answers[i].json)
			status = CTL_EXIT_REFUSED;
	ctl_free_answers(answers, count);
	return status;
}

/* Fills a table from the answers and prints it. */
static int show_table(const ctl_args_t *args, const char *const *columns,
		      void (*fill)(ctl_table_t *table,
				   const ctl_answer_t *answers, size_t count))
{
	ctl_answer_t *answers = ask_status(args);
	ctl_table_t table;
	size_t failures;

	if (!answers)
		return CTL_EXIT_USAGE;
	ctl_table_init(&table, columns);
	fill(&table, answers, args->host_count);
	ctl_table_sort(&table);
	ctl_table_print(&table, args->json);
	ctl_table_release(&table);
	fflush(stdout);
	failures = ctl_report_failures(answers, args->host_count);
	ctl_free_answers(answers, args->host_count);
	return failures ? CTL_EXIT_REFUSED : CTL_EXIT_OK;
}

/* Adds a host's view of each endpoint to the sums over all hosts. */
static void sum_endpoints(json_t *endpoints, const json_t *status)
{
	json_t *seen;
	size_t at;

	json_array_foreach(json_object_get(status, "endpoints"), at, seen)
	{
		json_t *row = find_row(endpoints, get_text(seen, "name"));

		json_object_set(row, "domain", json_object_get(seen, "domain"));
		json_object_set(row, "pool", json_object_get(seen, "pool"));
		json_object_set(row, "address",
				json_object_get(seen, "address"));
		json_object_set(row, "limit", json_object_get(seen, "limit"));
		add_to(row, "hosts", 1);
		add_to(row, "up", is_set(seen, "up"));
		add_to(row, "warm", is_set(seen, "warm"));
		add_to(row, "in_flight", get_int(seen, "in_flight"));
		add_to(row, "cold_units", get_int(seen, "cold_units"));
	}
}

static json_t *sum_all_endpoints(const ctl_answer_t *answers, size_t count)
{
	json_t *endpoints = json_object();

	for (size_t i = 0; i < count; i++)
		sum_endpoints(endpoints, answers[i].json);
	return endpoints;
}

static void fill_endpoints(ctl_table_t *table, const ctl_answer_t *answers,
			   size_t count)
{
	static const char *const texts[] = {"domain", "pool", "address"};
	static const char *const numbers[] = {
		"hosts", "up", "warm", "limit", "in_flight", "cold_units"};
	json_t *endpoints = sum_all_endpoints(answers, count);
	const char *name;
	json_t *row;

	json_object_foreach(endpoints, name, row)
	{
		ctl_table_add(table, "%s", name);
		for (size_t i = 0; i < sizeof(texts) / sizeof(*texts); i++)
			ctl_table_add(table, "%s", get_text(row, texts[i]));
		for (size_t i = 0; i < sizeof(numbers) / sizeof(*numbers); i++)
			ctl_table_add(table, "%lld",
				      (long long)get_int(row, numbers[i]));
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

static void fill_classes(ctl_table_t *table, const ctl_answer_t *answers,
			 size_t count)
{
	json_t *classes = json_object();
	json_t *seen, *row;
	const char *name;

	for (size_t i = 0; i < count; i++) {
		json_object_foreach(json_object_get(answers[i].json, "classes"),
				    name, seen)
		{
			row = find_row(classes, name);
			add_to(row, "requests", get_int(seen, "requests"));
			add_to(row, "waiting", get_int(seen, "waiting"));
			add_to(row, "hosts", 1);
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

/* A host is live when it answered, or when a host that did hears it. */
static void sum_hosts(json_t *domains, const json_t *status)
{
	json_t *hosts = find_row(find_row(domains, get_text(status, "domain")),
				 "hosts");
	json_t *member;
	size_t at;

	json_object_set_new(hosts, get_text(status, "host"), json_true());
	json_array_foreach(json_object_get(status, "members"), at, member)
	{
		const char *host = get_text(member, "host");

		hosts = find_row(find_row(domains, get_text(member, "domain")),
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

/* Takes the states from the host with the highest version. */
static void take_states(json_t *domains, const ctl_answer_t *answers,
			size_t count)
{
	json_int_t newest = 0;
	const json_t *status = NULL;
	json_t *domain;
	size_t at;

	for (size_t i = 0; i < count; i++) {
		json_int_t version = get_int(answers[i].json, "sheet_version");

		if (version > newest) {
			newest = version;
			status = answers[i].json;
		}
	}
	json_array_foreach(json_object_get(status, "domains"), at, domain)
	{
		json_t *row = find_row(domains, get_text(domain, "name"));

		json_object_set(row, "state", json_object_get(domain, "state"));
		json_object_set(row, "region",
				json_object_get(domain, "region"));
	}
}

static void take_endpoints(json_t *domains, const json_t *endpoints)
{
	const char *name;
	json_t *endpoint;

	json_object_foreach((json_t *)endpoints, name, endpoint)
	{
		json_t *row = find_row(domains, get_text(endpoint, "domain"));

		add_to(row, "endpoints", 1);
		add_to(row, "up", get_int(endpoint, "up") > 0);
		add_to(row, "warm", get_int(endpoint, "warm") > 0);
		add_to(row, "in_flight", get_int(endpoint, "in_flight"));
	}
}

static void add_domain_row(ctl_table_t *table, const char *name,
			   const json_t *row)
{
	static const char *const numbers[] = {"endpoints", "up", "warm",
					      "in_flight"};
	const json_t *hosts = json_object_get(row, "hosts");

	ctl_table_add(table, "%s", name);
	ctl_table_add(table, "%s", get_text(row, "region"));
	ctl_table_add(table, "%s", get_text(row, "state"));
	ctl_table_add(table, "%zu", count_true(hosts));
	ctl_table_add(table, "%zu", json_object_size(hosts));
	for (size_t i = 0; i < sizeof(numbers) / sizeof(*numbers); i++)
		ctl_table_add(table, "%lld",
			      (long long)get_int(row, numbers[i]));
}

static void fill_domains(ctl_table_t *table, const ctl_answer_t *answers,
			 size_t count)
{
	json_t *endpoints = sum_all_endpoints(answers, count);
	json_t *domains = json_object();
	const char *name;
	json_t *row;

	take_states(domains, answers, count);
	take_endpoints(domains, endpoints);
	for (size_t i = 0; i < count; i++)
		if (answers[i].json)
			sum_hosts(domains, answers[i].json);
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
