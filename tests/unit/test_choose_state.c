#include "unit.h"

#include "placing.h"

/* Scenario: every engine asks for a pause, the longest first. Guards against a
 * request to an engine during its pause, and against a retry time other than
 * the end of the first pause. */
static void test_all_paused(void)
{
	choice_t choice;

	placing_set_up();
	for (int i = 0; i < DOMAINS * ENGINES_PER_DOMAIN; i++)
		notice_on_pause(
			fleet_notice(router->fleet, fleet_at(router->fleet, i)),
			4000 - i * 100, START_MS);
	CU_ASSERT_EQUAL(choose_endpoint(make_request(3, 5000, 6000), &choice),
			CHOOSE_LATER);
	CU_ASSERT_EQUAL(choice.paused_until_ms,
			START_MS + 4000 -
				(DOMAINS * ENGINES_PER_DOMAIN - 1) * 100);
	mclock_manual_advance(&manual_clock, choice.paused_until_ms - START_MS);
	CU_ASSERT_PTR_EQUAL(
		require_endpoint(3, 5000, 6000),
		fleet_at(router->fleet, DOMAINS * ENGINES_PER_DOMAIN - 1));
	placing_tear_down();
}

/* Guards against a pause or leave notice that is lost when the endpoint's
 * record changes, and against one that also excludes the endpoint's successor.
 */
static void test_notice_outlives_record(void)
{
	endpoint_record_t record = {.id = STR_LIT("new"),
				    .service = STR_LIT("model"),
				    .address = STR_LIT("127.0.0.1:1"),
				    .domain = STR_LIT("d1"),
				    .slots = 64,
				    .incarnation = 5};
	endpoint_t *endpoint;
	endpoint_t *replaced;

	placing_set_up();
	endpoint = fleet_put(router->fleet, &record, START_MS);
	notice_on_leaving(fleet_notice(router->fleet, endpoint), true,
			  START_MS);
	record.leaving = true;
	fleet_put(router->fleet, &record, START_MS);
	fleet_remove(router->fleet, record.id, START_MS);
	record.leaving = false;
	endpoint = fleet_put(router->fleet, &record, START_MS);
	CU_ASSERT_TRUE(
		notice_forbids(endpoint_notice(endpoint), 3000, START_MS));
	replaced = endpoint;
	endpoint_ref(replaced);
	record.incarnation = 6;
	endpoint = fleet_put(router->fleet, &record, START_MS);
	CU_ASSERT_PTR_NULL(endpoint_notice(endpoint));
	endpoint_unref(replaced);

	/* A notice in a response that arrives after the record was replaced is
	 * valid for the new record. */
	replaced = endpoint;
	endpoint_ref(replaced);
	record.address = (str_t)STR_LIT("127.0.0.1:2");
	endpoint = fleet_put(router->fleet, &record, START_MS);
	CU_ASSERT_PTR_NOT_EQUAL(replaced, endpoint);
	notice_on_pause(fleet_notice(router->fleet, replaced), 2000, START_MS);
	CU_ASSERT_TRUE(notice_forbids(endpoint_notice(endpoint), 3000,
				      START_MS + 1999));
	endpoint_unref(replaced);
	placing_tear_down();
}

/* Scenario: the engine that has cached a frequent prefix pauses. Guards against
 * copying from it. */
static void test_no_copy_from_paused(void)
{
	endpoint_t *source;

	placing_set_up();
	source = require_endpoint(3, 5000, 6000);
	mark_prefix_cached(source, 3, 5000);
	endpoint_count_tokens(source, FULL_PREFILL_TOKENS, START_MS);
	CU_ASSERT_PTR_EQUAL(choose(3, 5000, 6000).prefix_source, source);
	notice_on_pause(fleet_notice(router->fleet, source), 2000, START_MS);
	CU_ASSERT_PTR_NULL(choose(3, 5000, 6000).prefix_source);
	placing_tear_down();
}

/* Guards against choosing an endpoint of an evacuated domain (EVAC) or a
 * leaving endpoint (DRAIN). */
static void test_evacuated_or_leaving(void)
{
	placing_set_up();
	fleet_set_evacuated(router->fleet, STR_LIT("d0"), true, catalog,
			    START_MS);
	for (unsigned prefix_id = 0; prefix_id < 20; prefix_id++)
		CU_ASSERT_STRING_NOT_EQUAL(
			require_endpoint(prefix_id, 200, 600)->domain, "d0");
	for (size_t i = 0; i < fleet_count(router->fleet); i++)
		fleet_at(router->fleet, i)->state = ENDPOINT_LEAVING;
	CU_ASSERT_PTR_NULL(find_endpoint(1, 200, 600));
	placing_tear_down();
}

