#include "unit.h"

#include <stdlib.h>
#include <string.h>

#include "coordination/custboard.h"
#include "coordination/custshare.h"

/*
 * Shares of customers in a simulated fleet, without a network. Each host takes
 * requests, counts what it sends, and reports once a second to the only relay.
 * In each step the service runs CAPACITY_PER_STEP requests of the fleet; a host
 * picks its next one as waiting.h orders them.
 */
#define START_MS 1000000
#define HOSTS 64
#define CUSTOMERS 24
#define LARGE_CUSTOMERS 2
#define LARGE_FACTOR 8
#define STEP_MS 50
#define STEPS_PER_S (1000 / STEP_MS)
#define ROUND_MS 1000
/* Age of the totals at a host: from 100 to 1,000 ms. */
#define MIN_NEWS_STEPS 2
#define MAX_NEWS_STEPS 20
#define NEWS_SLOTS (MAX_NEWS_STEPS + 1)
#define WAIT_MS 1000 /* until a request is refused */
#define MAX_WAITING 256
#define SERVICE 77u
/* Requests of one ordinary customer, and of the whole fleet, in a step. */
#define CUSTOMER_PER_STEP 2
#define CAPACITY_PER_STEP 60

typedef struct waiting {
	uint32_t customer;
	int64_t arrived_ms;
} waiting_t;

typedef struct host {
	custshare_t *share;
	waiting_t queue[MAX_WAITING];
	size_t count;
	unsigned news_steps; /* age of its totals */
} host_t;

static struct {
	host_t hosts[HOSTS];
	custboard_t *board;
	custnews_t news[NEWS_SLOTS]; /* totals of the last steps */
	int64_t now_ms;
	unsigned step;
	bool relay_is_lost;
	bool ignores_shares;
	unsigned weights[CUSTOMERS];
	unsigned factors[CUSTOMERS]; /* multiple of the usual requests */
	unsigned offered[CUSTOMERS], served[CUSTOMERS];
} sim;

static unsigned next_random(unsigned bound)
{
	static uint64_t state = 1;

	state = state * 6364136223846793005ull + 1442695040888963407ull;
	return (unsigned)(state >> 33) % bound;
}

static void sim_start(void)
{
	memset(&sim, 0, sizeof(sim));
	sim.now_ms = START_MS;
	sim.board = custboard_create();
	for (unsigned i = 0; i < HOSTS; i++) {
		sim.hosts[i].share = custshare_create(START_MS);
		sim.hosts[i].news_steps =
			MIN_NEWS_STEPS +
			i % (MAX_NEWS_STEPS - MIN_NEWS_STEPS + 1);
	}
	for (unsigned i = 0; i < CUSTOMERS; i++) {
		sim.weights[i] = 1;
		sim.factors[i] = 1;
	}
}

static void sim_stop(void)
{
	for (unsigned i = 0; i < HOSTS; i++)
		custshare_free(sim.hosts[i].share);
	custboard_free(sim.board);
}

/* Customers are numbered from 1 in messages. */
static double excess(const host_t *host, uint32_t customer)
{
	return sim.ignores_shares ? 0.0 :
				    custshare_excess(host->share, SERVICE,
						     customer + 1, sim.now_ms);
}

static void add_request(host_t *host, uint32_t customer)
{
	custshare_on_demand(host->share, SERVICE, customer + 1,
			    sim.weights[customer], 1.0, sim.now_ms);
	if (host->count < MAX_WAITING)
		host->queue[host->count++] = (waiting_t){customer, sim.now_ms};
	sim.offered[customer]++;
}

static void add_requests(void)
{
	for (uint32_t customer = 0; customer < CUSTOMERS; customer++)
		for (unsigned i = 0;
		     i < CUSTOMER_PER_STEP * sim.factors[customer]; i++)
			add_request(&sim.hosts[next_random(HOSTS)], customer);
}

