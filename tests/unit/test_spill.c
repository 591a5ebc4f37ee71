#include "unit.h"

#include <string.h>

#include "coordination/balance.h"
#include "coordination/spill.h"

/*
 * Three regions in a simulation without a network. Each host places requests by
 * balance.h, and sees the requests of other hosts 100 to 200 ms late. A request
 * beyond an endpoint's slots waits there.
 */
#define REGIONS 3
#define ENDPOINTS_PER_REGION 20
#define ENDPOINTS (REGIONS * ENDPOINTS_PER_REGION)
#define HOSTS 60
#define SLOTS 16
#define SERVICE_MS 45.0
#define WORK_MS 400
#define STEP_MS 5
#define ROUND_STEPS 20 /* of the exchange of loads */
#define NEWS_STEPS 20  /* until loads arrive */
#define UPDATE_STEPS 50
#define WINDOW_STEPS 40 /* for which the spilled part is noted */
#define HISTORY_STEPS 64
#define MAX_RUNNING 8192

typedef struct running {
	unsigned endpoint, host, end_step;
} running_t;

/* Requests at each endpoint, of all hosts and of each. */
typedef struct loads {
	unsigned total[ENDPOINTS];
	unsigned own[HOSTS][ENDPOINTS];
} loads_t;

static struct {
	running_t running[MAX_RUNNING];
	unsigned running_count;
	loads_t loads, history[HISTORY_STEPS];
	spill_t spills[HOSTS];
	double demand[REGIONS]; /* as a part of the region's slots */
	unsigned step;
	bool spills_by_share;
	bool loads_are_lost;
	/* Of region 0. */
	unsigned sent, spilled, window_sent, window_spilled;
	double highest_window, wait_ms;
} sim;

static uint64_t next_hash(void)
{
	static uint64_t state = 1;
	uint64_t x = state += 0x9e3779b97f4a7c15ull;

	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ull;
	x = (x ^ (x >> 27)) * 0x94d049bb133111ebull;
	return x ^ (x >> 31);
}

static double next_fraction(void)
{
	return (double)(next_hash() >> 11) * 0x1p-53;
}

static unsigned region_of(unsigned endpoint)
{
	return endpoint / ENDPOINTS_PER_REGION;
}

static const loads_t *known_loads(void)
{
	unsigned round = sim.step / ROUND_STEPS * ROUND_STEPS;

	return &sim.history[(round + HISTORY_STEPS - NEWS_STEPS) %
			    HISTORY_STEPS];
}

/* The host's own requests are known at once. */
static unsigned seen_in_flight(unsigned host, unsigned endpoint)
{
	const loads_t *known = known_loads();

	if (sim.loads_are_lost)
		return sim.loads.own[host][endpoint];
	return known->total[endpoint] - known->own[host][endpoint] +
	       sim.loads.own[host][endpoint];
}

static double cost_of(unsigned host, unsigned endpoint, uint64_t hash)
{
	bool is_home = region_of(endpoint) == host % REGIONS;
	balance_option_t option = {.distance = is_home ? BALANCE_SAME_DOMAIN :
							 BALANCE_OTHER_REGION,
				   .in_flight = seen_in_flight(host, endpoint),
				   .slots = SLOTS,
				   .service_ms = SERVICE_MS,
				   .busy_ms = WORK_MS};
	balance_rates_t rates = {.prefill_tokens_per_ms = 90.0};
	double cost = balance_cost(&option, &rates);

	if (!is_home && sim.spills_by_share)
		cost -= spill_link_discount_ms(&sim.spills[host], hash);
	return cost;
}

static unsigned choose(unsigned host, uint64_t hash)
{
	double share = sim.spills_by_share ?
			       spill_sample_share(&sim.spills[host]) :
			       1.0;
	unsigned best = ENDPOINTS;
	double best_cost = 0.0;

	for (unsigned i = 0; i < ENDPOINTS; i++) {
		double cost;

		if (share < 1.0 && next_fraction() >= share)
			continue;
		cost = cost_of(host, i, hash);
		if (best == ENDPOINTS || cost < best_cost) {
			best = i;
			best_cost = cost;
		}
	}
	return best < ENDPOINTS ? best : host % REGIONS * ENDPOINTS_PER_REGION;
}

static void count(unsigned endpoint, double wait_ms)
{
	sim.sent++;
	sim.window_sent++;
	sim.wait_ms += wait_ms;
	if (region_of(endpoint)) {
		sim.spilled++;
		sim.window_spilled++;
	}
}

static void place(unsigned host)
{
	unsigned endpoint = choose(host, next_hash());
	unsigned in_flight = sim.loads.total[endpoint];
	double wait_ms =
		in_flight >= SLOTS ?
			(double)WORK_MS * (in_flight - SLOTS + 1) / SLOTS :
			0.0;
	double ms = WORK_MS * (0.5 + next_fraction()) + wait_ms;

	CU_ASSERT_FATAL(sim.running_count < MAX_RUNNING);
	sim.running[sim.running_count++] = (running_t){
		endpoint, host, sim.step + (unsigned)(ms / STEP_MS)};
	sim.loads.total[endpoint]++;
	sim.loads.own[host][endpoint]++;
	if (host % REGIONS == 0)
		count(endpoint, wait_ms);
}

