#include "unit.h"

#include <stdlib.h>
#include <string.h>

#include "coordination/limitnews.h"
#include "coordination/ratelimit.h"
#include "coordination/unitshare.h"

#define START_MS 1000000
#define MAX_HOSTS 300
#define STEP_MS 5
#define RUN_MS 60000
#define STEPS (RUN_MS / STEP_MS)
/* The platform counts in windows of this length; of an endpoint's limit it
 * allows this multiple, and these requests more. */
#define WINDOW_MS 4000
#define OVERSHOOT 1.5
#define SLACK 5.0

/* Simulated hosts that send to one endpoint whenever they may. */
static struct {
	ratelimit_t limits[MAX_HOSTS];
	sendring_t sends[MAX_HOSTS];
	unsigned arrivals[STEPS + WINDOW_MS / STEP_MS];
	size_t hosts;
	int64_t max_delay_ms; /* of a request on its way to the endpoint */
	unsigned priority;
} sim;

static void start_hosts(double per_s, size_t hosts)
{
	memset(&sim, 0, sizeof(sim));
	sim.hosts = hosts;
	srand(1);
	for (size_t i = 0; i < hosts; i++) {
		ratelimit_t *limit = &sim.limits[i];

		ratelimit_on_stated(limit, per_s, START_MS);
		limit->all_units = ratelimit_count_units(limit->per_s, hosts);
		limit->units = unitshare_of(limit->all_units, hosts, i);
	}
}

static void send_all(size_t step)
{
	int64_t now_ms = START_MS + (int64_t)step * STEP_MS;

	for (size_t i = 0; i < sim.hosts; i++)
		while (ratelimit_next_send_ms(&sim.limits[i], &sim.sends[i],
					      sim.priority) <= now_ms) {
			size_t delay =
				sim.max_delay_ms ?
					(size_t)rand() %
						(size_t)sim.max_delay_ms :
					0;

			sendring_add(&sim.sends[i], now_ms);
			sim.arrivals[step + delay / STEP_MS]++;
		}
}

static void run_hosts(size_t from_ms, size_t to_ms)
{
	for (size_t step = from_ms / STEP_MS; step < to_ms / STEP_MS; step++)
		send_all(step);
}

/* The highest number of arrivals in any window. */
static unsigned most_arrivals(void)
{
	unsigned sum = 0;
	unsigned most = 0;

	for (size_t step = 0; step < STEPS; step++) {
		sum += sim.arrivals[step];
		if (step >= WINDOW_MS / STEP_MS)
			sum -= sim.arrivals[step - WINDOW_MS / STEP_MS];
		if (sum > most)
			most = sum;
	}
	return most;
}

static unsigned all_arrivals(void)
{
	unsigned sum = 0;

	for (size_t step = 0; step < STEPS; step++)
		sum += sim.arrivals[step];
	return sum;
}

static double allowed(double per_s)
{
	return OVERSHOOT * per_s * WINDOW_MS / 1000 + SLACK;
}

static const double rates[] = {0.0, 0.1, 0.4, 1.0, 2.5, 7.0, 40.0, 250.0};
static const size_t fleets[] = {1, 2, 6, 7, 54, 300};

#define COUNT(list) (sizeof(list) / sizeof((list)[0]))

/* Scenario: every host has more requests for a limited endpoint than it may
 * send, and requests are held up on the way. Guards against a sum over all
 * hosts above the limit (LIMIT), and against an endpoint that gets far less
 * than its limit because each host rounds its part down to nothing. */
static void test_sum_over_hosts(void)
{
	for (size_t r = 0; r < COUNT(rates); r++)
		for (size_t f = 0; f < COUNT(fleets); f++) {
			start_hosts(rates[r], fleets[f]);
			sim.max_delay_ms = 450;
			run_hosts(0, RUN_MS);
			CU_ASSERT_TRUE(most_arrivals() <= allowed(rates[r]));
			CU_ASSERT_TRUE(all_arrivals() >=
				       0.9 * rates[r] * RUN_MS / 1000);
			CU_ASSERT_TRUE(all_arrivals() > 0);
		}
}

