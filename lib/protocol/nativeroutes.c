#include "protocol/nativeroutes.h"

#include <stdio.h>

#include "base/plog.h"
#include "protocol/native.h"

/* Endpoints that may run one request: the first one and two failovers. */
#define MAX_ATTEMPTS 3
#define MAX_HEAD_BYTES 16384
#define HEAD_TIMEOUT_MS 10000
#define IDLE_TIMEOUT_MS 60000
#define POOL_SERVICE_BYTES (SHEET_NAME_BYTES + sizeof(NATIVE_SERVICE_PREFIX))

/* Writes the service name of a pool, such as "model/bear". */
static str_t pool_service(const sheet_pool_t *pool,
			  char out[POOL_SERVICE_BYTES])
{
	const char *prefix = pool->kind == SHEET_POOL_MODEL ?
				     NATIVE_MODEL_PREFIX :
				     NATIVE_SERVICE_PREFIX;

	snprintf(out, POOL_SERVICE_BYTES, "%s%" STR_FMT, prefix,
		 STR_ARG(pool->name));
	return str_from(out);
}

static catalog_route_t class_route(const sheet_class_t *class, unsigned index,
				   const nativeroutes_options_t *options)
{
	bool is_region_bound = !class->cross_region && options->region.len;

	return (catalog_route_t){
		.name = class->name,
		.timeout_ms = (unsigned)class->timeout_ms,
		.target_ms = (unsigned)class->first_token_ms,
		.event_gap_target_ms = (unsigned)class->between_tokens_ms,
		.priority = class->tier,
		.max_attempts = MAX_ATTEMPTS,
		.group = index,
		.waits_until_deadline = true,
		.max_waiting = class->max_queue,
		.floor_percent = class->floor_percent,
		.max_output_tokens = class->max_tokens,
		.regions = {&options->region, is_region_bound ? 1 : 0}};
}

static void add_completions(catalog_t *catalog, const sheet_t *sheet,
			    const nativeroutes_options_t *options)
{
	catalog_split_t splits[SHEET_MAX_POOLS];
	char names[SHEET_MAX_POOLS][POOL_SERVICE_BYTES];
	size_t count = 0;

	for (size_t i = 0; i < sheet->pool_count; i++)
		if (sheet->pools[i].kind == SHEET_POOL_MODEL) {
			splits[count] = (catalog_split_t){
				pool_service(&sheet->pools[i], names[count]),
				1};
			count++;
		}
	for (unsigned i = 0; i < sheet->class_count; i++) {
		catalog_route_t route =
			class_route(&sheet->classes[i], i, options);

		route.host = sheet->classes[i].name;
		route.prefix = STR_LIT(NATIVE_CHAT_PATH "/");
		route.kind = CATALOG_STREAM;
		route.resumable = true;
		route.splits = splits;
		route.split_count = count;
		catalog_add_route(catalog, &route);
	}
}

static void add_calls(catalog_t *catalog, const sheet_t *sheet,
		      const sheet_pool_t *pool,
		      const nativeroutes_options_t *options)
{
	char name[POOL_SERVICE_BYTES];
	catalog_split_t split = {pool_service(pool, name), 1};

	for (size_t i = 0; i < pool->call_count; i++) {
		const sheet_call_t *call = &pool->calls[i];
		catalog_route_t route =
			class_route(&sheet->classes[call->class_index],
				    call->class_index, options);
		buf_t path = BUF_INIT;

		native_append_call_path(&path, pool->name, call->name);
		route.host = STR_LIT("");
		route.prefix = buf_view(&path);
		route.kind = call->repeatable ? CATALOG_IDEMPOTENT :
						CATALOG_AT_MOST_ONCE;
		route.splits = &split;
		route.split_count = 1;
		catalog_add_route(catalog, &route);
		buf_release(&path);
	}
}

static void add_service(catalog_t *catalog, const sheet_pool_t *pool)
{
	bool is_model = pool->kind == SHEET_POOL_MODEL;
	char name[POOL_SERVICE_BYTES];
	catalog_service_t service = {.name = pool_service(pool, name),
				     .health_path = STR_LIT(""),
				     .slots = is_model,
				     .limited_to_slots = true,
				     .cold_until_proven = is_model};

	catalog_add_service(catalog, &service);
}