/* Scenario: an evacuated domain returns to service; its engines are cold but
 * don't report it. Guards against a host that exceeds its share of the cold
 * limit, and against requests from a host of another domain (FAILBACK). */
static void test_cold_after_evacuation(void)
{
	unsigned sent = 0;
	endpoint_t *endpoint;

	placing_set_up();
	router_set_host_counts(router, 3, 7);
	fleet_set_evacuated(router->fleet, STR_LIT("d0"), true, catalog,
			    START_MS);
	fleet_set_evacuated(router->fleet, STR_LIT("d0"), false, catalog,
			    START_MS);
	for (int i = 0; i < 200; i++) {
		endpoint = require_endpoint(3, 200, 600);
		if (strcmp(endpoint->domain, "d0") != 0)
			continue;
		sendring_add(&endpoint->sends, START_MS);
		sent++;
	}
	CU_ASSERT_TRUE(sent > 0);
	CU_ASSERT_TRUE(sent * 3 <= ENGINES_PER_DOMAIN * (12 * 1.5 + 5));
	router->domain = (str_t)STR_LIT("d1");
	router->region = (str_t)STR_LIT("r1");
	CU_ASSERT_STRING_NOT_EQUAL(require_endpoint(3, 200, 600)->domain, "d0");
	placing_tear_down();
}

/* Scenario: the configuration service was unavailable and records expired.
 * Guards against refusing all requests until they are back, and against using
 * an endpoint that is really gone. */
static void test_expired_records(void)
{
	endpoint_t *remaining;

	placing_set_up();
	for (int i = 0; i < DOMAINS * ENGINES_PER_DOMAIN; i++) {
		char id[16];

		snprintf(id, sizeof(id), "e%d-%d", i / ENGINES_PER_DOMAIN,
			 i % ENGINES_PER_DOMAIN);
		fleet_remove(router->fleet, str_from(id), START_MS);
	}
	CU_ASSERT_PTR_NOT_NULL(require_endpoint(3, 200, 600));
	remaining = add_engine(1, 1, 0);
	CU_ASSERT_PTR_EQUAL(require_endpoint(3, 200, 600), remaining);
	fleet_expire_lingering(router->fleet, START_MS + FLEET_LINGER_MS);
	CU_ASSERT_EQUAL(fleet_count(router->fleet), 1);
	placing_tear_down();
}

/* Guards against an endpoint with a new incarnation that takes over the state
 * of the former endpoint with the same id (ROUTE). */
static void test_new_incarnation(void)
{
	endpoint_record_t record = {.id = STR_LIT("e0-0"),
				    .service = STR_LIT("model"),
				    .address = STR_LIT("127.0.0.1:1"),
				    .domain = STR_LIT("d0"),
				    .slots = 64,
				    .cold_ms = 500,
				    .incarnation = 5};
	endpoint_t *before;

	placing_set_up();
	before = fleet_find(router->fleet, STR_LIT("e0-0"));
	before->in_flight = 9;
	endpoint_ref(before);
	CU_ASSERT_PTR_NOT_EQUAL(fleet_put(router->fleet, &record, START_MS),
				before);
	CU_ASSERT_EQUAL(before->state, ENDPOINT_GONE);
	endpoint_unref(before);
	CU_ASSERT_EQUAL(fleet_find(router->fleet, STR_LIT("e0-0"))->in_flight,
			0);
	CU_ASSERT_TRUE(endpoint_is_cold(
		fleet_find(router->fleet, STR_LIT("e0-0")), START_MS + 499));
	placing_tear_down();
}

/* Scenario: the engine that a prompt ranks first restarts, and callers press.
 * Guards against a ranked engine that gets more than its pace, against requests
 * that wait although others have room, and against one that is held back for
 * longer than the steps of its pace, or where a cold limit is its pace. */
