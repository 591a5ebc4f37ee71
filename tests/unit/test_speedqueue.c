#include "unit.h"

#include <math.h>

#include "coordination/speedqueue.h"

#define START_MS 100000
#define QUIET_MS 30.0
#define SLOW_FACTOR 2.4

enum { REGIONS = 3, REGION_HOSTS = 21, HOSTS = REGIONS * REGION_HOSTS };
enum { ENGINES = 140, STREAMS_PER_S = 265 };

typedef struct host {
	fleet_t *fleet;
	speedqueue_t queue;
} host_t;

/* A fleet whose messages arrive at once, but for those that are lost. */
static host_t hosts[HOSTS];
static unsigned relays[REGIONS]; /* index of the relay of each region */
static unsigned lost_percent;	 /* of messages */
static uint64_t random_state;

static unsigned random_below(unsigned bound)
{
	random_state = random_state * 6364136223846793005ull + 1;
	return (unsigned)(random_state >> 33) % bound;
}

static void on_endpoint_gone(void *user, endpoint_t *endpoint)
{
	(void)user;
	(void)endpoint;
}

static void put_engine(fleet_t *fleet, unsigned number, int64_t incarnation)
{
	char id[16];
	endpoint_record_t record = {
		.service = STR_LIT("model"),
		.address = STR_LIT("127.0.0.1:1"),
		.domain = STR_LIT("a"),
		.slots = 12,
		.incarnation = incarnation,
	};

	snprintf(id, sizeof(id), "engine-%u", number);
	record.id = str_from(id);
	fleet_put(fleet, &record, START_MS);
}

static void start_host(unsigned host)
{
	const fleet_observer_t observer = {on_endpoint_gone, NULL};

	hosts[host] = (host_t){.fleet = fleet_create(&observer)};
	for (unsigned i = 0; i < ENGINES; i++)
		put_engine(hosts[host].fleet, i, 1);
}

static void set_up(unsigned percent)
{
	random_state = 1;
	lost_percent = percent;
	for (unsigned i = 0; i < HOSTS; i++)
		start_host(i);
	for (unsigned i = 0; i < REGIONS; i++)
		relays[i] = i * REGION_HOSTS;
}

static void tear_down(void)
{
	for (unsigned i = 0; i < HOSTS; i++)
		fleet_free(hosts[i].fleet);
}

static bool is_relay(unsigned host)
{
	return relays[host / REGION_HOSTS] == host;
}

static bool is_slow(unsigned engine)
{
	return engine % 3 == 0;
}

/* Streams of one second at random hosts and engines, whose samples differ by up
 * to a fifth from the engine's pause. */
static void run_streams(int64_t now_ms)
{
	for (unsigned i = 0; i < STREAMS_PER_S; i++) {
		unsigned engine = random_below(ENGINES);
		double pause_ms =
			QUIET_MS * (is_slow(engine) ? SLOW_FACTOR : 1.0);
		host_t *host = &hosts[random_below(HOSTS)];

		endpoint_add_quiet_pause(
			fleet_at(host->fleet, engine),
			pause_ms * (0.8 + 0.01 * random_below(41)), now_ms);
	}
}

static void deliver(unsigned to, speednews_kind_t kind, speednews_t *news,
		    int64_t now_ms)
{
	speednews_t received;
	buf_t message = BUF_INIT;
	err_t err;

	if (random_below(100) < lost_percent)
		return;
	news->kind = kind;
	speednews_write(news, &message);
	CU_ASSERT_EQUAL(speednews_read(buf_view(&message), &received, &err),
			ERR_OK);
	speedqueue_receive(hosts[to].fleet, is_relay(to), &received, now_ms);
	buf_release(&message);
}

static void send_from_relay(unsigned relay, speedqueue_batch_t *batch,
			    int64_t now_ms)
{
	unsigned first = relay / REGION_HOSTS * REGION_HOSTS;

	for (unsigned i = 0; i < REGIONS; i++)
		if (relays[i] != relay)
			deliver(relays[i], SPEEDNEWS_REGION, &batch->own_region,
				now_ms);
	for (unsigned i = first; i < first + REGION_HOSTS; i++)
		if (i != relay)
			deliver(i, SPEEDNEWS_RELAY, &batch->all_regions,
				now_ms);
}