static void add_customer(catalog_t *catalog,
			 const sheet_customer_t *sheet_customer)
{
	catalog_customer_t customer = {.name = sheet_customer->name,
				       .groups = sheet_customer->classes,
				       .max_in_progress =
					       sheet_customer->max_in_flight,
				       .weight = sheet_customer->weight};
	buf_t key = BUF_INIT;
	str_t view;

	native_append_customer_key(&key, sheet_customer->key_digest,
				   sizeof(sheet_customer->key_digest));
	view = buf_view(&key);
	catalog_add_customer(catalog, &customer, &view, 1);
	buf_release(&key);
}

catalog_t *nativeroutes_catalog(const sheet_t *sheet,
				const nativeroutes_options_t *options)
{
	catalog_t *catalog = catalog_create((int64_t)sheet->version);
	catalog_limits_t limits = {.head_bytes = MAX_HEAD_BYTES,
				   .body_bytes = options->max_body_bytes,
				   .head_timeout_ms = HEAD_TIMEOUT_MS,
				   .idle_timeout_ms = IDLE_TIMEOUT_MS};

	catalog_set_limits(catalog, &limits);
	catalog_require_keys(catalog);
	add_completions(catalog, sheet, options);
	for (size_t i = 0; i < sheet->pool_count; i++) {
		add_service(catalog, &sheet->pools[i]);
		if (sheet->pools[i].kind == SHEET_POOL_SERVICE)
			add_calls(catalog, sheet, &sheet->pools[i], options);
	}
	for (size_t i = 0; i < sheet->customer_count; i++)
		add_customer(catalog, &sheet->customers[i]);
	catalog_seal(catalog);
	return catalog;
}

static void put_endpoint(fleet_t *fleet, const sheet_t *sheet,
			 const sheet_endpoint_t *sheet_endpoint, int64_t now_ms)
{
	char service[POOL_SERVICE_BYTES];
	endpoint_record_t record = {
		.id = sheet_endpoint->name,
		.service = pool_service(
			&sheet->pools[sheet_endpoint->pool_index], service),
		.address = sheet_endpoint->address,
		.domain = sheet->domains[sheet_endpoint->domain_index].name,
		.slots = sheet_endpoint->max_in_flight,
		.leaving = sheet_endpoint->state != SHEET_STATE_UP};
	const endpoint_t *known = fleet_find(fleet, sheet_endpoint->name);
	bool was_leaving = known && known->state == ENDPOINT_LEAVING;

	fleet_put(fleet, &record, now_ms);
	if (!known || was_leaving != record.leaving)
		plog_write(PLOG_ENDPOINT_CHANGED,
			   "endpoint=%" STR_FMT " service=%s address=%" STR_FMT
			   " domain=%" STR_FMT " leaving=%d cold_ms=0",
			   STR_ARG(sheet_endpoint->name), service,
			   STR_ARG(sheet_endpoint->address),
			   STR_ARG(record.domain), record.leaving);
}

static void remove_missing(fleet_t *fleet, const sheet_t *sheet)
{
	for (size_t i = fleet_count(fleet); i-- > 0;) {
		const endpoint_t *endpoint = fleet_at(fleet, i);

		if (sheet_find_endpoint(sheet, str_from(endpoint->id)) >= 0)
			continue;
		plog_write(PLOG_ENDPOINT_REMOVED, "endpoint=%s", endpoint->id);
		fleet_remove_now(fleet, str_from(endpoint->id));
	}
}

void nativeroutes_apply(fleet_t *fleet, const sheet_t *sheet, int64_t now_ms)
{
	for (size_t i = 0; i < sheet->domain_count; i++)
		fleet_add_domain(fleet, sheet->domains[i].name,
				 sheet->domains[i].region);
	for (size_t i = 0; i < sheet->endpoint_count; i++)
		put_endpoint(fleet, sheet, &sheet->endpoints[i], now_ms);
	remove_missing(fleet, sheet);
}

void nativeroutes_update_domains(fleet_t *fleet, const sheet_t *sheet,
				 const catalog_t *catalog, int64_t wall_s,
				 int64_t now_ms)
{
	for (size_t i = 0; i < sheet->domain_count; i++) {
		const sheet_domain_t *domain = &sheet->domains[i];
		bool is_out =
			sheet_domain_state(domain, wall_s) != SHEET_STATE_UP;

		if (is_out == fleet_is_evacuated(fleet, domain->name))
			continue;
		plog_write(PLOG_DOMAIN_EVACUATED, "domain=%" STR_FMT " out=%d",
			   STR_ARG(domain->name), is_out);
		fleet_set_evacuated(fleet, domain->name, is_out, catalog,
				    now_ms);
	}
}
