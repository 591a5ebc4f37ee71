#include "unit.h"

#include "placing.h"

/* Scenario: light load with many different prefixes. Guards against prefill of
 * the same prefix on several engines: each prefix goes to one engine, and hosts
 * of all domains choose the same one. */
static void test_one_engine_per_prefix(void)
{
	endpoint_t *first_choices[20];

	placing_set_up();
	for (unsigned prefix_id = 0; prefix_id < 20; prefix_id++)
		first_choices[prefix_id] =
			require_endpoint(prefix_id, 5000, 6000);
	router->domain = (str_t)STR_LIT("d2");
	router->region = (str_t)STR_LIT("r2");
	for (unsigned prefix_id = 0; prefix_id < 20; prefix_id++)
		CU_ASSERT_PTR_EQUAL(require_endpoint(prefix_id, 5000, 6000),
				    first_choices[prefix_id]);
	placing_tear_down();
}

/* Scenario: short chats. Guards against sending a request to another region
 * when its cached prefix saves almost no prefill time. */
static void test_short_prompts_stay_local(void)
{
	placing_set_up();
	for (unsigned prefix_id = 0; prefix_id < 40; prefix_id++) {
		endpoint_t *endpoint = require_endpoint(prefix_id, 200, 600);

		CU_ASSERT_STRING_EQUAL(endpoint->domain, "d0");
	}
	placing_tear_down();
}

/* Scenario: long reports together with chats. Guards against chats whose decode
 * steps are delayed by the prefill of a long prompt on the same engine. */
static void test_lanes(void)
{
	unsigned express = 0;

	placing_set_up();
	fleet_update_express(router->fleet);
	for (size_t i = 0; i < fleet_count(router->fleet); i++)
		express += fleet_at(router->fleet, i)->express;
	CU_ASSERT_EQUAL(express, DOMAINS);
	for (unsigned prefix_id = 0; prefix_id < 40; prefix_id++) {
		CU_ASSERT_TRUE(require_endpoint(prefix_id, 200, 600)->express);
		CU_ASSERT_FALSE(
			require_endpoint(prefix_id, 5000, 6000)->express);
	}
	placing_tear_down();
}

/* Scenario: a burst of chats fills the express engines. Guards against chats
 * that wait for a slot there although the charge for an engine of the other
 * lane is lower than the wait, and against lanes that don't follow such a load.
 */
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
	CU_ASSERT_FALSE(require_endpoint(1, 200, 600)->express);
	for (int i = 0; i < 20; i++) {
		mclock_manual_advance(&manual_clock, 250);
		fleet_update_lanes(router->fleet, (str_t)STR_LIT("model"),
				   ROUTER_INITIAL_PREFILL_TOKENS_PER_MS,
				   router_now_ms(router));
	}
	fleet_update_express(router->fleet);
	for (size_t i = 0; i < fleet_count(router->fleet); i++)
		after += fleet_at(router->fleet, i)->express;
	CU_ASSERT_EQUAL(before, DOMAINS);
	CU_ASSERT_EQUAL(after, DOMAINS * 2);
	/* With 300 hosts, loads are reported too late for the lanes to follow
	 * them: the express share stays at its minimum. */
	CU_ASSERT_FALSE(lanes_follow_load(300));
	fleet_reset_lanes(router->fleet);
	fleet_update_express(router->fleet);
	after = 0;
	for (size_t i = 0; i < fleet_count(router->fleet); i++)
		after += fleet_at(router->fleet, i)->express;
	CU_ASSERT_EQUAL(after, DOMAINS);
	placing_tear_down();
}

/* Scenario: much of the traffic has the same prefix. Guards against an engine
 * that is saturated with prefill: the requests that it has no capacity for go
 * to the next engines in the ranking, which is the same on all hosts, so that
 * few engines compute the shared prefix. */
static void test_hot_prefix(void)
{
	endpoint_t *first, *second, *third;

	placing_set_up();
	first = require_endpoint(3, 5000, 6000);
	endpoint_count_tokens(first, FULL_PREFILL_TOKENS, START_MS);
	second = require_endpoint(3, 5000, 6000);
	CU_ASSERT_PTR_NOT_EQUAL(first, second);
	CU_ASSERT_FALSE(second->express);
	endpoint_count_tokens(second, FULL_PREFILL_TOKENS, START_MS);
	third = require_endpoint(3, 5000, 6000);
	CU_ASSERT_PTR_NOT_EQUAL(first, third);
	CU_ASSERT_PTR_NOT_EQUAL(second, third);
	/* When the load ends, the prefix goes to its first engine again. */
	mclock_manual_advance(&manual_clock, 10000);
	CU_ASSERT_PTR_EQUAL(require_endpoint(3, 5000, 6000), first);
	placing_tear_down();
}

