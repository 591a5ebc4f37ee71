#include "unit.h"

#include "sheets.h"
#include "state/sheetcheck.h"

#include <stdio.h>
#include <stdlib.h>

#define NAME_EXPECTED                                                    \
	"a name of 1 to 63 letters, digits, '-', '_' and '.', starting " \
	"with a letter or digit"
#define FUZZ_ROUNDS 3000
#define FUZZ_SEED 20261204

static const sheets_fault_t fault_cases[] = {
	/* Types, presence and ranges. */
	{"version = 7", "version = 0",
	 "s.toml:1: version: expected an integer from 1 to "
	 "9223372036854775807, found 0\n"},
	{"version = 7\n", "",
	 "s.toml:1: version: expected an integer from 1 to "
	 "9223372036854775807; the key is missing\n"},
	{"version = 7", "version = \"7\"",
	 "s.toml:1: version: expected an integer from 1 to "
	 "9223372036854775807, found a string\n"},
	{"cold_share_ttl_s = 600", "cold_share_ttl_s = 59",
	 "s.toml:2: cold_share_ttl_s: expected an integer from 60 to 86400, "
	 "found 59\n"},
	{"tier = 1", "tier = 9",
	 "s.toml:22: class[1].tier: expected an integer from 0 to 4, found "
	 "9\n"},
	{"tier = 1", "tier = 1.0",
	 "s.toml:22: class[1].tier: expected an integer from 0 to 4, found a "
	 "float\n"},
	{"tier = 1", "teir = 1",
	 "s.toml:22: class[1].teir: expected one of name, tier, "
	 "first_token_ms, between_tokens_ms, timeout_ms, floor_percent, "
	 "max_queue, max_tokens, cross_region; unknown key\n"
	 "s.toml:20: class[1].tier: expected an integer from 0 to 4; the key "
	 "is missing\n"},
	{", repeatable = false", "",
	 "s.toml:30: service[0].call[0].repeatable: expected true or false; "
	 "the key is missing\n"},
	{"repeatable = false", "repeatable = 0",
	 "s.toml:30: service[0].call[0].repeatable: expected true or false, "
	 "found an integer\n"},
	{"region = \"r1\"", "region = \"r 1\"",
	 "s.toml:5: domain[0].region: expected " NAME_EXPECTED "\n"},
	{"name = \"e1\"", "name = \"e1\"\nstate = \"gone\"",
	 "s.toml:33: endpoint[0].state: expected one of up, leaving, out\n"},
	{"address = \"127.0.1.1:8000\"", "address = \"127.0.1.1:65536\"",
	 "s.toml:35: endpoint[0].address: expected an address IP:PORT\n"},
	{"address = \"127.0.1.1:8000\"", "address = \"localhost:8000\"",
	 "s.toml:35: endpoint[0].address: expected an address IP:PORT\n"},
	{SHEETS_KEY_A, "5e88",
	 "s.toml:46: customer[0].key_sha256: expected a SHA-256 digest of 64 "
	 "hexadecimal digits\n"},
	{"classes = [\"booking\"]", "classes = []",
	 "s.toml:52: customer[1].classes: expected an array of 1 to 32 class "
	 "names, found 0\n"},
	{"classes = [\"booking\"]", "classes = [3]",
	 "s.toml:52: customer[1].classes[0]: expected a string, found an "
	 "integer\n"},
	{"call = [{name = \"book\", class = \"booking\", "
	 "repeatable = false}]",
	 "call = [1]",
	 "s.toml:30: service[0].call[0]: expected a table, found an "
	 "integer\n"},
	/* Without an offset the time would depend on the reader's zone. */
	{"cold_hosts_since = 2026-12-01T05:00:00+13:00",
	 "cold_hosts_since = 2026-12-01T05:00:00",
	 "s.toml:8: domain[0].cold_hosts_since: expected an offset date-time "
	 "such as 2026-12-04T06:00:00Z, found a date or time without "
	 "offset\n"},
	{"cold_hosts_since = 2026-12-01T05:00:00+13:00\n", "",
	 "s.toml:3: domain[0].cold_hosts_since: expected an offset date-time "
	 "such as 2026-12-04T06:00:00Z; the key is missing\n"},
	/* Relations between values. */
	{"until = 2026-12-06", "until = 2026-12-05",
	 "s.toml:10: domain[0].plan[0].until: expected a time after from\n"},
	{"state = \"out\"", "state = \"up\"",
	 "s.toml:10: domain[0].plan[0].state: expected one of leaving, out\n"},
	{"floor_percent = 20", "floor_percent = 21",
	 "s.toml:25: class[1].floor_percent: expected a sum over all classes "
	 "of at most 50, found 51 up to this class\n"},
	{"floor_percent = 20", "floor_percent = 0",
	 "s.toml:25: class[1].floor_percent: expected an integer from 1 to "
	 "50, found 0\n"},
	{"cold_limit = 4", "cold_limit = 17",
	 "s.toml:36: endpoint[0].cold_limit: expected at most max_in_flight "
	 "(16)\n"},
	{"timeout_ms = 60000", "timeout_ms = 1699",
	 "s.toml:18: class[0].timeout_ms: expected at least "
	 "first_token_ms\n"},
	/* A key that an earlier release accepted but did not use. */
	{"timeout_ms = 60000", "timeout_ms = 60000\nexpected_tokens = 50",
	 "s.toml:19: class[0].expected_tokens: expected one of name, tier, "
	 "first_token_ms, between_tokens_ms, timeout_ms, floor_percent, "
	 "max_queue, max_tokens, cross_region; unknown key\n"},
	/* Duplicates. */
	{"name = \"south\"", "name = \"north\"",
	 "s.toml:12: domain[1].name: expected a unique name, already used in "
	 "line 4\n"
	 "s.toml:40: endpoint[1].domain: expected the name of a domain of "
	 "this sheet, found \"south\"\n"},
	{"name = \"b\"", "name = \"a\"",
	 "s.toml:49: customer[1].name: expected a unique name, already used "
	 "in line 45\n"},
	{SHEETS_KEY_B, SHEETS_KEY_A,
	 "s.toml:50: customer[1].key_sha256: expected a unique key digest, "
	 "already used in line 46\n"},
	{"[::1]:8000", "127.0.1.1:8000",
	 "s.toml:42: endpoint[1].address: expected a unique address, already "
	 "used in line 35\n"},
	{"127.0.0.2:1", "127.0.0.1:1",
	 "s.toml:7: domain[0].cold_hosts[1].address: expected a unique "
	 "address in the domain, already used in line 6\n"},
	/* References. */
	{"model = \"m\"", "model = \"x\"",
	 "s.toml:34: endpoint[0].model: expected the name of a model of this "
	 "sheet, found \"x\"\n"},
	{"model = \"m\"", "model = \"m\"\nservice = \"hire\"",
	 "s.toml:31: endpoint[0]: expected exactly one of model, service\n"},
	{"model = \"m\"\n", "",
	 "s.toml:31: endpoint[0]: expected exactly one of model, service\n"},
	{"class = \"booking\"", "class = \"bookings\"",
	 "s.toml:30: service[0].call[0].class: expected the name of a class "
	 "of this sheet, found \"bookings\"\n"},
	{"classes = [\"booking\"]", "classes = [\"report\", \"tag\"]",
	 "s.toml:52: customer[1].classes[1]: expected the name of a class of "
	 "this sheet, found \"tag\"\n"},
	{"call = [{name",
	 "call = [{name = \"r\", class = \"report\", "
	 "repeatable = true}, {name",
	 "s.toml:26: model[0]: expected at least one class that no service "
	 "call uses, for the models\n"},
	/* The document. */
	{"version = 7", "version = 7\nversion = 8",
	 "s.toml:2: document: expected valid TOML: Error while parsing "
	 "key-value pair: cannot redefine existing integer 'version'\n"},
	{"version = 7", "version = 7 # \xff",
	 "s.toml:1: document: expected valid TOML: Encountered invalid utf-8 "
	 "sequence\n"},
	{"version = 7", "version = '''7'''",
	 "s.toml:1: document: expected no multi-line string\n"},
	{"version = 7", "version = 7\na.a.a.a.a.a.a.a.a.a.a.a.a.a.a.a.a.a = 1",
	 "s.toml:2: document: expected at most 16 dots outside strings in a "
	 "line\n"},
};

