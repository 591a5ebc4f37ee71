#include "placing.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "platform/headers.h"
#include "unit.h"

mclock_manual_t manual_clock;
loop_t *loop;
router_t *router;
catalog_t *catalog;
request_t request;

static const char *const domain_names[DOMAINS] = {"d0", "d1", "d2"};
static const char *const region_names[DOMAINS] = {"r0", "r1", "r2"};

bool engines_copy_kv_cache = true;

bool engines_cold_until_proven;
double engines_cold_per_s = 12.0;

void add_catalog(int64_t version)
{
	catalog_split_t split = {STR_LIT("model"), 1};
	catalog_route_t route = {.name = STR_LIT("stream"),
				 .host = STR_LIT("h"),
				 .prefix = STR_LIT("/"),
				 .kind = CATALOG_STREAM,
				 .is_public = true,
				 .timeout_ms = 15000,
				 .target_ms = 2000,
				 .max_attempts = 1,
				 .splits = &split,
				 .split_count = 1};
	catalog_service_t service = {.name = STR_LIT("model"),
				     .max_connections = 360,
				     .slots = 64,
				     .cold_ms = 3000,
				     .cold_per_s = engines_cold_per_s,
				     .copies_kv_cache = engines_copy_kv_cache,
				     .cold_until_proven =
					     engines_cold_until_proven};

	catalog = catalog_create(version);
	catalog_add_route(catalog, &route);
	catalog_add_service(catalog, &service);
	catalog_seal(catalog);
	router_set_catalog(router, catalog);
}

endpoint_t *add_engine(int domain, int index, int64_t cold_ms)
{
	char id[16];
	endpoint_record_t record = {.service = STR_LIT("model"),
				    .address = STR_LIT("127.0.0.1:1"),
				    .domain = str_from(domain_names[domain]),
				    .slots = 64,
				    .cold_ms = cold_ms};

	snprintf(id, sizeof(id), "e%d-%d", domain, index);
	record.id = str_from(id);
	return fleet_put(router->fleet, &record, START_MS);
}

void placing_set_up(void)
{
	router_options_t options = {.dialect = headers_dialect(),
				    .domain = STR_LIT("d0"),
				    .region = STR_LIT("r0"),
				    .bounds = {0.2, 52, 10000, 1.5, 5}};

	mclock_manual_init(&manual_clock, START_MS);
	loop = loop_create(&manual_clock.base);
	options.loop = loop;
	router = router_create(&options);
	for (int i = 0; i < DOMAINS; i++)
		fleet_add_domain(router->fleet, str_from(domain_names[i]),
				 str_from(region_names[i]));
	for (int i = 0; i < DOMAINS * ENGINES_PER_DOMAIN; i++)
		add_engine(i / ENGINES_PER_DOMAIN, i % ENGINES_PER_DOMAIN, 0);
	add_catalog(1);
}

void placing_tear_down(void)
{
	catalog_unref(catalog);
	router_free(router);
	loop_free(loop);
}

/* Fills `request`. Its prompt consists of a prefix shared by all requests with
 * the same `prefix_id`, none if `shared_tokens` is 0, and a part of its own. */
const request_t *make_request(unsigned prefix_id, unsigned shared_tokens,
			      unsigned own_tokens)
{
	memset(&request, 0, sizeof(request));
	request.router = router;
	request.call.host = (str_t)STR_LIT("h");
	request.call.path = (str_t)STR_LIT("/");
	if (shared_tokens)
		prompt_parts_add(&request.call.parts, 1000 + prefix_id,
				 shared_tokens);
	prompt_parts_add(&request.call.parts, 7, own_tokens);
	request.call.prompt_tokens = shared_tokens + own_tokens;
	CU_ASSERT_EQUAL(
		admit_check(catalog, &request.call, 0, &request.admission),
		ADMIT_OK);
	return &request;
}

/* RETURN VALUE: the endpoint chosen for a new request; NULL when there is none.
 */
endpoint_t *find_endpoint(unsigned prefix_id, unsigned shared_tokens,
			  unsigned own_tokens)
{
	choice_t choice;

	if (choose_endpoint(make_request(prefix_id, shared_tokens, own_tokens),
			    &choice) != CHOOSE_OK)
		return NULL;
	return choice.endpoint;
}

/* Like find_endpoint(), but ends the test program when there is none. */
endpoint_t *require_endpoint(unsigned prefix_id, unsigned shared_tokens,
			     unsigned own_tokens)
{
	endpoint_t *endpoint =
		find_endpoint(prefix_id, shared_tokens, own_tokens);

	if (!endpoint) {
		fprintf(stderr, "no endpoint for prefix %u\n", prefix_id);
		abort();
	}
	return endpoint;
}

/* Records that the engine has the shared prefix in its KV cache, as if another
 * host had reported it. */
void mark_prefix_cached(const endpoint_t *engine, unsigned prefix_id,
			unsigned shared_tokens)
{
	const prompt_parts_t *parts;

	parts = &make_request(prefix_id, shared_tokens, 1)->call.parts;
	prefixmap_add(&router->prefixes,
		      prefixmap_key(engine->process_hash, parts->hashes[0]));
}

choice_t choose(unsigned prefix_id, unsigned shared_tokens, unsigned own_tokens)
{
	choice_t choice;

	CU_ASSERT_EQUAL(choose_endpoint(make_request(prefix_id, shared_tokens,
						     own_tokens),
					&choice),
			CHOOSE_OK);
	return choice;
}
