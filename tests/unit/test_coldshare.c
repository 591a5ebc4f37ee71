#include "unit.h"

#include <stdlib.h>

#include "coordination/coldshare.h"
#include "coordination/rendezvous.h"

#define MAX_HOSTS 9
#define ROUNDS 2000
#define SEED 20261204

static char names[MAX_HOSTS][16];
static sheet_cold_host_t hosts[MAX_HOSTS];
static sheet_domain_t domain = {.cold_hosts = hosts,
				.cold_hosts_since_s = 1000};
static sheet_class_t classes[] = {{.timeout_ms = 5000}, {.timeout_ms = 60000}};
static sheet_endpoint_t endpoint = {.name = {"engine-1", 8}};
static sheet_t sheet = {.cold_share_ttl_s = 3600,
			.domains = &domain,
			.domain_count = 1,
			.classes = classes,
			.class_count = 2};

static void set_hosts(size_t count)
{
	for (size_t i = 0; i < count; i++) {
		snprintf(names[i], sizeof(names[i]), "host-%d", rand() % 40);
		hosts[i].host = str_from(names[i]);
		hosts[i].address = hosts[i].host;
	}
	domain.cold_host_count = count;
}

/* Guards against rankings that differ between hosts, and against the removal of
 * one host moving keys of the others. */
static void test_removal_moves_only_own_keys(void)
{
	str_t all[] = {STR_LIT("a"), STR_LIT("b"), STR_LIT("c"), STR_LIT("d")};
	str_t reversed[] = {all[3], all[2], all[1], all[0]};
	const str_t purpose = STR_LIT("owner");

	CU_ASSERT_EQUAL(rendezvous_pick(purpose, all[0], all, 0), -1);
	CU_ASSERT_NOT_EQUAL(
		rendezvous_weight(purpose, STR_LIT("ab"), STR_LIT("c")),
		rendezvous_weight(purpose, STR_LIT("a"), STR_LIT("bc")));
	CU_ASSERT_NOT_EQUAL(rendezvous_weight(purpose, all[0], all[1]),
			    rendezvous_weight(purpose, all[1], all[0]));
	for (int i = 0; i < 200; i++) {
		str_t key = {(const char *)&i, sizeof(i)};
		int pick = rendezvous_pick(purpose, key, all, 4);

		CU_ASSERT_EQUAL(3 - pick,
				rendezvous_pick(purpose, key, reversed, 4));
		CU_ASSERT_EQUAL(
			rendezvous_rank(purpose, key, all, 4, (size_t)pick), 0);
		if (pick < 3)
			CU_ASSERT_EQUAL(rendezvous_pick(purpose, key, all, 3),
					pick);
	}
}

/* Guards against shares that add up to more than the cold limit (P3), or to
 * less when all host names are distinct. Covers duplicate host names and limits
 * lower than the number of hosts. */
static void test_shares_add_up_to_the_limit(void)
{
	srand(SEED);
	for (int round = 0; round < ROUNDS; round++) {
		unsigned sum = 0;
		bool distinct = true;

		set_hosts((size_t)(rand() % MAX_HOSTS + 1));
		endpoint.cold_limit = (unsigned)rand() % 20;
		for (size_t i = 0; i < domain.cold_host_count; i++) {
			bool is_duplicate = false;

			for (size_t j = 0; j < i; j++)
				is_duplicate |= str_equals(hosts[i].host,
							   hosts[j].host);
			distinct &= !is_duplicate;
			/* Two processes with the same name and address can't
			 * run at the same time. */
			if (!is_duplicate)
				sum += coldshare_units(&sheet, &endpoint,
						       hosts[i].host,
						       hosts[i].address);
		}
		CU_ASSERT(sum <= endpoint.cold_limit);
		if (distinct)
			CU_ASSERT_EQUAL(sum, endpoint.cold_limit);
	}
}

/* Guards against two entries of one host name that get the same rank and so use
 * the same units (P3). */
static void test_duplicate_names_get_distinct_ranks(void)
{
	set_hosts(2);
	hosts[1].host = hosts[0].host;
	hosts[0].address = STR_LIT("10.0.0.1:1");
	hosts[1].address = STR_LIT("10.0.0.2:1");
	endpoint.cold_limit = 1;
	CU_ASSERT_EQUAL(coldshare_units(&sheet, &endpoint, hosts[0].host,
					hosts[0].address) +
				coldshare_units(&sheet, &endpoint,
						hosts[1].host,
						hosts[1].address),
			1);
}

/* Guards against using units that another host may still use (P3): after a
 * start, without confirmation and after a change of the cold hosts. Each row
 * names the rule that it checks. */
static void test_usable_units_by_time(void)
{
	static const struct {
		const char *rule;
		coldshare_time_t time;
		const char *address;
		unsigned previous_units;
		unsigned usable;
	} rows[] = {
		{"quarantine", {161999, 100000, 161000, 9000}, "a:1", 4, 0},
		{"after quarantine",
		 {162000, 100000, 161000, 9000},
		 "a:1",
		 4,
		 4},
		{"not confirmed", {3800000, 0, 200000, 9000}, "a:1", 4, 0},
		{"confirmed", {3799999, 0, 200000, 9000}, "a:1", 4, 4},
		{"recent change, new", {900000, 0, 899000, 4661}, "a:1", 0, 0},
		{"recent change, grown",
		 {900000, 0, 899000, 4661},
		 "a:1",
		 1,
		 1},
		{"recent change, shrunk",
		 {900000, 0, 899000, 4661},
		 "a:1",
		 7,
		 4},
		{"since in the future", {900000, 0, 899000, 900}, "a:1", 0, 0},
		{"change settled", {900000, 0, 899000, 4662}, "a:1", 0, 4},
		{"other address", {900000, 0, 899000, 9000}, "b:1", 4, 0},
	};

	hosts[0] = (sheet_cold_host_t){STR_LIT("h"), STR_LIT("a:1")};
	domain.cold_host_count = 1;
	endpoint.cold_limit = 4;
	for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		unsigned usable = coldshare_usable_units(
			&sheet, &endpoint, STR_LIT("h"),
			str_from(rows[i].address), &rows[i].time,
			rows[i].previous_units);

		if (usable != rows[i].usable)
			printf("\n%s: %u ", rows[i].rule, usable);
		CU_ASSERT_EQUAL(usable, rows[i].usable);
	}
}

int main(void)
{
	CU_TestInfo tests[] = {
		{"removal moves only own keys",
		 test_removal_moves_only_own_keys},
		{"shares add up to the limit", test_shares_add_up_to_the_limit},
		{"duplicate names", test_duplicate_names_get_distinct_ranks},
		{"usable units by time", test_usable_units_by_time},
		CU_TEST_INFO_NULL};

	return unit_run("coldshare", tests);
}
