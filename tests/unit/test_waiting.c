#include "unit.h"

#include <stdio.h>
#include <stdlib.h>

#include "protocol/native.h"
#include "request/choose.h"
#include "request/customers.h"
#include "request/waiting.h"

/*
 * Who waits for a full engine, and who goes first, without a network. The
 * requests are only placed; none is sent.
 */
#define START_MS 100000
#define SLOTS 4
#define MAX_WAITING 3

static mclock_manual_t manual;
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

	mclock_manual_init(&manual, START_MS);
	loop = loop_create(&manual.base);
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

static request_t *wait_for_room(const char *class, const char *customer)
{
	request_t *request = make_request(class, customer);

	CU_ASSERT_TRUE(customers_add_request(request));
	customers_set_queue_order(request);
	waiting_add(request, true);
	mclock_manual_advance(&manual, 1);
	return request;
}

static void end(request_t *request)
{
	waiting_remove(request);
	customers_remove_request(request);
	free(request);
}

/* Pattern: tags burst while reports come. Guards P1: a report goes before every
 * tag that waits, and a new tag doesn't take the room that a report waits for.
 */
static void test_urgent_first(void)
{
	request_t *tags[2], *report, *late;

	set_up();
	add_engine("e0");
	tags[0] = wait_for_room("tag", "large");
	tags[1] = wait_for_room("tag", "large");
	report = wait_for_room("report", "large");
	CU_ASSERT_PTR_EQUAL(router->waiting, report);
	CU_ASSERT_PTR_EQUAL(report->next, tags[0]);
	CU_ASSERT_PTR_EQUAL(tags[0]->next, tags[1]);
	late = make_request("tag", "small");
	CU_ASSERT_TRUE(waiting_is_blocked(late));
	end(late);
	late = make_request("report", "small");
	late->arrived_ms = START_MS;
	CU_ASSERT_FALSE(waiting_is_blocked(late));
	end(late);
	end(report);
	end(tags[0]);
	end(tags[1]);
	tear_down();
}

/* Pattern: one customer sends many times as much as another. Guards a small
 * customer against waiting behind all of a large one's requests. */
static void test_customers_take_turns(void)
{
	request_t *large[3], *small;

	set_up();
	add_engine("e0");
	for (int i = 0; i < 3; i++)
		large[i] = wait_for_room("tag", "large");
	small = wait_for_room("tag", "small");
	CU_ASSERT_PTR_EQUAL(router->waiting, large[0]);
	CU_ASSERT_PTR_EQUAL(large[0]->next, small);
	CU_ASSERT_PTR_EQUAL(small->next, large[1]);
	for (int i = 0; i < 3; i++)
		end(large[i]);
	end(small);
	CU_ASSERT_PTR_NULL(router->customers);
	tear_down();
}

/* Guards the customer's limit of requests in progress. */
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
	end(first);
	CU_ASSERT_TRUE(customers_add_request(third));
	end(second);
	end(third);
	tear_down();
}

/* Guards against a queue that grows without a bound, and a bound that one class
 * shares with another. */
static void test_queue_is_bounded(void)
{
	request_t *tags[MAX_WAITING], *tag, *report;

	set_up();
	add_engine("e0");
	tag = make_request("tag", "large");
	report = make_request("report", "large");
	for (int i = 0; i < MAX_WAITING; i++) {
		CU_ASSERT_FALSE(waiting_is_full(tag));
		tags[i] = wait_for_room("tag", "large");
	}
	CU_ASSERT_TRUE(waiting_is_full(tag));
	CU_ASSERT_FALSE(waiting_is_full(report));
	end(tags[0]);
	CU_ASSERT_FALSE(waiting_is_full(tag));
	for (int i = 1; i < MAX_WAITING; i++)
		end(tags[i]);
	end(tag);
	end(report);
	tear_down();
}

/* Pattern: demand far above what the engines carry. Guards against a caller
 * that is held although its turn can't come in time. */
static void test_expected_wait(void)
{
	request_t *tags[2], *tag;

	set_up();
	add_engine("e0");
	router_service_stats(router, STR_LIT("model/bear"))->busy_ms = 6000.0;
	tag = make_request("tag", "small");
	CU_ASSERT_EQUAL(waiting_expected_ms(tag), 0);
	tags[0] = wait_for_room("tag", "large");
	tags[1] = wait_for_room("tag", "large");
	tag->arrived_ms = router_now_ms(router);
	tag->fair_order = tags[1]->fair_order + 1.0;
	CU_ASSERT_EQUAL(waiting_expected_ms(tag), 2 * 6000 / SLOTS);
	router_set_host_counts(router, 1, 3);
	CU_ASSERT_EQUAL(waiting_expected_ms(tag), 3 * 2 * 6000 / SLOTS);
	end(tags[0]);
	end(tags[1]);
	end(tag);
	tear_down();
}

/* Pattern: an engine with as many requests as the sheet allows. Guards against
 * one more, whether this host's own ones fill it or those of others. */
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
	end(request);
	tear_down();
}

/* Pattern: all engines cold. Guards P3: no more than this host's units, those
 * counted that may still run there, and nothing at one that nobody answers at.
 */
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
	end(request);
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
		{"full engine", test_full_engine},
		{"cold units", test_cold_units},
		CU_TEST_INFO_NULL};

	return unit_run("waiting", tests);
}
