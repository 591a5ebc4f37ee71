#include "unit.h"

#include "placing.h"

/* Pattern: calm traffic over many things. Guards against shared parts that are
 * read by several engines: each thing goes to one engine, and all hosts agree,
 * whatever their domain. */
static void test_one_engine_per_thing(void)
{
	endpoint_t *seen[20];

	placing_set_up();
	for (unsigned thing = 0; thing < 20; thing++)
		seen[thing] = must_place(thing, 5000, 6000);
	router->domain = (str_t)STR_LIT("d2");
	router->region = (str_t)STR_LIT("r2");
	for (unsigned thing = 0; thing < 20; thing++)
		CU_ASSERT_PTR_EQUAL(must_place(thing, 5000, 6000), seen[thing]);
	placing_tear_down();
}

/* Pattern: short chats. Guards against a way to another region that saves next
 * to nothing. */
static void test_short_prompts_stay(void)
{
	placing_set_up();
	for (unsigned thing = 0; thing < 40; thing++) {
		endpoint_t *endpoint = must_place(thing, 200, 600);

		CU_ASSERT_STRING_EQUAL(endpoint->domain, "d0");
	}
	placing_tear_down();
}

/* Pattern: long reports beside chats. Guards against chats whose pauses grow
 * while a prompt is read on the same engine. */
static void test_lanes(void)
{
	unsigned express = 0;

	placing_set_up();
	fleet_update_express(router->fleet);
	for (size_t i = 0; i < fleet_count(router->fleet); i++)
		express += fleet_at(router->fleet, i)->express;
	CU_ASSERT_EQUAL(express, DOMAINS);
	for (unsigned thing = 0; thing < 40; thing++) {
		CU_ASSERT_TRUE(must_place(thing, 200, 600)->express);
		CU_ASSERT_FALSE(must_place(thing, 5000, 6000)->express);
	}
	placing_tear_down();
}

/* Pattern: a burst of chats fills the express engines. Guards against chats
 * that wait there for a slot for longer than the charge for running beside
 * prompts, and against lanes that stay as they are in such a load. */
static void test_full_lane(void)
{
	unsigned before = 0, after = 0;

	placing_set_up();
	fleet_update_express(router->fleet);
	router_service_stats(router, (str_t)STR_LIT("model"))->lane_busy_ms[1] =
		2000.0;
	for (size_t i = 0; i < fleet_count(router->fleet); i++) {
		endpoint_t *endpoint = fleet_at(router->fleet, i);

		before += endpoint->express;
		endpoint->total_load.in_flight = endpoint->express ? 80 : 4;
	}
	CU_ASSERT_FALSE(must_place(1, 200, 600)->express);
	for (int i = 0; i < 20; i++) {
		mclock_manual_advance(&clock_now, 250);
		fleet_update_lanes(router->fleet, (str_t)STR_LIT("model"),
				   ROUTER_INITIAL_PREFILL_TOKENS_PER_MS,
				   router_now_ms(router));
	}
	fleet_update_express(router->fleet);
	for (size_t i = 0; i < fleet_count(router->fleet); i++)
		after += fleet_at(router->fleet, i)->express;
	CU_ASSERT_EQUAL(before, DOMAINS);
	CU_ASSERT_EQUAL(after, DOMAINS * 2);
	/* 300 hosts know the loads too late: their lanes stay as at first. */
	CU_ASSERT_FALSE(lanes_follow_load(300));
	fleet_reset_lanes(router->fleet);
	fleet_update_express(router->fleet);
	after = 0;
	for (size_t i = 0; i < fleet_count(router->fleet); i++)
		after += fleet_at(router->fleet, i)->express;
	CU_ASSERT_EQUAL(after, DOMAINS);
	placing_tear_down();
}

/* Pattern: one thing gets much of the traffic. Guards against an engine that
 * reads all the time: what it can't take goes to the next engines in the common
 * ranking, so that few engines read the shared part. */
static void test_hot_thing(void)
{
	endpoint_t *first, *second, *third;

	placing_set_up();
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
	placing_tear_down();
}

/* Pattern: one thing gets much of the traffic, and this host has sent none of
 * it. Guards against a shared part that is read once more although an engine
 * could copy it, and against waiting for a busy engine that others may copy
 * from. */