static bool accepts_sheet(str_t text, buf_t *report)
{
	sheet_t *sheet = sheetcheck_parse(text, "s.toml", report);

	sheet_free(sheet);
	return sheet != NULL;
}

/* A fault that is accepted would reach production; one that is reported at a
 * wrong place would mislead the operator. */
static void test_faults_are_reported(void)
{
	sheets_check_faults(sheets_valid, fault_cases,
			    sizeof(fault_cases) / sizeof(fault_cases[0]),
			    accepts_sheet);
}

/* Stopping at the first fault would cost operators one push per fault; an
 * unbounded report could fill a response. */
static void test_all_faults_up_to_the_bound(void)
{
	buf_t text = BUF_INIT;
	buf_t report = BUF_INIT;
	size_t lines = 0;

	for (int i = 0; i < 200; i++)
		buf_printf(&text, "[[customer]]\nname = \"c%d\"\n", i);
	CU_ASSERT_PTR_NULL(
		sheetcheck_parse(buf_view(&text), "s.toml", &report));
	for (size_t i = 0; i < report.len; i++)
		lines += report.ptr[i] == '\n';
	CU_ASSERT_EQUAL(lines, 100);
	buf_release(&text);
	buf_release(&report);
}

/* Empty and oversized input must be refused without reaching the parser's
 * limits. */
