#include "ctl.h"

#include <stdio.h>
#include <stdlib.h>

static void add_amount(json_t *row, const char *key, json_int_t amount)
{
	json_object_set_new(row, key,
			    json_integer(ctl_get_int(row, key) + amount));
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

/* Requests the status of all hosts, prints it as a table and returns the exit
 * status. */
static int show_table(const ctl_args_t *args, const char *const *columns,
		      void (*fill)(ctl_table_t *table,
				   const ctl_response_t *responses,
				   size_t count))
{
	ctl_response_t *responses = ctl_request_status(args);
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
		json_t *row = get_or_add_row(endpoints,
					     ctl_get_text(reported, "name"));

		json_object_set(row, "domain",
				json_object_get(reported, "domain"));
		json_object_set(row, "pool", json_object_get(reported, "pool"));
		json_object_set(row, "address",
				json_object_get(reported, "address"));
		json_object_set(row, "limit",
				json_object_get(reported, "limit"));
		add_amount(row, "hosts", 1);
		add_amount(row, "up", ctl_is_set(reported, "up"));
		add_amount(row, "warm", ctl_is_set(reported, "warm"));
		add_amount(row, "in_flight",
			   ctl_get_int(reported, "in_flight"));
		add_amount(row, "cold_units",
			   ctl_get_int(reported, "cold_units"));
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
			ctl_table_add(table, "%s",
				      ctl_get_text(row, text_keys[i]));
		for (size_t i = 0;
		     i < sizeof(number_keys) / sizeof(*number_keys); i++)
			ctl_table_add(
				table, "%lld",
				(long long)ctl_get_int(row, number_keys[i]));
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
				   ctl_get_int(reported, "requests"));
			add_amount(row, "waiting",
				   ctl_get_int(reported, "waiting"));
			add_amount(row, "hosts", 1);
		}
	}
	json_object_foreach(classes, name, row)
	{
		ctl_table_add(table, "%s", name);
		ctl_table_add(table, "%lld",
			      (long long)ctl_get_int(row, "requests"));
		ctl_table_add(table, "%lld",
			      (long long)ctl_get_int(row, "waiting"));
		ctl_table_add(table, "%lld",
			      (long long)ctl_get_int(row, "hosts"));
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
		get_or_add_row(domains, ctl_get_text(status, "domain")),
		"hosts");
	json_t *member;
	size_t index;

	json_object_set_new(hosts, ctl_get_text(status, "host"), json_true());
	json_array_foreach(json_object_get(status, "members"), index, member)
	{
		const char *host = ctl_get_text(member, "host");

		hosts = get_or_add_row(
			get_or_add_row(domains, ctl_get_text(member, "domain")),
			"hosts");
		if (ctl_is_set(member, "live"))
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
			ctl_get_int(responses[i].json, "sheet_version");

		if (version > newest_version) {
			newest_version = version;
			status = responses[i].json;
		}
	}
	json_array_foreach(json_object_get(status, "domains"), index, domain)
	{
		json_t *row =
			get_or_add_row(domains, ctl_get_text(domain, "name"));

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
		json_t *row = get_or_add_row(domains,
					     ctl_get_text(endpoint, "domain"));

		add_amount(row, "endpoints", 1);
		add_amount(row, "up", ctl_get_int(endpoint, "up") > 0);
		add_amount(row, "warm", ctl_get_int(endpoint, "warm") > 0);
		add_amount(row, "in_flight",
			   ctl_get_int(endpoint, "in_flight"));
	}
}

static void add_domain_row(ctl_table_t *table, const char *name,
			   const json_t *row)
{
	static const char *const number_keys[] = {"endpoints", "up", "warm",
						  "in_flight"};
	const json_t *hosts = json_object_get(row, "hosts");

	ctl_table_add(table, "%s", name);
	ctl_table_add(table, "%s", ctl_get_text(row, "region"));
	ctl_table_add(table, "%s", ctl_get_text(row, "state"));
	ctl_table_add(table, "%zu", count_true(hosts));
	ctl_table_add(table, "%zu", json_object_size(hosts));
	for (size_t i = 0; i < sizeof(number_keys) / sizeof(*number_keys); i++)
		ctl_table_add(table, "%lld",
			      (long long)ctl_get_int(row, number_keys[i]));
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