static bool goes_before(const host_t *host, const waiting_t *a,
			const waiting_t *b)
{
	double excess_a = excess(host, a->customer);
	double excess_b = excess(host, b->customer);

	if (!excess_a != !excess_b)
		return !excess_a;
	return a->arrived_ms + custshare_delay_ms(excess_a) <
	       b->arrived_ms + custshare_delay_ms(excess_b);
}

static size_t find_next(const host_t *host)
{
	size_t best = 0;

	for (size_t i = 1; i < host->count; i++)
		if (goes_before(host, &host->queue[i], &host->queue[best]))
			best = i;
	return best;
}

static void remove_waiting(host_t *host, size_t at)
{
	memmove(&host->queue[at], &host->queue[at + 1],
		(--host->count - at) * sizeof(host->queue[0]));
}

static void serve_one(host_t *host)
{
	size_t at = find_next(host);
	uint32_t customer = host->queue[at].customer;

	remove_waiting(host, at);
	sim.served[customer]++;
	custshare_on_use(host->share, SERVICE, customer + 1, 1.0, sim.now_ms);
}

/* The first host from a random one on with a waiting request. */
static host_t *find_waiting_host(void)
{
	unsigned first = next_random(HOSTS);

	for (unsigned i = 0; i < HOSTS; i++) {
		host_t *host = &sim.hosts[(first + i) % HOSTS];

		if (host->count)
			return host;
	}
	return NULL;
}

static void serve_requests(void)
{
	host_t *host;

	for (unsigned i = 0;
	     i < CAPACITY_PER_STEP && (host = find_waiting_host()); i++)
		serve_one(host);
}

/* Marks the service as short where requests are left, and refuses those that
 * have waited too long. */
static void end_step(host_t *host)
{
	if (host->count)
		custshare_on_short(host->share, SERVICE, sim.now_ms);
	while (host->count && sim.now_ms - host->queue[0].arrived_ms >= WAIT_MS)
		remove_waiting(host, 0);
}

/* Passes a message through its encoded form. */
static custnews_t transmit(const custnews_t *news)
{
	buf_t message = BUF_INIT;
	custnews_t received;
	err_t err;

	custnews_write(news, &message);
	CU_ASSERT_TRUE_FATAL(custnews_is_message(buf_view(&message)));
	CU_ASSERT_EQUAL_FATAL(
		custnews_read(buf_view(&message), &received, &err), ERR_OK);
	buf_release(&message);
	return received;
}

static void report(const host_t *host)
{
	custnews_t news = {.kind = CUSTNEWS_HOST,
			   .source = (uint32_t)(host - sim.hosts) + 1};

	news.is_short = custshare_is_short(host->share, sim.now_ms);
	if (!news.is_short && !custboard_is_short(sim.board, sim.now_ms))
		return;
	news.count = custshare_report(host->share, sim.now_ms, news.uses);
	news = transmit(&news);
	custboard_add(sim.board, &news, sim.now_ms);
}

/* Gives a host the totals of some steps ago, if they are of a new round. */
static void deliver_totals(host_t *host)
{
	const custnews_t *news =
		&sim.news[(sim.step + NEWS_SLOTS - host->news_steps) %
			  NEWS_SLOTS];

	if (news->kind == CUSTNEWS_TOTALS)
		custshare_set_totals(host->share, news->uses, news->count,
				     sim.now_ms);
}

static void exchange(void)
{
	custnews_t *news = &sim.news[sim.step % NEWS_SLOTS];

	*news = (custnews_t){.kind = CUSTNEWS_HOST};
	if (!sim.relay_is_lost && sim.now_ms % ROUND_MS == 0) {
		custboard_expire(sim.board, sim.now_ms);
		for (unsigned i = 0; i < HOSTS; i++)
			report(&sim.hosts[i]);
		news->kind = CUSTNEWS_TOTALS;
		custboard_sum(sim.board, news, sim.now_ms);
		*news = transmit(news);
		if (!news->is_short)
			news->kind = CUSTNEWS_HOST;
	}
	for (unsigned i = 0; i < HOSTS; i++)
		deliver_totals(&sim.hosts[i]);
}

