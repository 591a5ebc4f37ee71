#include "unit.h"

#include "crashes.h"

/* Load: requests with one faulty part come to all hosts, each crashes another
 * endpoint, and other requests run there. Guards against a part that is never
 * blocked, or blocked by fewer crashes than ordinary ones may bring. */
static void test_faulty_part_is_blocked(void)
{
	crashboard_t *board = create_board();
	uint64_t class_part = CLASS_PART;
	int64_t at_ms = START_MS;

	for (unsigned i = 0; i < CRASHBOARD_MIN_CRASHES; i++) {
		uint64_t inputs[] = {CLASS_PART, FAULTY_PART, 100 + i};

		CU_ASSERT_FALSE(blocks_input(board, FAULTY_PART));
		report_inputs(board, i % 2 ? HOST_B : HOST_A, i, at_ms, inputs,
			      3);
		crashboard_add_sound(board, class_part, at_ms + 100);
		crashboard_update(board, at_ms + CRASHBOARD_REPORT_MS);
		at_ms += STEP_MS;
	}
	CU_ASSERT_TRUE(blocks_input(board, FAULTY_PART));
	CU_ASSERT_FALSE(blocks_input(board, CLASS_PART));
	CU_ASSERT_FALSE(blocks_input(board, 100));
	crashboard_free(board);
}

/* Load: a customer whose few requests nearly all have the faulty part. Guards
 * against refusing the customer's sound requests, which crashes alone do not
 * tell from the faulty ones. */
static void test_parts_that_come_together(void)
{
	crashboard_t *board = create_board();
	uint64_t faulty[] = {CLASS_PART, CUSTOMER_PART, FAULTY_PART};
	uint64_t sound[] = {CLASS_PART, CUSTOMER_PART, RARE_PART};
	int64_t now_ms = crash_in_turn(board, CRASHBOARD_MIN_CRASHES, START_MS,
				       faulty, 3);

	CU_ASSERT_TRUE(blocks(board, faulty, 3));
	CU_ASSERT_FALSE(blocks(board, sound, 3));
	/* A sound answer shows which of them it is not. */
	crashboard_on_sound(board, sound, 3, now_ms);
	CU_ASSERT_TRUE(crashboard_update(board, now_ms));
	CU_ASSERT_TRUE(blocks_input(board, FAULTY_PART));
	CU_ASSERT_FALSE(blocks_input(board, CUSTOMER_PART));
	crashboard_free(board);
}

/* Load: as above, but it is the first part that crashes endpoints, behind it
 * others each time. Guards against blocking only parts that follow it. */
static void test_first_part_is_faulty(void)
{
	crashboard_t *board = create_board();
	uint64_t together[] = {FAULTY_PART, CUSTOMER_PART};
	uint64_t alone[] = {FAULTY_PART};
	int64_t now_ms = crash_in_turn(board, CRASHBOARD_MIN_CRASHES, START_MS,
				       together, 2);

	CU_ASSERT_TRUE(blocks(board, together, 2));
	CU_ASSERT_FALSE(blocks(board, alone, 1));
	crash_in_turn(board, CRASHBOARD_MIN_UNEXPLAINED, now_ms, alone, 1);
	CU_ASSERT_TRUE(blocks(board, alone, 1));
	CU_ASSERT_FALSE(blocks_input(board, CUSTOMER_PART));
	crashboard_free(board);
}

/* Load: crashes by a faulty part, sometimes with a customer's sound requests
 * that wait at the endpoint, and now and then a sound answer to them. Guards
 * against blocking the customer for crashes that the faulty part explains. */
static void test_bystander_is_explained(void)
{
	crashboard_t *board = create_board();
	uint64_t both[] = {CUSTOMER_PART, FAULTY_PART};
	uint64_t faulty = FAULTY_PART;
	uint64_t customer = CUSTOMER_PART;
	int64_t now_ms = crash_in_turn(board, 2, START_MS, &faulty, 1);

	now_ms = crash_in_turn(board, CRASHBOARD_MIN_CRASHES, now_ms, both, 2);
	CU_ASSERT_TRUE(blocks_input(board, FAULTY_PART));
	CU_ASSERT_FALSE(blocks_input(board, CUSTOMER_PART));
	/* Nor for some ordinary crashes more: it was not in all of the others.
	 */
	crash_in_turn(board, CRASHBOARD_MIN_CRASHES - 1, now_ms, &customer, 1);
	CU_ASSERT_FALSE(blocks_input(board, CUSTOMER_PART));
	crashboard_free(board);
}

