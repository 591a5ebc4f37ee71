#include "unit.h"

#include <math.h>

#include "coordination/pauses.h"
#include "state/fleet.h"

#define START_MS 100000
#define QUIET_MS 30
#define SLOW_FACTOR 2.4

/* Adds `count` events, each `pause_ms` after the one before. */
static void add_events(pauses_t *pauses, unsigned count, int64_t pause_ms,
		       int64_t *now_ms)
{
	for (unsigned i = 0; i < count; i++)
		pauses_on_events(pauses, 1, *now_ms += pause_ms);
}

/* Scenario: half of a stream's events are delayed by the prefill of prompts.
 * Guards against an engine that counts as slow since it reads long prompts. */
static void test_pauses_with_prefill(void)
{
	pauses_t pauses;
	int64_t now_ms = START_MS;

	pauses_reset(&pauses);
	for (int i = 0; i < 6; i++) {
		add_events(&pauses, 3, QUIET_MS, &now_ms);
		add_events(&pauses, 3, QUIET_MS + 70, &now_ms);
	}
	CU_ASSERT_EQUAL(pauses_quiet_ms(&pauses), QUIET_MS);
}

/* Scenario: a busy host reads the events of several pauses at once. Guards
 * against an engine that counts as slow since the host is. */
static void test_pauses_of_busy_host(void)
{
	pauses_t pauses;

	pauses_reset(&pauses);
	for (int i = 0; i < 8; i++)
		pauses_on_events(&pauses, 3, START_MS + 3 * QUIET_MS * i);
	CU_ASSERT_EQUAL(pauses_quiet_ms(&pauses), QUIET_MS);
	/* Parts of one read that arrive a moment apart are no pauses. */
	pauses_reset(&pauses);
	for (int i = 0; i < 32; i++)
		pauses_on_events(&pauses, 1,
				 START_MS + QUIET_MS * (i / 2) + i % 2);
	CU_ASSERT_TRUE(fabs(pauses_quiet_ms(&pauses) - QUIET_MS) <= 1.0);
}

/* Scenario: the caller reads slowly, and the host with it. Guards against
 * counting the times at which the caller read. */
static void test_pauses_of_slow_caller(void)
{
	pauses_t pauses;
	int64_t now_ms = START_MS;

	pauses_reset(&pauses);
	add_events(&pauses, PAUSES_MIN_SAMPLES, QUIET_MS, &now_ms);
	CU_ASSERT_EQUAL(pauses_quiet_ms(&pauses), 0.0);
	add_events(&pauses, 1, QUIET_MS, &now_ms);
	pauses_on_held_back(&pauses);
	add_events(&pauses, 30, 5, &now_ms);
	CU_ASSERT_EQUAL(pauses_quiet_ms(&pauses), QUIET_MS);
	pauses_reset(&pauses);
	CU_ASSERT_EQUAL(pauses_quiet_ms(&pauses), 0.0);
}

/* Guards against a long stream of which only the beginning counts. */
static void test_pauses_of_long_stream(void)
{
	pauses_t pauses;
	int64_t now_ms = START_MS;

	pauses_reset(&pauses);
	add_events(&pauses, 50, QUIET_MS, &now_ms);
	add_events(&pauses, 950, 2 * QUIET_MS, &now_ms);
	CU_ASSERT_EQUAL(pauses_quiet_ms(&pauses), 2 * QUIET_MS);
}

static void on_endpoint_gone(void *user, endpoint_t *endpoint)
{
	(void)user;
	(void)endpoint;
}

static fleet_t *create_fleet(void)
{
	const fleet_observer_t observer = {on_endpoint_gone, NULL};

	return fleet_create(&observer);
}

static endpoint_t *put_engine(fleet_t *fleet, unsigned number,
			      int64_t incarnation)
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
	return fleet_put(fleet, &record, START_MS);
}