static void test_extreme_sizes(void)
{
	buf_t report = BUF_INIT;
	buf_t text = BUF_INIT;

	CU_ASSERT_PTR_NULL(
		sheetcheck_parse((str_t){NULL, 0}, "s.toml", &report));
	buf_reset(&report);
	buf_reserve(&text, SHEETCHECK_MAX_BYTES + 1);
	memset(text.ptr, '\n', SHEETCHECK_MAX_BYTES + 1);
	text.len = SHEETCHECK_MAX_BYTES + 1;
	CU_ASSERT_PTR_NULL(
		sheetcheck_parse(buf_view(&text), "s.toml", &report));
	CU_ASSERT(str_equals(buf_view(&report),
			     STR_LIT("s.toml:1: document: expected at most "
				     "16777216 bytes, found 16777217\n")));
	buf_release(&report);
	buf_release(&text);
}

/* Nested tables are destroyed recursively, which must not exhaust the stack:
 * neither the deepest text that the parser accepts nor a deeper one. */
static void test_deep_nesting(void)
{
	buf_t report = BUF_INIT;
	buf_t text = BUF_INIT;

	buf_printf(&text, "x = ");
	for (int i = 0; i < 100; i++)
		buf_printf(&text, "[\n{a.a.a.a.a.a.a.a.a.a.a.a.a.a.a.a = ");
	buf_printf(&text, "1");
	for (int i = 0; i < 100; i++)
		buf_printf(&text, "}\n]");
	CU_ASSERT_PTR_NULL(
		sheetcheck_parse(buf_view(&text), "s.toml", &report));
	buf_append(&report, "", 1);
	CU_ASSERT_PTR_NOT_NULL(strstr(report.ptr, "; unknown key\n"));
	buf_reset(&report);
	buf_reset(&text);

	buf_printf(&text, "x = ");
	for (int i = 0; i < 100000; i++)
		buf_printf(&text, "[\n{a.a.a.a.a.a.a.a.a.a.a.a = ");
	CU_ASSERT_PTR_NULL(
		sheetcheck_parse(buf_view(&text), "s.toml", &report));
	CU_ASSERT(report.len > 0);
	buf_release(&report);
	buf_release(&text);
}

/* Guards against misread values of a sheet, wrong defaults, and customers that
 * are not found by the digest of their key. */
static void test_values_and_defaults(void)
{
	sheet_t *sheet = sheets_parse(str_from(sheets_valid));
	const sheet_customer_t *customer;

	CU_ASSERT_EQUAL(sheet->version, 7);
	CU_ASSERT_EQUAL(sheet->domains[0].cold_hosts_since_s, 1796054400);
	CU_ASSERT_EQUAL(sheet->classes[0].max_queue, 100);
	CU_ASSERT_FALSE(sheet->classes[0].cross_region);
	CU_ASSERT_EQUAL(sheet->endpoints[1].cold_limit, 1);
	CU_ASSERT_EQUAL(sheet->pools[sheet->endpoints[1].pool_index].kind,
			SHEET_POOL_SERVICE);
	CU_ASSERT_EQUAL(sheet_longest_timeout_ms(sheet), 60000);
	for (size_t i = 0; i < sheet->customer_count; i++) {
		customer = &sheet->customers[i];
		CU_ASSERT_PTR_EQUAL(
			sheet_find_customer(sheet, customer->key_digest),
			customer);
		CU_ASSERT_EQUAL(customer->classes,
				str_equals(customer->name, STR_LIT("a")) ? 3 :
									   2);
	}
	CU_ASSERT_PTR_NULL(sheet_find_customer(sheet, sheet->digest));
	sheet_free(sheet);
}

