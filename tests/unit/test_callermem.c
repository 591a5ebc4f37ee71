#include "unit.h"

#include "request/callermem.h"

#define MB (1024u * 1024)
#define SMALL_HOST_BYTES (120u * MB)
#define SMALL_HOST_FDS 4100
#define CROWD 2000
#define LARGE_BODY_BYTES (1u * MB)

static callermem_t small_host(void)
{
	return (callermem_t){
		.limits = callermem_limits(SMALL_HOST_BYTES, SMALL_HOST_FDS)};
}

/* Lets a crowd take all that the bodies' pool gives. RETURN VALUE: the number
 * of connections that got their body. */
static unsigned fill_bodies(callermem_t *mem, callermem_share_t shares[CROWD])
{
	unsigned count = 0;

	for (unsigned i = 0; i < CROWD; i++) {
		if (!callermem_may_grow(mem, &shares[i], LARGE_BODY_BYTES))
			continue;
		callermem_set(mem, &shares[i], LARGE_BODY_BYTES, 0);
		count++;
	}
	return count;
}

/* Load: a crowd sends large bodies at once. Guards against a host that runs out
 * of memory, also when endpoints don't read, so that each body exists twice. */
static void test_crowd_of_bodies(void)
{
	callermem_t mem = small_host();
	callermem_share_t shares[CROWD] = {{0, 0}};
	unsigned count = fill_bodies(&mem, shares);

	CU_ASSERT(count > 0);
	CU_ASSERT(2 * mem.used.body_bytes < SMALL_HOST_BYTES / 2);
	for (unsigned i = 0; i < CROWD; i++)
		callermem_set(&mem, &shares[i], 0, 0);
	CU_ASSERT_EQUAL(mem.used.body_bytes, 0);
	CU_ASSERT_EQUAL(mem.used.buffer_bytes, 0);
}

/* Load: the same crowd holds the bodies' pool. Guards against small requests
 * that are refused then, and against one that ends up without room when the
 * buffers are used up too. */
static void test_small_request_beside_crowd(void)
{
	callermem_t mem = small_host();
	callermem_share_t shares[CROWD] = {{0, 0}};
	callermem_share_t own = {0, 0};

	fill_bodies(&mem, shares);
	CU_ASSERT(callermem_may_grow(&mem, &own, CALLERMEM_SMALL_BYTES));
	for (unsigned i = 0; !callermem_is_exceeded(&mem) && i < CROWD; i++)
		callermem_set(&mem, &shares[i], 0, MB);
	callermem_set(&mem, &own, 4096, 4096);
	CU_ASSERT_EQUAL(own.buffer_bytes, 0);
}

/* Guards against a largest body that no pool of a small host takes in calm. */
static void test_single_body(void)
{
	callermem_t mem = {.limits = callermem_limits(8 * MB, 300)};
	callermem_share_t own = {0, 0};

	CU_ASSERT(callermem_may_grow(&mem, &own, 4 * MB));
}

static callermem_view_t holder(callermem_state_t state, int64_t stalled_ms)
{
	return (callermem_view_t){state, stalled_ms, {MB, MB}};
}

/* Load: bodies that stop just short of their end, beside uploads that go on.
 * Guards against an upload that is at work, or a request that runs, and yields
 * to others (LOST). */
static void test_stalled_yield(void)
{
	callermem_view_t active = holder(CALLERMEM_INCOMPLETE, 500);
	callermem_view_t stalled = holder(CALLERMEM_INCOMPLETE, 4000);
	callermem_view_t longer = holder(CALLERMEM_INCOMPLETE, 9000);
	callermem_view_t running = holder(CALLERMEM_IN_USE, 60000);
	callermem_view_t empty = {CALLERMEM_INCOMPLETE, 9000, {0, 0}};

	CU_ASSERT(callermem_rank(&active, CALLERMEM_BODIES) < 0);
	CU_ASSERT(callermem_rank(&stalled, CALLERMEM_BODIES) >= 0);
	CU_ASSERT(callermem_rank(&longer, CALLERMEM_BODIES) >
		  callermem_rank(&stalled, CALLERMEM_BODIES));
	CU_ASSERT(callermem_rank(&running, CALLERMEM_BODIES) < 0);
	CU_ASSERT(callermem_rank(&running, CALLERMEM_BUFFERS_AT_ONCE) < 0);
	CU_ASSERT(callermem_rank(&running, CALLERMEM_CONNECTIONS) < 0);
	CU_ASSERT(callermem_rank(&empty, CALLERMEM_BUFFERS) < 0);
}

/* Load: answers that nobody reads. Guards against a host that waits until they
 * count as stalled although the memory is used up. */
static void test_unread_output(void)
{
	callermem_view_t unread = holder(CALLERMEM_UNREAD, 1000);

	CU_ASSERT(callermem_rank(&unread, CALLERMEM_BUFFERS) < 0);
	CU_ASSERT(callermem_rank(&unread, CALLERMEM_BUFFERS_AT_ONCE) >= 0);
}

/* Load: a crowd that only connects. Guards against new callers that are turned
 * away meanwhile, and against closing a connection that was just opened, or one
 * that served a caller before the crowd's. */
static void test_connections(void)
{
	callermem_view_t opened = holder(CALLERMEM_UNUSED, 100);
	callermem_view_t unused = holder(CALLERMEM_UNUSED, 1000);
	callermem_view_t idle = holder(CALLERMEM_IDLE, 9000);
	callermem_view_t uploading = holder(CALLERMEM_INCOMPLETE, 1000);

	CU_ASSERT(callermem_rank(&opened, CALLERMEM_CONNECTIONS) < 0);
	CU_ASSERT(callermem_rank(&uploading, CALLERMEM_CONNECTIONS) < 0);
	CU_ASSERT(callermem_rank(&idle, CALLERMEM_CONNECTIONS) >= 0);
	CU_ASSERT(callermem_rank(&unused, CALLERMEM_CONNECTIONS) >
		  callermem_rank(&idle, CALLERMEM_CONNECTIONS));
}

/* Guards against limits that leave no descriptor to endpoints, or none to
 * callers, and against an overflow where the system states no limit. */
static void test_limits(void)
{
	CU_ASSERT_EQUAL(callermem_limits(0, 500).max_callers, 200);
	CU_ASSERT(callermem_limits(0, 0).max_callers > 0);
	CU_ASSERT_EQUAL(callermem_limits(0, UINT64_MAX).max_callers,
			callermem_limits(0, 1u << 20).max_callers);
	CU_ASSERT_EQUAL(callermem_limits(UINT64_MAX, 0).body_bytes,
			callermem_limits(4096ull * MB, 0).body_bytes);
}

int main(void)
{
	CU_TestInfo tests[] = {
		{"crowd of bodies", test_crowd_of_bodies},
		{"small request beside a crowd",
		 test_small_request_beside_crowd},
		{"single body", test_single_body},
		{"stalled connections yield", test_stalled_yield},
		{"unread output", test_unread_output},
		{"connections", test_connections},
		{"limits", test_limits},
		CU_TEST_INFO_NULL};

	return unit_run("callermem", tests);
}
