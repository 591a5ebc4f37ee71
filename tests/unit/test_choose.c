#include "unit.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/balance.h"
#include "platform/headers.h"
#include "request/choose.h"

/*
 * Decisions under load patterns, without a network: a router with endpoints in
 * three domains of three regions, and requests that are only placed.
 */
#define DOMAINS 3
#define ENGINES 3 /* in each domain */
#define START_MS 100000
/* Prompt tokens by which an engine counts as reading all the time: two seconds
 * at the speed that is assumed at first. */
#define FULL_TOKENS (uint64_t)(2000 * ROUTER_TOKENS_PER_MS)

static mclock_manual_t clock_now;
static loop_t *loop;
static router_t *router;
static catalog_t *catalog;
static request_t request;

static const char *const domain_names[DOMAINS] = {"d0", "d1", "d2"};
static const char *const region_names[DOMAINS] = {"r0", "r1", "r2"};

/* Whether engines copy read parts from each other. */
static bool copies_parts = true;

/* Whether engines are asked for their state, as on the native interface. */
static bool asks_engines;

static void add_catalog(int64_t version)
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
				     .copies_parts = copies_parts,
				     .proves_warmth = asks_engines};

	catalog = catalog_create(version);
	catalog_add_route(catalog, &route);
	catalog_add_service(catalog, &service);
	catalog_seal(catalog);
	router_set_catalog(router, catalog);
}

static endpoint_t *add_engine(int domain, int index, int64_t cold_ms)
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

static void set_up(void)
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

static void tear_down(void)
{
	catalog_unref(catalog);
	router_free(router);
	loop_free(loop);
}

/* A request about `thing` with a shared part and one of its own. */
static const request_t *make_request(unsigned thing, unsigned shared,
				     unsigned own)
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

static endpoint_t *place(unsigned thing, unsigned shared, unsigned own)
{
	choice_t choice;

	if (choose_endpoint(make_request(thing, shared, own), &choice) !=
	    CHOOSE_OK)
		return NULL;
	return choice.endpoint;
}

/* Places a request for which there must be an endpoint. */
static endpoint_t *must_place(unsigned thing, unsigned shared, unsigned own)
{
	endpoint_t *endpoint = place(thing, shared, own);

	if (!endpoint) {
		fprintf(stderr, "thing %u found no endpoint\n", thing);
		abort();
	}
	return endpoint;
}

/* Pattern: calm traffic over many things. Guards against shared parts that are
 * read by several engines: each thing goes to one engine, and all hosts agree,
 * whatever their domain. */
static void test_one_engine_per_thing(void)
{
	endpoint_t *seen[20];

	set_up();
	for (unsigned thing = 0; thing < 20; thing++)
		seen[thing] = must_place(thing, 5000, 6000);
	router->domain = (str_t)STR_LIT("d2");
	router->region = (str_t)STR_LIT("r2");
	for (unsigned thing = 0; thing < 20; thing++)
		CU_ASSERT_PTR_EQUAL(must_place(thing, 5000, 6000), seen[thing]);
	tear_down();
}

/* Pattern: short chats. Guards against a way to another region that saves next
 * to nothing. */
static void test_short_prompts_stay(void)
{
	set_up();
	for (unsigned thing = 0; thing < 40; thing++) {
		endpoint_t *endpoint = must_place(thing, 200, 600);

		CU_ASSERT_STRING_EQUAL(endpoint->domain, "d0");
	}
	tear_down();
}

/* Pattern: long reports beside chats. Guards against chats whose pauses grow
 * while a prompt is read on the same engine. */
static void test_lanes(void)
{
	unsigned express = 0;

	set_up();
	fleet_update_marks(router->fleet);
	for (size_t i = 0; i < fleet_count(router->fleet); i++)
		express += fleet_at(router->fleet, i)->express;
	CU_ASSERT_EQUAL(express, DOMAINS);
	for (unsigned thing = 0; thing < 40; thing++) {
		CU_ASSERT_TRUE(must_place(thing, 200, 600)->express);
		CU_ASSERT_FALSE(must_place(thing, 5000, 6000)->express);
	}
	tear_down();
}