/* Scenario: much of the traffic has the same prefix, and all of it is sent by
 * other hosts. Guards against prefill of a shared prefix that the engine could
 * copy from another one, and against waiting for a busy engine when another one
 * may copy from it. */
static void test_copy_of_hot_prefix(void)
{
	endpoint_t *preferred;
	choice_t choice;

	placing_set_up();
	preferred = require_endpoint(3, 5000, 6000);
	CU_ASSERT_PTR_NULL(choose(3, 5000, 6000).prefix_source);
	mark_prefix_cached(preferred, 3, 5000);
	choice = choose(3, 5000, 6000);
	CU_ASSERT_PTR_EQUAL(choice.endpoint, preferred);
	CU_ASSERT_PTR_NULL(choice.prefix_source);
	CU_ASSERT_EQUAL(choice.prefill_tokens, 6000);

	endpoint_count_tokens(preferred, FULL_PREFILL_TOKENS, START_MS);
	choice = choose(3, 5000, 6000);
	CU_ASSERT_PTR_NOT_EQUAL(choice.endpoint, preferred);
	CU_ASSERT_PTR_EQUAL(choice.prefix_source, preferred);
	CU_ASSERT_EQUAL(choice.prefill_tokens, 6000);
	/* Of two engines that have the prefix, each is the copy source of the
	 * other, since either may have evicted it by then. */
	mark_prefix_cached(choice.endpoint, 3, 5000);
	CU_ASSERT_PTR_EQUAL(choose(3, 5000, 6000).prefix_source, preferred);
	placing_tear_down();
}

/* Guards against copying from an engine that is leaving, failing or restarted,
 * and against copying where engines don't support it. */
static void test_no_source(void)
{
	endpoint_record_t record = {.id = STR_LIT("new"),
				    .service = STR_LIT("model"),
				    .address = STR_LIT("127.0.0.1:1"),
				    .domain = STR_LIT("d1"),
				    .slots = 64,
				    .incarnation = 5};
	endpoint_t *source;

	placing_set_up();
	source = fleet_put(router->fleet, &record, START_MS);
	source->total_load = (load_t){0, 80000, 64};
	mark_prefix_cached(source, 3, 5000);
	CU_ASSERT_PTR_EQUAL(choose(3, 5000, 6000).prefix_source, source);
	breaker_on_fault(&source->breaker, BREAKER_UNREACHABLE, START_MS);
	CU_ASSERT_PTR_NULL(choose(3, 5000, 6000).prefix_source);
	breaker_on_success(&source->breaker, START_MS);
	source->state = ENDPOINT_LEAVING;
	CU_ASSERT_PTR_NULL(choose(3, 5000, 6000).prefix_source);
	record.incarnation = 6;
	source = fleet_put(router->fleet, &record, START_MS);
	source->total_load = (load_t){0, 80000, 64};
	CU_ASSERT_PTR_NULL(choose(3, 5000, 6000).prefix_source);
	placing_tear_down();

	engines_copy_kv_cache = false;
	placing_set_up();
	source = fleet_put(router->fleet, &record, START_MS);
	source->total_load = (load_t){0, 80000, 64};
	mark_prefix_cached(source, 3, 5000);
	CU_ASSERT_PTR_NULL(choose(3, 5000, 6000).prefix_source);
	placing_tear_down();
	engines_copy_kv_cache = true;
}

/* Scenario: an engine is loaded by other hosts. Guards against a host that
 * takes only its own sends into account. */
static void test_load_from_other_hosts(void)
{
	endpoint_t *first;

	placing_set_up();
	first = require_endpoint(3, 5000, 6000);
	first->total_load = (load_t){0, 80000, 40};
	CU_ASSERT_PTR_NOT_EQUAL(require_endpoint(3, 5000, 6000), first);
	/* The total load includes the load that this host has reported. */
	endpoint_count_tokens(first, 40000, START_MS);
	first->counted_own_load = endpoint_own_load(first, START_MS);
	first->total_load = first->counted_own_load;
	CU_ASSERT_EQUAL(endpoint_load(first, START_MS).tokens_per_s,
			first->counted_own_load.tokens_per_s);
	/* Guards against a burst of this host that hides the load of others:
	 * the total is a round older than this host's last report. */
	first->total_load.in_flight = 30;
	first->counted_own_load.in_flight = 0;
	first->reported_load.in_flight = first->in_flight = 30;
	CU_ASSERT_EQUAL(endpoint_load(first, START_MS).in_flight, 60);
	placing_tear_down();
}

