#include "load/load.h"

#include <arpa/inet.h>
#include <stdio.h>

#include "state/tomlcheck.h"

#define MAX_FILE_BYTES (1UL << 20)
#define US_PER_MS 1000
#define US_PER_S 1000000
#define MAX_DEADLINE_MS 600000
#define MAX_TOKENS 100000

static int64_t get_int(const tomlcheck_table_t *table, const char *key,
		       int64_t min, int64_t max, int64_t fallback)
{
	tomlcheck_int_t spec = {key, min, max, fallback, false};

	return tomlcheck_get_int(table, &spec);
}

static int64_t require_int(const tomlcheck_table_t *table, const char *key,
			   int64_t min, int64_t max)
{
	tomlcheck_int_t spec = {key, min, max, min, true};

	return tomlcheck_get_int(table, &spec);
}

static void get_name(const tomlcheck_table_t *table, const char *key,
		     char out[LOAD_NAME_BYTES])
{
	str_copy(out, LOAD_NAME_BYTES, tomlcheck_get_name(table, key));
}

err_code_t load_parse_address(const char *text, char out[ADDRESS_BYTES])
{
	struct sockaddr_in address;

	if (address_parse(text, &address, NULL) ||
	    ntohl(address.sin_addr.s_addr) >> 24 != IN_LOOPBACKNET)
		return ERR_INVALID;
	address_format(&address, out);
	return ERR_OK;
}

static size_t read_addresses(const tomlcheck_table_t *root, const char *key,
			     char out[][ADDRESS_BYTES])
{
	size_t count = tomlcheck_get_array(root, key, 0, LOAD_MAX_ADDRESSES,
					   "address");

	for (size_t i = 0; i < count; i++) {
		char path[TOMLCHECK_PATH_BYTES], text[ADDRESS_BYTES];
		unsigned line = 0;
		str_t value = STR_LIT("");

		if (!tomlcheck_get_string_element(root, key, i, path, &value,
						  &line))
			continue;
		if (!str_copy(text, sizeof(text), value) ||
		    load_parse_address(text, out[i]))
			tomlcheck_report(root, path, line,
					 "expected a loopback IP:PORT");
	}
	return count;
}

static void read_customers(const tomlcheck_table_t *root, load_scenario_t *s)
{
	s->customer_count = tomlcheck_get_array(root, "customer", 1,
						LOAD_MAX_CUSTOMERS, "table");
	for (size_t i = 0; i < s->customer_count; i++) {
		static const char *const known[] = {"name", "key", NULL};
		tomlcheck_table_t table;

		if (!tomlcheck_get_element(root, "customer", i, &table))
			continue;
		tomlcheck_check_keys(&table, known);
		get_name(&table, "name", s->customers[i].name);
		get_name(&table, "key", s->customers[i].key);
	}
}

static void read_class_customers(const tomlcheck_table_t *table,
				 const load_scenario_t *s, load_class_t *class)
{
	class->customer_count = tomlcheck_get_array(
		table, "customers", 1, LOAD_MAX_CUSTOMERS, "string");
	for (size_t i = 0; i < class->customer_count; i++) {
		char path[TOMLCHECK_PATH_BYTES];
		str_t name = STR_LIT("");
		unsigned line = 0, index = 0;

		if (!tomlcheck_get_string_element(table, "customers", i, path,
						  &name, &line))
			continue;
		while (index < s->customer_count &&
		       !str_equals(name, str_from(s->customers[index].name)))
			index++;
		if (index == s->customer_count) {
			tomlcheck_report(table, path, line,
					 "expected the name of a customer");
			index = 0;
		}
		class->customers[i] = index;
	}
}

static void read_rate(const tomlcheck_table_t *table, const load_scenario_t *s,
		      load_class_t *class)
{
	static const char *const known[] = {"at_percent", "per_min", NULL};
	int64_t last_percent = 0;

	class->rate_count = tomlcheck_get_array(table, "rate", 1,
						LOAD_MAX_RATE_POINTS, "table");
	for (size_t i = 0; i < class->rate_count; i++) {
		tomlcheck_table_t point;
		int64_t at_percent;

		if (!tomlcheck_get_element(table, "rate", i, &point))
			continue;
		tomlcheck_check_keys(&point, known);
		at_percent = require_int(&point, "at_percent", 0, 100);
		if (at_percent < last_percent)
			tomlcheck_report(&point, "at_percent",
					 tomlcheck_line(&point, "at_percent"),
					 "expected points in order of time");
		last_percent = at_percent;
		class->rate[i].at_us =
			(double)at_percent * (double)s->duration_us / 100;
		class->rate[i].per_s =
			(double)require_int(&point, "per_min", 0, 60000000) /
			60;
	}
}

static void read_lengths(const tomlcheck_table_t *table, load_class_t *class)
{
	class->median_tokens =
		(double)require_int(table, "median_tokens", 1, MAX_TOKENS);
	class->sigma = (double)get_int(table, "sigma_percent", 0, 300, 0) / 100;
	class->max_tokens =
		(unsigned)require_int(table, "max_tokens", 1, MAX_TOKENS);
}

