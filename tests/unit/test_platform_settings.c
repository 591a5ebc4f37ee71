#include "unit.h"

#include "platform/settings.h"

static const char settings_text[] =
	"node_name=edge-1\nip=127.0.0.1\nzone=z1\nregion=east\n"
	"zones.z1=east\nzones.z2=west\nlisten.front=127.0.0.1:1\n"
	"listen.readiness=127.0.0.1:2\nlisten.control_plane=127.0.0.1:3\n"
	"internal_port_range=7340,7355\nseed_nodes=127.0.0.1:3,127.0.0.2:3\n"
	"bounds.grace_s=6\nbounds.retry_budget_ratio=0.25\nunknown.field=1\n"
	"limits.memory_mb=160\nlimits.max_fds=4100\n"
	"platform.address=127.0.0.1:4\r\n";

/* Guards against a host that starts with other addresses, ports or limits than
 * its settings say, or refuses settings with a field that it doesn't know. */
static void test_settings(void)
{
	buf_t report = BUF_INIT;
	psettings_t *settings =
		psettings_parse(str_from(settings_text), &report);

	CU_ASSERT_PTR_NOT_NULL(settings);
	if (!settings)
		return;
	CU_ASSERT_EQUAL(settings->base.domain_count, 2);
	CU_ASSERT_EQUAL(settings->base.seed_count, 2);
	CU_ASSERT_TRUE(
		str_equals(settings->base.seeds[1], STR_LIT("127.0.0.2:3")));
	CU_ASSERT_EQUAL(settings->base.last_port, 7355);
	CU_ASSERT_EQUAL(settings->base.grace_ms, 6000);
	CU_ASSERT_EQUAL(settings->base.memory_mb, 160);
	CU_ASSERT_EQUAL(settings->base.max_fds, 4100);
	CU_ASSERT_TRUE(
		str_equals(settings->store_address, STR_LIT("127.0.0.1:4")));
	psettings_free(settings);
	buf_release(&report);
}

/* Guards against a host that starts with invalid settings, and against a report
 * that doesn't name each invalid or missing field. */
static void test_bad_settings(void)
{
	buf_t report = BUF_INIT;

	CU_ASSERT_PTR_NULL(
		psettings_parse(STR_LIT("node_name=x\ninternal_port_range=9,1\n"
					"bounds.grace_s=soon\n"),
				&report));
	buf_append(&report, "", 1);
	CU_ASSERT_PTR_NOT_NULL(
		strstr(report.ptr, "internal_port_range: \"9,1\""));
	CU_ASSERT_PTR_NOT_NULL(strstr(report.ptr, "bounds.grace_s: \"soon\""));
	CU_ASSERT_PTR_NOT_NULL(strstr(report.ptr, "platform.address: missing"));
	buf_release(&report);
}

/* Settings with so many zones and seeds. */
static psettings_t *parse_lists(size_t zones, size_t seeds, buf_t *report)
{
	buf_t text = BUF_INIT;
	psettings_t *settings;

	buf_printf(&text,
		   "node_name=n\nip=127.0.0.1\nzone=z0\nregion=r\n"
		   "listen.front=127.0.0.1:1\nlisten.readiness=127.0.0.1:2\n"
		   "internal_port_range=1,2\nplatform.address=127.0.0.1:3\n");
	for (size_t i = 0; i < zones; i++)
		buf_printf(&text, "zones.z%zu=r\n", i);
	buf_printf(&text, "seed_nodes=");
	for (size_t i = 0; i < seeds; i++)
		buf_printf(&text, "%s127.0.0.1:%zu", i ? "," : "", i);
	settings = psettings_parse(buf_view(&text), report);
	buf_release(&text);
	return settings;
}

/* Guards against a list of the settings that is cut without a word: a zone left
 * out has no region, and may be served outside the allowed ones (HOME). */
static void test_long_settings(void)
{
	buf_t report = BUF_INIT;
	psettings_t *settings = parse_lists(HOSTSETTINGS_MAX_DOMAINS,
					    HOSTSETTINGS_MAX_SEEDS, &report);

	CU_ASSERT_TRUE(settings &&
		       settings->base.domain_count == HOSTSETTINGS_MAX_DOMAINS);
	CU_ASSERT_TRUE(settings &&
		       settings->base.seed_count == HOSTSETTINGS_MAX_SEEDS);
	CU_ASSERT_EQUAL(report.len, 0);
	psettings_free(settings);
	CU_ASSERT_PTR_NULL(
		parse_lists(HOSTSETTINGS_MAX_DOMAINS + 1, 1, &report));
	CU_ASSERT_PTR_NULL(parse_lists(1, HOSTSETTINGS_MAX_SEEDS + 1, &report));
	CU_ASSERT_PTR_NULL(parse_lists(10 * HOSTSETTINGS_MAX_DOMAINS,
				       10 * HOSTSETTINGS_MAX_SEEDS, &report));
	CU_ASSERT_TRUE(str_starts_with(
		buf_view(&report), STR_LIT("zones.z64 is beyond the first 64\n"
					   "seed_nodes: 127.0.0.1:8 is beyond "
					   "the first 8\n")));
	buf_release(&report);
}

int main(void)
{
	CU_TestInfo tests[] = {{"settings", test_settings},
			       {"bad settings", test_bad_settings},
			       {"long settings", test_long_settings},
			       CU_TEST_INFO_NULL};

	return unit_run("platform_settings", tests);
}