static void sim_run(unsigned seconds)
{
	for (unsigned i = 0; i < seconds * STEPS_PER_S; i++) {
		sim.now_ms += STEP_MS;
		sim.step++;
		add_requests();
		serve_requests();
		for (unsigned h = 0; h < HOSTS; h++)
			end_step(&sim.hosts[h]);
		exchange();
	}
}

static void clear_counts(void)
{
	memset(sim.offered, 0, sizeof(sim.offered));
	memset(sim.served, 0, sizeof(sim.served));
}

static void start_burst(void)
{
	for (unsigned i = 0; i < LARGE_CUSTOMERS; i++)
		sim.factors[i] = LARGE_FACTOR;
}

static double served_share(unsigned customer)
{
	return (double)sim.served[customer] / sim.offered[customer];
}

static double lowest_small_share(void)
{
	double lowest = 1.0;

	for (unsigned i = LARGE_CUSTOMERS; i < CUSTOMERS; i++)
		if (served_share(i) < lowest)
			lowest = served_share(i);
	return lowest;
}

/* What is left of the capacity for each large customer, as a part of what it
 * offers. */
static double left_for_large(void)
{
	double left = CAPACITY_PER_STEP -
		      CUSTOMER_PER_STEP * (CUSTOMERS - LARGE_CUSTOMERS);

	return left / LARGE_CUSTOMERS / (CUSTOMER_PER_STEP * LARGE_FACTOR);
}

/* Scenario: two of 24 customers send eight times their usual requests to 64
 * hosts, more than the endpoints can run. Guards against a fleet in which the
 * small customers lose as much as the large ones, and against one that shuts
 * the large ones out. */
static void test_two_large_customers(void)
{
	sim_start();
	sim.ignores_shares = true;
	sim_run(30);
	start_burst();
	sim_run(4);
	clear_counts();
	sim_run(12);
	CU_ASSERT(lowest_small_share() < 0.85);
	sim_stop();

	sim_start();
	sim_run(30);
	start_burst();
	sim_run(4);
	clear_counts();
	sim_run(22);
	CU_ASSERT(lowest_small_share() >= 0.97);
	for (unsigned i = 0; i < LARGE_CUSTOMERS; i++)
		CU_ASSERT(served_share(i) >= 0.8 * left_for_large());
	sim_stop();
}

/* Scenario: as above, and one large customer has three times the weight of the
 * other. Guards against a share of what is left that ignores weights. */
static void test_weights(void)
{
	sim_start();
	sim.weights[0] = 3;
	sim_run(30);
	start_burst();
	sim_run(4);
	clear_counts();
	sim_run(12);
	CU_ASSERT(lowest_small_share() >= 0.95);
	CU_ASSERT(sim.served[0] >= 2 * sim.served[1]);
	CU_ASSERT(sim.served[1] > 0);
	sim_stop();
}

/* Scenario: a customer has always sent eight times as much as the others, and
 * the service becomes short since all send more. Guards against a large
 * customer that is held back although it sends no more than usual compared to
 * others. */
static void test_large_as_usual(void)
{
	sim_start();
	sim.factors[0] = LARGE_FACTOR;
	sim_run(60);
	for (unsigned i = 0; i < CUSTOMERS; i++)
		sim.factors[i] *= 2;
	sim_run(4);
	CU_ASSERT_TRUE(custshare_is_short(sim.hosts[0].share, sim.now_ms));
	for (unsigned i = 0; i < HOSTS; i++)
		CU_ASSERT_EQUAL(excess(&sim.hosts[i], 0), 0.0);
	sim_stop();
}

/* Scenario: a service is not short, though one customer sends many times its
 * usual. Guards against any effect, or any message, in a fleet in calm. */
