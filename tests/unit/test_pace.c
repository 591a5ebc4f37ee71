#include "unit.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/coldgate.h"
#include "coordination/pace.h"
#include "coordination/rendezvous.h"

#define START_MS 100000
#define SLOTS 16
#define FIRST_CAP (SLOTS / PACE_START_DIVISOR)
#define MAX_HOSTS 60
#define MAX_ENDPOINTS 30
#define MAX_SENDS 64 /* in flight from one host at one endpoint */
#define ANSWER_MS 100
#define HISTORY 1024 /* ms of loads that hosts may still see */
#define SEED 20261206

/* Hosts that send as many requests as they may to endpoints that have started
 * at the same time, and see each other's loads `news_ms` late. */
typedef struct sim {
	unsigned hosts, endpoints;
	int64_t news_ms, now_ms;
	pace_t pace[MAX_ENDPOINTS][MAX_HOSTS];
	int64_t sent_ms[MAX_ENDPOINTS][MAX_HOSTS][MAX_SENDS];
	unsigned in_flight[MAX_ENDPOINTS][MAX_HOSTS];
	unsigned all[MAX_ENDPOINTS][HISTORY];
	unsigned own[MAX_ENDPOINTS][MAX_HOSTS][HISTORY];
	bool hangs, fails;
} sim_t;

static sim_t sim;

static void start_sim(unsigned hosts, unsigned endpoints, int64_t news_ms)
{
	memset(&sim, 0, sizeof(sim));
	sim.hosts = hosts;
	sim.endpoints = endpoints;
	sim.news_ms = news_ms;
	sim.now_ms = START_MS;
	for (unsigned e = 0; e < endpoints; e++)
		for (unsigned h = 0; h < hosts; h++)
			pace_start(&sim.pace[e][h], SLOTS, START_MS);
}

static pace_view_t view_of(unsigned e, unsigned h)
{
	size_t seen = (size_t)(sim.now_ms - sim.news_ms) % HISTORY;

	return (pace_view_t){.slots = SLOTS,
			     .own_in_flight = sim.in_flight[e][h],
			     .all_in_flight = sim.in_flight[e][h] +
					      sim.all[e][seen] -
					      sim.own[e][h][seen],
			     .hosts = sim.hosts,
			     .rank = (h + e) % sim.hosts};
}

/* Ends the requests that have been in flight for ANSWER_MS. */
static void answer(unsigned e, unsigned h)
{
	pace_view_t view = view_of(e, h);
	int64_t *sent = sim.sent_ms[e][h];

	while (!sim.hangs && sim.in_flight[e][h] &&
	       sim.now_ms - sent[0] >= ANSWER_MS) {
		memmove(sent, sent + 1,
			(--sim.in_flight[e][h]) * sizeof(*sent));
		if (sim.fails)
			pace_on_fault(&sim.pace[e][h], SLOTS, sim.now_ms);
		else
			pace_on_answer(&sim.pace[e][h], &view, true,
				       sim.now_ms);
	}
}

static void press(unsigned e, unsigned h)
{
	for (;;) {
		pace_view_t view = view_of(e, h);

		pace_update(&sim.pace[e][h], &view, sim.now_ms);
		/* Hosts that are past the pace press until the slots are full.
		 */
		if (!pace_allows(&sim.pace[e][h], &view) ||
		    view.all_in_flight >= SLOTS ||
		    sim.in_flight[e][h] == MAX_SENDS)
			return;
		sim.sent_ms[e][h][sim.in_flight[e][h]++] = sim.now_ms;
		pace_on_send(&sim.pace[e][h], sim.now_ms);
	}
}

/* RETURN VALUE: the highest cap of a host, SLOTS without a limit. */
static unsigned max_cap(unsigned e)
{
	unsigned max = 0;

	for (unsigned h = 0; h < sim.hosts; h++) {
		unsigned cap = sim.pace[e][h].cap;

		if (!cap)
			return SLOTS;
		max = cap > max ? cap : max;
	}
	return max;
}

static unsigned count_in_flight(unsigned e)
{
	unsigned sum = 0;

	for (unsigned h = 0; h < sim.hosts; h++)
		sum += sim.in_flight[e][h];
	return sum;
}

static void run_ms(int64_t ms)
{
	while (ms--) {
		size_t at = (size_t)++sim.now_ms % HISTORY;

		for (unsigned e = 0; e < sim.endpoints; e++) {
			for (unsigned h = 0; h < sim.hosts; h++)
				answer(e, h);
			for (unsigned h = 0; h < sim.hosts; h++)
				press(e, h);
			for (unsigned h = 0; h < sim.hosts; h++)
				sim.own[e][h][at] = sim.in_flight[e][h];
			sim.all[e][at] = count_in_flight(e);
			/* No faults: nothing shrinks the caps. */
			if (!sim.fails && max_cap(e) < SLOTS)
				CU_ASSERT_TRUE_FATAL(sim.all[e][at] <=
						     max_cap(e));
		}
	}
}

