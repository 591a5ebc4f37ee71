#include "unit.h"

#include "platform/records.h"

/* Guards against routing to a server whose entry is malformed; other programs
 * write these entries. */
#define ENTRY(address, more)                                                           \
	"{\"service\":\"s\",\"zone\":\"z\",\"state\":\"ready\",\"address\":\"" address \
	"\"" more "}"

static void test_bad_endpoints(void)
{
	static const char *const texts[] = {
		"",
		"null",
		"{\"service\":\"s\"}",
		"\x80\xff",
		"{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"zone\":\"z\","
		"\"state\":\"odd\"}",
		"{\"service\":7,\"address\":\"1.2.3.4:5\",\"zone\":\"z\","
		"\"state\":\"ready\"}",
		"{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"zone\":\"z\","
		"\"state\":\"ready\",\"born\":\"x\"}",
		ENTRY("1.2.3.4:0", ""),
		ENTRY("1.2.3.4:65536", ""),
		ENTRY("1.2.3.4:99999999999999999999", ""),
		ENTRY("1.2.3.4:-1", ""),
		ENTRY("1.2.3.400:80", ""),
		ENTRY("1.2.3.4", ""),
		ENTRY("1.2.3.4:80", ",\"cold_remaining_ms\":1e300"),
		ENTRY("1.2.3.4:80", ",\"cold_remaining_ms\":-1"),
		ENTRY("1.2.3.4:80", ",\"cold_remaining_ms\":\"9\""),
		ENTRY("1.2.3.4:80", ",\"slots\":1e19"),
		ENTRY("1.2.3.4:80", ",\"slots\":[4]"),
		ENTRY("1.2.3.4:80", ",\"born\":1e30"),
		ENTRY("1.2.3.4:80", ",\"born\":99999999999999999999"),
		ENTRY("1.2.3.4:80", ",\"born\":-5")};
	static const str_t ids[] = {STR_LIT(""), STR_LIT("a b"),
				    STR_LIT("a\r\nX-Peridotpin-Tenant: t"),
				    STR_LIT("\x80")};
	records_endpoint_t endpoint;

	for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++)
		CU_ASSERT_EQUAL(records_read_endpoint(STR_LIT("i-1"),
						      str_from(texts[i]),
						      &endpoint, NULL),
				ERR_INVALID);
	for (size_t i = 0; i < sizeof(ids) / sizeof(ids[0]); i++)
		CU_ASSERT_EQUAL(
			records_read_endpoint(ids[i],
					      STR_LIT(ENTRY("1.2.3.4:80", "")),
					      &endpoint, NULL),
			ERR_INVALID);
	CU_ASSERT_EQUAL(
		records_read_endpoint(
			STR_LIT("i-1"),
			STR_LIT("{\"service\":\"s\",\"address\":\"1.2.3.4:5\","
				"\"zone\":\"z\",\"state\":\"draining\","
				"\"cold_remaining_ms\":1200,\"born\":99}"),
			&endpoint, NULL),
		ERR_OK);
	CU_ASSERT_TRUE(endpoint.record.leaving);
	CU_ASSERT_EQUAL(endpoint.record.cold_ms, 1200);
	CU_ASSERT_EQUAL(endpoint.record.incarnation, 99);
	records_release(&endpoint);
}

/* Guards against an older copy that replaces what is in force after a restore
 * of the configuration service, and against holding a value that is newer. */
static void test_older_values(void)
{
	static const struct {
		const char *key, *held, *offered;
		bool older;
	} cases[] = {
		{"op/config", "{\"version\":7}", "{\"version\":3}", true},
		{"op/config", "{\"version\":7}", "{\"version\":7}", false},
		{"op/config", "{\"version\":7}", "{\"version\":9}", false},
		{"op/config", "{\"version\":7}", "{\"version\":\"9\"}", true},
		{"op/config", "{\"version\":7}", "", true},
		{"op/config", "[", "{\"version\":1}", false},
		{"servers/a", "{\"born\":5,\"sequence\":9}",
		 "{\"born\":5,\"sequence\":8}", true},
		{"servers/a", "{\"born\":5,\"sequence\":9}",
		 "{\"born\":6,\"sequence\":1}", false},
		{"servers/a", "{\"born\":5,\"sequence\":1}",
		 "{\"born\":4,\"sequence\":9}", true},
		{"servers/a", "{\"born\":5,\"sequence\":9}", "{\"sequence\":1}",
		 false},
		{"servers/a", "{\"sequence\":9}", "{\"sequence\":1}", false},
		{"op/evacuate/z", "{}", "{}", false},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		CU_ASSERT_EQUAL(records_is_older(str_from(cases[i].key),
						 str_from(cases[i].held),
						 str_from(cases[i].offered)),
				cases[i].older);
}

int main(void)
{
	CU_TestInfo tests[] = {{"bad endpoints", test_bad_endpoints},
			       {"older values", test_older_values},

			       CU_TEST_INFO_NULL};

	return unit_run("records", tests);
}