/* Load: two faulty parts at the same time, in different requests. Guards
 * against one hiding the other. */
static void test_two_faulty_parts(void)
{
	crashboard_t *board = create_board();
	uint64_t first = FAULTY_PART;
	uint64_t second = OTHER_FAULTY_PART;

	crash_in_turn(board, CRASHBOARD_MIN_CRASHES, START_MS, &first, 1);
	crash_in_turn(board, CRASHBOARD_MIN_CRASHES, START_MS + 300, &second,
		      1);
	CU_ASSERT_TRUE(blocks_input(board, FAULTY_PART));
	CU_ASSERT_TRUE(blocks_input(board, OTHER_FAULTY_PART));
	crashboard_free(board);
}

/* Load: many endpoints lose power at once, twice. Guards against blocking sound
 * prompts that waited at all of them. */
static void test_endpoints_crash_together(void)
{
	crashboard_t *board = create_board();
	uint64_t rare = RARE_PART;

	for (unsigned i = 0; i < 20; i++) {
		int64_t at_ms = START_MS + i % 5 * 40 + (i < 10 ? 0 : 10000);

		report_inputs(board, i % 2 ? HOST_A : HOST_B, i, at_ms, &rare,
			      1);
	}
	crashboard_update(board, START_MS + 12000);
	CU_ASSERT_FALSE(blocks_input(board, RARE_PART));
	crashboard_free(board);
}

/* Load: crashes less than CRASHBOARD_TIME_GAP_MS apart, one after the other.
 * Guards against counting such a series as one time: a faulty part would be
 * blocked late, and a bystander of some of its crashes first. */
static void test_fast_series_of_crashes(void)
{
	crashboard_t *board = create_board();
	uint64_t inputs[] = {FAULTY_PART, RARE_PART};

	for (unsigned i = 0; i < 9; i++)
		report_inputs(board, i % 2 ? HOST_A : HOST_B, i,
			      START_MS + i * 200, inputs, i % 2 ? 2 : 1);
	crashboard_update(board, START_MS + 1600);
	CU_ASSERT_TRUE(blocks_input(board, FAULTY_PART));
	CU_ASSERT_FALSE(blocks_input(board, RARE_PART));
	crashboard_free(board);
}

/* Guards against a block that rests on the first crashes alone, before reports
 * of sound answers can have arrived from all hosts. */
static void test_waits_for_sound_reports(void)
{
	crashboard_t *board = create_board();
	uint64_t input = RARE_PART;

	for (unsigned i = 0; i < 6; i++)
		report_inputs(board, i % 2 ? HOST_A : HOST_B, i,
			      START_MS + i * 150, &input, 1);
	crashboard_update(board, START_MS + SETTLE_MS - 1);
	CU_ASSERT_FALSE(blocks_input(board, RARE_PART));
	crashboard_update(board, START_MS + SETTLE_MS);
	CU_ASSERT_TRUE(blocks_input(board, RARE_PART));
	crashboard_free(board);
}

/* Load: many hosts report one crash, first those that lost a sound request of
 * the customer, then the one whose request caused it. Guards against blocking
 * the customer in between. */
static void test_reports_of_one_crash_in_turn(void)
{
	crashboard_t *board = create_board();
	uint64_t both[] = {CUSTOMER_PART, FAULTY_PART};
	uint64_t customer = CUSTOMER_PART;
	int64_t now_ms = crash_in_turn(board, CRASHBOARD_MIN_CRASHES - 1,
				       START_MS, both, 2);

	report_inputs(board, HOST_A, 77, now_ms, &customer, 1);
	crashboard_update(board, now_ms + 50);
	CU_ASSERT_FALSE(blocks_input(board, CUSTOMER_PART));
	report_inputs(board, HOST_B, 77, now_ms + 40, both, 2);
	crashboard_update(board, now_ms + CRASHBOARD_REPORT_MS);
	CU_ASSERT_TRUE(blocks(board, both, 2));
	CU_ASSERT_FALSE(blocks_input(board, CUSTOMER_PART));
	crashboard_free(board);
}

/* Guards against a sound prompt that stays blocked after an endpoint has
 * answered it, on this host or another. */