/* Moves all units to hosts that had none. */
static void replace_hosts(void)
{
	size_t before = sim.hosts;

	for (size_t i = 0; i < before; i++) {
		sim.limits[before + i] = sim.limits[i];
		sim.limits[i].units = 0;
	}
	sim.hosts = 2 * before;
}

/* Scenario: hosts that have just used their units leave, and others take over,
 * at any moment of the window. Guards against an endpoint that gets the
 * requests of both (LIMIT). */
static void test_replaced_hosts(void)
{
	for (size_t r = 0; r < COUNT(rates); r++)
		for (size_t f = 0; f < 3; f++)
			for (size_t at_ms = 20000; at_ms < 24000;
			     at_ms += 250) {
				start_hosts(rates[r], fleets[f]);
				run_hosts(0, at_ms);
				replace_hosts();
				run_hosts(at_ms, RUN_MS);
				CU_ASSERT_TRUE(most_arrivals() <=
					       allowed(rates[r]));
			}
}

/* Scenario: only requests of the least urgent class. Guards against reserving
 * the endpoint for urgent requests that don't come. */
static void test_least_urgent_only(void)
{
	start_hosts(2.0, 6);
	sim.priority = 9;
	run_hosts(0, RUN_MS);
	CU_ASSERT_TRUE(all_arrivals() >= 0.75 * 2.0 * RUN_MS / 1000);
}

/* Scenario: a burst was sent just before the endpoint stated its limit. Guards
 * against counting only the sends after that (LIMIT). */
static void test_sends_before_limit(void)
{
	start_hosts(1.0, 1);
	for (int i = 0; i < SENDRING_SIZE; i++)
		sendring_add(&sim.sends[0], START_MS);
	CU_ASSERT_EQUAL(
		ratelimit_next_send_ms(&sim.limits[0], &sim.sends[0], 0),
		START_MS + ratelimit_window_ms(&sim.limits[0]));
}

/* Guards against a host without a unit that sends nevertheless, and against
 * less urgent requests that go before urgent ones. */
static void test_units_and_priority(void)
{
	ratelimit_t limit = {.per_s = 0.0};
	sendring_t sends = {.next = 0};

	CU_ASSERT_EQUAL(ratelimit_next_send_ms(&limit, &sends, 0), 0);
	ratelimit_on_stated(&limit, 1.0, START_MS);
	limit.all_units = ratelimit_count_units(1.0, 6);
	CU_ASSERT_EQUAL(limit.all_units, 3);
	CU_ASSERT_EQUAL(ratelimit_next_send_ms(&limit, &sends, 0), INT64_MAX);
	limit.units = 1;
	CU_ASSERT_EQUAL(ratelimit_next_send_ms(&limit, &sends, 0), 0);
	sendring_add(&sends, START_MS);
	CU_ASSERT_EQUAL(ratelimit_next_send_ms(&limit, &sends, 0),
			START_MS + 3000);
	CU_ASSERT_TRUE(ratelimit_next_send_ms(&limit, &sends, 1) >
		       ratelimit_next_send_ms(&limit, &sends, 0));
	CU_ASSERT_TRUE(ratelimit_next_send_ms(&limit, &sends, 2) >
		       ratelimit_next_send_ms(&limit, &sends, 1));
}

/* Scenario: responses on several connections overtake each other. Guards
 * against a limit that ends with a response which the endpoint may have sent
 * before it stated the limit, and against one that never ends (LIMIT). */
