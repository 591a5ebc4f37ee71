#include "ctl.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/mclock.h"
#include "state/sheetchange.h"

#define MAX_FIELDS 10

/* Fields of one domain, class, pool, endpoint or customer as text. */
typedef struct fields {
	const char *keys[MAX_FIELDS];
	buf_t values[MAX_FIELDS];
	size_t count;
} fields_t;

/* Accessors for one kind of named entry of a sheet. */
typedef struct section {
	const char *title; /* printed before the name */
	size_t (*count)(const sheet_t *sheet);
	str_t (*name)(const sheet_t *sheet, size_t i);
	int (*find)(const sheet_t *sheet, str_t name); /* index or -1 */
	void (*describe)(const sheet_t *sheet, size_t i, fields_t *fields);
} section_t;

static const char *const state_names[] = {"up", "leaving", "out"};

static buf_t *add_field(fields_t *fields, const char *key)
{
	fields->keys[fields->count] = key;
	return &fields->values[fields->count++];
}

static void add_number(fields_t *fields, const char *key, int64_t value)
{
	buf_printf(add_field(fields, key), "%lld", (long long)value);
}

static void add_text(fields_t *fields, const char *key, str_t value)
{
	buf_append_json(add_field(fields, key), value);
}

static void add_bool(fields_t *fields, const char *key, bool value)
{
	buf_printf(add_field(fields, key), "%s", value ? "true" : "false");
}

static void release_fields(fields_t *fields)
{
	for (size_t i = 0; i < fields->count; i++)
		buf_release(&fields->values[i]);
}

static size_t count_domains(const sheet_t *sheet)
{
	return sheet->domain_count;
}

static str_t get_domain_name(const sheet_t *sheet, size_t i)
{
	return sheet->domains[i].name;
}

static void describe_domain(const sheet_t *sheet, size_t i, fields_t *fields)
{
	const sheet_domain_t *domain = &sheet->domains[i];
	buf_t *value;

	add_text(fields, "region", domain->region);
	add_text(fields, "state", str_from(state_names[domain->state]));
	value = add_field(fields, "cold_hosts");
	buf_printf(value, "[");
	for (size_t j = 0; j < domain->cold_host_count; j++)
		buf_printf(value, "%s%" STR_FMT " %" STR_FMT, j ? ", " : "",
			   STR_ARG(domain->cold_hosts[j].host),
			   STR_ARG(domain->cold_hosts[j].address));
	buf_printf(value, "]");
	add_number(fields, "cold_hosts_since", domain->cold_hosts_since_s);
	value = add_field(fields, "plan");
	buf_printf(value, "[");
	for (size_t j = 0; j < domain->plan_count; j++)
		buf_printf(value, "%s%s %lld-%lld", j ? ", " : "",
			   state_names[domain->plans[j].state],
			   (long long)domain->plans[j].from_s,
			   (long long)domain->plans[j].until_s);
	buf_printf(value, "]");
}

static size_t count_classes(const sheet_t *sheet)
{
	return sheet->class_count;
}

static str_t get_class_name(const sheet_t *sheet, size_t i)
{
	return sheet->classes[i].name;
}

static void describe_class(const sheet_t *sheet, size_t i, fields_t *fields)
{
	const sheet_class_t *class = &sheet->classes[i];

	add_number(fields, "tier", class->tier);
	add_number(fields, "first_token_ms", class->first_token_ms);
	add_number(fields, "between_tokens_ms", class->between_tokens_ms);
	add_number(fields, "timeout_ms", class->timeout_ms);
	add_number(fields, "floor_percent", class->floor_percent);
	add_number(fields, "max_queue", class->max_queue);
	add_number(fields, "max_tokens", class->max_tokens);
	add_bool(fields, "cross_region", class->cross_region);
}

static size_t count_pools(const sheet_t *sheet)
{
	return sheet->pool_count;
}

static str_t get_pool_name(const sheet_t *sheet, size_t i)
{
	return sheet->pools[i].name;
}

/* Models and services have separate namespaces. */
static int find_model(const sheet_t *sheet, str_t name)
{
	return sheet_find_pool(sheet, SHEET_POOL_MODEL, name);
}

static int find_service(const sheet_t *sheet, str_t name)
{
	return sheet_find_pool(sheet, SHEET_POOL_SERVICE, name);
}