static void test_sound_answer_releases(void)
{
	crashboard_t *board = create_board();
	uint64_t input = RARE_PART;
	int64_t now_ms = crash_in_turn(board, CRASHBOARD_MIN_CRASHES, START_MS,
				       &input, 1);

	CU_ASSERT_TRUE(blocks_input(board, RARE_PART));
	CU_ASSERT_TRUE(crashboard_add_sound(board, RARE_PART, now_ms));
	CU_ASSERT_TRUE(crashboard_update(board, now_ms));
	CU_ASSERT_FALSE(blocks_input(board, RARE_PART));
	crashboard_free(board);
}

/* Scenario: the requests with the part stop, and return later. Guards against
 * blocks without end, and against as many crashes again when one returns. */
static void test_block_ends_and_returns(void)
{
	crashboard_t *board = create_board();
	uint64_t input = FAULTY_PART;
	int64_t now_ms = crash_in_turn(board, CRASHBOARD_MIN_CRASHES, START_MS,
				       &input, 1);
	int64_t last_ms = now_ms - STEP_MS;

	crashboard_update(board, last_ms + CRASHBOARD_BLOCK_MS);
	CU_ASSERT_TRUE(blocks_input(board, FAULTY_PART));
	now_ms = last_ms + 2 * CRASHBOARD_BLOCK_MS;
	crashboard_update(board, now_ms);
	CU_ASSERT_FALSE(blocks_input(board, FAULTY_PART));
	crash_in_turn(board, 1, now_ms, &input, 1);
	CU_ASSERT_TRUE(blocks_input(board, FAULTY_PART));
	crashboard_update(board, now_ms + 2 * CRASHBOARD_BLOCK_MS - 1);
	CU_ASSERT_TRUE(blocks_input(board, FAULTY_PART));
	crashboard_free(board);
}

/* Guards against one faulty host that shuts out a prompt for all by its
 * reports. A host trusts what it found itself. */
static void test_reports_of_one_host(void)
{
	crashboard_t *board = create_board();
	uint64_t input = RARE_PART;

	for (unsigned i = 0; i < 20; i++)
		report_inputs(board, HOST_B, i, START_MS + i * STEP_MS, &input,
			      1);
	crashboard_update(board, START_MS + 20 * STEP_MS);
	CU_ASSERT_FALSE(blocks_input(board, RARE_PART));
	crashboard_free(board);

	board = create_board();
	for (unsigned i = 0; i < CRASHBOARD_MIN_CRASHES; i++)
		report_inputs(board, HOST_A, i, START_MS + i * STEP_MS, &input,
			      1);
	crashboard_update(board, START_MS + 20 * STEP_MS);
	CU_ASSERT_TRUE(blocks_input(board, RARE_PART));
	crashboard_free(board);
}

/* Guards against counting a crash of an endpoint that still answers on a
 * connection from before. */
static void test_running_endpoint_refutes_crash(void)
{
	crashboard_t *board = create_board();
	uint64_t input = RARE_PART;

	crash_in_turn(board, CRASHBOARD_MIN_CRASHES, START_MS, &input, 1);
	CU_ASSERT_TRUE(blocks_input(board, RARE_PART));
	/* Opened after the crash: another process may have the address. */
	crashboard_refute(board, START_MS, START_MS + 1);
	crashboard_update(board, START_MS + 10000);
	CU_ASSERT_TRUE(blocks_input(board, RARE_PART));
	crashboard_refute(board, START_MS, START_MS - 1);
	CU_ASSERT_TRUE(crashboard_update(board, START_MS + 10000));
	CU_ASSERT_FALSE(blocks_input(board, RARE_PART));
	crashboard_free(board);
}

/* Load: callers invent part ids, and endpoints crash all the time. Guards
 * against memory that grows with them, and against a block that is lost when
 * the tables are full. */
static void test_tables_are_bounded(void)
{
	crashboard_t *board = create_board();
	uint64_t faulty = FAULTY_PART;
	int64_t now_ms = crash_in_turn(board, CRASHBOARD_MIN_CRASHES, START_MS,
				       &faulty, 1);
	size_t count;

	for (unsigned i = 0; i < 1000; i++) {
		uint64_t inputs[CRASHBOARD_REPORT_INPUTS];

		for (unsigned j = 0; j < CRASHBOARD_REPORT_INPUTS; j++)
			inputs[j] = 1000 + i * CRASHBOARD_REPORT_INPUTS + j;
		report_inputs(board, HOST_B, 5000 + i, now_ms + i * 10, inputs,
			      CRASHBOARD_REPORT_INPUTS);
	}
	crashboard_update(board, now_ms + 10000);
	crashboard_blocks(board, &count);
	CU_ASSERT_EQUAL(count, 1);
	CU_ASSERT_TRUE(blocks_input(board, FAULTY_PART));
	crashboard_free(board);
}