/* Adds engines, the last of which is slow, with as many samples for each. */
static endpoint_t *add_slow_engine(fleet_t *fleet, unsigned engines,
				   unsigned samples)
{
	endpoint_t *engine = NULL;

	for (unsigned i = 0; i < engines; i++) {
		engine = put_engine(fleet, i, 1);
		for (unsigned j = 0; j < samples; j++)
			endpoint_add_quiet_pause(
				engine,
				QUIET_MS * (i + 1 == engines ? SLOW_FACTOR : 1),
				START_MS);
	}
	return engine;
}

/* Scenario: one of five engines is slow. Guards against an estimate that
 * follows a single sample, that isn't reached with many, or that shifts the
 * usual engines. */
static void test_few_samples(void)
{
	static const double min_slowness[] = {1.0, 1.25, 1.5, 2.2};
	static const double max_slowness[] = {1.0, 1.4, 1.9, SLOW_FACTOR};
	static const unsigned samples[] = {0, 1, 4, 40};

	for (int i = 0; i < 4; i++) {
		fleet_t *fleet = create_fleet();
		const endpoint_t *slow = add_slow_engine(fleet, 5, samples[i]);

		fleet_update_slowness(fleet, START_MS);
		CU_ASSERT_TRUE(slow->slowness >= min_slowness[i]);
		CU_ASSERT_TRUE(slow->slowness <= max_slowness[i]);
		CU_ASSERT_TRUE(fabs(fleet_at(fleet, 0)->slowness - 1.0) < 1e-9);
		fleet_free(fleet);
	}
}

/* Scenario: an engine gets no more streams, restarts, or another one gets its
 * name. Guards against an old estimate that keeps traffic away for good. */
static void test_forgotten(void)
{
	fleet_t *fleet = create_fleet();
	endpoint_t *slow = add_slow_engine(fleet, 5, 40);

	fleet_update_slowness(fleet, START_MS + 10000);
	CU_ASSERT_TRUE(slow->slowness > 2.0);
	fleet_update_slowness(fleet, START_MS + 90000);
	CU_ASSERT_TRUE(slow->slowness < 1.4);
	fleet_update_slowness(fleet, START_MS + SPEED_MAX_AGE_MS + 1);
	CU_ASSERT_EQUAL(slow->slowness, 1.0);
	fleet_update_slowness(fleet, START_MS);
	CU_ASSERT_TRUE(slow->slowness > 2.0);
	slow = put_engine(fleet, 4, 2);
	CU_ASSERT_EQUAL(slow->slowness, 1.0);
	fleet_update_slowness(fleet, START_MS);
	CU_ASSERT_EQUAL(slow->slowness, 1.0);
	CU_ASSERT_EQUAL(endpoint_quiet_pause_ms(slow, START_MS), 0.0);
	fleet_free(fleet);
}

/* Guards against an estimate that a clock or an engine that misbehaves makes
 * unusable. */
static void test_invalid_samples(void)
{
	const double pauses_ms[] = {0.0, -1.0, NAN, INFINITY, 1e300, 1e-300};
	fleet_t *fleet = create_fleet();
	endpoint_t *engine = add_slow_engine(fleet, 5, 1);

	for (int i = 0; i < 6; i++)
		for (int j = 0; j < 1000; j++)
			endpoint_add_quiet_pause(engine, pauses_ms[i],
						 START_MS);
	fleet_update_slowness(fleet, START_MS);
	CU_ASSERT_TRUE(engine->slowness >= SPEED_MIN_SLOWNESS);
	CU_ASSERT_TRUE(engine->slowness <= SPEED_MAX_SLOWNESS);
	CU_ASSERT_TRUE(fabs(fleet_at(fleet, 0)->slowness - 1.0) < 1e-9);
	fleet_free(fleet);
}

int main(void)
{
	CU_TestInfo tests[] = {
		{"pauses with prefill", test_pauses_with_prefill},
		{"pauses of a busy host", test_pauses_of_busy_host},
		{"pauses of a slow caller", test_pauses_of_slow_caller},
		{"pauses of a long stream", test_pauses_of_long_stream},
		{"few samples", test_few_samples},
		{"forgotten", test_forgotten},
		{"invalid samples", test_invalid_samples},
		CU_TEST_INFO_NULL,
	};

	return unit_run("speed", tests);
}
