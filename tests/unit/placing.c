#include "placing.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "platform/headers.h"
#include "unit.h"

mclock_manual_t clock_now;
loop_t *loop;
router_t *router;
catalog_t *catalog;
request_t request;

static const char *const domain_names[DOMAINS] = {"d0", "d1", "d2"};
static const char *const region_names[DOMAINS] = {"r0", "r1", "r2"};

/* Whether engines copy read parts from each other. */
bool copies_parts = true;

/* Whether engines are asked for their state, as on the native interface. */
bool asks_engines;

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
				     .cold_per_s = 12.0,
				     .copies_kv_cache = copies_parts,
				     .cold_until_proven = asks_engines};

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

	mclock_manual_init(&clock_now, START_MS);
	loop = loop_create(&clock_now.base);
	options.loop = loop;
	router = router_create(&options);
	for (int i = 0; i < DOMAINS; i++)
		fleet_add_domain(router->fleet, str_from(domain_names[i]),
				 str_from(region_names[i]));
	for (int i = 0; i < DOMAINS * ENGINES; i++)
		add_engine(i / ENGINES, i % ENGINES, 0);
	add_catalog(1);
}

void placing_tear_down(void)
{
	catalog_unref(catalog);
	router_free(router);
	loop_free(loop);
}

/* A request about `thing` with a shared part and one of its own. */
const request_t *make_request(unsigned thing, unsigned shared, unsigned own)
{
	memset(&request, 0, sizeof(request));
	request.router = router;
	request.call.host = (str_t)STR_LIT("h");
	request.call.path = (str_t)STR_LIT("/");
	if (shared)
		prompt_parts_add(&request.call.parts, 1000 + thing, shared);
	prompt_parts_add(&request.call.parts, 7, own);
	request.call.prompt_tokens = shared + own;
	CU_ASSERT_EQUAL(
		admit_check(catalog, &request.call, 0, &request.admission),
		ADMIT_OK);
	return &request;
}

endpoint_t *place(unsigned thing, unsigned shared, unsigned own)
{
	choice_t choice;

	if (choose_endpoint(make_request(thing, shared, own), &choice) !=
	    CHOOSE_OK)
		return NULL;
	return choice.endpoint;
}

/* Places a request for which there must be an endpoint. */
endpoint_t *must_place(unsigned thing, unsigned shared, unsigned own)
{
	endpoint_t *endpoint = place(thing, shared, own);

	if (!endpoint) {
		fprintf(stderr, "thing %u found no endpoint\n", thing);
		abort();
	}
	return endpoint;
}

/* Other hosts told that the engine has read the shared parts of a thing. */
void note_read(const endpoint_t *engine, unsigned thing, unsigned shared)
{
	const prompt_parts_t *parts;

	parts = &make_request(thing, shared, 1)->call.parts;
	prefixmap_add(&router->prefixes,
		      prefixmap_key(engine->process_hash, parts->hashes[0]));
}

choice_t choose(unsigned thing, unsigned shared, unsigned own)
{
	choice_t choice;

	CU_ASSERT_EQUAL(
		choose_endpoint(make_request(thing, shared, own), &choice),
		CHOOSE_OK);
	return choice;
}