static void test_nothing_short(void)
{
	sim_start();
	sim_run(30);
	sim.factors[0] = 4;
	sim_run(10);
	for (unsigned i = 0; i < HOSTS; i++)
		for (uint32_t customer = 0; customer < CUSTOMERS; customer++)
			CU_ASSERT_EQUAL(excess(&sim.hosts[i], customer), 0.0);
	CU_ASSERT_EQUAL(sim.served[0], sim.offered[0]);
	for (unsigned i = 0; i < NEWS_SLOTS; i++)
		CU_ASSERT_NOT_EQUAL(sim.news[i].kind, CUSTNEWS_TOTALS);
	sim_stop();
}

/* Scenario: the burst ends. Guards against a customer that stays over its
 * share, and against an exchange that keeps itself alive. */
static void test_burst_ends(void)
{
	sim_start();
	sim_run(30);
	start_burst();
	sim_run(12);
	CU_ASSERT(excess(&sim.hosts[0], 0) > 1.0);
	sim.factors[0] = sim.factors[1] = 1;
	sim_run(15);
	CU_ASSERT_EQUAL(excess(&sim.hosts[0], 0), 0.0);
	CU_ASSERT_FALSE(custboard_is_short(sim.board, sim.now_ms));
	clear_counts();
	sim_run(5);
	CU_ASSERT_EQUAL(sim.served[0], sim.offered[0]);
	sim_stop();
}

/* Scenario: the relay is lost during the burst, and another one takes over.
 * Guards against hosts that go on with totals that nobody renews, and against a
 * new relay that doesn't learn. */
static void test_lost_relay(void)
{
	sim_start();
	sim_run(30);
	start_burst();
	sim_run(6);
	CU_ASSERT(excess(&sim.hosts[0], 0) > 1.0);
	sim.relay_is_lost = true;
	sim_run(6);
	for (unsigned i = 0; i < HOSTS; i++)
		CU_ASSERT_EQUAL(excess(&sim.hosts[i], 0), 0.0);
	custboard_free(sim.board);
	sim.board = custboard_create();
	sim.relay_is_lost = false;
	sim_run(3);
	CU_ASSERT(excess(&sim.hosts[0], 0) > 1.0);
	sim_stop();
}

static void add_use(custshare_t *share, uint32_t customer, double amount,
		    int64_t now_ms)
{
	custshare_on_demand(share, SERVICE, customer, 1, amount, now_ms);
	custshare_on_use(share, SERVICE, customer, amount, now_ms);
}

/* Scenario: a new customer takes most of a service that is short. Guards
 * against a customer without a usual rate that is held back for ever. */
static void test_lasting_growth(void)
{
	custshare_t *share = custshare_create(START_MS);
	int64_t now_ms = START_MS;
	int64_t over_until_ms = 0;
	custshare_use_t uses[CUSTSHARE_MAX_REPORT];

	for (unsigned second = 0; second < 1200; second++) {
		now_ms += 1000;
		custshare_on_short(share, SERVICE, now_ms);
		for (uint32_t customer = 1; customer <= 5; customer++)
			if (customer < 5 || second >= 300)
				add_use(share, customer,
					customer < 5 ? 1.0 : 20.0, now_ms);
		custshare_set_totals(share, uses,
				     custshare_report(share, now_ms, uses),
				     now_ms);
		if (custshare_excess(share, SERVICE, 5, now_ms) > 0.0)
			over_until_ms = now_ms;
	}
	CU_ASSERT(over_until_ms > START_MS + 330000);
	CU_ASSERT(over_until_ms < START_MS + 1100000);
	custshare_free(share);
}

int main(void)
{
	CU_TestInfo tests[] = {
		{"two large customers", test_two_large_customers},
		{"weights", test_weights},
		{"large as usual", test_large_as_usual},
		{"nothing short", test_nothing_short},
		{"burst ends", test_burst_ends},
		{"lost relay", test_lost_relay},
		{"lasting growth", test_lasting_growth},
		CU_TEST_INFO_NULL};

	return unit_run("custshare", tests);
}