/* Pattern: a burst of chats fills the express engines. Guards against chats
 * that wait there for a slot for longer than the charge for running beside
 * prompts, and against lanes that stay as they are in such a load. */
static void test_full_lane(void)
{
	unsigned before = 0, after = 0;

	set_up();
	fleet_update_marks(router->fleet);
	router_service(router, (str_t)STR_LIT("model"))->lane_busy_ms[1] =
		2000.0;
	for (size_t i = 0; i < fleet_count(router->fleet); i++) {
		endpoint_t *endpoint = fleet_at(router->fleet, i);

		before += endpoint->express;
		endpoint->total.in_flight = endpoint->express ? 80 : 4;
	}
	CU_ASSERT_FALSE(must_place(1, 200, 600)->express);
	for (int i = 0; i < 20; i++) {
		mclock_manual_advance(&clock_now, 250);
		fleet_update_lanes(router->fleet, (str_t)STR_LIT("model"),
				   ROUTER_TOKENS_PER_MS, router_now_ms(router));
	}
	fleet_update_marks(router->fleet);
	for (size_t i = 0; i < fleet_count(router->fleet); i++)
		after += fleet_at(router->fleet, i)->express;
	CU_ASSERT_EQUAL(before, DOMAINS);
	CU_ASSERT_EQUAL(after, DOMAINS * 2);
	/* 300 hosts know the loads too late: their lanes stay as at first. */
	CU_ASSERT_FALSE(lanes_follow(300));
	fleet_reset_lanes(router->fleet);
	fleet_update_marks(router->fleet);
	after = 0;
	for (size_t i = 0; i < fleet_count(router->fleet); i++)
		after += fleet_at(router->fleet, i)->express;
	CU_ASSERT_EQUAL(after, DOMAINS);
	tear_down();
}

/* Pattern: one thing gets much of the traffic. Guards against an engine that
 * reads all the time: what it can't take goes to the next engines in the common
 * ranking, so that few engines read the shared part. */
static void test_hot_thing(void)
{
	endpoint_t *first, *second, *third;

	set_up();
	first = must_place(3, 5000, 6000);
	endpoint_count_tokens(first, FULL_TOKENS, START_MS);
	second = must_place(3, 5000, 6000);
	CU_ASSERT_PTR_NOT_EQUAL(first, second);
	CU_ASSERT_FALSE(second->express);
	endpoint_count_tokens(second, FULL_TOKENS, START_MS);
	third = must_place(3, 5000, 6000);
	CU_ASSERT_PTR_NOT_EQUAL(first, third);
	CU_ASSERT_PTR_NOT_EQUAL(second, third);
	/* The load passes, and the thing comes home. */
	mclock_manual_advance(&clock_now, 10000);
	CU_ASSERT_PTR_EQUAL(must_place(3, 5000, 6000), first);
	tear_down();
}

/* Other hosts told that the engine has read the shared parts of a thing. */
static void note_read(const endpoint_t *engine, unsigned thing, unsigned shared)
{
	const prompt_parts_t *parts;

	parts = &make_request(thing, shared, 1)->call.parts;
	prefixmap_add(&router->prefixes,
		      prefixmap_key(engine->memory_hash, parts->hashes[0]));
}

static choice_t choose(unsigned thing, unsigned shared, unsigned own)
{
	choice_t choice;

	CU_ASSERT_EQUAL(
		choose_endpoint(make_request(thing, shared, own), &choice),
		CHOOSE_OK);
	return choice;
}

/* Pattern: one thing gets much of the traffic, and this host has sent none of
 * it. Guards against a shared part that is read once more although an engine
 * could copy it, and against waiting for a busy engine that others may copy
 * from. */
