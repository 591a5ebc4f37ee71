#include "state/sheetcheck_internal.h"

#include <stdio.h>

#include "state/node.h"

#define DEFAULT_COLD_SHARE_TTL_S 3600
#define DEFAULT_BETWEEN_TOKENS_MS 100
#define DEFAULT_MAX_QUEUE 100
#define DEFAULT_MAX_TOKENS 4096
#define DEFAULT_WEIGHT 1
#define DEFAULT_CUSTOMER_MAX_IN_FLIGHT 64
#define DEFAULT_COLD_LIMIT 1

const char *const sheetcheck_state_names[] = {"up", "leaving", "out", NULL};

void *sheetcheck_alloc_array(const sheetcheck_reader_t *r, const char *key,
			     size_t min, size_t max, size_t size, size_t *count)
{
	*count = tomlcheck_get_array(&r->root, key, min, max, "tables");
	return sheet_alloc(r->sheet, *count * size);
}

void sheetcheck_require_unique(lineset_t *set, const tomlcheck_table_t *table,
			       const char *key, str_t value, const char *what)
{
	unsigned line = tomlcheck_line(table, key);
	unsigned first;

	if (!value.len)
		return;
	first = lineset_add(set, value, line);
	if (first)
		tomlcheck_report(
			table, key, line,
			"expected a unique %s, already used in line %u", what,
			first);
}

str_t sheetcheck_read_unique_name(const sheetcheck_reader_t *r, lineset_t *set,
				  const tomlcheck_table_t *table)
{
	str_t name =
		sheet_copy_str(r->sheet, tomlcheck_get_name(table, "name"));

	sheetcheck_require_unique(set, table, "name", name, "name");
	return name;
}

/* Checks the result of a look-up by name: the index `found`, or 0 after
 * reporting a dangling reference. */
static unsigned get_reference(const tomlcheck_table_t *table, const char *key,
			      str_t name, int found, const char *what)
{
	if (found >= 0)
		return (unsigned)found;
	if (name.len)
		tomlcheck_report(table, key, tomlcheck_line(table, key),
				 "expected the name of a %s of this sheet, "
				 "found \"%" STR_FMT "\"",
				 what, STR_ARG(name));
	return 0;
}

static unsigned get_class(const sheetcheck_reader_t *r,
			  const tomlcheck_table_t *table)
{
	str_t name = tomlcheck_get_name(table, "class");

	return get_reference(table, "class", name,
			     sheet_find_class(r->sheet, name), "class");
}

static void check_class_timeout(const tomlcheck_table_t *table,
				const sheet_class_t *class)
{
	if (class->first_token_ms > class->timeout_ms)
		tomlcheck_report(table, "timeout_ms",
				 tomlcheck_line(table, "timeout_ms"),
				 "expected at least first_token_ms");
}

static void read_class(const tomlcheck_table_t *table, sheet_class_t *class)
{
	static const tomlcheck_int_t tier = {"tier", 0, SHEET_TIERS - 1, 0,
					     true};
	static const tomlcheck_int_t first = {
		"first_token_ms", 1, SHEET_MAX_FIRST_TOKEN_MS, 0, true};
	static const tomlcheck_int_t between = {
		"between_tokens_ms", 1, SHEET_MAX_BETWEEN_TOKENS_MS,
		DEFAULT_BETWEEN_TOKENS_MS, false};
	static const tomlcheck_int_t timeout = {"timeout_ms", 1,
						SHEET_MAX_TIMEOUT_MS, 0, true};
	/* A floor of 0 would allow a class to be starved. */
	static const tomlcheck_int_t floor = {
		"floor_percent", 1, SHEET_MAX_FLOOR_PERCENT, 1, false};
	static const tomlcheck_int_t max_queue = {
		"max_queue", 1, SHEET_MAX_QUEUE, DEFAULT_MAX_QUEUE, false};
	static const tomlcheck_int_t max_tokens = {
		"max_tokens", 1, SHEET_MAX_TOKENS, DEFAULT_MAX_TOKENS, false};
	size_t faults = table->check->faults;

	class->tier = (unsigned)tomlcheck_get_int(table, &tier);
	class->first_token_ms = tomlcheck_get_int(table, &first);
	class->between_tokens_ms = tomlcheck_get_int(table, &between);
	class->timeout_ms = tomlcheck_get_int(table, &timeout);
	class->floor_percent = (unsigned)tomlcheck_get_int(table, &floor);
	class->max_queue = (unsigned)tomlcheck_get_int(table, &max_queue);
	class->max_tokens = (unsigned)tomlcheck_get_int(table, &max_tokens);
	class->cross_region = tomlcheck_get_bool(table, "cross_region",
						 TOMLCHECK_OPTIONAL, false);
	if (faults == table->check->faults)
		check_class_timeout(table, class);
}