static void test_engine_at_its_pace(void)
{
	endpoint_record_t record = {.service = STR_LIT("model"),
				    .address = STR_LIT("127.0.0.1:1"),
				    .slots = 64,
				    .incarnation = 5};
	endpoint_t *engine;
	char id[16], domain[16];

	engines_cold_per_s = 0.0;
	placing_set_up();
	engine = require_endpoint(3, 5000, 6000);
	str_copy(id, sizeof(id), str_from(engine->id));
	str_copy(domain, sizeof(domain), str_from(engine->domain));
	record.id = str_from(id);
	record.domain = str_from(domain);
	engine = fleet_put(router->fleet, &record, START_MS);
	CU_ASSERT_PTR_EQUAL(require_endpoint(3, 5000, 6000), engine);
	engine->in_flight = record.slots / PACE_START_DIVISOR;
	CU_ASSERT_PTR_NOT_EQUAL(require_endpoint(3, 5000, 6000), engine);
	engines_cold_per_s = 12.0;
	add_catalog(2);
	CU_ASSERT_PTR_EQUAL(require_endpoint(3, 5000, 6000), engine);
	engines_cold_per_s = 0.0;
	add_catalog(3);
	CU_ASSERT_PTR_NOT_EQUAL(require_endpoint(3, 5000, 6000), engine);
	engine->in_flight = 0;
	mclock_manual_advance(&manual_clock, 3 * PACE_STEP_MS);
	CU_ASSERT_PTR_EQUAL(require_endpoint(3, 5000, 6000), engine);
	CU_ASSERT_EQUAL(engine->pace.cap, 0);
	placing_tear_down();
	engines_cold_per_s = 12.0;
}

/* Scenario: the configuration changes while a connection is being established.
 * Guards against sending to the chosen endpoint although the catalog was
 * replaced (CONFIG), the endpoint is leaving (DRAIN) or its domain was
 * evacuated (EVAC). A choice of a lingering endpoint stays valid. */
static void test_outdated_choice(void)
{
	endpoint_t *engine;

	placing_set_up();
	engine = require_endpoint(1, 1000, 100);
	make_request(1, 1000, 100);
	request.catalog = catalog_ref(catalog);
	request.endpoint = engine;
	CU_ASSERT_FALSE(request_is_outdated(&request));
	engine->state = ENDPOINT_LINGERING;
	CU_ASSERT_FALSE(request_is_outdated(&request));
	engine->state = ENDPOINT_LEAVING;
	CU_ASSERT_TRUE(request_is_outdated(&request));
	engine->state = ENDPOINT_READY;
	fleet_set_evacuated(router->fleet, str_from(engine->domain), true,
			    catalog, START_MS);
	CU_ASSERT_TRUE(request_is_outdated(&request));
	fleet_set_evacuated(router->fleet, str_from(engine->domain), false,
			    catalog, START_MS);
	CU_ASSERT_FALSE(request_is_outdated(&request));
	catalog_unref(catalog);
	add_catalog(2);
	CU_ASSERT_TRUE(request_is_outdated(&request));
	catalog_unref(request.catalog);
	placing_tear_down();
}

/* Scenario: a leaving engine refuses requests while no other engine is
 * available. Guards against sending it one request after the other, each of
 * which uses up retry budget: an engine that refused is probed before it gets
 * work again. */
static void test_refusing_engine(void)
{
	endpoint_t *engine;

	engines_cold_until_proven = true;
	placing_set_up();
	for (size_t i = 0; i < fleet_count(router->fleet); i++) {
		warmth_t *warmth = &fleet_at(router->fleet, i)->warmth;

		warmth_on_answer(warmth, STR_LIT("boot"), false, START_MS,
				 START_MS);
		fleet_at(router->fleet, i)->cold_units = 1;
		warmth_set_refusing(warmth, i > 0);
	}
	engine = fleet_at(router->fleet, 0);
	CU_ASSERT_PTR_EQUAL(find_endpoint(1, 0, 100), engine);
	warmth_set_refusing(&engine->warmth, true);
	CU_ASSERT_PTR_NULL(find_endpoint(1, 0, 100));
	warmth_set_refusing(&engine->warmth, false);
	CU_ASSERT_PTR_EQUAL(find_endpoint(1, 0, 100), engine);
	placing_tear_down();
	engines_cold_until_proven = false;
}

int main(void)
{
	CU_TestInfo tests[] = {
		{"all paused", test_all_paused},
		{"notice outlives record", test_notice_outlives_record},
		{"no copy from paused", test_no_copy_from_paused},
		{"evacuated or leaving", test_evacuated_or_leaving},
		{"cold after evacuation", test_cold_after_evacuation},
		{"expired records", test_expired_records},
		{"new incarnation", test_new_incarnation},
		{"engine at its pace", test_engine_at_its_pace},
		{"outdated choice", test_outdated_choice},
		{"refusing engine", test_refusing_engine},
		CU_TEST_INFO_NULL};

	return unit_run("choose-state", tests);
}