static void test_copy_of_hot_thing(void)
{
	endpoint_t *home;
	choice_t choice;

	set_up();
	home = must_place(3, 5000, 6000);
	CU_ASSERT_PTR_NULL(choose(3, 5000, 6000).source);
	note_read(home, 3, 5000);
	choice = choose(3, 5000, 6000);
	CU_ASSERT_PTR_EQUAL(choice.endpoint, home);
	CU_ASSERT_PTR_NULL(choice.source);
	CU_ASSERT_EQUAL(choice.unread_tokens, 6000);

	endpoint_count_tokens(home, FULL_TOKENS, START_MS);
	choice = choose(3, 5000, 6000);
	CU_ASSERT_PTR_NOT_EQUAL(choice.endpoint, home);
	CU_ASSERT_PTR_EQUAL(choice.source, home);
	CU_ASSERT_EQUAL(choice.unread_tokens, 6000);
	/* Each of two holders is the other's source: it may have given the
	 * part up since. */
	note_read(choice.endpoint, 3, 5000);
	CU_ASSERT_PTR_EQUAL(choose(3, 5000, 6000).source, home);
	tear_down();
}

/* Guards against engines that are told to copy from one that is leaving, fails
 * or has started anew, or where engines can't copy. */
static void test_no_source(void)
{
	endpoint_record_t record = {.id = STR_LIT("new"),
				    .service = STR_LIT("model"),
				    .address = STR_LIT("127.0.0.1:1"),
				    .domain = STR_LIT("d1"),
				    .slots = 64,
				    .incarnation = 5};
	endpoint_t *holder;

	set_up();
	holder = fleet_put(router->fleet, &record, START_MS);
	holder->total = (load_t){0, 80000, 64};
	note_read(holder, 3, 5000);
	CU_ASSERT_PTR_EQUAL(choose(3, 5000, 6000).source, holder);
	breaker_on_fault(&holder->breaker, BREAKER_UNREACHABLE, START_MS);
	CU_ASSERT_PTR_NULL(choose(3, 5000, 6000).source);
	breaker_on_success(&holder->breaker, START_MS);
	holder->state = ENDPOINT_LEAVING;
	CU_ASSERT_PTR_NULL(choose(3, 5000, 6000).source);
	record.incarnation = 6;
	holder = fleet_put(router->fleet, &record, START_MS);
	holder->total = (load_t){0, 80000, 64};
	CU_ASSERT_PTR_NULL(choose(3, 5000, 6000).source);
	tear_down();

	copies_parts = false;
	set_up();
	holder = fleet_put(router->fleet, &record, START_MS);
	holder->total = (load_t){0, 80000, 64};
	note_read(holder, 3, 5000);
	CU_ASSERT_PTR_NULL(choose(3, 5000, 6000).source);
	tear_down();
	copies_parts = true;
}

/* Pattern: every engine asks for a pause, the longest first. Guards against a
 * request, or a copy of prompt parts, that reaches one during its pause, and
 * against callers who are told a time at which there is still no engine. */
static void test_all_paused(void)
{
	choice_t choice;

	set_up();
	for (int i = 0; i < DOMAINS * ENGINES; i++)
		notice_on_pause(
			fleet_notice(router->fleet, fleet_at(router->fleet, i)),
			4000 - i * 100, START_MS);
	CU_ASSERT_EQUAL(choose_endpoint(make_request(3, 5000, 6000), &choice),
			CHOOSE_LATER);
	CU_ASSERT_EQUAL(choice.opens_ms,
			START_MS + 4000 - (DOMAINS * ENGINES - 1) * 100);
	mclock_manual_advance(&clock_now, choice.opens_ms - START_MS);
	CU_ASSERT_PTR_EQUAL(must_place(3, 5000, 6000),
			    fleet_at(router->fleet, DOMAINS * ENGINES - 1));
	tear_down();
}

/* Guards against a pause or a leave that ends with a change of the endpoint's
 * record, and against a successor that is shut out by it. */