static unsigned count_limited(void)
{
	unsigned count = 0;

	for (unsigned e = 0; e < sim.endpoints; e++)
		for (unsigned h = 0; h < sim.hosts; h++)
			count += sim.pace[e][h].cap != 0;
	return count;
}

/* Load: one host's callers want a single endpoint that has just started. Guards
 * against sending it all slots at once, and against holding callers back for
 * longer than the answers to three rounds take. */
static void test_alone(void)
{
	start_sim(1, 1, 100);
	run_ms(1);
	CU_ASSERT_EQUAL(count_in_flight(0), FIRST_CAP);
	run_ms(3 * ANSWER_MS);
	CU_ASSERT_EQUAL(count_limited(), 0);
	CU_ASSERT_EQUAL(count_in_flight(0), SLOTS);
}

/* Load: a host without callers, or an endpoint that nobody wants, so that no
 * answers come. Guards against an endpoint that stays limited. */
static void test_without_requests(void)
{
	pace_t pace = {0};
	pace_view_t view = {.slots = SLOTS, .hosts = 20, .rank = 19};

	pace_start(&pace, SLOTS, START_MS);
	pace_update(&pace, &view, START_MS + 2 * PACE_STEP_MS);
	CU_ASSERT_FALSE(pace_allows(&pace, &view));
	pace_update(&pace, &view, START_MS + 3 * PACE_STEP_MS);
	CU_ASSERT_TRUE(pace_allows(&pace, &view));
}

/* Load: an endpoint hangs, and this host hears of no other host's load. Guards
 * against a cap that grows while this host's request is not answered, and
 * against ignoring requests of hosts that have no units. */
static void test_outstanding_request(void)
{
	pace_t pace = {0};
	pace_view_t view = {.slots = SLOTS,
			    .own_in_flight = 1,
			    .all_in_flight = 1,
			    .hosts = 2};

	pace_start(&pace, SLOTS, START_MS);
	pace_on_send(&pace, START_MS + 1);
	pace_update(&pace, &view, START_MS + 5000);
	CU_ASSERT_EQUAL(pace.cap, FIRST_CAP);
	view.own_in_flight = 0;
	view.all_in_flight = FIRST_CAP;
	CU_ASSERT_FALSE(pace_allows(&pace, &view));
	view.all_in_flight = FIRST_CAP - 1;
	CU_ASSERT_TRUE(pace_allows(&pace, &view));
}

/* Load: callers press on hosts of other domains, and the cap is larger than the
 * number of hosts that share it. Guards against hosts that use units of others.
 */
static void test_host_of_other_domain(void)
{
	pace_t pace = {.cap = SLOTS / 2};
	pace_view_t view = {.slots = SLOTS, .hosts = 3, .rank = 2};

	CU_ASSERT_TRUE(pace_allows(&pace, &view));
	view.rank = view.hosts;
	CU_ASSERT_FALSE(pace_allows(&pace, &view));
}

/* Load: an endpoint answers later than callers need. Guards against a cap that
 * stays or falls below the first one, and against several cuts for the requests
 * of one moment. */
static void test_late_answers(void)
{
	pace_t pace = {0};
	pace_view_t view = {.slots = 8 * SLOTS, .hosts = 1};
	unsigned first;

	pace_start(&pace, view.slots, START_MS);
	first = pace.cap;
	for (unsigned i = 0; i < first; i++)
		pace_on_answer(&pace, &view, true, START_MS + 100);
	CU_ASSERT_EQUAL(pace.cap, 2 * first);
	for (unsigned i = 0; i < 2 * first; i++)
		pace_on_answer(&pace, &view, true, START_MS + 200);
	CU_ASSERT_EQUAL(pace.cap, 4 * first);
	for (unsigned i = 0; i < 4; i++)
		pace_on_answer(&pace, &view, false, START_MS + 300);
	CU_ASSERT_EQUAL(pace.cap, 2 * first);
	pace_on_fault(&pace, view.slots, START_MS + 1000);
	pace_on_fault(&pace, view.slots, START_MS + 2000);
	CU_ASSERT_EQUAL(pace.cap, first);
}

/* Load: thirty endpoints come back at once before twenty hosts whose callers
 * press. Guards against a first wave above the first cap, and against capacity
 * that stays idle for over a second. */
static void test_herd_of_endpoints(void)
{
	start_sim(20, 30, 160);
	run_ms(ANSWER_MS);
	for (unsigned e = 0; e < sim.endpoints; e++)
		CU_ASSERT_EQUAL(count_in_flight(e), FIRST_CAP);
	run_ms(900);
	CU_ASSERT_EQUAL(count_limited(), 0);
}