static void describe_pool(const sheet_t *sheet, size_t i, fields_t *fields)
{
	const sheet_pool_t *pool = &sheet->pools[i];
	buf_t *value;

	if (pool->kind == SHEET_POOL_MODEL)
		return;
	value = add_field(fields, "call");
	buf_printf(value, "[");
	for (size_t j = 0; j < pool->call_count; j++) {
		const sheet_call_t *call = &pool->calls[j];

		buf_printf(value, "%s%" STR_FMT " %" STR_FMT " %s",
			   j ? ", " : "", STR_ARG(call->name),
			   STR_ARG(sheet->classes[call->class_index].name),
			   call->repeatable ? "repeatable" : "not-repeatable");
	}
	buf_printf(value, "]");
}

static size_t count_endpoints(const sheet_t *sheet)
{
	return sheet->endpoint_count;
}

static str_t get_endpoint_name(const sheet_t *sheet, size_t i)
{
	return sheet->endpoints[i].name;
}

static void describe_endpoint(const sheet_t *sheet, size_t i, fields_t *fields)
{
	const sheet_endpoint_t *endpoint = &sheet->endpoints[i];
	const sheet_pool_t *pool = &sheet->pools[endpoint->pool_index];

	add_text(fields, "domain", sheet->domains[endpoint->domain_index].name);
	add_text(fields, pool->kind == SHEET_POOL_MODEL ? "model" : "service",
		 pool->name);
	add_text(fields, "address", endpoint->address);
	add_text(fields, "state", str_from(state_names[endpoint->state]));
	add_number(fields, "cold_limit", endpoint->cold_limit);
	add_number(fields, "max_in_flight", endpoint->max_in_flight);
}

static size_t count_customers(const sheet_t *sheet)
{
	return sheet->customer_count;
}

static str_t get_customer_name(const sheet_t *sheet, size_t i)
{
	return sheet->customers[i].name;
}