static void test_copy_of_hot_thing(void)
{
	endpoint_t *home;
	choice_t choice;

	placing_set_up();
	home = must_place(3, 5000, 6000);
	CU_ASSERT_PTR_NULL(choose(3, 5000, 6000).prefix_source);
	note_read(home, 3, 5000);
	choice = choose(3, 5000, 6000);
	CU_ASSERT_PTR_EQUAL(choice.endpoint, home);
	CU_ASSERT_PTR_NULL(choice.prefix_source);
	CU_ASSERT_EQUAL(choice.prefill_tokens, 6000);

	endpoint_count_tokens(home, FULL_TOKENS, START_MS);
	choice = choose(3, 5000, 6000);
	CU_ASSERT_PTR_NOT_EQUAL(choice.endpoint, home);
	CU_ASSERT_PTR_EQUAL(choice.prefix_source, home);
	CU_ASSERT_EQUAL(choice.prefill_tokens, 6000);
	/* Each of two holders is the other's source: it may have given the
	 * part up since. */
	note_read(choice.endpoint, 3, 5000);
	CU_ASSERT_PTR_EQUAL(choose(3, 5000, 6000).prefix_source, home);
	placing_tear_down();
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

	placing_set_up();
	holder = fleet_put(router->fleet, &record, START_MS);
	holder->total_load = (load_t){0, 80000, 64};
	note_read(holder, 3, 5000);
	CU_ASSERT_PTR_EQUAL(choose(3, 5000, 6000).prefix_source, holder);
	breaker_on_fault(&holder->breaker, BREAKER_UNREACHABLE, START_MS);
	CU_ASSERT_PTR_NULL(choose(3, 5000, 6000).prefix_source);
	breaker_on_success(&holder->breaker, START_MS);
	holder->state = ENDPOINT_LEAVING;
	CU_ASSERT_PTR_NULL(choose(3, 5000, 6000).prefix_source);
	record.incarnation = 6;
	holder = fleet_put(router->fleet, &record, START_MS);
	holder->total_load = (load_t){0, 80000, 64};
	CU_ASSERT_PTR_NULL(choose(3, 5000, 6000).prefix_source);
	placing_tear_down();

	copies_parts = false;
	placing_set_up();
	holder = fleet_put(router->fleet, &record, START_MS);
	holder->total_load = (load_t){0, 80000, 64};
	note_read(holder, 3, 5000);
	CU_ASSERT_PTR_NULL(choose(3, 5000, 6000).prefix_source);
	placing_tear_down();
	copies_parts = true;
}

/* Pattern: the same load, sent by other hosts. Guards against a host that sees
 * its own few sends only. */
static void test_load_of_others(void)
{
	endpoint_t *first;

	placing_set_up();
	first = must_place(3, 5000, 6000);
	first->total_load = (load_t){0, 80000, 40};
	CU_ASSERT_PTR_NOT_EQUAL(must_place(3, 5000, 6000), first);
	/* What was told already contains the own part. */
	endpoint_count_tokens(first, 40000, START_MS);
	first->counted_own_load = endpoint_own_load(first, START_MS);
	first->total_load = first->counted_own_load;
	CU_ASSERT_EQUAL(endpoint_load(first, START_MS).tokens_per_s,
			first->counted_own_load.tokens_per_s);
	/* Guards against a burst of this host that hides the load of others:
	 * the sums lag a round behind what it told last. */
	first->total_load.in_flight = 30;
	first->counted_own_load.in_flight = 0;
	first->reported_load.in_flight = first->in_flight = 30;
	CU_ASSERT_EQUAL(endpoint_load(first, START_MS).in_flight, 60);
	placing_tear_down();
}

/* Pattern: an engine fails half of its requests while its health is good. */
static void test_failing_engine(void)
{
	endpoint_t *usual;

	placing_set_up();
	usual = must_place(3, 200, 600);
	for (int i = 0; i < 6; i++) {
		breaker_on_fault(&usual->breaker, BREAKER_REQUEST_FAILED,
				 START_MS);
		breaker_on_success(&usual->breaker, START_MS);
	}
	CU_ASSERT_FALSE(breaker_is_open(&usual->breaker, START_MS));
	CU_ASSERT_PTR_NOT_EQUAL(must_place(3, 200, 600), usual);
	placing_tear_down();
}

/* Guards against a learned speed of zero or a cost that is not a number. */
static void test_costs(void)
{
	balance_rates_t rates = {90.0, 500.0};
	balance_option_t busy = {.prefill_tokens_per_s = 1e9,
				 .service_ms = 45.0};
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

	placing_set_up();
	use_policy("round-robin");
	for (int i = 0; i < 2 * ENGINES; i++) {
		endpoint_t *endpoint = must_place(1, 4000, 100);

		CU_ASSERT_STRING_EQUAL(endpoint->domain, "d0");
		sends[endpoint->id[3] - '0']++;
		endpoint->last_send_seq = ++router->send_count;
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
	first->total_load.in_flight = 9;
	CU_ASSERT_PTR_NOT_EQUAL(must_place(1, 4000, 100), first);

	CU_ASSERT_PTR_NULL(policy_find(STR_LIT("none")));
	CU_ASSERT_PTR_EQUAL(policy_find(STR_LIT("weighed")), policy_default());
	placing_tear_down();
}

/* How many endpoints hosts choose that see the same loads and have sent nothing
 * since, one short request each. */
static unsigned count_chosen(unsigned hosts, unsigned requests)
{
	endpoint_t *chosen[200];
	unsigned count = 0;

	router_set_host_counts(router, hosts / 3, hosts);
	for (unsigned i = 0; i < requests; i++) {
		choice_t choice;
		unsigned at = 0;

		make_request(1, 0, 100);
		request.id_hash = (uint64_t)(i + 1) * 0x9e3779b97f4a7c15ull;
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
	placing_set_up();
	for (int i = ENGINES; i < 100; i++)
		add_engine(0, i, 0);
	CU_ASSERT_EQUAL(count_chosen(78, 200), 1);
	CU_ASSERT(count_chosen(300, 200) > 50);
	placing_tear_down();
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
		{"load of others", test_load_of_others},
		{"failing engine", test_failing_engine},
		{"costs", test_costs},
		{"baselines", test_baselines},
		{"many hosts spread", test_many_hosts_spread},
		CU_TEST_INFO_NULL};

	return unit_run("choose", tests);
}