static void read_classes(const sheetcheck_reader_t *r)
{
	static const char *const keys[] = {
		"name",		  "tier",
		"first_token_ms", "between_tokens_ms",
		"timeout_ms",	  "floor_percent",
		"max_queue",	  "max_tokens",
		"cross_region",	  NULL};
	sheet_t *sheet = r->sheet;
	lineset_t names = {0};
	unsigned floor_sum = 0;

	sheet->classes = sheetcheck_alloc_array(
		r, "class", 1, SHEET_MAX_CLASSES, sizeof(*sheet->classes),
		&sheet->class_count);
	for (size_t i = 0; i < sheet->class_count; i++) {
		sheet_class_t *class = &sheet->classes[i];
		tomlcheck_table_t table;

		if (!tomlcheck_get_element(&r->root, "class", i, &table))
			continue;
		tomlcheck_check_keys(&table, keys);
		class->name = sheetcheck_read_unique_name(r, &names, &table);
		read_class(&table, class);
		floor_sum += class->floor_percent;
		if (floor_sum > SHEET_MAX_FLOOR_PERCENT &&
		    floor_sum - class->floor_percent <= SHEET_MAX_FLOOR_PERCENT)
			tomlcheck_report(
				&table, "floor_percent",
				tomlcheck_line(&table, "floor_percent"),
				"expected a sum over all classes of at "
				"most %d, found %u up to this class",
				SHEET_MAX_FLOOR_PERCENT, floor_sum);
	}
	lineset_release(&names);
}

static void read_calls(const sheetcheck_reader_t *r,
		       const tomlcheck_table_t *table, sheet_pool_t *pool)
{
	static const char *const keys[] = {"name", "class", "repeatable", NULL};
	lineset_t names = {0};

	pool->call_count = tomlcheck_get_array(table, "call", 1,
					       SHEET_MAX_CALLS, "tables");
	pool->calls =
		sheet_alloc(r->sheet, pool->call_count * sizeof(*pool->calls));
	for (size_t i = 0; i < pool->call_count; i++) {
		sheet_call_t *call = &pool->calls[i];
		tomlcheck_table_t element;

		if (!tomlcheck_get_element(table, "call", i, &element))
			continue;
		tomlcheck_check_keys(&element, keys);
		call->name = sheetcheck_read_unique_name(r, &names, &element);
		call->class_index = get_class(r, &element);
		/* No default: a retry of a call that is wrongly taken as
		 * repeatable could run a booking twice. */
		call->repeatable = tomlcheck_get_bool(
			&element, "repeatable", TOMLCHECK_REQUIRED, false);
	}
	lineset_release(&names);
}

static void read_pools_of_kind(const sheetcheck_reader_t *r, const char *key,
			       sheet_pool_kind_t kind, size_t count)
{
	static const char *const model_keys[] = {"name", NULL};
	static const char *const service_keys[] = {"name", "call", NULL};
	lineset_t names = {0};

	for (size_t i = 0; i < count; i++) {
		sheet_pool_t *pool = &r->sheet->pools[r->sheet->pool_count++];
		tomlcheck_table_t table;

		pool->kind = kind;
		if (!tomlcheck_get_element(&r->root, key, i, &table))
			continue;
		tomlcheck_check_keys(&table, kind == SHEET_POOL_MODEL ?
						     model_keys :
						     service_keys);
		pool->name = sheetcheck_read_unique_name(r, &names, &table);
		if (kind == SHEET_POOL_SERVICE)
			read_calls(r, &table, pool);
	}
	lineset_release(&names);
}

static void check_model_classes(const sheetcheck_reader_t *r)
{
	uint32_t used = 0;
	tomlcheck_table_t table;

	for (size_t i = 0; i < r->sheet->pool_count; i++) {
		const sheet_pool_t *pool = &r->sheet->pools[i];

		for (size_t j = 0; j < pool->call_count; j++)
			used |= UINT32_C(1) << pool->calls[j].class_index;
	}
	for (size_t i = 0; i < r->sheet->class_count; i++) {
		if (!(used >> i & 1))
			return;
	}
	if (tomlcheck_get_element(&r->root, "model", 0, &table))
		tomlcheck_report(&table, NULL, toml_line_of(table.node),
				 "expected at least one class that no service "
				 "call uses, for the models");
}