static void test_notice_outlives_record(void)
{
	endpoint_record_t record = {.id = STR_LIT("new"),
				    .service = STR_LIT("model"),
				    .address = STR_LIT("127.0.0.1:1"),
				    .domain = STR_LIT("d1"),
				    .slots = 64,
				    .incarnation = 5};
	endpoint_t *endpoint;
	endpoint_t *old;

	set_up();
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
	old = endpoint;
	endpoint_ref(old);
	record.incarnation = 6;
	endpoint = fleet_put(router->fleet, &record, START_MS);
	CU_ASSERT_PTR_NULL(endpoint_notice(endpoint));
	endpoint_unref(old);

	/* An answer that comes after the record was replaced counts, too. */
	old = endpoint;
	endpoint_ref(old);
	record.address = (str_t)STR_LIT("127.0.0.1:2");
	endpoint = fleet_put(router->fleet, &record, START_MS);
	CU_ASSERT_PTR_NOT_EQUAL(old, endpoint);
	notice_on_pause(fleet_notice(router->fleet, old), 2000, START_MS);
	CU_ASSERT_TRUE(notice_forbids(endpoint_notice(endpoint), 3000,
				      START_MS + 1999));
	endpoint_unref(old);
	tear_down();
}

/* Pattern: the engine that has read a hot thing leaves or pauses. Guards
 * against copies from it. */
static void test_no_copy_from_paused(void)
{
	endpoint_t *holder;

	set_up();
	holder = must_place(3, 5000, 6000);
	note_read(holder, 3, 5000);
	endpoint_count_tokens(holder, FULL_TOKENS, START_MS);
	CU_ASSERT_PTR_EQUAL(choose(3, 5000, 6000).source, holder);
	notice_on_pause(fleet_notice(router->fleet, holder), 2000, START_MS);
	CU_ASSERT_PTR_NULL(choose(3, 5000, 6000).source);
	tear_down();
}

/* Pattern: the same load, sent by other hosts. Guards against a host that sees
 * its own few sends only. */
static void test_load_of_others(void)
{
	endpoint_t *first;

	set_up();
	first = must_place(3, 5000, 6000);
	first->total = (load_t){0, 80000, 40};
	CU_ASSERT_PTR_NOT_EQUAL(must_place(3, 5000, 6000), first);
	/* What was told already contains the own part. */
	endpoint_count_tokens(first, 40000, START_MS);
	first->counted = endpoint_own_load(first, START_MS);
	first->total = first->counted;
	CU_ASSERT_EQUAL(endpoint_load(first, START_MS).tokens_per_s,
			first->counted.tokens_per_s);
	/* Guards against a burst of this host that hides the load of others:
	 * the sums lag a round behind what it told last. */
	first->total.in_flight = 30;
	first->counted.in_flight = 0;
	first->told.in_flight = first->in_flight = 30;
	CU_ASSERT_EQUAL(endpoint_load(first, START_MS).in_flight, 60);
	tear_down();
}

/* Pattern: an engine fails half of its requests while its health is good. */
static void test_failing_engine(void)
{
	endpoint_t *usual;

	set_up();
	usual = must_place(3, 200, 600);
	for (int i = 0; i < 6; i++) {
		breaker_on_fault(&usual->breaker, BREAKER_REQUEST_FAILED,
				 START_MS);
		breaker_on_success(&usual->breaker, START_MS);
	}
	CU_ASSERT_FALSE(breaker_is_open(&usual->breaker, START_MS));
	CU_ASSERT_PTR_NOT_EQUAL(must_place(3, 200, 600), usual);
	tear_down();
}

/* Guards EVAC and DRAIN. */
static void test_taken_out(void)
{
	set_up();
	fleet_set_evacuated(router->fleet, STR_LIT("d0"), true, catalog,
			    START_MS);
	for (unsigned thing = 0; thing < 20; thing++)
		CU_ASSERT_STRING_NOT_EQUAL(must_place(thing, 200, 600)->domain,
					   "d0");
	for (size_t i = 0; i < fleet_count(router->fleet); i++)
		fleet_at(router->fleet, i)->state = ENDPOINT_LEAVING;
	CU_ASSERT_PTR_NULL(place(1, 200, 600));
	tear_down();
}

/* Pattern: a domain that was taken out comes back, cold without saying so.
 * Guards FAILBACK: each host keeps to its share, and a host of another domain
 * sends nothing. */