static void send_from_host(unsigned host, int64_t now_ms)
{
	speedqueue_batch_t batch;
	size_t max = is_relay(host) ? speednews_max_entries(REGION_HOSTS - 1) :
				      ENGINES;
	size_t count;

	while (max &&
	       (count = speedqueue_take(&hosts[host].queue, hosts[host].fleet,
					is_relay(host), max, now_ms, &batch))) {
		if (is_relay(host))
			send_from_relay(host, &batch, now_ms);
		else
			deliver(relays[host / REGION_HOSTS], SPEEDNEWS_HOST,
				&batch.own_region, now_ms);
		max -= count;
	}
}

static int64_t run(int64_t now_ms, unsigned seconds)
{
	for (unsigned i = 0; i < seconds; i++) {
		run_streams(now_ms);
		for (unsigned host = 0; host < HOSTS; host++)
			send_from_host(host, now_ms);
		now_ms += 1000;
	}
	for (unsigned host = 0; host < HOSTS; host++)
		fleet_update_slowness(hosts[host].fleet, now_ms);
	return now_ms;
}

static double slowness(unsigned host, unsigned engine)
{
	return fleet_at(hosts[host].fleet, engine)->slowness;
}

/* The greatest ratio of two hosts' estimates for the same engine. */
static double greatest_difference(void)
{
	double greatest = 1.0;

	for (unsigned engine = 0; engine < ENGINES; engine++) {
		double min = slowness(0, engine), max = min;

		for (unsigned host = 1; host < HOSTS; host++) {
			min = fmin(min, slowness(host, engine));
			max = fmax(max, slowness(host, engine));
		}
		greatest = fmax(greatest, max / min);
	}
	return greatest;
}

/* Whether host 1 tells slow engines from others, by a ratio of `ratio`. */
static bool tells_apart(double ratio)
{
	double max_usual = 0.0, min_slow = SPEED_MAX_SLOWNESS;

	for (unsigned engine = 0; engine < ENGINES; engine++)
		if (is_slow(engine))
			min_slow = fmin(min_slow, slowness(1, engine));
		else
			max_usual = fmax(max_usual, slowness(1, engine));
	return min_slow >= ratio * max_usual;
}

/* Scenario: a third of the engines is slow, and each host has about four
 * streams a second over all of them. Guards against hosts that don't know
 * within seconds which ones these are, or that disagree. */
static void test_slow_third(void)
{
	int64_t now_ms = START_MS;

	set_up(0);
	now_ms = run(now_ms, 8);
	CU_ASSERT_TRUE(tells_apart(1.2));
	CU_ASSERT_TRUE(greatest_difference() < 1.1);
	run(now_ms, 22);
	CU_ASSERT_TRUE(tells_apart(1.8));
	CU_ASSERT_TRUE(greatest_difference() < 1.05);
	tear_down();
}

/* Scenario: one message in ten is lost, and the relay of a region restarts
 * while another host takes over.
 * Guards against estimates that go wrong, or differ for good, because of what
 * was lost. */
static void test_lost_relay(void)
{
	int64_t now_ms = START_MS;

	set_up(10);
	now_ms = run(now_ms, 10);
	relays[0] = 5;
	fleet_free(hosts[0].fleet);
	start_host(0);
	run(now_ms, 20);
	CU_ASSERT_TRUE(tells_apart(1.8));
	CU_ASSERT_TRUE(greatest_difference() < 1.25);
	tear_down();
}

/* Scenario: a host is cut off from all others. Guards against a host that uses
 * neither what it knew nor what it learns itself. */
static void test_cut_off_host(void)
{
	int64_t now_ms = START_MS;
	endpoint_t *engine;

	set_up(0);
	now_ms = run(now_ms, 20);
	engine = fleet_at(hosts[1].fleet, 0);
	fleet_update_slowness(hosts[1].fleet, now_ms + 10000);
	CU_ASSERT_TRUE(engine->slowness > 1.5);
	now_ms += SPEED_MAX_AGE_MS + 1;
	for (unsigned i = 0; i < ENGINES; i++)
		for (unsigned j = 0; j < 10; j++)
			endpoint_add_quiet_pause(
				fleet_at(hosts[1].fleet, i),
				QUIET_MS * (i ? 1.0 : SLOW_FACTOR), now_ms);
	fleet_update_slowness(hosts[1].fleet, now_ms);
	CU_ASSERT_TRUE(engine->slowness > 1.8);
	CU_ASSERT_TRUE(fabs(slowness(1, 3) - 1.0) < 1e-9);
	tear_down();
}

