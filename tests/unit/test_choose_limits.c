#include "unit.h"

#include <stdio.h>

#include "placing.h"
#include "request/limits.h"
#include "simfleet.h"

#define SHORT_PROMPT 200, 600
#define LONG_PROMPT 5000, 6000

/* The engine states a limit in a response, and this host gets `units`. */
static void limit_engine(endpoint_t *engine, double per_s, unsigned units)
{
	reply_t reply = {.status = 200,
			 .stamped = true,
			 .names_limit = true,
			 .limit_per_s = per_s};
	ratelimit_t *limit;

	limits_apply(router, engine, &reply, false, 0);
	limit = &fleet_notice(router->fleet, engine)->limit;
	limit->all_units = 3;
	limit->units = units;
}

/* All engines state a limit, and this host gets `units` of each. */
static void limit_all(double per_s, unsigned units)
{
	for (size_t i = 0; i < fleet_count(router->fleet); i++)
		limit_engine(fleet_at(router->fleet, i), per_s, units);
	/* Each change of a limit computes all units. */
	for (size_t i = 0; i < fleet_count(router->fleet); i++)
		limit_engine(fleet_at(router->fleet, i), per_s, units);
}

/* The engine answers a request sent now, and states no limit. */
static void end_limit(endpoint_t *engine)
{
	reply_t reply = {.status = 200, .stamped = true};

	limits_apply(router, engine, &reply, true, router_now_ms(router));
}

/* Scenario: the engine that has a prompt's prefix cached, and is the closest,
 * states a limit. Guards against affinity that draws requests to it (LIMIT),
 * and against requests that wait for it although others are free. */
static void test_affinity_yields(void)
{
	endpoint_t *preferred, *other;

	placing_set_up();
	preferred = require_endpoint(3, LONG_PROMPT);
	mark_prefix_cached(preferred, 3, 5000);
	CU_ASSERT_PTR_EQUAL(require_endpoint(3, LONG_PROMPT), preferred);
	limit_engine(preferred, 1.0, 0);
	other = require_endpoint(3, LONG_PROMPT);
	CU_ASSERT_PTR_NOT_EQUAL(other, preferred);
	/* All requests with the prefix go to the same engine now. */
	for (int i = 0; i < 10; i++)
		CU_ASSERT_PTR_EQUAL(require_endpoint(3, LONG_PROMPT), other);
	/* It counts as the first in rank, which keeps the prefix cached. */
	CU_ASSERT_EQUAL(choose(3, LONG_PROMPT).prefill_tokens, 6000);
	mclock_manual_advance(&manual_clock, 100);
	end_limit(preferred);
	CU_ASSERT_PTR_EQUAL(require_endpoint(3, LONG_PROMPT), preferred);
	placing_tear_down();
}

/* Guards against copies of cached prefixes from an engine that limits its
 * requests: they are work for it that its limit doesn't count (LIMIT). */
static void test_no_copies_from_limited(void)
{
	endpoint_t *preferred;
	choice_t choice;

	placing_set_up();
	preferred = require_endpoint(3, LONG_PROMPT);
	mark_prefix_cached(preferred, 3, 5000);
	limit_engine(preferred, 1.0, 0);
	choice = choose(3, LONG_PROMPT);
	CU_ASSERT_PTR_NOT_EQUAL(choice.endpoint, preferred);
	CU_ASSERT_PTR_NULL(choice.prefix_source);
	placing_tear_down();
}

/* Scenario: the express engine of each domain states a limit. Guards against
 * urgent chats without an engine that is free of long prompts, and against a
 * domain whose only other engine gets no long prompts. */
static void test_express_lane_moves(void)
{
	unsigned express = 0;

	placing_set_up();
	fleet_update_express(router->fleet);
	for (size_t i = 0; i < fleet_count(router->fleet); i++)
		if (fleet_at(router->fleet, i)->express)
			limit_engine(fleet_at(router->fleet, i), 1.0, 0);
	for (unsigned prefix_id = 0; prefix_id < 20; prefix_id++) {
		CU_ASSERT_TRUE(
			require_endpoint(prefix_id, SHORT_PROMPT)->express);
		CU_ASSERT_FALSE(
			require_endpoint(prefix_id, LONG_PROMPT)->express);
	}
	for (size_t i = 0; i < fleet_count(router->fleet); i++) {
		const endpoint_t *engine = fleet_at(router->fleet, i);

		express += engine->express;
		CU_ASSERT_FALSE(engine->express &&
				endpoint_limit_per_s(engine) > 0.0);
	}
	CU_ASSERT_EQUAL(express, DOMAINS);
	placing_tear_down();
}

/* Scenario: all engines state a limit, and this host has used its units. Guards
 * against requests that are held although they can't be served soon, and
 * against a retry time that ignores when the host may send again. */
