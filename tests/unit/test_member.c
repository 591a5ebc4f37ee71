#include "unit.h"

#include "coordination/estimate.h"
#include "coordination/member.h"
#include "coordination/placement.h"
#include "coordination/retry.h"

static mclock_manual_t manual;
static sheet_domain_t domains[] = {{.name = {"north", 5}},
				   {.name = {"south", 5}}};
static const sheet_t sheet = {.domains = domains, .domain_count = 2};

static member_t *hear(member_table_t *table, str_t host, uint8_t incarnation,
		      bool leaving)
{
	member_t *member = member_learn(table, (str_t){0}, (str_t){0}, host);
	msg_status_t status = {.host = host,
			       .domain = STR_LIT("north"),
			       .incarnation = {{incarnation}},
			       .leaving = leaving};

	member_heard(table, member, &status);
	return member;
}

/* Guards against two owners among hosts that see the same members, and against
 * an owner that is silent, leaving or of another domain. */
static void test_owner(void)
{
	const str_t names[] = {STR_LIT("a"), STR_LIT("b"), STR_LIT("c")};
	member_table_t *table;
	member_t self = {.host = "a", .domain = "north"};
	unsigned owned = 0;

	mclock_manual_init(&manual, 1000);
	table = member_table_create(&manual.base);
	for (size_t i = 0; i < 3; i++)
		hear(table, names[i], 1, false);
	for (int i = 0; i < 100; i++) {
		sheet_endpoint_t endpoint = {
			.name = {(const char *)&i, sizeof(i)}};
		const member_t *owner =
			member_owner(table, &sheet, &endpoint, NULL);
		member_t *heard;
		const member_t *mine =
			member_owner(table, &sheet, &endpoint, &self);

		CU_ASSERT_TRUE(owner && mine);
		if (!owner || !mine)
			break;
		heard = member_find(table, str_from(owner->host));
		CU_ASSERT_PTR_EQUAL(heard, owner);
		if (!heard)
			break;
		owned += mine == &self;
		CU_ASSERT_STRING_EQUAL(owner->host, mine->host);
		heard->listed_leaving = true;
		CU_ASSERT_PTR_NOT_EQUAL(
			member_owner(table, &sheet, &endpoint, NULL), owner);
		heard->listed_leaving = false;
		endpoint.domain_index = 1;
		CU_ASSERT_PTR_NULL(
			member_owner(table, &sheet, &endpoint, &self));
	}
	CU_ASSERT(owned > 10 && owned < 60);
	mclock_manual_advance(&manual, MEMBER_TIMEOUT_MS);
	CU_ASSERT_PTR_NULL(
		member_owner(table, &sheet, &(sheet_endpoint_t){0}, NULL));
	CU_ASSERT_PTR_EQUAL(
		member_owner(table, &sheet, &(sheet_endpoint_t){0}, &self),
		&self);
	self.said_leaving = true;
	CU_ASSERT_PTR_NULL(
		member_owner(table, &sheet, &(sheet_endpoint_t){0}, &self));
	member_table_free(table);
}

static void count_drop(void *user, member_t *member)
{
	CU_ASSERT_STRING_EQUAL(member->address, "c");
	++*(int *)user;
}

/* Guards against a restarted process being taken for the old one, and against
 * a host list or a peer's word making a member live. */
static void test_liveness(void)
{
	msg_status_t status = {.host = STR_LIT("a"), .pool_count = 1};
	char text[] = "model/m";
	member_table_t *table;
	member_t *member;
	int drops = 0;

	mclock_manual_init(&manual, 1000);
	table = member_table_create(&manual.base);
	member = member_learn(table, STR_LIT("a"), STR_LIT("north"),
			      STR_LIT("a"));
	CU_ASSERT_FALSE(member_is_live(table, member));
	status.pools[0].name = str_from(text);
	CU_ASSERT_TRUE(member_heard(table, member, &status));
	memset(text, 'x', sizeof(text) - 1);
	CU_ASSERT_TRUE(str_equals(member->pools[0].name, STR_LIT("model/m")));
	CU_ASSERT_FALSE(member_heard(table, member, &status));
	status.incarnation.bytes[0] = 9;
	CU_ASSERT_TRUE(member_heard(table, member, &status));
	CU_ASSERT_EQUAL(member->restarts, 1);
	mclock_manual_advance(&manual, MEMBER_TIMEOUT_MS - 1);
	CU_ASSERT_TRUE(member_is_live(table, member));
	mclock_manual_advance(&manual, 1);
	CU_ASSERT_FALSE(member_is_live(table, member));
	/* "Unchanged" after a silence makes the member new again, and keeps
	 * what its last STATUS said. */
	CU_ASSERT_TRUE(member_heard_again(table, member));
	CU_ASSERT_TRUE(member_is_live(table, member));
	CU_ASSERT_FALSE(member_heard_again(table, member));
	CU_ASSERT_EQUAL(member->pool_count, 1);
	CU_ASSERT_EQUAL(member->restarts, 1);
	mclock_manual_advance(&manual, MEMBER_TIMEOUT_MS);
	CU_ASSERT_FALSE(member_is_live(table, member));
	member->is_seed = true;
	member_learn(table, (str_t){0}, (str_t){0}, STR_LIT("c"));
	mclock_manual_advance(&manual, MEMBER_FORGET_MS);
	member_sweep(table, count_drop, &drops);
	CU_ASSERT_EQUAL(drops, 1);
	CU_ASSERT_EQUAL(member_count(table), 1);
	member_table_free(table);
}

/* Guards against unbounded memory and against missing the failure timeout of
 * a large fleet. */
