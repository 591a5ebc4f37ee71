#include <assert.h>
#include "unit.h"

#include "sheets.h"
#include "state/settings.h"

#include <stdio.h>
#include <stdlib.h>

static const char valid_text[] = "[process]\n"			       /* 1 */
				 "host = \"h1\"\n"		       /* 2 */
				 "domain = \"north\"\n"		       /* 3 */
				 "[listen]\n"			       /* 4 */
				 "callers = \"127.0.0.1:7080\"\n"      /* 5 */
				 "peers = \"127.0.0.1:7100\"\n"	       /* 6 */
				 "admin = \"127.0.0.1:7081\"\n"	       /* 7 */
				 "[peers]\n"			       /* 8 */
				 "seeds = [\"127.0.0.2:7100\"]\n"      /* 9 */
				 "[operator]\n"			       /* 10 */
				 "key_sha256 = \"" SHEETS_KEY_A "\"\n" /* 11 */
				 "[limits]\n"			       /* 12 */
				 "max_body_bytes = 2048\n";	       /* 13 */

static const sheets_fault_t fault_cases[] = {
	{"host = \"h1\"", "host = \"h/1\"",
	 "d.toml:2: process.host: expected a name of 1 to 63 letters, digits, "
	 "'-', '_' and '.', starting with a letter or digit\n"},
	{"domain = \"north\"\n", "",
	 "d.toml:1: process.domain: expected a name of 1 to 63 letters, "
	 "digits, '-', '_' and '.', starting with a letter or digit; the key "
	 "is missing\n"},
	{"domain = \"north\"", "domain = \"north\"\ngrace_s = 0",
	 "d.toml:4: process.grace_s: expected an integer from 1 to 86400, "
	 "found 0\n"},
	{"callers =", "entries =",
	 "d.toml:5: listen.entries: expected one of callers, peers, admin; "
	 "unknown key\n"
	 "d.toml:4: listen.callers: expected an address IP:PORT; the key is "
	 "missing\n"},
	{"127.0.0.1:7081", "127.0.0.1",
	 "d.toml:7: listen.admin: expected an address IP:PORT\n"},
	{"127.0.0.2:7100", "127.0.0.2:0",
	 "d.toml:9: peers.seeds[0]: expected an address IP:PORT\n"},
	{"key_sha256 = \"" SHEETS_KEY_A "\"", "",
	 "d.toml:10: operator.key_sha256: expected a SHA-256 digest of 64 "
	 "hexadecimal digits; the key is missing\n"},
	{"max_body_bytes = 2048", "max_body_bytes = 16777217",
	 "d.toml:13: limits.max_body_bytes: expected an integer from 1024 to "
	 "16777216, found 16777217\n"},
	{"max_body_bytes = 2048", "[trace]\nfile = \"\"",
	 "d.toml:14: trace.file: expected a file path of 1 to 4095 bytes "
	 "without NUL\n"},
	{"[limits]", "[limit]",
	 "d.toml:12: limit: expected one of process, listen, peers, sheet, "
	 "trace, limits, operator; unknown key\n"},
};

static bool accepts(str_t text, buf_t *report)
{
	settings_t *settings = settings_parse(text, "d.toml", report);

	settings_free(settings);
	return settings != NULL;
}

/* If a host accepted an invalid setting, it would fail later and in an
 * unrelated place. */
static void test_faults_are_reported(void)
{
	sheets_check_faults(valid_text, fault_cases,
			    sizeof(fault_cases) / sizeof(fault_cases[0]),
			    accepts);
}

/* Wrong defaults would change the behaviour of a minimal file. */
static void test_values_and_defaults(void)
{
	buf_t report = BUF_INIT;
	settings_t *settings =
		settings_parse(str_from(valid_text), "d.toml", &report);
	const hostsettings_t *base = &settings->base;

	CU_ASSERT_PTR_NOT_NULL_FATAL(settings);
	assert(settings);
	CU_ASSERT_STRING_EQUAL(base->host.ptr, "h1");
	CU_ASSERT_STRING_EQUAL(base->domain.ptr, "north");
	CU_ASSERT_STRING_EQUAL(base->ip.ptr, "127.0.0.1");
	CU_ASSERT_STRING_EQUAL(base->listen_callers.ptr, "127.0.0.1:7080");
	CU_ASSERT_STRING_EQUAL(base->listen_peers.ptr, "127.0.0.1:7100");
	CU_ASSERT_EQUAL(base->first_port, 7100);
	CU_ASSERT_EQUAL(base->last_port, 7101);
	CU_ASSERT_EQUAL(base->seed_count, 1);
	CU_ASSERT_EQUAL(base->grace_ms, 600000);
	CU_ASSERT_EQUAL(base->accept_ms, 1000);
	CU_ASSERT_STRING_EQUAL(settings->admin.ptr, "127.0.0.1:7081");
	CU_ASSERT_EQUAL(settings->max_body_bytes, 2048);
	CU_ASSERT_EQUAL(settings->operator_digest[0], 0x5e);
	CU_ASSERT_EQUAL(settings->sheet_file.len, 0);
	CU_ASSERT_EQUAL(settings->trace_file.len, 0);
	settings_free(settings);
	buf_release(&report);
}

/* Users copy the examples, so these must be accepted. */
static void test_examples_are_accepted(void)
{
	static const char *const files[] = {"examples/lavoie/host.toml",
					    "examples/trust/host.toml"};

	for (size_t i = 0; i < 2; i++) {
		buf_t report = BUF_INIT;
		settings_t *settings = settings_load(files[i], &report);

		CU_ASSERT_PTR_NOT_NULL(settings);
		CU_ASSERT_EQUAL(report.len, 0);
		settings_free(settings);
		buf_release(&report);
	}
}

/* Guards against a report that doesn't name the missing file or the reason. */
static void test_missing_file(void)
{
	buf_t report = BUF_INIT;

	CU_ASSERT_PTR_NULL(settings_load("missing.toml", &report));
	CU_ASSERT(str_equals(
		buf_view(&report),
		STR_LIT("missing.toml:0: document: expected a readable file: "
			"No such file or directory\n")));
	buf_release(&report);
}

int main(void)
{
	CU_TestInfo tests[] = {
		{"faults are reported", test_faults_are_reported},
		{"values and defaults", test_values_and_defaults},
		{"examples are accepted", test_examples_are_accepted},
		{"missing file", test_missing_file},
		CU_TEST_INFO_NULL};

	return unit_run("settings", tests);
}