/* Guards against a plan that takes a domain out too early or too late (P4), and
 * against an endpoint that is up while its domain is out. */
static void test_state_follows_plan(void)
{
	sheet_t *sheet = sheets_parse(str_from(sheets_valid));
	const sheet_domain_t *domain = &sheet->domains[0];
	int64_t from = domain->plans[0].from_s;
	int64_t until = domain->plans[0].until_s;

	CU_ASSERT_EQUAL(until - from, 86400);
	CU_ASSERT_EQUAL(sheet_domain_state(domain, from - 1), SHEET_STATE_UP);
	CU_ASSERT_EQUAL(sheet_domain_state(domain, from), SHEET_STATE_OUT);
	CU_ASSERT_EQUAL(sheet_domain_state(domain, until), SHEET_STATE_UP);
	CU_ASSERT_EQUAL(sheet_endpoint_state(sheet, &sheet->endpoints[0], from),
			SHEET_STATE_OUT);
	CU_ASSERT_EQUAL(sheet_endpoint_state(sheet, &sheet->endpoints[1], from),
			SHEET_STATE_UP);
	sheet_free(sheet);
}

/* Users copy the examples, so these must be accepted. */
static void test_examples_are_accepted(void)
{
	static const char *const files[] = {"examples/lavoie/sheet.toml",
					    "examples/trust/sheet.toml"};
	static const size_t endpoints[] = {12, 15};

	for (size_t i = 0; i < 2; i++) {
		buf_t text = BUF_INIT;
		sheet_t *sheet;

		sheets_read_file(files[i], &text);
		sheet = sheets_parse(buf_view(&text));
		CU_ASSERT_EQUAL(sheet->domain_count, 3);
		CU_ASSERT_EQUAL(sheet->endpoint_count, endpoints[i]);
		CU_ASSERT_EQUAL(sheet->customer_count, 10);
		sheet_free(sheet);
		buf_release(&text);
	}
}

/* Changes a few bytes of the text, truncates it or repeats a part of it. */
static void mutate(buf_t *text, uint32_t *seed)
{
	static const char bytes[] = "\"'[]{}=.,#\n\\ 0-9zT\x00\xff";
	uint32_t count = 1 + sheets_random(seed) % 4;

	for (uint32_t i = 0; i < count && text->len > 1; i++) {
		size_t at = sheets_random(seed) % text->len;
		size_t len = sheets_random(seed) % 64;

		if (len > text->len - at)
			len = text->len - at;
		switch (sheets_random(seed) % 4) {
		case 0:
			text->len = at ? at : 1;
			break;
		case 1:
			memmove(text->ptr + at, text->ptr, len < at ? len : at);
			break;
		default:
			text->ptr[at] = bytes[sheets_random(seed) %
					      (sizeof(bytes) - 1)];
		}
	}
}

/* No text may crash the checker, and a refusal must give a reason. */
static void test_fuzz_sheets(void)
{
	uint32_t seed = FUZZ_SEED;
	size_t accepted = 0;

	for (int i = 0; i < FUZZ_ROUNDS; i++) {
		buf_t text = BUF_INIT;
		buf_t report = BUF_INIT;
		sheet_t *sheet;

		buf_append(&text, sheets_valid, strlen(sheets_valid));
		mutate(&text, &seed);
		sheet = sheetcheck_parse(buf_view(&text), "s.toml", &report);
		accepted += sheet != NULL;
		if ((sheet != NULL) != (report.len == 0))
			CU_FAIL("refused without, or accepted with a report");
		sheet_free(sheet);
		buf_release(&report);
		buf_release(&text);
	}
	CU_ASSERT(accepted > 0 && accepted < FUZZ_ROUNDS);
}

int main(void)
{
	CU_TestInfo tests[] = {
		{"faults are reported", test_faults_are_reported},
		{"all faults up to the bound", test_all_faults_up_to_the_bound},
		{"extreme sizes", test_extreme_sizes},
		{"deep nesting", test_deep_nesting},
		{"values and defaults", test_values_and_defaults},
		{"state follows the plan", test_state_follows_plan},
		{"examples are accepted", test_examples_are_accepted},
		{"fuzz sheets", test_fuzz_sheets},
		CU_TEST_INFO_NULL};

	return unit_run("sheet", tests);
}
