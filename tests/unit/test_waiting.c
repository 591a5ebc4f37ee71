#include "unit.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "protocol/native.h"
#include "request/choose.h"
#include "request/customers.h"
#include "request/waiting.h"

/*
 * The queue of waiting requests, its order and its limits, without a network:
 * requests are queued or assigned to an endpoint, but none is sent.
 */
#define START_MS 100000
#define SLOTS 4
#define MAX_WAITING 3

static mclock_manual_t manual_clock;
static loop_t *loop;
static router_t *router;
static catalog_t *catalog;

static void add_class(const char *name, unsigned tier)
{
	catalog_split_t split = {STR_LIT("model/bear"), 1};
	catalog_route_t route = {.name = str_from(name),
				 .host = str_from(name),
				 .prefix = STR_LIT(NATIVE_CHAT_PATH "/"),
				 .kind = CATALOG_STREAM,
				 .target_ms = 1000,
				 .timeout_ms = 10000,
				 .priority = tier,
				 .waits_until_deadline = true,
				 .max_waiting = MAX_WAITING,
				 .floor_percent = 10,
				 .splits = &split,
				 .split_count = 1};

	catalog_add_route(catalog, &route);
}

static void add_customer(const char *name, unsigned weight, unsigned max)
{
	catalog_customer_t customer = {.name = str_from(name),
				       .weight = weight,
				       .max_in_progress = max};
	str_t key = str_from(name);

	catalog_add_customer(catalog, &customer, &key, 1);
}

static endpoint_t *add_engine(const char *id)
{
	endpoint_record_t record = {.id = str_from(id),
				    .service = STR_LIT("model/bear"),
				    .address = STR_LIT("127.0.0.1:1"),
				    .domain = STR_LIT("d0"),
				    .slots = SLOTS};

	return fleet_put(router->fleet, &record, START_MS);
}

static void set_up(void)
{
	catalog_service_t service = {.name = STR_LIT("model/bear"),
				     .slots = 1,
				     .limited_to_slots = true,
				     .cold_until_proven = true};
	router_options_t options = {.dialect = native_dialect(),
				    .domain = STR_LIT("d0"),
				    .region = STR_LIT("r0")};

	mclock_manual_init(&manual_clock, START_MS);
	loop = loop_create(&manual_clock.base);
	options.loop = loop;
	router = router_create(&options);
	router_set_host_counts(router, 1, 1);
	catalog = catalog_create(1);
	add_class("report", 0);
	add_class("tag", 4);
	add_customer("large", 1, 0);
	add_customer("small", 1, 2);
	catalog_add_service(catalog, &service);
	catalog_seal(catalog);
	router_set_catalog(router, catalog);
}

static void tear_down(void)
{
	catalog_unref(catalog);
	router_free(router);
	loop_free(loop);
}

static request_t *make_request(const char *class, const char *customer)
{
	request_t *request = calloc(1, sizeof(*request));

	if (!request)
		abort();
	request->router = router;
	request->arrived_ms = router_now_ms(router);
	request->deadline_ms = request->arrived_ms + 10000;
	request->call.host = str_from(class);
	request->call.path = (str_t)STR_LIT(NATIVE_CHAT_PATH "/");
	request->call.key = str_from(customer);
	CU_ASSERT_EQUAL_FATAL(
		admit_check(catalog, &request->call, 0, &request->admission),
		ADMIT_OK);
	return request;
}

static request_t *add_waiting_request(const char *class, const char *customer)
{
	request_t *request = make_request(class, customer);

	CU_ASSERT_TRUE(customers_add_request(request));
	customers_set_queue_order(request);
	waiting_add(request, true);
	mclock_manual_advance(&manual_clock, 1);
	return request;
}

static void free_request(request_t *request)
{
	waiting_remove(request);
	customers_remove_request(request);
	free(request);
}

/* Scenario: a burst of tags while reports arrive. Guards against a report that
 * is served after a waiting tag, and against a new tag that takes capacity that
 * a report waits for (P1). */
static void test_urgent_first(void)
{
	request_t *tags[2], *report, *late;

	set_up();
	add_engine("e0");
	tags[0] = add_waiting_request("tag", "large");
	tags[1] = add_waiting_request("tag", "large");
	report = add_waiting_request("report", "large");
	CU_ASSERT_PTR_EQUAL(router->waiting, report);
	CU_ASSERT_PTR_EQUAL(report->next, tags[0]);
	CU_ASSERT_PTR_EQUAL(tags[0]->next, tags[1]);
	late = make_request("tag", "small");
	CU_ASSERT_TRUE(waiting_is_blocked(late));
	free_request(late);
	late = make_request("report", "small");
	late->arrived_ms = START_MS;
	CU_ASSERT_FALSE(waiting_is_blocked(late));
	free_request(late);
	free_request(report);
	free_request(tags[0]);
	free_request(tags[1]);
	tear_down();
}

