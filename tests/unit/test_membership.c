#include "unit.h"

#include "simfleet.h"

static void expect_seen(unsigned count, unsigned least)
{
	sim_fleet_t fleet;

	sim_start(&fleet, count);
	sim_run(&fleet, 100);
	for (int i = 0; i < 3; i++) {
		sim_run(&fleet, 5);
		CU_ASSERT(sim_min_live_count(&fleet) >= least);
		/* Each host may send 3 KB/s (docs/design.md). */
		CU_ASSERT(fleet.round_bytes * 1000 / GOSSIP_ROUND_MS / count <=
			  3000);
	}
	CU_ASSERT(fleet.max_message_bytes <= GOSSIP_MESSAGE_BYTES);
	sim_stop(&fleet);
}

/* Pattern: the design size, and the users' one. Guards against hosts that take
 * each other for gone since messages carry too few of the others: several then
 * take themselves for the relay of a region. */
static void test_all_are_seen(void)
{
	expect_seen(78, 78);
	expect_seen(350, 343); /* 98 of 100 */
}

/* Pattern: 77 hosts start at the same moment, as after a loss of power. Once
 * the minimum is not assumed any more (peersync), a limit that is divided by
 * fewer hosts may be exceeded by half. */
static void test_start_is_quick(void)
{
	sim_fleet_t fleet;

	sim_start(&fleet, 77);
	sim_run(&fleet, 3000 / GOSSIP_ROUND_MS + 1);
	CU_ASSERT(sim_min_live_count(&fleet) * 3 / 2 >= 77);
	sim_stop(&fleet);
}

/* Pattern: a host that starts anew among many. It is told of the others in
 * full, since their tags say nothing to it yet. */
static void test_newcomer_learns_quickly(void)
{
	sim_fleet_t fleet;

	sim_start(&fleet, 160);
	sim_run(&fleet, 50);
	sim_restart(&fleet, 40, 2);
	sim_run(&fleet, 3000 / GOSSIP_ROUND_MS + 1);
	CU_ASSERT(sim_live_count(&fleet, 40) * 3 / 2 >= 160);
	sim_stop(&fleet);
}

/* Guards against hosts that stay in the table by each other's hearsay. */
static void test_the_lost_are_seen(void)
{
	sim_fleet_t fleet;

	sim_start(&fleet, 78);
	sim_run(&fleet, 50);
	for (unsigned i = 0; i < fleet.host_count; i += SIM_DOMAINS)
		fleet.hosts[i].down = true;
	sim_run(&fleet, GOSSIP_LIVE_MS / GOSSIP_ROUND_MS + 2);
	CU_ASSERT_EQUAL(sim_live_count(&fleet, 1), 78 - 78 / SIM_DOMAINS);
	CU_ASSERT_EQUAL(sim_min_live_count(&fleet), 78 - 78 / SIM_DOMAINS);
	sim_stop(&fleet);
}

int main(void)
{
	CU_TestInfo tests[] = {
		{"all are seen", test_all_are_seen},
		{"a start is quick", test_start_is_quick},
		{"a newcomer learns quickly", test_newcomer_learns_quickly},
		{"the lost are seen", test_the_lost_are_seen},
		CU_TEST_INFO_NULL};

	return unit_run("membership", tests);
}