static void read_path(const tomlcheck_table_t *table, load_class_t *class)
{
	str_t path = tomlcheck_get_path(table, "path");

	if (!str_copy(class->path, sizeof(class->path), path) ||
	    class->path[0] != '/' || strpbrk(class->path, " \r\n\t"))
		tomlcheck_report(table, "path", tomlcheck_line(table, "path"),
				 "expected a path of up to 255 bytes without "
				 "blanks that begins with a slash");
	get_name(table, "host", class->host);
	class->prompt_tokens =
		(unsigned)get_int(table, "prompt_tokens", 0, MAX_TOKENS, 0);
}

static bool has_key(const tomlcheck_table_t *table, const char *key)
{
	return toml_table_get(table->node, str_from(key));
}

/* Chat completions need an output length, service calls have none, and platform
 * requests have one only if they stream tokens. */
static void read_kind(const tomlcheck_table_t *table, load_class_t *class)
{
	if (has_key(table, "path")) {
		read_path(table, class);
		if (has_key(table, "median_tokens"))
			read_lengths(table, class);
	} else if (has_key(table, "service")) {
		get_name(table, "service", class->service);
		get_name(table, "call", class->call);
		class->at_most_once = tomlcheck_get_bool(
			table, "once", TOMLCHECK_OPTIONAL, false);
	} else {
		read_lengths(table, class);
	}
}

static void read_class(const tomlcheck_table_t *table, const load_scenario_t *s,
		       load_class_t *class)
{
	static const char *const known[] = {"path",
					    "host",
					    "prompt_tokens",
					    "name",
					    "customers",
					    "rate",
					    "service",
					    "call",
					    "once",
					    "prefixes",
					    "median_tokens",
					    "sigma_percent",
					    "max_tokens",
					    "first_token_ms",
					    "between_tokens_ms",
					    "deadline_ms",
					    NULL};

	tomlcheck_check_keys(table, known);
	get_name(table, "name", class->name);
	read_class_customers(table, s, class);
	read_rate(table, s, class);
	read_kind(table, class);
	class->prefixes = (unsigned)get_int(table, "prefixes", 0, 10000, 0);
	class->first_token_us =
		require_int(table, "first_token_ms", 1, MAX_DEADLINE_MS) *
		US_PER_MS;
	class->between_tokens_us =
		get_int(table, "between_tokens_ms", 0, MAX_DEADLINE_MS, 0) *
		US_PER_MS;
	class->deadline_us =
		require_int(table, "deadline_ms", 1, MAX_DEADLINE_MS) *
		US_PER_MS;
}

static void read_root(const tomlcheck_table_t *root, load_scenario_t *s)
{
	static const char *const known[] = {
		"seed",		 "duration_s", "drain_s", "max_requests",
		"max_in_flight", "model",      "entries", "engines",
		"customer",	 "class",      NULL};

	tomlcheck_check_keys(root, known);
	s->seed = (uint64_t)get_int(root, "seed", 0, INT32_MAX, 1);
	s->duration_us =
		require_int(root, "duration_s", 1, LOAD_MAX_DURATION_S) *
		US_PER_S;
	s->drain_us =
		get_int(root, "drain_s", 0, LOAD_MAX_DURATION_S, 10) * US_PER_S;
	s->max_requests = (unsigned)require_int(root, "max_requests", 1,
						LOAD_MAX_REQUESTS);
	s->max_in_flight = (unsigned)require_int(root, "max_in_flight", 1,
						 LOAD_MAX_IN_FLIGHT);
	get_name(root, "model", s->model);
	s->entry_count = read_addresses(root, "entries", s->entries);
	s->engine_count = read_addresses(root, "engines", s->engines);
	read_customers(root, s);
	s->class_count = tomlcheck_get_array(root, "class", 1, LOAD_MAX_CLASSES,
					     "table");
	for (size_t i = 0; i < s->class_count; i++) {
		tomlcheck_table_t table;

		if (tomlcheck_get_element(root, "class", i, &table))
			read_class(&table, s, &s->classes[i]);
	}
}

static err_code_t read_file(const char *path, buf_t *text, buf_t *report)
{
	FILE *file = fopen(path, "re");
	bool failed = !file;
	size_t got;

	while (file) {
		buf_reserve(text, BUFSIZ);
		got = fread(text->ptr + text->len, 1, BUFSIZ, file);
		text->len += got;
		if (got < BUFSIZ || text->len > MAX_FILE_BYTES)
			break;
	}
	if (file) {
		failed = ferror(file);
		fclose(file);
	}
	if (failed)
		buf_printf(report, "%s:0: document: expected a file\n", path);
	return failed ? ERR_IO : ERR_OK;
}

err_code_t load_read_scenario(const char *path, load_scenario_t *scenario,
			      buf_t *report)
{
	buf_t text = BUF_INIT;
	tomlcheck_t check = {0};
	tomlcheck_table_t root;
	err_code_t code = read_file(path, &text, report);

	if (code)
		goto done;
	if (!tomlcheck_open(&check, buf_view(&text), MAX_FILE_BYTES, path,
			    report)) {
		code = ERR_INVALID;
		goto done;
	}
	root = tomlcheck_root(&check);
	read_root(&root, scenario);
	code = check.faults ? ERR_INVALID : ERR_OK;
	tomlcheck_close(&check);
done:
	buf_release(&text);
	return code;
}