static void test_end_of_limit(void)
{
	ratelimit_t limit = {.per_s = 0.0};

	CU_ASSERT_TRUE(ratelimit_on_stated(&limit, 2.0, START_MS));
	CU_ASSERT_FALSE(ratelimit_on_stated(&limit, 2.0, START_MS + 100));
	CU_ASSERT_FALSE(
		ratelimit_on_unstated(&limit, START_MS + 50, START_MS + 200));
	CU_ASSERT_FALSE(
		ratelimit_on_unstated(&limit, START_MS + 100, START_MS + 200));
	CU_ASSERT_DOUBLE_EQUAL(limit.per_s, 2.0, 1e-9);
	CU_ASSERT_TRUE(
		ratelimit_on_unstated(&limit, START_MS + 101, START_MS + 200));
	CU_ASSERT_DOUBLE_EQUAL(limit.per_s, 0.0, 1e-9);
	CU_ASSERT_TRUE(ratelimit_on_stated(&limit, 1.0, START_MS + 300));
	CU_ASSERT_TRUE(ratelimit_on_stated(&limit, 0.5, START_MS + 400));
}

/* Guards against values that stop all requests for good or overflow. */
static void test_absurd_rates(void)
{
	ratelimit_t limit = {.per_s = 0.0};

	ratelimit_on_stated(&limit, 0.0, START_MS);
	CU_ASSERT_DOUBLE_EQUAL(limit.per_s, RATELIMIT_MIN_PER_S, 1e-9);
	ratelimit_on_stated(&limit, 1e300, START_MS);
	CU_ASSERT_DOUBLE_EQUAL(limit.per_s, RATELIMIT_MAX_PER_S, 1e-3);
	CU_ASSERT_EQUAL(ratelimit_count_units(1e300, 6), 6 * SENDRING_SIZE);
}

/* Scenario: an endpoint accepts nothing for a while. Guards against hosts that
 * notice the end only after the longest time in which one of them may send. */
static void test_low_rate_is_spaced(void)
{
	unsigned last = 0;

	start_hosts(0.0, 6);
	run_hosts(0, RUN_MS);
	for (unsigned step = 0; step < STEPS; step++) {
		if (!sim.arrivals[step])
			continue;
		CU_ASSERT_TRUE((step - last) * STEP_MS <= 5000);
		last = step;
	}
	CU_ASSERT_TRUE((STEPS - last) * STEP_MS <= 5000);
}

/* Scenario: nobody gets a response any more. Guards against units that stay for
 * ever with hosts that have no requests, so that the end of the limit is never
 * noticed; and against a limit that lapses while it holds (LIMIT). */
static void test_silence(void)
{
	ratelimit_t limit = {.per_s = 0.0};

	ratelimit_on_stated(&limit, 1.0, START_MS);
	limit.all_units = 3;
	CU_ASSERT_EQUAL(ratelimit_term(&limit, START_MS - 100), 0);
	CU_ASSERT_EQUAL(ratelimit_term(&limit, START_MS + 9999), 0);
	CU_ASSERT_EQUAL(ratelimit_term(&limit, START_MS + 10000), 1);
	CU_ASSERT_DOUBLE_EQUAL(limit.per_s, 1.0, 1e-9);
	/* A unit may be used less often than that. */
	ratelimit_on_stated(&limit, 0.2, START_MS);
	limit.all_units = 2;
	CU_ASSERT_EQUAL(ratelimit_term(&limit, START_MS + 19999), 0);
	CU_ASSERT_EQUAL(ratelimit_term(&limit, START_MS + 20000), 1);
}

/* Scenario: hosts whose clocks differ repeat what they know. Guards against an
 * older statement that replaces a newer one, and against rates that change on
 * their way. */