/* Load: a part in many requests of a fleet of 295 hosts crashes 125 endpoints a
 * second, and reports of sound answers take 2.45 s to arrive. Guards against a
 * full table that always forgets the part's first crash, so that the time for
 * such reports never seems to be over (BUDGET). */
static void test_fast_crashes_of_large_fleet(void)
{
	enum { FLEET_SETTLE_MS = 2450, CRASH_MS = 8, UPDATE_MS = 250 };
	crashboard_t *board = create_board();
	int64_t blocked_ms = 0;

	crashboard_set_host(board, HOST_A, FLEET_SETTLE_MS);
	for (int64_t ms = 0; ms < 4000 && !blocked_ms; ms += CRASH_MS) {
		uint64_t inputs[] = {FAULTY_PART, 1000 + (uint64_t)ms};

		report_inputs(board, ms / CRASH_MS % 2 ? HOST_A : HOST_B,
			      1 + (uint64_t)ms, START_MS + ms, inputs, 2);
		if (ms % UPDATE_MS < CRASH_MS)
			crashboard_update(board, START_MS + ms);
		if (blocks_input(board, FAULTY_PART))
			blocked_ms = ms;
	}
	CU_ASSERT_TRUE(blocked_ms >= FLEET_SETTLE_MS);
	CU_ASSERT_TRUE(blocked_ms <= FLEET_SETTLE_MS + 2 * UPDATE_MS);
	crashboard_free(board);
}

/* Load: all endpoints of a domain end at once and fill the table, then a part
 * crashes others. Guards against a full table that takes no new crashes. */
static void test_full_table_takes_new_crashes(void)
{
	crashboard_t *board = create_board();
	uint64_t faulty = FAULTY_PART;
	int64_t now_ms;

	for (unsigned i = 0; i < 2 * CRASHBOARD_MAX_CRASHES; i++) {
		uint64_t input = 1000 + i;

		report_inputs(board, HOST_B, 5000 + i, START_MS, &input, 1);
	}
	now_ms = crash_in_turn(board, CRASHBOARD_MIN_CRASHES, START_MS + 100,
			       &faulty, 1);
	crashboard_update(board, now_ms + SETTLE_MS);
	CU_ASSERT_TRUE(blocks_input(board, FAULTY_PART));
	crashboard_free(board);
}

/* Load: a storm of crashes, each with many requests that wait, and shortly
 * afterwards crashes by another part, each with as many. Guards against a full
 * table that forgets the first crashes of the part, so that bystanders are
 * blocked before it. */
static void test_full_table_keeps_new_input(void)
{
	crashboard_t *board = create_board();
	uint64_t next = 1000;

	for (unsigned i = 0; i < 20; i++) {
		int64_t at_ms = START_MS + i * STEP_MS;
		uint64_t inputs[CRASHBOARD_REPORT_INPUTS];

		for (unsigned j = 0; j < CRASHBOARD_REPORT_INPUTS; j++)
			inputs[j] = next++;
		if (i >= 20 - CRASHBOARD_MIN_CRASHES)
			inputs[0] = FAULTY_PART;
		report_inputs(board, i % 2 ? HOST_A : HOST_B, i, at_ms, inputs,
			      CRASHBOARD_REPORT_INPUTS);
	}
	crashboard_update(board, START_MS + 20 * STEP_MS);
	CU_ASSERT_TRUE(blocks_input(board, FAULTY_PART));
	crashboard_free(board);
}

/* Pseudo-random numbers of a simulation. */
static unsigned draw(uint64_t *state, unsigned below)
{
	*state = *state * 6364136223846793005ull + 1442695040888963407ull;
	return (unsigned)(*state >> 33) % below;
}

#define SIM_ENDPOINTS 12
#define SIM_PARTS 400
#define SIM_REQUESTS 3000
#define SIM_SEEDS 50
/* The platform's rules demand a decision within CONTACT_MS of the fifth crash,
 * after which this many requests may reach endpoints. */
#define CONTACT_MS 4000
#define MAX_LATE_SENDS 3

/*
 * Plays one day: each 10 ms a request with a random part goes to an endpoint,
 * waits there, and is answered if the endpoint has not crashed. Popular parts
 * are as frequent as rare ones are together. `faulty` is the part that crashes
 * endpoints; 0: none. `late_sends` is set to the number of its requests that
 * are sent later than CONTACT_MS after its fifth crash. RETURN VALUE: the
 * number of sound requests that were refused.
 */