/* Binary search: customers are sorted by bucket, then by name. */
static int find_customer(const sheet_t *sheet, str_t name)
{
	unsigned bucket = sheet_customer_bucket(name);
	size_t low = 0, high = sheet->customer_count;

	while (low < high) {
		size_t middle = low + (high - low) / 2;
		str_t found = sheet->customers[middle].name;
		unsigned found_bucket = sheet_customer_bucket(found);
		int order = found_bucket != bucket ?
				    (found_bucket < bucket ? -1 : 1) :
				    str_compare(found, name);

		if (!order)
			return (int)middle;
		if (order < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return -1;
}

static void describe_customer(const sheet_t *sheet, size_t i, fields_t *fields)
{
	const sheet_customer_t *customer = &sheet->customers[i];
	buf_t *value = add_field(fields, "key_sha256");
	const char *separator = "";

	for (size_t j = 0; j < SHEET_DIGEST_BYTES; j++)
		buf_printf(value, "%02x", customer->key_digest[j]);
	add_number(fields, "weight", customer->weight);
	add_number(fields, "max_in_flight", customer->max_in_flight);
	value = add_field(fields, "classes");
	buf_printf(value, "[");
	for (size_t j = 0; j < sheet->class_count; j++) {
		if (!(customer->classes >> j & 1))
			continue;
		buf_printf(value, "%s%" STR_FMT, separator,
			   STR_ARG(sheet->classes[j].name));
		separator = ", ";
	}
	buf_printf(value, "]");
}

static const section_t sections[] = {
	{"domain", count_domains, get_domain_name, sheet_find_domain,
	 describe_domain},
	{"class", count_classes, get_class_name, sheet_find_class,
	 describe_class},
	{"model", count_pools, get_pool_name, find_model, describe_pool},
	{"service", count_pools, get_pool_name, find_service, describe_pool},
	{"endpoint", count_endpoints, get_endpoint_name, sheet_find_endpoint,
	 describe_endpoint},
	{"customer", count_customers, get_customer_name, find_customer,
	 describe_customer},
};

static size_t report_changed_fields(buf_t *out, const section_t *section,
				    str_t name, const fields_t *before,
				    const fields_t *after)
{
	size_t changes = 0;

	for (size_t i = 0; i < after->count; i++) {
		str_t old_value = buf_view(&before->values[i]);
		str_t new_value = buf_view(&after->values[i]);

		if (!strcmp(before->keys[i], after->keys[i]) &&
		    str_equals(old_value, new_value))
			continue;
		changes++;
		buf_printf(out, "%s %" STR_FMT ": ", section->title,
			   STR_ARG(name));
		if (strcmp(before->keys[i], after->keys[i]) != 0)
			buf_printf(out, "%s ", before->keys[i]);
		else
			buf_printf(out, "%s: ", after->keys[i]);
		buf_append_str(out, old_value);
		buf_printf(out, " -> ");
		if (strcmp(before->keys[i], after->keys[i]) != 0)
			buf_printf(out, "%s ", after->keys[i]);
		buf_append_str(out, new_value);
		buf_append(out, "\n", 1);
	}
	return changes;
}

/* The model and service sections both iterate over all pools. Looking up the
 * name of a pool of the other kind returns -1 or a different index. */
static bool is_in_section(const section_t *section, const sheet_t *sheet,
			  size_t i)
{
	return section->find(sheet, section->name(sheet, i)) == (int)i;
}

static size_t compare_section(const section_t *section, const sheet_t *old,
			      const sheet_t *new, buf_t *out)
{
	size_t changes = 0;

	for (size_t i = 0; i < section->count(old); i++) {
		str_t name = section->name(old, i);

		if (!is_in_section(section, old, i) ||
		    section->find(new, name) >= 0)
			continue;
		changes++;
		buf_printf(out, "%s %" STR_FMT ": removed\n", section->title,
			   STR_ARG(name));
	}
	for (size_t i = 0; i < section->count(new); i++) {
		str_t name = section->name(new, i);
		int old_index = section->find(old, name);
		fields_t before = {0}, after = {0};

		if (!is_in_section(section, new, i))
			continue;
		section->describe(new, i, &after);
		if (old_index >= 0) {
			section->describe(old, (size_t)old_index, &before);
			changes += report_changed_fields(out, section, name,
							 &before, &after);
		} else {
			changes++;
			buf_printf(out, "%s %" STR_FMT ": added",
				   section->title, STR_ARG(name));
			for (size_t j = 0; j < after.count; j++)
				buf_printf(out, "%s %s %" STR_FMT,
					   j ? "," : ":", after.keys[j],
					   STR_ARG(buf_view(&after.values[j])));
			buf_append(out, "\n", 1);
		}
		release_fields(&before);
		release_fields(&after);
	}
	return changes;
}

size_t ctl_compare_sheets(const sheet_t *old, const sheet_t *new, buf_t *out)
{
	size_t changes = 0;

	if (old->cold_share_ttl_s != new->cold_share_ttl_s) {
		changes++;
		buf_printf(out, "cold_share_ttl_s: %lld -> %lld\n",
			   (long long)old->cold_share_ttl_s,
			   (long long)new->cold_share_ttl_s);
	}
	for (size_t i = 0; i < sizeof(sections) / sizeof(*sections); i++)
		changes += compare_section(&sections[i], old, new, out);
	return changes;
}

/* Applies the checks by which hosts accept a new sheet. The caller warns about
 * the version separately, so it is raised here if needed. */
static err_code_t check_successor(const sheet_t *old, sheet_t *new, err_t *err)
{
	bool is_same;

	if (new->version <= old->version)
		new->version = old->version + 1;
	return sheetchange_check(old, new, &is_same, err);
}

static bool is_same_sheet(const sheet_t *old, const sheet_t *new)
{
	return old->version == new->version &&
	       !memcmp(old->digest, new->digest, SHEET_DIGEST_BYTES);
}

/* Prints the differences, and warnings to standard error. Returns the exit
 * status. */
static int report_diff(sheet_t *old, sheet_t *new)
{
	buf_t lines = BUF_INIT;
	int status = CTL_EXIT_OK;
	err_t err = {0};

	if (is_same_sheet(old, new)) {
		printf("no difference\n");
		return status;
	}
	printf("version: %llu -> %llu\n", (unsigned long long)old->version,
	       (unsigned long long)new->version);
	if (!ctl_compare_sheets(old, new, &lines))
		buf_printf(&lines, "no other difference than the version or "
				   "the order of entries\n");
	fwrite(lines.ptr, 1, lines.len, stdout);
	buf_release(&lines);
	fflush(stdout);
	if (new->version <= old->version) {
		fprintf(stderr, "warning: version %llu is not above %llu\n",
			(unsigned long long)new->version,
			(unsigned long long)old->version);
		status = CTL_EXIT_USAGE;
	}
	if (check_successor(old, new, &err)) {
		fprintf(stderr, "warning: %s\n", err.message);
		status = CTL_EXIT_USAGE;
	}
	return status;
}

int ctl_run_diff(const ctl_args_t *args)
{
	sheet_t *old = ctl_load_sheet(args->files[0]);
	sheet_t *new = ctl_load_sheet(args->files[1]);
	int status = old && new ? report_diff(old, new) : CTL_EXIT_USAGE;

	sheet_free(old);
	sheet_free(new);
	return status;
}