static void test_news(void)
{
	const int64_t offset_ms = 77777;
	ratelimit_t limit = {.per_s = 0.0};
	limitnews_t news = {.kind = LIMITNEWS_RELAY, .count = 2};
	limitnews_t received;
	buf_t message = BUF_INIT;
	err_t err = {0};

	ratelimit_on_stated(&limit, 7.0 / 3.0, START_MS);
	news.entries[0] =
		(limitnews_entry_t){UINT64_MAX, limit.per_s, START_MS};
	news.entries[1] = (limitnews_entry_t){1, 0.0, START_MS - 500};
	limitnews_write(&news, START_MS + 100, &message);
	CU_ASSERT_TRUE(limitnews_is_message(buf_view(&message)));
	CU_ASSERT_EQUAL(limitnews_read(buf_view(&message),
				       START_MS + 100 + offset_ms, &received,
				       &err),
			ERR_OK);
	CU_ASSERT_EQUAL(received.count, 2);
	CU_ASSERT_EQUAL(received.entries[0].process, UINT64_MAX);
	CU_ASSERT_EQUAL(received.entries[0].stated_ms, START_MS + offset_ms);
	CU_ASSERT_FALSE(ratelimit_on_news(&limit, received.entries[0].per_s,
					  START_MS + 1));
	CU_ASSERT_FALSE(ratelimit_on_news(&limit, 0.0, START_MS));
	CU_ASSERT_TRUE(ratelimit_on_news(&limit, 0.0, START_MS + 1));
	CU_ASSERT_EQUAL(received.entries[1].per_s, 0.0);
	buf_release(&message);
}

/* Scenario: two hosts tell each other the same statement again and again, and
 * each message takes 50 ms. Guards against a statement that looks ever newer,
 * so that nobody notices the silence. */
static void test_echoed_news(void)
{
	ratelimit_t a = {.per_s = 0.0};
	ratelimit_t b = {.per_s = 0.0};

	ratelimit_on_stated(&a, 1.0, START_MS);
	for (int i = 0; i < 100; i++) {
		ratelimit_on_news(&b, a.per_s, a.stated_ms + 50);
		ratelimit_on_news(&a, b.per_s, b.stated_ms + 50);
	}
	CU_ASSERT_EQUAL(a.stated_ms, START_MS);
	CU_ASSERT_EQUAL(b.stated_ms, START_MS + 50);
	ratelimit_on_news(&b, 1.0, START_MS + 1000);
	CU_ASSERT_EQUAL(b.stated_ms, START_MS + 1000);
}

/* Guards against a message that is too long for its list. */
static void test_long_news(void)
{
	limitnews_t news = {.kind = LIMITNEWS_HOST,
			    .count = LIMITNEWS_MAX_ENTRIES};
	limitnews_t received;
	buf_t message = BUF_INIT;
	err_t err = {0};

	for (size_t i = 0; i < news.count; i++)
		news.entries[i] = (limitnews_entry_t){
			UINT64_MAX - i, RATELIMIT_MAX_PER_S, START_MS};
	limitnews_write(&news, START_MS + LIMITNEWS_MAX_AGE_MS, &message);
	CU_ASSERT_TRUE(message.len <= 1200);
	CU_ASSERT_EQUAL(
		limitnews_read(buf_view(&message), START_MS, &received, &err),
		ERR_OK);
	buf_reset(&message);
	limitnews_write(&news, START_MS + LIMITNEWS_MAX_AGE_MS + 1, &message);
	CU_ASSERT_EQUAL(
		limitnews_read(buf_view(&message), START_MS, &received, &err),
		ERR_INVALID);
	buf_release(&message);
}

int main(void)
{
	CU_TestInfo tests[] = {
		{"sum over hosts", test_sum_over_hosts},
		{"replaced hosts", test_replaced_hosts},
		{"least urgent only", test_least_urgent_only},
		{"sends before the limit", test_sends_before_limit},
		{"units and priority", test_units_and_priority},
		{"end of a limit", test_end_of_limit},
		{"absurd rates", test_absurd_rates},
		{"low rate is spaced", test_low_rate_is_spaced},
		{"silence", test_silence},
		{"news", test_news},
		{"echoed news", test_echoed_news},
		{"long news", test_long_news},
		CU_TEST_INFO_NULL};

	return unit_run("ratelimit", tests);
}