static void test_back_cold(void)
{
	unsigned sent = 0;
	endpoint_t *endpoint;

	set_up();
	router_set_hosts(router, 3, 7);
	fleet_set_evacuated(router->fleet, STR_LIT("d0"), true, catalog,
			    START_MS);
	fleet_set_evacuated(router->fleet, STR_LIT("d0"), false, catalog,
			    START_MS);
	for (int i = 0; i < 200; i++) {
		endpoint = must_place(3, 200, 600);
		if (strcmp(endpoint->domain, "d0") != 0)
			continue;
		coldgate_on_send(&endpoint->gate, START_MS);
		sent++;
	}
	CU_ASSERT_TRUE(sent > 0);
	CU_ASSERT_TRUE(sent * 3 <= ENGINES * (12 * 1.5 + 5));
	router->domain = (str_t)STR_LIT("d1");
	router->region = (str_t)STR_LIT("r1");
	CU_ASSERT_STRING_NOT_EQUAL(must_place(3, 200, 600)->domain, "d0");
	tear_down();
}

/* Pattern: the configuration service was away and records lapsed. Guards
 * against refusing everything until they return, and against using an endpoint
 * that is really gone. */
static void test_lapsed(void)
{
	endpoint_t *left;

	set_up();
	for (int i = 0; i < DOMAINS * ENGINES; i++) {
		char id[16];

		snprintf(id, sizeof(id), "e%d-%d", i / ENGINES, i % ENGINES);
		fleet_remove(router->fleet, str_from(id), START_MS);
	}
	CU_ASSERT_PTR_NOT_NULL(must_place(3, 200, 600));
	left = add_engine(1, 1, 0);
	CU_ASSERT_PTR_EQUAL(must_place(3, 200, 600), left);
	fleet_tick(router->fleet, START_MS + FLEET_LINGER_MS);
	CU_ASSERT_EQUAL(fleet_count(router->fleet), 1);
	tear_down();
}

/* Guards ROUTE: an id that starts anew elsewhere is another endpoint. */
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

	set_up();
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
	tear_down();
}

/* Guards against a learned speed of zero or a cost that is not a number. */
static void test_costs(void)
{
	balance_rates_t rates = {90.0, 500.0};
	balance_option_t busy = {.tokens_per_s = 1e9, .service_ms = 45.0};
	balance_option_t idle = {.service_ms = 45.0};
	balance_option_t far = {.service_ms = 45.0,
				.distance = BALANCE_OTHER_REGION};

	CU_ASSERT_TRUE(balance_cost(&busy, &rates) < 1e6);
	CU_ASSERT_TRUE(balance_cost(&busy, &rates) >
		       balance_cost(&far, &rates));
	CU_ASSERT_TRUE(balance_cost(&far, &rates) >
		       balance_cost(&idle, &rates));
}

static void use_policy(const char *name)
{
	router->policy = policy_find(str_from(name));
	CU_ASSERT_PTR_NOT_NULL_FATAL(router->policy);
}

/* Guards the comparison of policies: a baseline must go by its own figure, and
 * by nothing that the policy in use knows besides. */
static void test_baselines(void)
{
	unsigned sends[ENGINES] = {0};
	endpoint_t *first;

	set_up();
	use_policy("round-robin");
	for (int i = 0; i < 2 * ENGINES; i++) {
		endpoint_t *endpoint = must_place(1, 4000, 100);

		CU_ASSERT_STRING_EQUAL(endpoint->domain, "d0");
		sends[endpoint->id[3] - '0']++;
		endpoint->last_send = ++router->send_count;
	}
	for (int i = 0; i < ENGINES; i++)
		CU_ASSERT_EQUAL(sends[i], 2);

	use_policy("fewest-in-flight");
	first = must_place(1, 4000, 100);
	first->in_flight = 1;
	CU_ASSERT_PTR_NOT_EQUAL(must_place(1, 4000, 100), first);

	use_policy("least-reported");
	first = must_place(1, 4000, 100);
	first->in_flight = 9; /* not told yet */
	CU_ASSERT_PTR_EQUAL(must_place(1, 4000, 100), first);
	first->total.in_flight = 9;
	CU_ASSERT_PTR_NOT_EQUAL(must_place(1, 4000, 100), first);

	CU_ASSERT_PTR_NULL(policy_find(STR_LIT("none")));
	CU_ASSERT_PTR_EQUAL(policy_find(STR_LIT("weighed")), policy_default());
	tear_down();
}