static void read_pools(const sheetcheck_reader_t *r)
{
	sheet_t *sheet = r->sheet;
	size_t models = tomlcheck_get_array(&r->root, "model", 0,
					    SHEET_MAX_POOLS, "tables");
	size_t services = tomlcheck_get_array(
		&r->root, "service", 0, SHEET_MAX_POOLS - models, "tables");

	sheet->pools =
		sheet_alloc(sheet, (models + services) * sizeof(*sheet->pools));
	read_pools_of_kind(r, "model", SHEET_POOL_MODEL, models);
	read_pools_of_kind(r, "service", SHEET_POOL_SERVICE, services);
	if (models)
		check_model_classes(r);
}

static unsigned get_pool(const sheetcheck_reader_t *r,
			 const tomlcheck_table_t *table)
{
	bool is_model = toml_table_get(table->node, STR_LIT("model"));
	bool is_service = toml_table_get(table->node, STR_LIT("service"));
	const char *key = is_model ? "model" : "service";
	str_t name;

	if (is_model == is_service) {
		tomlcheck_report(table, NULL, toml_line_of(table->node),
				 "expected exactly one of model, service");
		return 0;
	}
	name = tomlcheck_get_name(table, key);
	return get_reference(table, key, name,
			     sheet_find_pool(r->sheet,
					     is_model ? SHEET_POOL_MODEL :
							SHEET_POOL_SERVICE,
					     name),
			     key);
}

static void read_endpoint(const sheetcheck_reader_t *r,
			  const tomlcheck_table_t *table,
			  sheet_endpoint_t *endpoint)
{
	static const tomlcheck_int_t cold_limit = {"cold_limit", 1,
						   SHEET_MAX_IN_FLIGHT,
						   DEFAULT_COLD_LIMIT, false};
	static const tomlcheck_int_t in_flight = {"max_in_flight", 1,
						  SHEET_MAX_IN_FLIGHT, 0, true};
	size_t faults = table->check->faults;
	str_t domain = tomlcheck_get_name(table, "domain");

	endpoint->domain_index =
		get_reference(table, "domain", domain,
			      sheet_find_domain(r->sheet, domain), "domain");
	endpoint->pool_index = get_pool(r, table);
	endpoint->address = sheet_copy_str(
		r->sheet,
		tomlcheck_get_address(table, "address", TOMLCHECK_REQUIRED));
	endpoint->state = (sheet_state_t)tomlcheck_get_choice(
		table, "state", sheetcheck_state_names, SHEET_STATE_UP);
	endpoint->cold_limit = (unsigned)tomlcheck_get_int(table, &cold_limit);
	endpoint->max_in_flight =
		(unsigned)tomlcheck_get_int(table, &in_flight);
	if (faults == table->check->faults &&
	    endpoint->cold_limit > endpoint->max_in_flight)
		tomlcheck_report(table, "cold_limit",
				 tomlcheck_line(table, "cold_limit"),
				 "expected at most max_in_flight (%u)",
				 endpoint->max_in_flight);
}

static void read_endpoints(const sheetcheck_reader_t *r)
{
	static const char *const keys[] = {
		"name",	 "domain",     "model",		"service", "address",
		"state", "cold_limit", "max_in_flight", NULL};
	sheet_t *sheet = r->sheet;
	lineset_t names = {0};
	lineset_t addresses = {0};

	sheet->endpoints = sheetcheck_alloc_array(
		r, "endpoint", 0, SHEET_MAX_ENDPOINTS,
		sizeof(*sheet->endpoints), &sheet->endpoint_count);
	for (size_t i = 0; i < sheet->endpoint_count; i++) {
		sheet_endpoint_t *endpoint = &sheet->endpoints[i];
		tomlcheck_table_t table;

		if (!tomlcheck_get_element(&r->root, "endpoint", i, &table))
			continue;
		tomlcheck_check_keys(&table, keys);
		endpoint->name = sheetcheck_read_unique_name(r, &names, &table);
		read_endpoint(r, &table, endpoint);
		/* Two names for one server would double its cold limit. */
		sheetcheck_require_unique(&addresses, &table, "address",
					  endpoint->address, "address");
	}
	lineset_release(&names);
	lineset_release(&addresses);
}

static uint32_t read_customer_classes(const sheetcheck_reader_t *r,
				      const tomlcheck_table_t *table)
{
	size_t count = tomlcheck_get_array(table, "classes", 1,
					   SHEET_MAX_CLASSES, "class names");
	uint32_t classes = 0;

	for (size_t i = 0; i < count; i++) {
		char path[TOMLCHECK_PATH_BYTES];
		unsigned line;
		str_t name;
		int class;

		if (!tomlcheck_get_string_element(table, "classes", i, path,
						  &name, &line))
			continue;
		class = sheet_find_class(r->sheet, name);
		if (class < 0)
			tomlcheck_report(table, path, line,
					 "expected the name of a class of this "
					 "sheet, found \"%" STR_FMT "\"",
					 STR_ARG(name));
		else if (classes >> class & 1)
			tomlcheck_report(table, path, line,
					 "expected each class once");
		else
			classes |= UINT32_C(1) << class;
	}
	return classes;
}