/* Load: sixty hosts press, and see each other's loads 0.1 to 1 s late. Guards
 * against a herd of hosts that all take an endpoint for idle: run_ms() checks
 * that they stay within the highest of their caps. */
static void test_late_loads(void)
{
	static const int64_t delays_ms[] = {100, 300, 1000};

	for (size_t i = 0; i < sizeof(delays_ms) / sizeof(delays_ms[0]); i++) {
		start_sim(MAX_HOSTS, 2, delays_ms[i]);
		run_ms(2000);
		CU_ASSERT_EQUAL(count_limited(), 0);
	}
}

/* Load: callers press on an endpoint that takes requests but answers none.
 * Guards against a pace that grows with time alone. */
static void test_hanging_endpoint(void)
{
	start_sim(20, 1, 100);
	sim.hangs = true;
	run_ms(5000);
	CU_ASSERT_EQUAL(count_in_flight(0), FIRST_CAP);
	CU_ASSERT_EQUAL(count_limited(), sim.hosts);
}

/* Load: callers press on an endpoint that fails again on the way up, and soon
 * after its limit has ended. Guards against a pace that goes on growing, and
 * against one that never ends once the endpoint answers again. */
static void test_fails_again(void)
{
	static const int64_t way_up_ms[] = {150, 1000};

	for (size_t i = 0; i < sizeof(way_up_ms) / sizeof(way_up_ms[0]); i++) {
		start_sim(12, 1, 100);
		run_ms(way_up_ms[i]);
		sim.fails = true;
		run_ms(1000);
		CU_ASSERT_TRUE(max_cap(0) < SLOTS);
		CU_ASSERT_TRUE(count_in_flight(0) <= SLOTS / 2);
		sim.fails = false;
		run_ms(3 * PACE_MAX_STEP_MS);
		CU_ASSERT_EQUAL(count_limited(), 0);
	}
}

/* Ranks this host in a view of the domain that lacks up to a tenth of it. */
static void draw_view(unsigned hosts, unsigned self, size_t *count,
		      size_t *rank)
{
	static char names[MAX_HOSTS][16];
	str_t view[MAX_HOSTS];
	unsigned lacking = hosts / 10;

	snprintf(names[self], sizeof(names[self]), "host-%u", self);
	view[0] = str_from(names[self]);
	*count = 1;
	for (unsigned h = 0; h < hosts; h++) {
		if (h == self || (lacking && rand() % 10 == 0 && lacking--))
			continue;
		snprintf(names[h], sizeof(names[h]), "host-%u", h);
		view[(*count)++] = str_from(names[h]);
	}
	*rank = rendezvous_rank((str_t)STR_LIT("pace"),
				(str_t)STR_LIT("engine"), view, *count, 0);
}

/* Load: all hosts of a domain send as much as they may to a cold endpoint, with
 * membership views that lack up to a tenth of it. Guards against exceeding the
 * cold limit (FAILBACK), and against an endpoint that stands idle since its
 * limit is lower than the number of hosts. */
static void test_cold_limit(void)
{
	static const double limits[] = {0.6, 2.0, 7.9, 11.0, 40.0};

	srand(SEED);
	for (unsigned hosts = 1; hosts <= MAX_HOSTS; hosts++)
		for (size_t i = 0; i < sizeof(limits) / sizeof(limits[0]);
		     i++) {
			unsigned sum = 0;

			for (unsigned h = 0; h < hosts; h++) {
				size_t count, rank;
				unsigned share;

				draw_view(hosts, h, &count, &rank);
				share = coldgate_share(limits[i], 1.5, 5.0,
						       (unsigned)count);
				sum += share ? share :
					       coldgate_dealt_share(limits[i],
								    1.5, 5.0,
								    rank);
			}
			CU_ASSERT_TRUE(sum > 0);
			CU_ASSERT_TRUE(sum <= limits[i] * 1.5 + 5.0);
		}
	CU_ASSERT_EQUAL(coldgate_dealt_share(1.0, 1.0, 0.0, 0), 0);
}

int main(void)
{
	CU_TestInfo tests[] = {
		{"alone", test_alone},
		{"without requests", test_without_requests},
		{"outstanding request", test_outstanding_request},
		{"host of other domain", test_host_of_other_domain},
		{"late answers", test_late_answers},
		{"herd of endpoints", test_herd_of_endpoints},
		{"late loads", test_late_loads},
		{"hanging endpoint", test_hanging_endpoint},
		{"fails again", test_fails_again},
		{"cold limit", test_cold_limit},
		CU_TEST_INFO_NULL};

	return unit_run("pace", tests);
}