/* Scenario: one customer sends many times as much as another. Guards against
 * requests of the small customer that wait behind all requests of the large
 * one. */
static void test_customers_take_turns(void)
{
	request_t *large[3], *small;

	set_up();
	add_engine("e0");
	for (int i = 0; i < 3; i++)
		large[i] = add_waiting_request("tag", "large");
	small = add_waiting_request("tag", "small");
	CU_ASSERT_PTR_EQUAL(router->waiting, large[0]);
	CU_ASSERT_PTR_EQUAL(large[0]->next, small);
	CU_ASSERT_PTR_EQUAL(small->next, large[1]);
	for (int i = 0; i < 3; i++)
		free_request(large[i]);
	free_request(small);
	CU_ASSERT_PTR_NULL(router->customers);
	tear_down();
}

/* Guards against a customer that exceeds its limit of requests in progress. */
static void test_customer_limit(void)
{
	request_t *first, *second, *third;

	set_up();
	first = make_request("tag", "small");
	second = make_request("tag", "small");
	third = make_request("tag", "small");
	CU_ASSERT_TRUE(customers_add_request(first));
	CU_ASSERT_TRUE(customers_add_request(second));
	CU_ASSERT_FALSE(customers_add_request(third));
	free_request(first);
	CU_ASSERT_TRUE(customers_add_request(third));
	free_request(second);
	free_request(third);
	tear_down();
}

/* Guards against a queue without a bound, and against classes that share one
 * bound. */
static void test_queue_is_bounded(void)
{
	request_t *tags[MAX_WAITING], *tag, *report;

	set_up();
	add_engine("e0");
	tag = make_request("tag", "large");
	report = make_request("report", "large");
	for (int i = 0; i < MAX_WAITING; i++) {
		CU_ASSERT_FALSE(waiting_is_full(tag));
		tags[i] = add_waiting_request("tag", "large");
	}
	CU_ASSERT_TRUE(waiting_is_full(tag));
	CU_ASSERT_FALSE(waiting_is_full(report));
	free_request(tags[0]);
	CU_ASSERT_FALSE(waiting_is_full(tag));
	for (int i = 1; i < MAX_WAITING; i++)
		free_request(tags[i]);
	free_request(tag);
	free_request(report);
	tear_down();
}

/* Scenario: demand far above the capacity of the engines. Guards against
 * queuing a request that can't be served before its deadline: the expected wait
 * must cover all requests ahead of it, and those of other hosts. */
static void test_expected_wait(void)
{
	request_t *tags[2], *tag;

	set_up();
	add_engine("e0");
	router_service_stats(router, STR_LIT("model/bear"))->busy_ms = 6000.0;
	tag = make_request("tag", "small");
	CU_ASSERT_EQUAL(waiting_expected_ms(tag), 0);
	tags[0] = add_waiting_request("tag", "large");
	tags[1] = add_waiting_request("tag", "large");
	tag->arrived_ms = router_now_ms(router);
	tag->fair_order = tags[1]->fair_order + 1.0;
	CU_ASSERT_EQUAL(waiting_expected_ms(tag), 2 * 6000 / SLOTS);
	router_set_host_counts(router, 1, 3);
	CU_ASSERT_EQUAL(waiting_expected_ms(tag), 3 * 2 * 6000 / SLOTS);
	free_request(tags[0]);
	free_request(tags[1]);
	free_request(tag);
	tear_down();
}

static uint32_t hash_name(const char *name)
{
	return (uint32_t)XXH64(name, strlen(name), 0);
}

/* Gives the router totals by which the customer "large" demands eight times its
 * usual and uses seven times as much as "small". */
static void set_large_over_share(void)
{
	uint32_t service = hash_name("model/bear");
	custshare_use_t totals[] = {
		{service, hash_name("large"), 1, 700.0, 800.0, 100.0},
		{service, hash_name("small"), 1, 100.0, 100.0, 100.0}};

	custshare_set_totals(router->custshare, totals, 2,
			     router_now_ms(router));
}

static request_t *add_updated_request(const char *class, const char *customer)
{
	request_t *request = make_request(class, customer);

	customers_update_excess(request);
	waiting_add(request, true);
	mclock_manual_advance(&manual_clock, 1);
	return request;
}

/* Scenario: a service is short, and one customer sends many times its usual to
 * the fleet. Guards against requests of others that wait behind its own or are
 * refused for a full queue that its own fill, against a report that gives way
 * to a tag (P1), and against any effect while nothing is short or the totals
 * are old. */