static void test_all_limited(void)
{
	choice_t choice;
	const request_t *held;

	placing_set_up();
	limit_all(1.0, 1);
	for (size_t i = 0; i < fleet_count(router->fleet); i++) {
		CU_ASSERT_EQUAL(choose(1, SHORT_PROMPT).rate_limited, false);
		sendring_add(&require_endpoint(1, SHORT_PROMPT)->sends,
			     START_MS);
	}
	held = make_request(1, SHORT_PROMPT);
	CU_ASSERT_EQUAL(choose_endpoint(held, &choice), CHOOSE_LATER);
	CU_ASSERT_TRUE(choice.rate_limited);
	CU_ASSERT_EQUAL(choice.paused_until_ms, START_MS + 3000);
	mclock_manual_advance(&manual_clock, 3000);
	CU_ASSERT_EQUAL(choose_endpoint(held, &choice), CHOOSE_OK);
	/* A host without a unit doesn't know when it may send. */
	limit_all(1.0, 0);
	CU_ASSERT_EQUAL(choose_endpoint(held, &choice), CHOOSE_LATER);
	CU_ASSERT_TRUE(choice.rate_limited);
	CU_ASSERT_TRUE(choice.paused_until_ms > router_now_ms(router));
	/* An engine at another limit may be free at any moment. */
	fleet_at(router->fleet, 0)->channel_count = 10000;
	mclock_manual_advance(&manual_clock, 1);
	end_limit(fleet_at(router->fleet, 0));
	for (size_t i = 1; i < fleet_count(router->fleet); i++)
		limit_engine(fleet_at(router->fleet, i), 1.0, 0);
	CU_ASSERT_EQUAL(choose_endpoint(held, &choice), CHOOSE_LATER);
	CU_ASSERT_FALSE(choice.rate_limited);
	CU_ASSERT_EQUAL(choice.paused_until_ms, 0);
	placing_tear_down();
}

/* Scenario: a limited engine's record lapses and returns, or the engine
 * restarts at the same address. Guards against forgetting the limit of a
 * process, and against applying it to its successor (LIMIT). */
static void test_restarted_engine(void)
{
	endpoint_record_t record = {.id = STR_LIT("e0-0"),
				    .service = STR_LIT("model"),
				    .address = STR_LIT("127.0.0.1:1"),
				    .domain = STR_LIT("d0"),
				    .slots = 64,
				    .incarnation = 1};
	endpoint_t *engine;

	placing_set_up();
	engine = fleet_put(router->fleet, &record, START_MS);
	limit_engine(engine, 2.0, 1);
	fleet_remove_now(router->fleet, record.id);
	engine = fleet_put(router->fleet, &record, START_MS);
	CU_ASSERT_DOUBLE_EQUAL(endpoint_limit_per_s(engine), 2.0, 1e-9);
	record.incarnation = 2;
	engine = fleet_put(router->fleet, &record, START_MS);
	CU_ASSERT_DOUBLE_EQUAL(endpoint_limit_per_s(engine), 0.0, 1e-9);
	placing_tear_down();
}

/* Guards against responses that end a limit although they don't come from the
 * endpoint, or not in answer to this request. */
static void test_untrusted_responses(void)
{
	reply_t refused = {.status = 503, .not_run = true};
	reply_t unstamped = {.status = 500};
	reply_t misdirected = {.status = 421,
			       .misdirected = true,
			       .names_limit = true,
			       .limit_per_s = 9.0};
	reply_t odd = {.status = 200,
		       .stamped = true,
		       .names_limit = true,
		       .limit_per_s = -1.0};
	reply_t sound = {.status = 200, .stamped = true};
	endpoint_t *engine;
	int64_t sent_ms;

	placing_set_up();
	engine = fleet_at(router->fleet, 0);
	limit_engine(engine, 2.0, 1);
	sent_ms = START_MS + 1;
	limits_apply(router, engine, &refused, true, sent_ms);
	limits_apply(router, engine, &unstamped, true, sent_ms);
	limits_apply(router, engine, &misdirected, true, sent_ms);
	limits_apply(router, engine, &odd, true, sent_ms);
	limits_apply(router, engine, &sound, false, sent_ms);
	limits_apply(router, engine, &sound, true, START_MS);
	CU_ASSERT_DOUBLE_EQUAL(endpoint_limit_per_s(engine), 2.0, 1e-9);
	limits_apply(router, engine, &sound, true, sent_ms);
	CU_ASSERT_DOUBLE_EQUAL(endpoint_limit_per_s(engine), 0.0, 1e-9);
	placing_tear_down();
}

static sim_fleet_t fleet;

/* Lets the fleet exchange gossip; the router's clock follows. */
static void run_sim(unsigned rounds)
{
	sim_run(&fleet, rounds);
	mclock_manual_advance(&manual_clock,
			      fleet.now_ms - router_now_ms(router));
}

/* RETURN VALUE: the units of the engine that host `index` of the simulated
 * fleet computes; the router stands for each host in turn. */