static void end_requests(void)
{
	for (unsigned i = sim.running_count; i-- > 0;) {
		running_t *running = &sim.running[i];

		if (running->end_step > sim.step)
			continue;
		sim.loads.total[running->endpoint]--;
		sim.loads.own[running->host][running->endpoint]--;
		*running = sim.running[--sim.running_count];
	}
}

static void update_spill(unsigned host)
{
	spill_room_t own = {0}, others = {0};

	for (unsigned i = 0; i < ENDPOINTS; i++) {
		spill_room_t *room =
			region_of(i) == host % REGIONS ? &own : &others;

		room->slots += SLOTS;
		room->used += seen_in_flight(host, i);
		room->endpoints++;
	}
	spill_update(&sim.spills[host], &own, &others,
		     (int64_t)sim.step * STEP_MS);
}

static void end_window(void)
{
	double part = sim.window_sent ?
			      (double)sim.window_spilled / sim.window_sent :
			      0.0;

	if (part > sim.highest_window)
		sim.highest_window = part;
	sim.window_sent = sim.window_spilled = 0;
}

static void sim_step(void)
{
	sim.step++;
	end_requests();
	sim.history[sim.step % HISTORY_STEPS] = sim.loads;
	for (unsigned region = 0; region < REGIONS; region++) {
		double requests = sim.demand[region] * ENDPOINTS_PER_REGION *
				  SLOTS * STEP_MS / WORK_MS;

		for (unsigned i = (unsigned)(requests + next_fraction()); i;
		     i--)
			place(region + REGIONS * (unsigned)(next_hash() %
							    (HOSTS / REGIONS)));
	}
	if (sim.step % UPDATE_STEPS == 0)
		for (unsigned i = 0; i < HOSTS; i++)
			update_spill(i);
	if (sim.step % WINDOW_STEPS == 0)
		end_window();
}

static void sim_start(bool spills_by_share, double first, double others)
{
	memset(&sim, 0, sizeof(sim));
	sim.spills_by_share = spills_by_share;
	sim.demand[0] = first;
	sim.demand[1] = sim.demand[2] = others;
}

/* Runs, and counts only what happens in this time. */
static void sim_run(unsigned seconds)
{
	sim.sent = sim.spilled = sim.window_sent = sim.window_spilled = 0;
	sim.wait_ms = sim.highest_window = 0.0;
	for (unsigned i = 0; i < seconds * 1000 / STEP_MS; i++)
		sim_step();
}

static bool any_spills(void)
{
	for (unsigned i = 0; i < HOSTS; i++)
		if (sim.spills[i].share > 0.0)
			return true;
	return false;
}

/* Scenario: the callers of one region need 1.5 times its endpoints, those of
 * the others half. Guards against hosts that all spill and all come back by the
 * same late loads, and against requests that wait at home while others are
 * idle. */
static void test_uneven_demand(void)
{
	double wait_ms;

	sim_start(false, 1.5, 0.5);
	sim_run(5);
	sim_run(10);
	CU_ASSERT(sim.highest_window > 0.9);
	wait_ms = sim.wait_ms / sim.sent;

	sim_start(true, 1.5, 0.5);
	sim_run(5);
	sim_run(10);
	CU_ASSERT(sim.highest_window < 0.7);
	CU_ASSERT(sim.wait_ms / sim.sent < 0.5 * wait_ms);
	CU_ASSERT(sim.spilled > 0.25 * sim.sent);
}

/* Scenario: the region's demand falls again. Guards against a share that stays,
 * and against one that starts anew by itself. */
static void test_back_home(void)
{
	sim_start(true, 1.4, 0.5);
	sim_run(10);
	CU_ASSERT_TRUE(any_spills());
	sim.demand[0] = 0.5;
	sim_run(6);
	CU_ASSERT_FALSE(any_spills());
	sim_run(5);
	CU_ASSERT_FALSE(any_spills());
	CU_ASSERT_EQUAL(sim.spilled, 0);
}

/* Scenario: demand is even, first with room, then above it everywhere. Guards
 * against any effect where no other region has more room. */
static void test_even_demand(void)
{
	sim_start(true, 0.6, 0.6);
	sim_run(10);
	CU_ASSERT_FALSE(any_spills());
	CU_ASSERT_EQUAL(sim.spilled, 0);
	sim_start(true, 1.1, 1.1);
	sim_run(10);
	CU_ASSERT(sim.spilled < 0.1 * sim.sent);
}

/* Scenario: loads of other hosts arrive no more while the region lacks room.
 * Guards against a share that stays as it was when news ended. */
static void test_lost_loads(void)
{
	sim_start(true, 1.4, 0.5);
	sim_run(10);
	CU_ASSERT_TRUE(any_spills());
	sim.loads_are_lost = true;
	sim_run(6);
	CU_ASSERT_FALSE(any_spills());
}

int main(void)
{
	CU_TestInfo tests[] = {{"uneven demand", test_uneven_demand},
			       {"back home", test_back_home},
			       {"even demand", test_even_demand},
			       {"lost loads", test_lost_loads},
			       CU_TEST_INFO_NULL};

	return unit_run("spill", tests);
}