static void test_customer_over_share(void)
{
	request_t *large[2], *report, *small;

	set_up();
	add_engine("e0");
	set_large_over_share();
	large[0] = make_request("tag", "large");
	customers_update_excess(large[0]);
	CU_ASSERT_EQUAL(large[0]->share_excess, 0.0);
	waiting_add(large[0], true);
	mclock_manual_advance(&manual_clock, 1);
	large[1] = add_updated_request("tag", "large");
	CU_ASSERT_EQUAL(large[1]->share_excess, 1.75);
	waiting_remove(large[0]);
	customers_update_excess(large[0]);
	waiting_add(large[0], true);
	report = add_updated_request("report", "large");
	CU_ASSERT_FALSE(waiting_yields(large[0]));
	small = add_updated_request("tag", "small");
	CU_ASSERT_EQUAL(small->share_excess, 0.0);
	CU_ASSERT_PTR_EQUAL(router->waiting, report);
	CU_ASSERT_PTR_EQUAL(report->next, small);
	CU_ASSERT_PTR_EQUAL(small->next, large[0]);
	CU_ASSERT_PTR_EQUAL(large[0]->next, large[1]);
	CU_ASSERT_TRUE(waiting_yields(large[0]));
	CU_ASSERT_FALSE(waiting_yields(small));
	CU_ASSERT_FALSE(waiting_yields(report));
	CU_ASSERT_PTR_EQUAL(waiting_find_displaceable(small), large[1]);
	large[1]->possible_runs = 1;
	CU_ASSERT_PTR_EQUAL(waiting_find_displaceable(small), large[0]);
	CU_ASSERT_PTR_NULL(waiting_find_displaceable(large[0]));
	mclock_manual_advance(&manual_clock, CUSTSHARE_TOTALS_TTL_MS);
	customers_update_excess(large[0]);
	CU_ASSERT_EQUAL(large[0]->share_excess, 0.0);
	free_request(large[0]);
	free_request(large[1]);
	free_request(report);
	free_request(small);
	tear_down();
}

/* Scenario: an engine with as many requests in flight as the sheet allows.
 * Guards against sending one more, whether the requests are this host's own or
 * those of others. */
static void test_full_engine(void)
{
	request_t *request;
	endpoint_t *engine;
	choice_t choice;

	set_up();
	engine = add_engine("e0");
	request = make_request("report", "large");
	warmth_on_answer(&engine->warmth, STR_LIT("b"), false, START_MS,
			 START_MS);
	engine->in_flight = SLOTS - 1;
	CU_ASSERT_EQUAL(choose_endpoint(request, &choice), CHOOSE_OK);
	engine->in_flight = SLOTS;
	CU_ASSERT_EQUAL(choose_endpoint(request, &choice), CHOOSE_LATER);
	engine->in_flight = 1;
	engine->total_load.in_flight = SLOTS;
	CU_ASSERT_EQUAL(choose_endpoint(request, &choice), CHOOSE_LATER);
	free_request(request);
	tear_down();
}

/* Scenario: all engines are cold. Guards against a host with more requests at a
 * cold engine than its cold units, orphaned requests included, and against
 * requests to an unreachable engine (P3). */
static void test_cold_units(void)
{
	request_t *request;
	endpoint_t *engine;
	choice_t choice;

	set_up();
	engine = add_engine("e0");
	request = make_request("report", "large");
	CU_ASSERT_EQUAL(choose_endpoint(request, &choice), CHOOSE_LATER);
	engine->cold_units = 2;
	CU_ASSERT_EQUAL(choose_endpoint(request, &choice), CHOOSE_OK);
	engine->in_flight = 1;
	CU_ASSERT_EQUAL(choose_endpoint(request, &choice), CHOOSE_OK);
	warmth_on_orphaned(&engine->warmth, START_MS, START_MS + 500);
	CU_ASSERT_EQUAL(choose_endpoint(request, &choice), CHOOSE_LATER);
	engine->in_flight = 0;
	engine->cold_units = 0;
	warmth_on_unreachable(&engine->warmth, START_MS);
	CU_ASSERT_EQUAL(choose_endpoint(request, &choice), CHOOSE_NONE);
	free_request(request);
	tear_down();
}

int main(void)
{
	CU_TestInfo tests[] = {
		{"urgent first", test_urgent_first},
		{"customers take turns", test_customers_take_turns},
		{"customer limit", test_customer_limit},
		{"queue is bounded", test_queue_is_bounded},
		{"expected wait", test_expected_wait},
		{"customer over its share", test_customer_over_share},
		{"full engine", test_full_engine},
		{"cold units", test_cold_units},
		CU_TEST_INFO_NULL};

	return unit_run("waiting", tests);
}
