#include "unit.h"

#include "coordination/readers.h"
#include "simfleet.h"

/* Number of rounds in `ms`, rounded up. */
#define ROUNDS(ms) (((ms) + GOSSIP_ROUND_MS - 1) / GOSSIP_ROUND_MS)
#define STEADY_READERS (SIM_DOMAINS * READERS_PER_DOMAIN)
/* Time in which a change reaches all hosts when nothing fails. */
#define MAX_PROPAGATION_MS 1000
/* Hosts that may call the service while it doesn't answer some of them. */
#define MAX_SERVICE_CALLERS \
	(SIM_DOMAINS * (READERS_PER_DOMAIN + READERS_MAX_FAILING))

static void start_reading(sim_fleet_t *fleet, unsigned count)
{
	sim_start(fleet, count);
	fleet->reads_service = true;
	sim_run(fleet, ROUNDS(20000));
}

/* Changes the service's records; all running hosts must have the change within
 * `ms`. */
static void expect_change_within(sim_fleet_t *fleet, int64_t ms)
{
	fleet->revision++;
	sim_run(fleet, (unsigned)ROUNDS(ms));
	CU_ASSERT_EQUAL(sim_lagging_count(fleet), 0);
}

/* Scenario: fleets of 30, 100 and 300 hosts without failures. Guards against a
 * number of calls to the service that grows with the fleet, and against changes
 * that reach hosts late. */
static void test_few_readers(void)
{
	const unsigned counts[] = {30, 100, 300};

	for (int i = 0; i < 3; i++) {
		sim_fleet_t fleet;

		start_reading(&fleet, counts[i]);
		CU_ASSERT_EQUAL(sim_reader_count(&fleet), STEADY_READERS);
		CU_ASSERT_EQUAL(fleet.service_callers, STEADY_READERS);
		expect_change_within(&fleet, MAX_PROPAGATION_MS);
		sim_stop(&fleet);
	}
}

/* Scenario: all hosts start at the same moment, as after a power failure.
 * Guards against every host calling the service because it doesn't know the
 * others yet. */
static void test_start_together(void)
{
	sim_fleet_t fleet;
	unsigned max_callers = 0;

	sim_start(&fleet, 300);
	fleet.reads_service = true;
	for (unsigned round = 0; round < ROUNDS(15000); round++) {
		sim_run(&fleet, 1);
		if (fleet.service_callers > max_callers)
			max_callers = fleet.service_callers;
	}
	CU_ASSERT(max_callers <= fleet.host_count / 3);
	CU_ASSERT_EQUAL(sim_reader_count(&fleet), STEADY_READERS);
	sim_stop(&fleet);
}

/* Scenario: only the two hosts of one domain run, as in a small fleet. Guards
 * against a change right after the start that is delayed by waiting for hosts
 * that don't exist: a new key took effect only after more than 2 s (seen in
 * tests/session/test_hosts.sh on a loaded machine). */
static void test_single_domain(void)
{
	for (unsigned domain = 0; domain < SIM_DOMAINS; domain++) {
		sim_fleet_t fleet;

		sim_start(&fleet, 2 * SIM_DOMAINS);
		fleet.reads_service = true;
		for (unsigned i = 0; i < fleet.host_count; i++)
			fleet.hosts[i].down = i % SIM_DOMAINS != domain;
		sim_run(&fleet, 1);
		fleet.revision++;
		sim_run(&fleet,
			ROUNDS(READERS_ALONE_DELAY_MS - GOSSIP_ROUND_MS));
		CU_ASSERT_EQUAL(sim_lagging_count(&fleet), 0);
		sim_stop(&fleet);
	}
}

static void kill_readers(sim_fleet_t *fleet)
{
	for (unsigned i = 0; i < fleet->host_count; i++)
		if (fleet->hosts[i].service != GOSSIP_SERVICE_UNUSED)
			fleet->hosts[i].down = true;
}

/* Scenario: the readers of all domains are killed at once. Guards against hosts
 * that go on waiting for them. */
static void test_readers_killed(void)
{
	sim_fleet_t fleet;

	start_reading(&fleet, 78);
	kill_readers(&fleet);
	expect_change_within(&fleet,
			     READERS_SILENCE_TIMEOUT_MS + MAX_PROPAGATION_MS);
	CU_ASSERT(sim_reader_count(&fleet) >= SIM_DOMAINS);
	CU_ASSERT(fleet.service_callers <= MAX_SERVICE_CALLERS);
	sim_stop(&fleet);
}

/* Scenario: the readers of one domain are killed. Guards against hosts that
 * wait for them although the other domains have every change. */
static void test_readers_of_one_domain_killed(void)
{
	sim_fleet_t fleet;

	start_reading(&fleet, 78);
	for (unsigned i = 0; i < fleet.host_count; i += SIM_DOMAINS)
		if (fleet.hosts[i].service != GOSSIP_SERVICE_UNUSED)
			fleet.hosts[i].down = true;
	expect_change_within(&fleet, 2 * MAX_PROPAGATION_MS);
	sim_stop(&fleet);
}