static void test_table_is_bounded(void)
{
	char name[MEMBER_MAX + 1][8];
	member_table_t *table = member_table_create(&manual.base);

	for (int i = 0; i <= MEMBER_MAX; i++) {
		member_t *member;

		snprintf(name[i], sizeof(name[i]), "%d", i);
		member = member_learn(table, (str_t){0}, (str_t){0},
				      str_from(name[i]));
		CU_ASSERT_EQUAL(member != NULL, i < MEMBER_MAX);
		CU_ASSERT_EQUAL(member_timeout_ms(table),
				i < MEMBER_SMALL_FLEET ?
					MEMBER_TIMEOUT_MS :
					MEMBER_LARGE_TIMEOUT_MS);
	}
	member_table_free(table);
}

/* Guards against affinity overloading an endpoint, and against slow or full
 * endpoints being preferred. */
static void test_pick_endpoint(void)
{
	placement_endpoint_t list[] = {
		{STR_LIT("e0"), 4, 10, 0, 100},
		{STR_LIT("e1"), 4, 10, 0, 100},
		{STR_LIT("e2"), 4, 10, 0, 100},
	};
	int preferred = placement_pick_endpoint(list, 3, 42);
	int other;

	list[preferred].in_flight = 5;
	CU_ASSERT_EQUAL(placement_pick_endpoint(list, 3, 42), preferred);
	list[preferred].in_flight = 6;
	CU_ASSERT_NOT_EQUAL(placement_pick_endpoint(list, 3, 42), preferred);
	list[preferred].in_flight = 0;
	CU_ASSERT_EQUAL(placement_pick_endpoint(list, 3, 0), preferred);
	list[preferred].median_first_token_ms = 900;
	other = placement_pick_endpoint(list, 3, 42);
	CU_ASSERT_NOT_EQUAL(other, preferred);
	for (int i = 0; i < 3; i++)
		list[i].in_flight = i == preferred ? 9 : 10;
	CU_ASSERT_EQUAL(placement_pick_endpoint(list, 3, 0), preferred);
	list[preferred].in_flight = 10;
	CU_ASSERT_EQUAL(placement_pick_endpoint(list, 3, 42), -1);
	CU_ASSERT_EQUAL(placement_affinity(STR_LIT("")), 0);
}

/* Guards against billed links being used without need or permission, and
 * against asking a dispatcher again that refused. */
static void test_pick_dispatcher(void)
{
	static const struct {
		const char *rule;
		int64_t wait[3]; /* own domain, own region, other region */
		unsigned window;
		unsigned tried; /* bit per dispatcher */
		bool cross;
		int pick;
	} rows[] = {
		{"own domain", {90, 10, 1}, 1, 0, true, 0},
		{"own region", {200, 90, 1}, 1, 0, true, 1},
		{"shortest in region", {200, 300, 1}, 1, 0, false, 0},
		{"other region", {200, 300, 1}, 1, 0, true, 2},
		{"other region is no help", {200, 300, 150}, 1, 0, true, 0},
		{"tried", {90, 95, 1}, 1, 1, true, 1},
		{"all local tried", {90, 95, 1}, 1, 3, true, 2},
		{"all local tried, no cross", {90, 95, 1}, 1, 3, false, -1},
		{"no windows", {0, 0, 0}, 0, 0, true, 0},
	};

	for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		placement_dispatcher_t list[3] = {0};
		int pick;

		for (unsigned n = 0; n < 3; n++) {
			list[n].host = STR_LIT("h");
			list[n].same_domain = n == 0;
			list[n].same_region = n < 2;
			list[n].window = rows[i].window;
			list[n].wait_ms = rows[i].wait[n];
			list[n].tried = rows[i].tried >> n & 1;
		}
		pick = placement_pick_dispatcher(list, 3, 100, rows[i].cross,
						 7);
		if (pick != rows[i].pick)
			printf("\n%s: %d ", rows[i].rule, pick);
		CU_ASSERT_EQUAL(pick, rows[i].pick);
	}
}

/* Guards against retries that amplify an overload. */
static void test_retry_budget(void)
{
	retry_budget_t budget;
	int taken = 0;

	retry_init(&budget);
	for (int i = 0; i < 100; i++)
		retry_on_request(&budget);
	while (retry_take(&budget))
		taken++;
	CU_ASSERT_EQUAL(taken, RETRY_BURST);
	for (int i = 0; i < 9; i++)
		retry_on_request(&budget);
	CU_ASSERT_FALSE(retry_take(&budget));
	retry_on_request(&budget);
	CU_ASSERT_TRUE(retry_take(&budget));
	CU_ASSERT_FALSE(retry_take(&budget));
}

/* Guards against one sample that isn't a number spoiling the mean. */
static void test_estimate(void)
{
	estimate_t estimate;

	estimate_init(&estimate, 100);
	estimate_add(&estimate, 0.0 / 0.0);
	estimate_add(&estimate, -5);
	CU_ASSERT_EQUAL(estimate_mean(&estimate), 100);
	estimate_add(&estimate, 200);
	CU_ASSERT_EQUAL(estimate_mean(&estimate), 150);
	for (int i = 0; i < 200; i++)
		estimate_add(&estimate, 400);
	CU_ASSERT_DOUBLE_EQUAL(estimate_mean(&estimate), 400, 1);
}

int main(void)
{
	CU_TestInfo tests[] = {{"owner", test_owner},
			       {"liveness", test_liveness},
			       {"table is bounded", test_table_is_bounded},
			       {"pick endpoint", test_pick_endpoint},
			       {"pick dispatcher", test_pick_dispatcher},
			       {"retry budget", test_retry_budget},
			       {"estimate", test_estimate},
			       CU_TEST_INFO_NULL};

	return unit_run("member", tests);
}
