#include "unit.h"

#include "coordination/floors.h"
#include "coordination/warmth.h"

#define BOOT_A STR_LIT("a")
#define BOOT_B STR_LIT("b")

/* Guards against treating an engine as warm before a response proves it, or
 * after the proof has expired (P3). */
static void test_proof_expires(void)
{
	warmth_t warmth = {.proven = false};

	CU_ASSERT_FALSE(warmth_is_proven(&warmth, 0));
	warmth_on_answer(&warmth, BOOT_A, false, 1000, 1100);
	CU_ASSERT_TRUE(warmth_is_proven(&warmth, 1000 + WARMTH_PROOF_MS));
	CU_ASSERT_FALSE(warmth_is_proven(&warmth, 1001 + WARMTH_PROOF_MS));
	/* A late response to an earlier request doesn't shorten the proof. */
	warmth_on_answer(&warmth, BOOT_A, false, 900, 1200);
	CU_ASSERT_TRUE(warmth_is_proven(&warmth, 1000 + WARMTH_PROOF_MS));
}

/* Guards against an engine that counts as warm after it reported cold, because
 * responses to earlier requests arrive later. */
static void test_cold_response(void)
{
	warmth_t warmth = {.proven = false};

	warmth_on_answer(&warmth, BOOT_A, false, 1000, 1010);
	warmth_on_answer(&warmth, BOOT_A, true, 1005, 1020);
	CU_ASSERT_FALSE(warmth_is_proven(&warmth, 1020));
	/* A request sent before the response that reported cold arrived proves
	 * nothing. */
	warmth_on_answer(&warmth, BOOT_A, false, 1019, 1030);
	CU_ASSERT_FALSE(warmth_is_proven(&warmth, 1030));
	warmth_on_answer(&warmth, BOOT_A, false, 1021, 1030);
	CU_ASSERT_TRUE(warmth_is_proven(&warmth, 1030));
}

/* Scenario: an engine restarts between two requests. Guards against relying on
 * a proof from before the restart. */
static void test_restart(void)
{
	warmth_t warmth = {.proven = false};

	warmth_on_answer(&warmth, BOOT_A, false, 1000, 1010);
	warmth_on_answer(&warmth, BOOT_B, true, 1011, 1020);
	CU_ASSERT_FALSE(warmth_is_proven(&warmth, 1020));
	CU_ASSERT_STRING_EQUAL(warmth.boot_id, "b");
	warmth_on_answer(&warmth, BOOT_B, false, 1050, 1060);
	CU_ASSERT_TRUE(warmth_is_proven(&warmth, 1060));
	warmth_on_unreachable(&warmth, 1070);
	CU_ASSERT_TRUE(warmth.unreachable);
	CU_ASSERT_FALSE(warmth_is_proven(&warmth, 1070));
	warmth_on_answer(&warmth, BOOT_B, false, 1071, 1080);
	CU_ASSERT_FALSE(warmth.unreachable);
}

/* Guards against reusing cold units while an orphaned request, which has ended
 * on this host, may still run on the engine. */
static void test_orphaned_requests(void)
{
	warmth_t warmth = {.proven = false};

	CU_ASSERT_EQUAL(warmth_orphaned(&warmth, 0), 0);
	warmth_on_orphaned(&warmth, 1000, 1500);
	warmth_on_orphaned(&warmth, 1100, 1300);
	CU_ASSERT_EQUAL(warmth_orphaned(&warmth, 1400), 2);
	CU_ASSERT_EQUAL(warmth_orphaned(&warmth, 1500), 0);
	warmth_on_orphaned(&warmth, 1600, 1700);
	CU_ASSERT_EQUAL(warmth_orphaned(&warmth, 1650), 1);
}

/* Scenario: a long burst of high-priority requests while others wait. Guards
 * against a class with a floor that gets less or more than its share of the
 * sends (P2). */
static void test_floor_in_a_burst(void)
{
	floors_t floors = {.count = 0};
	unsigned floor_sends = 0;

	floors_get(&floors, 1, 20)->waiting = 100;
	floors_get(&floors, 2, 5)->waiting = 100;
	for (int i = 0; i < 1000; i++) {
		const floors_class_t *due = floors_due(&floors);
		uint64_t id = due ? due->id : 1;

		floor_sends += id == 2;
		floors_on_send(&floors, id);
	}
	CU_ASSERT_TRUE(floor_sends >= 45 && floor_sends <= 55);
}

/* Guards against a class that accumulates credit while none of its requests
 * waits, and then sends a burst. */
static void test_no_floor_credit_when_idle(void)
{
	floors_t floors = {.count = 0};

	floors_get(&floors, 1, 20)->waiting = 1;
	floors_get(&floors, 2, 50);
	for (int i = 0; i < 100; i++)
		floors_on_send(&floors, 1);
	CU_ASSERT_PTR_NULL(floors_due(&floors));
	floors_get(&floors, 2, 50)->waiting = 1;
	CU_ASSERT_PTR_NULL(floors_due(&floors));
	for (int i = 0; i < 100; i++)
		floors_on_send(&floors, 1);
	CU_ASSERT_PTR_NOT_NULL(floors_due(&floors));
	CU_ASSERT_TRUE(floors_due(&floors)->credit <= 2.0);
}

/* Guards against a table without a bound, and against losing a class that is in
 * it when it is full. */
static void test_too_many_classes(void)
{
	floors_t floors = {.count = 0};

	for (uint64_t id = 1; id <= FLOORS_MAX_CLASSES; id++)
		CU_ASSERT_PTR_NOT_NULL(floors_get(&floors, id, 1));
	CU_ASSERT_PTR_NULL(floors_get(&floors, 99, 1));
	CU_ASSERT_PTR_NOT_NULL(floors_get(&floors, 1, 1));
}

int main(void)
{
	CU_TestInfo tests[] = {
		{"proof expires", test_proof_expires},
		{"cold response", test_cold_response},
		{"restart", test_restart},
		{"orphaned requests", test_orphaned_requests},
		{"floor in a burst", test_floor_in_a_burst},
		{"no floor credit when idle", test_no_floor_credit_when_idle},
		{"too many classes", test_too_many_classes},
		CU_TEST_INFO_NULL};

	return unit_run("warmth", tests);
}