/* Pattern: a connection that takes long, while operators work. Guards CONFIG,
 * LEAVE and COLD: what the send was decided on is looked at again before the
 * first byte. */
static void test_outdated(void)
{
	endpoint_t *engine;

	set_up();
	engine = must_place(1, 1000, 100);
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
	tear_down();
}

/* Pattern: an engine leaves while the others are full. Guards against requests
 * that it refuses one by one, each of which costs a send of the retry budget:
 * one that refused is asked before it gets work again. */
static void test_refusing(void)
{
	endpoint_t *engine;

	asks_engines = true;
	set_up();
	for (size_t i = 0; i < fleet_count(router->fleet); i++) {
		warmth_t *warmth = &fleet_at(router->fleet, i)->warmth;

		warmth_on_answer(warmth, STR_LIT("boot"), false, START_MS,
				 START_MS);
		fleet_at(router->fleet, i)->cold_units = 1;
		warmth_set_refusing(warmth, i > 0);
	}
	engine = fleet_at(router->fleet, 0);
	CU_ASSERT_PTR_EQUAL(place(1, 0, 100), engine);
	warmth_set_refusing(&engine->warmth, true);
	CU_ASSERT_PTR_NULL(place(1, 0, 100));
	warmth_set_refusing(&engine->warmth, false);
	CU_ASSERT_PTR_EQUAL(place(1, 0, 100), engine);
	tear_down();
	asks_engines = false;
}

/* How many endpoints hosts choose that see the same loads and have sent nothing
 * since, one short request each. */
static unsigned count_chosen(unsigned hosts, unsigned requests)
{
	endpoint_t *chosen[200];
	unsigned count = 0;

	router_set_hosts(router, hosts / 3, hosts);
	for (unsigned i = 0; i < requests; i++) {
		choice_t choice;
		unsigned at = 0;

		make_request(1, 0, 100);
		request.draw = (uint64_t)(i + 1) * 0x9e3779b97f4a7c15ull;
		CU_ASSERT_EQUAL(choose_endpoint(&request, &choice), CHOOSE_OK);
		while (at < count && chosen[at] != choice.endpoint)
			at++;
		if (at == count)
			chosen[count++] = choice.endpoint;
	}
	return count;
}

/* Pattern: 300 hosts that see the same loads, a second late. Guards against all
 * of them sending to the same engine until they see what they did. */
static void test_many_hosts_spread(void)
{
	set_up();
	for (int i = ENGINES; i < 100; i++)
		add_engine(0, i, 0);
	CU_ASSERT_EQUAL(count_chosen(78, 200), 1);
	CU_ASSERT(count_chosen(300, 200) > 50);
	tear_down();
}

int main(void)
{
	CU_TestInfo tests[] = {
		{"one engine per thing", test_one_engine_per_thing},
		{"short prompts stay", test_short_prompts_stay},
		{"lanes", test_lanes},
		{"full lane", test_full_lane},
		{"hot thing", test_hot_thing},
		{"copy of hot thing", test_copy_of_hot_thing},
		{"no source", test_no_source},
		{"all paused", test_all_paused},
		{"notice outlives record", test_notice_outlives_record},
		{"no copy from paused", test_no_copy_from_paused},
		{"load of others", test_load_of_others},
		{"failing engine", test_failing_engine},
		{"taken out", test_taken_out},
		{"back cold", test_back_cold},
		{"lapsed", test_lapsed},
		{"new incarnation", test_new_incarnation},
		{"costs", test_costs},
		{"baselines", test_baselines},
		{"outdated", test_outdated},
		{"refusing", test_refusing},
		{"many hosts spread", test_many_hosts_spread},
		CU_TEST_INFO_NULL};

	return unit_run("choose", tests);
}
