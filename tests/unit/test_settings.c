#include "unit.h"

#include "sheets.h"
#include "state/settings.h"

#include <stdio.h>
#include <stdlib.h>

static const char entry_text[] = "[process]\n"			       /* 1 */
				 "host = \"h1\"\n"		       /* 2 */
				 "domain = \"north\"\n"		       /* 3 */
				 "[listen]\n"			       /* 4 */
				 "callers = \"127.0.0.1:7080\"\n"      /* 5 */
				 "admin = \"127.0.0.1:7081\"\n"	       /* 6 */
				 "[peers]\n"			       /* 7 */
				 "seeds = [\"127.0.0.2:7100\"]\n"      /* 8 */
				 "[operator]\n"			       /* 9 */
				 "key_sha256 = \"" SHEETS_KEY_A "\"\n" /* 10 */
				 "[limits]\n"			       /* 11 */
				 "threads = 8\n";		       /* 12 */

static const char dispatch_text[] =
	"[process]\nhost = \"h1\"\ndomain = \"north\"\nlog_level = \"warn\"\n"
	"[listen]\npeers = \"127.0.0.1:7100\"\nadmin = \"127.0.0.1:7101\"\n"
	"[operator]\nkey_sha256 = \"" SHEETS_KEY_A "\"\n";

static const sheets_fault_t fault_cases[] = {
	{"host = \"h1\"", "host = \"h/1\"",
	 "d.toml:2: process.host: expected a name of 1 to 63 letters, digits, "
	 "'-', '_' and '.', starting with a letter or digit\n"},
	{"domain = \"north\"\n", "",
	 "d.toml:1: process.domain: expected a name of 1 to 63 letters, "
	 "digits, '-', '_' and '.', starting with a letter or digit; the key "
	 "is missing\n"},
	{"domain = \"north\"", "domain = \"north\"\nlog_level = \"loud\"",
	 "d.toml:4: process.log_level: expected one of debug, info, warn, "
	 "error\n"},
	/* A key of the other role is unknown. */
	{"callers =", "peers =",
	 "d.toml:5: listen.peers: expected one of callers, admin; unknown "
	 "key\n"
	 "d.toml:4: listen.callers: expected an address IP:PORT; the key is "
	 "missing\n"},
	{"127.0.0.1:7081", "127.0.0.1",
	 "d.toml:6: listen.admin: expected an address IP:PORT\n"},
	{"127.0.0.2:7100", "127.0.0.2:0",
	 "d.toml:8: peers.seeds[0]: expected an address IP:PORT\n"},
	{"key_sha256 = \"" SHEETS_KEY_A "\"", "",
	 "d.toml:9: operator.key_sha256: expected a SHA-256 digest of 64 "
	 "hexadecimal digits; the key is missing\n"},
	{"threads = 8", "threads = 0",
	 "d.toml:12: limits.threads: expected an integer from 1 to 1024, "
	 "found 0\n"},
	{"threads = 8", "max_body_bytes = 1048577",
	 "d.toml:12: limits.max_body_bytes: expected an integer from 1024 to "
	 "1048576, found 1048577\n"},
	{"threads = 8", "[trace]\nfile = \"\"",
	 "d.toml:13: trace.file: expected a file path of 1 to 4095 bytes "
	 "without NUL\n"},
	{"[limits]", "[limit]",
	 "d.toml:11: limit: expected one of process, listen, peers, platform, "
	 "operator, trace, limits; unknown key\n"},
};

static bool accepts_entry(str_t text, buf_t *report)
{
	settings_t *settings =
		settings_parse(text, "d.toml", SETTINGS_ENTRY, report);

	settings_free(settings);
	return settings != NULL;
}

/* A daemon that starts with a misread setting fails later and elsewhere. */
static void test_faults_are_reported(void)
{
	sheets_check_faults(entry_text, fault_cases,
			    sizeof(fault_cases) / sizeof(fault_cases[0]),
			    accepts_entry);
}

/* Wrong defaults would change the behaviour of a minimal file. */
static void test_values_and_defaults(void)
{
	buf_t report = BUF_INIT;
	settings_t *entry = settings_parse(str_from(entry_text), "d.toml",
					   SETTINGS_ENTRY, &report);
	settings_t *dispatch = settings_parse(str_from(dispatch_text), "d.toml",
					      SETTINGS_DISPATCH, &report);

	CU_ASSERT_PTR_NOT_NULL(entry);
	CU_ASSERT_PTR_NOT_NULL(dispatch);
	if (!entry || !dispatch)
		return;
	CU_ASSERT_STRING_EQUAL(entry->host, "h1");
	CU_ASSERT_STRING_EQUAL(entry->listen, "127.0.0.1:7080");
	CU_ASSERT_EQUAL(entry->log_level, PLOG_LEVEL_INFO);
	CU_ASSERT_EQUAL(entry->seed_count, 1);
	CU_ASSERT_EQUAL(entry->threads, 8);
	CU_ASSERT_EQUAL(entry->max_body_bytes, 1048576);
	CU_ASSERT_EQUAL(entry->operator_digest[0], 0x5e);
	CU_ASSERT_PTR_NULL(entry->local_dispatch);
	CU_ASSERT_PTR_NULL(entry->platform);
	CU_ASSERT_PTR_NULL(entry->trace_file);
	CU_ASSERT_EQUAL(dispatch->log_level, PLOG_LEVEL_WARN);
	CU_ASSERT_STRING_EQUAL(dispatch->advertise, "127.0.0.1:7100");
	settings_free(entry);
	settings_free(dispatch);
	buf_release(&report);
}

/* Examples that are refused would be copied and fail at the user. */
static void test_examples_are_accepted(void)
{
	static const char *const files[] = {
		"examples/lavoie/entryd.toml", "examples/lavoie/dispatchd.toml",
		"examples/trust/entryd.toml", "examples/trust/dispatchd.toml"};

	for (size_t i = 0; i < 4; i++) {
		buf_t report = BUF_INIT;
		settings_t *settings = settings_load(
			files[i], i % 2 ? SETTINGS_DISPATCH : SETTINGS_ENTRY,
			&report);

		CU_ASSERT_PTR_NOT_NULL(settings);
		CU_ASSERT_EQUAL(report.len, 0);
		settings_free(settings);
		buf_release(&report);
	}
}

static void test_missing_file(void)
{
	buf_t report = BUF_INIT;

	CU_ASSERT_PTR_NULL(
		settings_load("missing.toml", SETTINGS_ENTRY, &report));
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
