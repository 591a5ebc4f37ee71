#include "unit.h"

#include "simfleet.h"

/* Checks that each of `count` hosts considers at least `min_live` hosts live.
 */
static void check_live_counts(unsigned count, unsigned min_live)
{
	sim_fleet_t fleet;

	sim_start(&fleet, count);
	sim_run(&fleet, 100);
	for (int i = 0; i < 3; i++) {
		sim_run(&fleet, 5);
		CU_ASSERT(sim_min_live_count(&fleet) >= min_live);
		/* Each host may send 3 KB/s (docs/design.md). */
		CU_ASSERT(fleet.round_bytes * 1000 / GOSSIP_ROUND_MS / count <=
			  3000);
	}
	CU_ASSERT(fleet.max_message_bytes <= GOSSIP_MESSAGE_BYTES);
	sim_stop(&fleet);
}

/* Scenario: fleets of the users' size and of the design size. Guards against
 * hosts that consider others lost because messages contain too few entries:
 * several hosts would then act as the relay of a region. */
static void test_all_hosts_are_live(void)
{
	check_live_counts(78, 78);
	check_live_counts(350, 343); /* 98 percent */
}

/* Scenario: 77 hosts start at the same moment, as after a power failure. Guards
 * against hosts that know too few of the others when peersync no longer assumes
 * a minimum number of hosts: a limit that is divided by too few hosts may be
 * exceeded by half at most. */
static void test_start_together(void)
{
	sim_fleet_t fleet;

	sim_start(&fleet, 77);
	sim_run(&fleet, 3000 / GOSSIP_ROUND_MS + 1);
	CU_ASSERT(sim_min_live_count(&fleet) * 3 / 2 >= 77);
	sim_stop(&fleet);
}

/* Scenario: one host of a large fleet restarts. Guards against a new host that
 * learns of the others too slowly: it can't resolve tags yet, so others must
 * send it full entries. */
static void test_new_host_learns_quickly(void)
{
	sim_fleet_t fleet;

	sim_start(&fleet, 160);
	sim_run(&fleet, 50);
	sim_restart(&fleet, 40, 2);
	sim_run(&fleet, 3000 / GOSSIP_ROUND_MS + 1);
	CU_ASSERT(sim_live_count(&fleet, 40) * 3 / 2 >= 160);
	sim_stop(&fleet);
}

/* Guards against lost hosts that stay live because other hosts keep reporting
 * them to each other. */
static void test_lost_hosts_expire(void)
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
		{"all hosts are live", test_all_hosts_are_live},
		{"start together", test_start_together},
		{"new host learns quickly", test_new_host_learns_quickly},
		{"lost hosts expire", test_lost_hosts_expire},
		CU_TEST_INFO_NULL};

	return unit_run("membership", tests);
}