/* Scenario: the service refuses half of the hosts, the readers among them.
 * Guards against hosts that it would answer but that don't take over as
 * readers, and against all hosts calling it. */
static void test_half_refused(void)
{
	sim_fleet_t fleet;

	start_reading(&fleet, 78);
	for (unsigned i = 0; i < fleet.host_count; i++)
		fleet.hosts[i].refused =
			(i / SIM_DOMAINS) % 2 ||
			fleet.hosts[i].service != GOSSIP_SERVICE_UNUSED;
	expect_change_within(&fleet, 3 * MAX_PROPAGATION_MS);
	CU_ASSERT(fleet.service_callers <= MAX_SERVICE_CALLERS);
	expect_change_within(&fleet, 2 * MAX_PROPAGATION_MS);
	sim_stop(&fleet);
}

/* Scenario: the service is unavailable for a while. Guards against all hosts
 * calling it meanwhile, and against a recovery that no host notices. */
static void test_service_unavailable(void)
{
	sim_fleet_t fleet;

	start_reading(&fleet, 300);
	fleet.service_down = true;
	fleet.revision++;
	for (unsigned round = 0; round < ROUNDS(8000); round++) {
		sim_run(&fleet, 1);
		CU_ASSERT(fleet.service_callers <= MAX_SERVICE_CALLERS);
	}
	CU_ASSERT_EQUAL(sim_lagging_count(&fleet), fleet.host_count);
	fleet.service_down = false;
	sim_run(&fleet, ROUNDS(2 * MAX_PROPAGATION_MS));
	CU_ASSERT_EQUAL(sim_lagging_count(&fleet), 0);
	sim_run(&fleet, ROUNDS(5000));
	CU_ASSERT_EQUAL(fleet.service_callers, STEADY_READERS);
	sim_stop(&fleet);
}

/* Scenario: a network partition between a domain and the others, between a
 * domain and the service, or between a host and all others. Guards against
 * hosts on either side that don't get changes. */
static void test_partitions(void)
{
	sim_fleet_t fleet;

	start_reading(&fleet, 78);
	fleet.partitioned_domain = 2;
	expect_change_within(&fleet, MAX_PROPAGATION_MS);
	sim_run(&fleet, ROUNDS(20000));
	expect_change_within(&fleet, MAX_PROPAGATION_MS);
	fleet.partitioned_domain = SIM_NO_DOMAIN;
	sim_run(&fleet, ROUNDS(20000));
	CU_ASSERT_EQUAL(sim_reader_count(&fleet), STEADY_READERS);

	for (unsigned i = 3; i < fleet.host_count; i += SIM_DOMAINS)
		fleet.hosts[i].refused = true;
	expect_change_within(&fleet, 2 * MAX_PROPAGATION_MS);

	fleet.hosts[41].isolated = true;
	expect_change_within(&fleet,
			     READERS_SILENCE_TIMEOUT_MS + MAX_PROPAGATION_MS);
	sim_stop(&fleet);
}

/* Scenario: a host is frozen for 20 s, during which many records change. Guards
 * against a host that keeps using its old records. */
static void test_frozen_host_wakes(void)
{
	sim_fleet_t fleet;

	start_reading(&fleet, 78);
	fleet.hosts[17].down = true;
	fleet.revision += 100;
	sim_run(&fleet, ROUNDS(20000));
	fleet.hosts[17].down = false;
	sim_run(&fleet, ROUNDS(2 * MAX_PROPAGATION_MS));
	CU_ASSERT_EQUAL(sim_lagging_count(&fleet), 0);
	sim_stop(&fleet);
}

/* Scenario: hosts are restarted one after the other, as in a rolling upgrade.
 * Guards against hosts that wait for a reader that has just started and doesn't
 * read the service yet. */
static void test_rolling_restart(void)
{
	sim_fleet_t fleet;

	start_reading(&fleet, 78);
	for (unsigned i = 0; i < fleet.host_count; i += 2) {
		sim_restart(&fleet, i, 2);
		fleet.revision++;
		sim_run(&fleet, ROUNDS(2 * MAX_PROPAGATION_MS));
		CU_ASSERT(sim_lagging_count(&fleet) <= fleet.host_count / 10);
	}
	sim_run(&fleet, ROUNDS(5000));
	CU_ASSERT_EQUAL(sim_lagging_count(&fleet), 0);
	CU_ASSERT_EQUAL(sim_reader_count(&fleet), STEADY_READERS);
	sim_stop(&fleet);
}

int main(void)
{
	CU_TestInfo tests[] = {
		{"few readers", test_few_readers},
		{"start together", test_start_together},
		{"single domain", test_single_domain},
		{"readers killed", test_readers_killed},
		{"readers of one domain killed",
		 test_readers_of_one_domain_killed},
		{"half refused", test_half_refused},
		{"service unavailable", test_service_unavailable},
		{"partitions", test_partitions},
		{"frozen host wakes", test_frozen_host_wakes},
		{"rolling restart", test_rolling_restart},
		CU_TEST_INFO_NULL};

	return unit_run("readers", tests);
}