static void read_customers(const sheetcheck_reader_t *r)
{
	static const char *const keys[] = {"name",    "key_sha256",
					   "weight",  "max_in_flight",
					   "classes", NULL};
	static const tomlcheck_int_t weight = {"weight", 1, SHEET_MAX_WEIGHT,
					       DEFAULT_WEIGHT, false};
	static const tomlcheck_int_t in_flight = {
		"max_in_flight", 1, SHEET_MAX_IN_FLIGHT,
		DEFAULT_CUSTOMER_MAX_IN_FLIGHT, false};
	sheet_t *sheet = r->sheet;
	lineset_t names = {0};
	lineset_t digests = {0};

	sheet->customers = sheetcheck_alloc_array(
		r, "customer", 0, SHEET_MAX_CUSTOMERS,
		sizeof(*sheet->customers), &sheet->customer_count);
	for (size_t i = 0; i < sheet->customer_count; i++) {
		sheet_customer_t *customer = &sheet->customers[i];
		tomlcheck_table_t table;

		if (!tomlcheck_get_element(&r->root, "customer", i, &table))
			continue;
		tomlcheck_check_keys(&table, keys);
		customer->name = sheetcheck_read_unique_name(r, &names, &table);
		if (tomlcheck_get_digest(&table, "key_sha256",
					 customer->key_digest))
			sheetcheck_require_unique(
				&digests, &table, "key_sha256",
				(str_t){(const char *)customer->key_digest,
					SHEET_DIGEST_BYTES},
				"key digest");
		customer->weight = (unsigned)tomlcheck_get_int(&table, &weight);
		customer->max_in_flight =
			(unsigned)tomlcheck_get_int(&table, &in_flight);
		customer->classes = read_customer_classes(r, &table);
	}
	lineset_release(&names);
	lineset_release(&digests);
}

static void read_sheet(const sheetcheck_reader_t *r)
{
	static const char *const keys[] = {
		"version", "cold_share_ttl_s", "domain",   "class", "model",
		"service", "endpoint",	       "customer", NULL};
	static const tomlcheck_int_t version = {"version", 1, INT64_MAX, 0,
						true};
	static const tomlcheck_int_t ttl = {
		"cold_share_ttl_s", SHEET_MIN_COLD_SHARE_TTL_S,
		SHEET_MAX_COLD_SHARE_TTL_S, DEFAULT_COLD_SHARE_TTL_S, false};

	tomlcheck_check_keys(&r->root, keys);
	r->sheet->version = (uint64_t)tomlcheck_get_int(&r->root, &version);
	r->sheet->cold_share_ttl_s = tomlcheck_get_int(&r->root, &ttl);
	sheetcheck_read_domains(r);
	read_classes(r);
	read_pools(r);
	read_endpoints(r);
	read_customers(r);
}

/* Builds the index and the digest. sheet_find_fault() reports only what the
 * checks above missed. */
static bool finish_sheet(const sheetcheck_reader_t *r)
{
	const char *fault = sheet_find_fault(r->sheet);
	node_digest_t root;
	err_t err;

	if (!fault && !sheet_build_index(r->sheet))
		fault = "customer used twice";
	if (fault) {
		tomlcheck_report(&r->root, NULL, 1, "expected a valid %s",
				 fault);
		return false;
	}
	if (node_pack(r->sheet, NULL, NULL, &root, &err) != ERR_OK) {
		tomlcheck_report(&r->root, NULL, 1,
				 "expected a sheet that can be packed: %s",
				 err.message);
		return false;
	}
	memcpy(r->sheet->digest, root.bytes, SHEET_DIGEST_BYTES);
	return true;
}

sheet_t *sheetcheck_parse(str_t text, const char *file, buf_t *report)
{
	tomlcheck_t check;
	sheetcheck_reader_t reader;

	if (!tomlcheck_open(&check, text, SHEETCHECK_MAX_BYTES, file, report))
		return NULL;
	reader = (sheetcheck_reader_t){sheet_create(), tomlcheck_root(&check)};
	if (!reader.sheet) {
		tomlcheck_report(&reader.root, NULL, 1, "expected more memory");
		tomlcheck_close(&check);
		return NULL;
	}
	read_sheet(&reader);
	if (check.faults || !finish_sheet(&reader)) {
		sheet_free(reader.sheet);
		reader.sheet = NULL;
	}
	tomlcheck_close(&check);
	return reader.sheet;
}