static unsigned units_of(unsigned index, const endpoint_t *engine)
{
	router->gossip = fleet.hosts[index].gossip;
	limits_update_units(router);
	router->gossip = NULL;
	return limits_get(engine)->units;
}

static unsigned sum_units(const endpoint_t *engine)
{
	unsigned sum = 0;

	for (unsigned i = 0; i < fleet.host_count; i++)
		if (!fleet.hosts[i].down)
			sum += units_of(i, engine);
	return sum;
}

static endpoint_t *add_sim_engine(int index, const char *domain)
{
	char id[16];
	endpoint_record_t record = {.service = STR_LIT("model"),
				    .address = STR_LIT("127.0.0.1:1"),
				    .domain = str_from(domain),
				    .slots = 64};

	snprintf(id, sizeof(id), "sim-%d", index);
	record.id = str_from(id);
	return fleet_put(router->fleet, &record, START_MS);
}

static void start_sim(unsigned hosts)
{
	placing_set_up();
	sim_start(&fleet, hosts);
	fleet.now_ms = START_MS;
	run_sim(60);
}

static void stop_sim(void)
{
	sim_stop(&fleet);
	placing_tear_down();
}

/* Scenario: 300 hosts in six domains, and an engine that accepts one request a
 * second. Guards against units that two hosts have or that no host has (LIMIT),
 * and against units of hosts that never choose the engine, since it is in
 * another domain. */
static void check_units(unsigned hosts)
{
	start_sim(hosts);
	for (int i = 0; i < 20; i++) {
		endpoint_t *engine = add_sim_engine(i, "domain-2");
		unsigned in_domain = 0;

		limit_engine(engine, i < 10 ? 1.0 : 0.2, 0);
		for (unsigned host = 2; host < hosts; host += SIM_DOMAINS)
			in_domain += units_of(host, engine);
		CU_ASSERT_EQUAL(in_domain, limits_get(engine)->all_units);
		CU_ASSERT_EQUAL(sum_units(engine), in_domain);
	}
	stop_sim();
}

static void test_units_of_fleet(void)
{
	check_units(12);
	check_units(300);
}

/* Scenario: hosts can't reach each other for 20 s, or are gone, or restart with
 * an empty table. Guards against two sides that each take all units (LIMIT). */
static void test_units_under_disagreement(void)
{
	endpoint_t *engine;
	unsigned all;

	start_sim(12);
	engine = add_sim_engine(0, "domain-1");
	limit_engine(engine, 1.0, 0);
	all = sum_units(engine);
	CU_ASSERT_EQUAL(all, 3);
	fleet.hosts[1].isolated = true;
	run_sim(20);
	limit_engine(engine, 1.0, 0);
	CU_ASSERT_EQUAL(sum_units(engine), all);
	fleet.hosts[1].isolated = false;
	run_sim(20);
	sim_restart(&fleet, 7, 2);
	router->started_ms = fleet.now_ms;
	limit_engine(engine, 1.0, 0);
	CU_ASSERT_EQUAL(units_of(7, engine), 0);
	run_sim(LIMITS_QUARANTINE_MS / GOSSIP_ROUND_MS + 1);
	limit_engine(engine, 1.0, 0);
	CU_ASSERT_EQUAL(sum_units(engine), all);
	stop_sim();
}

/* Scenario: the hosts of the engine's domain are gone, or there is none. Guards
 * against units that nobody uses, so that the end of the limit is not noticed.
 */
static void test_units_without_domain_hosts(void)
{
	endpoint_t *engine, *elsewhere;
	unsigned used = 0;

	start_sim(12);
	elsewhere = add_sim_engine(0, "elsewhere");
	limit_engine(elsewhere, 1.0, 0);
	CU_ASSERT_EQUAL(sum_units(elsewhere), 3);
	engine = add_sim_engine(1, "domain-1");
	limit_engine(engine, 1.0, 0);
	fleet.hosts[1].down = true;
	fleet.hosts[7].down = true;
	CU_ASSERT_EQUAL(sum_units(engine), 0);
	for (int term = 0; term < 4; term++) {
		run_sim(RATELIMIT_TERM_MS / GOSSIP_ROUND_MS);
		used += sum_units(engine);
		CU_ASSERT_TRUE(sum_units(engine) <= 3);
	}
	CU_ASSERT_TRUE(used > 0);
	stop_sim();
}

int main(void)
{
	CU_TestInfo tests[] = {
		{"affinity yields", test_affinity_yields},
		{"no copies from limited engines", test_no_copies_from_limited},
		{"express lane moves", test_express_lane_moves},
		{"all limited", test_all_limited},
		{"restarted engine", test_restarted_engine},
		{"untrusted responses", test_untrusted_responses},
		{"units of a fleet", test_units_of_fleet},
		{"units under disagreement", test_units_under_disagreement},
		{"units without hosts of the domain",
		 test_units_without_domain_hosts},
		CU_TEST_INFO_NULL};

	return unit_run("choose_limits", tests);
}