/* Scenario: an engine restarts while samples of the process before are on their
 * way. Guards against counting these for the new process. */
static void test_restart(void)
{
	speednews_t news = {.kind = SPEEDNEWS_RELAY, .count = 1};
	int64_t now_ms = START_MS;

	set_up(0);
	now_ms = run(now_ms, 20);
	news.entries[0] = (speednews_entry_t){
		(uint32_t)fleet_at(hosts[1].fleet, 0)->process_hash,
		{10.0, 10.0 * log(QUIET_MS)}};
	put_engine(hosts[1].fleet, 0, 2);
	speedqueue_receive(hosts[1].fleet, false, &news, now_ms);
	fleet_update_slowness(hosts[1].fleet, now_ms);
	CU_ASSERT_EQUAL(fleet_find(hosts[1].fleet, (str_t)STR_LIT("engine-0"))
				->slowness,
			1.0);
	tear_down();
}

/* Scenario: the largest fleet, in two regions. Guards against speeds that take
 * a large part of the bytes between hosts, and against endpoints whose turn
 * comes too late. */
static void test_bytes(void)
{
	enum {
		ALL_HOSTS = 350,
		RECEIVERS = ALL_HOSTS / 2 - 1,
		ENDPOINTS = 760
	};
	int64_t round_ms = loadboard_round_ms(ALL_HOSTS);
	size_t entries = speednews_max_entries(RECEIVERS);
	size_t load_bytes_per_s = loadboard_max_totals(RECEIVERS, round_ms) *
				  LOADBOARD_ENTRY_BYTES * 1000 /
				  (size_t)round_ms;
	speednews_t news = {.kind = SPEEDNEWS_RELAY, .count = entries};
	buf_t message = BUF_INIT;

	for (size_t i = 0; i < entries; i++)
		news.entries[i] = (speednews_entry_t){
			UINT32_MAX - (uint32_t)i, {50.0, 50.0 * log(QUIET_MS)}};
	speednews_write(&news, &message);
	CU_ASSERT_TRUE(message.len * 6 < load_bytes_per_s);
	CU_ASSERT_TRUE((double)ENDPOINTS / (double)entries * 1000.0 <=
		       1.05 * SPEED_TIME_CONSTANT_MS);
	buf_release(&message);
}

static bool reads(const speednews_t *news, size_t cut)
{
	speednews_t received;
	buf_t message = BUF_INIT;
	err_t err;
	bool ok;

	speednews_write(news, &message);
	ok = !speednews_read((str_t){message.ptr, message.len - cut}, &received,
			     &err);
	buf_release(&message);
	return ok;
}

/* Guards against a message that is too long, cut, or not what a host writes. */
static void test_codec(void)
{
	speednews_t news = {.kind = SPEEDNEWS_HOST,
			    .count = SPEEDNEWS_MAX_ENTRIES};
	buf_t message = BUF_INIT;

	for (size_t i = 0; i < news.count; i++)
		news.entries[i] = (speednews_entry_t){
			UINT32_MAX, {1e9, 1e9 * log(SPEED_MAX_PAUSE_MS)}};
	speednews_write(&news, &message);
	CU_ASSERT_TRUE(message.len <= 1200);
	CU_ASSERT_TRUE(speednews_is_message(buf_view(&message)));
	buf_release(&message);
	CU_ASSERT_TRUE(reads(&news, 0));
	CU_ASSERT_FALSE(reads(&news, 1));
	news.entries[0].sums = (speed_sums_t){1.0, 20.0};
	CU_ASSERT_FALSE(reads(&news, 0));
	news.entries[0].sums = (speed_sums_t){0.2, 0.2};
	CU_ASSERT_FALSE(reads(&news, 0));
	news.entries[0].sums = (speed_sums_t){1.0, 1.0};
	news.kind = SPEEDNEWS_RELAY + 1;
	CU_ASSERT_FALSE(reads(&news, 0));
}

int main(void)
{
	CU_TestInfo tests[] = {
		{"slow third", test_slow_third},
		{"lost relay", test_lost_relay},
		{"cut off host", test_cut_off_host},
		{"restart", test_restart},
		{"bytes", test_bytes},
		{"codec", test_codec},
		CU_TEST_INFO_NULL,
	};

	return unit_run("speedqueue", tests);
}