/* Scenario: an engine fails half of its requests while its circuit breaker
 * stays closed. Guards against choosing it as before. */
static void test_failing_engine(void)
{
	endpoint_t *preferred;

	placing_set_up();
	preferred = require_endpoint(3, 200, 600);
	for (int i = 0; i < 6; i++) {
		breaker_on_fault(&preferred->breaker, BREAKER_REQUEST_FAILED,
				 START_MS);
		breaker_on_success(&preferred->breaker, START_MS);
	}
	CU_ASSERT_FALSE(breaker_is_open(&preferred->breaker, START_MS));
	CU_ASSERT_PTR_NOT_EQUAL(require_endpoint(3, 200, 600), preferred);
	placing_tear_down();
}

/* Guards against a cost that is infinite or not a number, as with a learned
 * speed of zero, and against a wrong order of the costs. */
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

/* Guards the comparison of policies: a baseline must decide by its own measure
 * only, without the other inputs of the default policy. */
static void test_baselines(void)
{
	unsigned sends[ENGINES_PER_DOMAIN] = {0};
	endpoint_t *first;

	placing_set_up();
	use_policy("round-robin");
	for (int i = 0; i < 2 * ENGINES_PER_DOMAIN; i++) {
		endpoint_t *endpoint = require_endpoint(1, 4000, 100);

		CU_ASSERT_STRING_EQUAL(endpoint->domain, "d0");
		sends[endpoint->id[3] - '0']++;
		endpoint->last_send_seq = ++router->send_count;
	}
	for (int i = 0; i < ENGINES_PER_DOMAIN; i++)
		CU_ASSERT_EQUAL(sends[i], 2);

	use_policy("fewest-in-flight");
	first = require_endpoint(1, 4000, 100);
	first->in_flight = 1;
	CU_ASSERT_PTR_NOT_EQUAL(require_endpoint(1, 4000, 100), first);

	use_policy("least-reported");
	first = require_endpoint(1, 4000, 100);
	first->in_flight = 9; /* not reported yet */
	CU_ASSERT_PTR_EQUAL(require_endpoint(1, 4000, 100), first);
	first->total_load.in_flight = 9;
	CU_ASSERT_PTR_NOT_EQUAL(require_endpoint(1, 4000, 100), first);

	CU_ASSERT_PTR_NULL(policy_find(STR_LIT("none")));
	CU_ASSERT_PTR_EQUAL(policy_find(STR_LIT("weighed")), policy_default());
	placing_tear_down();
}

/* RETURN VALUE: how many different endpoints are chosen for `requests` short
 * requests, while the loads stay the same and no request is sent, as on hosts
 * that all decide by the same reports. */
static unsigned count_distinct_choices(unsigned hosts, unsigned requests)
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

/* Scenario: 300 hosts decide by the same loads, which are a second old. Guards
 * against all of them sending to the same engine until the reports show it. */
static void test_many_hosts_spread(void)
{
	placing_set_up();
	for (int i = ENGINES_PER_DOMAIN; i < 100; i++)
		add_engine(0, i, 0);
	CU_ASSERT_EQUAL(count_distinct_choices(78, 200), 1);
	CU_ASSERT(count_distinct_choices(300, 200) > 50);
	placing_tear_down();
}

int main(void)
{
	CU_TestInfo tests[] = {
		{"one engine per prefix", test_one_engine_per_prefix},
		{"short prompts stay local", test_short_prompts_stay_local},
		{"lanes", test_lanes},
		{"full lane", test_full_lane},
		{"hot prefix", test_hot_prefix},
		{"copy of hot prefix", test_copy_of_hot_prefix},
		{"no source", test_no_source},
		{"load from other hosts", test_load_from_other_hosts},
		{"failing engine", test_failing_engine},
		{"costs", test_costs},
		{"baselines", test_baselines},
		{"many hosts spread", test_many_hosts_spread},
		CU_TEST_INFO_NULL};

	return unit_run("choose", tests);
}