static unsigned play_day(uint64_t seed, unsigned crash_interval_ms,
			 uint64_t faulty, unsigned *late_sends)
{
	crashboard_t *board = create_board();
	int64_t down_until_ms[SIM_ENDPOINTS] = {0};
	int64_t fifth_ms = INT64_MAX / 2;
	uint64_t state = seed * 7919 + 1;
	unsigned wrongly_blocked = 0;
	unsigned faulty_sends = 0;

	*late_sends = 0;
	for (unsigned n = 0; n < SIM_REQUESTS; n++) {
		int64_t now_ms = START_MS + n * 10;
		unsigned endpoint = draw(&state, SIM_ENDPOINTS);
		uint64_t part = draw(&state, 2) ?
					1000 + draw(&state, 5) :
					2000 + draw(&state, SIM_PARTS);
		uint32_t host = draw(&state, 2) ? HOST_A : HOST_B;
		uint64_t inputs[] = {part, 2000 + draw(&state, SIM_PARTS),
				     2000 + draw(&state, SIM_PARTS)};
		bool crashes = draw(&state, crash_interval_ms / 10) == 0;
		bool is_faulty = faulty && draw(&state, 40) == 0;

		if (is_faulty)
			inputs[0] = faulty;
		crashboard_update(board, now_ms);
		if (blocks(board, inputs, 3)) {
			wrongly_blocked += !is_faulty;
			continue;
		}
		if (now_ms < down_until_ms[endpoint])
			continue;
		*late_sends += is_faulty && now_ms > fifth_ms + CONTACT_MS;
		faulty_sends += is_faulty;
		if (is_faulty && faulty_sends == 5)
			fifth_ms = now_ms;
		if (crashes || is_faulty) {
			down_until_ms[endpoint] = now_ms + 3000;
			report_inputs(board, host, (uint64_t)now_ms, now_ms,
				      inputs, 3);
		} else {
			crashboard_on_sound(board, inputs, 3, now_ms);
		}
	}
	crashboard_free(board);
	return wrongly_blocked;
}

/* Load: endpoints crash by turns, every half second on average, with sound
 * prompts of popular and of rare parts. Guards against blocking sound parts for
 * ordinary crashes. */
static void test_ordinary_crashes_block_nothing(void)
{
	unsigned late_sends;

	for (uint64_t seed = 1; seed <= SIM_SEEDS; seed++)
		CU_ASSERT_EQUAL(play_day(seed, 500, 0, &late_sends), 0);
}

/* Load: the same, and one request in 40 has a faulty part. Guards against
 * missing it among ordinary crashes, and against refusing sound requests. */
static void test_faulty_part_among_ordinary_crashes(void)
{
	unsigned late_sends;

	for (uint64_t seed = 1; seed <= SIM_SEEDS; seed++) {
		CU_ASSERT_EQUAL(play_day(seed, 1000, FAULTY_PART, &late_sends),
				0);
		CU_ASSERT_TRUE(late_sends <= MAX_LATE_SENDS);
	}
}

int main(void)
{
	CU_TestInfo tests[] = {
		{"a faulty part is blocked", test_faulty_part_is_blocked},
		{"parts that come together", test_parts_that_come_together},
		{"the first part is faulty", test_first_part_is_faulty},
		{"a bystander is explained", test_bystander_is_explained},
		{"two faulty parts", test_two_faulty_parts},
		{"endpoints crash together", test_endpoints_crash_together},
		{"a fast series of crashes", test_fast_series_of_crashes},
		{"waits for sound reports", test_waits_for_sound_reports},
		{"reports of one crash in turn",
		 test_reports_of_one_crash_in_turn},
		{"a sound answer releases", test_sound_answer_releases},
		{"a block ends and returns", test_block_ends_and_returns},
		{"reports of one host", test_reports_of_one_host},
		{"a running endpoint refutes a crash",
		 test_running_endpoint_refutes_crash},
		{"tables are bounded", test_tables_are_bounded},
		{"fast crashes of a large fleet",
		 test_fast_crashes_of_large_fleet},
		{"a full table takes new crashes",
		 test_full_table_takes_new_crashes},
		{"a full table keeps a new input",
		 test_full_table_keeps_new_input},
		{"ordinary crashes block nothing",
		 test_ordinary_crashes_block_nothing},
		{"a faulty part among ordinary crashes",
		 test_faulty_part_among_ordinary_crashes},
		CU_TEST_INFO_NULL};

	return unit_run("crashboard", tests);
}
