#include "unit.h"

#include <stdio.h>

#include "platform/headers.h"
#include "platform/records.h"
#include "request/admit.h"

static const char config_text[] =
	"{\"version\":%d,\"routes\":["
	"{\"name\":\"r1\",\"hostname\":\"h.example\",\"prefix\":\"/a/\","
	"\"route_type\":\"streaming\",\"timeout_ms\":15000,"
	"\"target_latency_ms\":2000,\"priority\":2,"
	"\"traffic_split\":[{\"service\":\"s1\",\"weight\":3},"
	"{\"service\":\"s2\",\"weight\":1}],\"max_attempts\":2,"
	"\"public\":false,\"stream_resume\":true,\"itl_target_ms\":250,"
	"\"allowed_regions\":[\"east\"]},"
	"{\"name\":\"r2\",\"hostname\":\"h.example\",\"prefix\":\"/a/b/\","
	"\"route_type\":\"non_idempotent\",\"timeout_ms\":1000,"
	"\"target_latency_ms\":300,\"priority\":0,\"service\":\"s2\","
	"\"max_attempts\":1,\"public\":true}],"
	"\"services\":[{\"name\":\"s1\",\"health_path\":\"/healthz\","
	"\"max_connections\":360,\"cold_start_s\":3.0,\"cold_per_s\":12.0,"
	"\"engine\":{\"slots\":64,\"moves\":true}}],"
	"\"limits\":{\"max_header_bytes\":1000,\"max_body_bytes\":2000,"
	"\"header_timeout_ms\":300,\"idle_timeout_ms\":400},"
	"\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"k1\",\"k2\"],"
	"\"priority\":1,\"allowed_regions\":[\"west\"]}]}";

static catalog_t *read_config(int version)
{
	buf_t text = BUF_INIT;
	catalog_t *catalog;

	buf_printf(&text, config_text, version);
	catalog = records_read_config(buf_view(&text), NULL);
	buf_release(&text);
	return catalog;
}

/* Guards against misreading the configuration: the customer's key, the retries
 * that a route allows, the priority, the regions and the limits. */
static void test_config(void)
{
	catalog_t *catalog = read_config(7);
	call_t call = {.host = STR_LIT("H.Example"),
		       .path = STR_LIT("/a/x"),
		       .key = STR_LIT("k2")};
	admission_t admission;

	CU_ASSERT_PTR_NOT_NULL_FATAL(catalog);
	CU_ASSERT_EQUAL(catalog_version(catalog), 7);
	CU_ASSERT_EQUAL(admit_check(catalog, &call, 0, &admission), ADMIT_OK);
	CU_ASSERT_TRUE(str_equals(admission.route->name, STR_LIT("r1")));
	CU_ASSERT_TRUE(str_equals(admission.customer->name, STR_LIT("t1")));
	CU_ASSERT_TRUE(admit_may_retry(&admission));
	/* The customer's priority 1 outranks the route's 2 of 0..2:
	 * 1 * 3 + 2. */
	CU_ASSERT_EQUAL(admission.priority, 5);
	/* Guards against requests that leave their allowed regions (HOME):
	 * where both the route and the customer list regions, a region must be
	 * in both lists. */
	CU_ASSERT_FALSE(admit_allows_region(&admission, STR_LIT("east")));
	CU_ASSERT_FALSE(admit_allows_region(&admission, STR_LIT("west")));
	CU_ASSERT_EQUAL(catalog_get_limits(catalog)->idle_timeout_ms, 400);
	CU_ASSERT_TRUE(
		catalog_find_service(catalog, STR_LIT("s1"))->copies_kv_cache);
	catalog_unref(catalog);
}

/* Guards against using a route other than the one with the longest matching
 * prefix (ROUTE), and against accepting a missing or invalid key or refusing a
 * valid one (DENIED). */
static void test_routes_and_keys(void)
{
	catalog_t *catalog = read_config(1);
	admission_t admission;
	call_t call = {.host = STR_LIT("h.example"), .path = STR_LIT("/a/b/c")};

	CU_ASSERT_EQUAL(admit_check(NULL, &call, 0, &admission),
			ADMIT_NO_CATALOG);
	CU_ASSERT_EQUAL(admit_check(catalog, &call, 0, &admission), ADMIT_OK);
	CU_ASSERT_TRUE(str_equals(admission.route->name, STR_LIT("r2")));
	CU_ASSERT_FALSE(admit_may_retry(&admission));
	call.path = (str_t)STR_LIT("/a/c");
	CU_ASSERT_EQUAL(admit_check(catalog, &call, 0, &admission),
			ADMIT_NO_KEY);
	call.key = (str_t)STR_LIT("k3");
	CU_ASSERT_EQUAL(admit_check(catalog, &call, 0, &admission),
			ADMIT_NO_KEY);
	call.path = (str_t)STR_LIT("/ab");
	CU_ASSERT_EQUAL(admit_check(catalog, &call, 0, &admission),
			ADMIT_NO_ROUTE);
	call.path = (str_t)STR_LIT("/a/b");
	call.key = (str_t)STR_LIT("k1");
	CU_ASSERT_EQUAL(admit_check(catalog, &call, 0, &admission), ADMIT_OK);
	CU_ASSERT_TRUE(str_equals(admission.route->name, STR_LIT("r1")));
	catalog_unref(catalog);
}

/* Guards against a route that splits its requests between services in other
 * proportions than its weights. */
static void test_split(void)
{
	catalog_t *catalog = read_config(1);
	const catalog_route_t *route = catalog_find_route(
		catalog, STR_LIT("h.example"), STR_LIT("/a/"));
	unsigned s1_count = 0;

	for (uint64_t hash = 0; hash < 400; hash++)
		s1_count += str_equals(catalog_pick_service(route, hash),
				       STR_LIT("s1"));
	CU_ASSERT_EQUAL(s1_count, 300);
	catalog_unref(catalog);
}

/* Appends `count` items with their numbers. */
static void append_items(buf_t *text, const char *before, const char *after,
			 size_t count, const char *separator)
{
	for (size_t i = 0; i < count; i++)
		buf_printf(text, "%s%s%zu%s", i ? separator : "", before, i,
			   after);
}

/* A configuration whose lists have `count` items each: the second customer's
 * keys k0, k1, ..., the regions r0, r1, ..., and services s0, s1, ..., of which
 * only the last one gets requests. */
static catalog_t *read_long_lists(size_t count)
{
	buf_t text = BUF_INIT;
	catalog_t *catalog;

	buf_printf(&text, "{\"version\":1,\"services\":[],\"routes\":["
			  "{\"hostname\":\"h\",\"prefix\":\"/\","
			  "\"route_type\":\"idempotent\",\"traffic_split\":[");
	append_items(&text, "{\"weight\":0,\"service\":\"s", "\"}", count - 1,
		     ",");
	buf_printf(&text, "%s{\"weight\":1,\"service\":\"last\"}],",
		   count > 1 ? "," : "");
	buf_printf(&text, "\"allowed_regions\":[");
	append_items(&text, "\"r", "\"", count, ",");
	buf_printf(&text,
		   "]}],\"tenants\":[{\"name\":\"a\",\"api_keys\":[\"a\"]},"
		   "{\"name\":\"b\",\"api_keys\":[");
	append_items(&text, "\"k", "\"", count, ",");
	buf_printf(&text, "],\"allowed_regions\":[");
	append_items(&text, "\"r", "\"", count, ",");
	buf_printf(&text, "]}]}");
	catalog = records_read_config(buf_view(&text), NULL);
	buf_release(&text);
	return catalog;
}

static bool accepts_key(const catalog_t *catalog, size_t number)
{
	char key[16];
	call_t call = {.host = STR_LIT("h"), .path = STR_LIT("/x")};
	admission_t admission;

	snprintf(key, sizeof(key), "k%zu", number);
	call.key = str_from(key);
	return admit_check(catalog, &call, 0, &admission) == ADMIT_OK &&
	       str_equals(admission.customer->name, STR_LIT("b"));
}

/* Whether the route has the last of `count` services and regions. */
static bool uses_last_items(const catalog_t *catalog, size_t count)
{
	const catalog_route_t *route =
		catalog_find_route(catalog, STR_LIT("h"), STR_LIT("/x"));
	char region[16];

	snprintf(region, sizeof(region), "r%zu", count - 1);
	return route && route->split_count == count &&
	       str_equals(catalog_pick_service(route, 0), STR_LIT("last")) &&
	       catalog_allows_region(&route->regions, str_from(region));
}

/* Guards against a list of an acknowledged configuration that is cut, so that
 * valid keys get 401 (CONFIG, DENIED), and allowed regions and services are not
 * used. 64 was the bound. */
static void test_long_lists(void)
{
	static const size_t counts[] = {1, 63, 64, 65, 640, 20000};

	for (size_t i = 0; i < sizeof(counts) / sizeof(counts[0]); i++) {
		size_t count = counts[i], accepted = 0;
		catalog_t *catalog = read_long_lists(count);

		CU_ASSERT_PTR_NOT_NULL_FATAL(catalog);
		for (size_t k = 0; k < count; k++)
			accepted += accepts_key(catalog, k);
		CU_ASSERT_EQUAL(accepted, count);
		CU_ASSERT_FALSE(accepts_key(catalog, count));
		CU_ASSERT_EQUAL(catalog_key_count(catalog), count + 1);
		CU_ASSERT_TRUE(uses_last_items(catalog, count));
		catalog_unref(catalog);
	}
}

/* Guards against using a configuration that is malformed or incomplete. */
#define CUSTOMER(members)                                             \
	"{\"version\":9,\"routes\":[],\"services\":[],\"tenants\":[{" \
	"\"name\":\"t\"," members "}]}"
#define ROUTE(members)                                                    \
	"{\"version\":9,\"services\":[],\"routes\":[{\"hostname\":\"h\"," \
	"\"prefix\":\"/\",\"route_type\":\"idempotent\"," members "}]}"

static void test_bad_configs(void)
{
	static const char unknown_type_route[] =
		"{\"version\":7,\"routes\":[{\"hostname\":\"h\","
		"\"prefix\":\"/\",\"route_type\":\"other\"}]}";
	static const char *const texts[] = {
		"", "[]", "{}", "{\"version\":\"7\"}",
		"{\"version\":7,\"routes\":[{\"name\":\"r\"}]}",
		"{\"version\":7,\"routes\":[{\"prefix\":\"/\"}]}",
		unknown_type_route,
		/* A list of the wrong type must not count as empty: that would
		 * remove every route. */
		"{\"version\":9,\"routes\":7,\"services\":[]}",
		"{\"version\":9,\"routes\":[],\"services\":{}}",
		"{\"version\":9,\"routes\":[],\"services\":[],\"tenants\":3}",
		"{\"version\":9,\"services\":[]}",
		/* Nor may a part of a list count as the whole: it would drop a
		 * key, allow every region, or move a route's requests. */
		CUSTOMER("\"api_keys\":[\"k\",7]"),
		CUSTOMER("\"api_keys\":\"k\""),
		CUSTOMER("\"api_keys\":[],\"allowed_regions\":[null]"),
		ROUTE("\"allowed_regions\":{\"east\":true}"),
		ROUTE("\"traffic_split\":[{\"service\":\"s\"},{\"weight\":1}]"),
		ROUTE("\"traffic_split\":{\"service\":\"s\"}")};
	err_t err;

	for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++)
		CU_ASSERT_PTR_NULL(
			records_read_config(str_from(texts[i]), &err));
}

static void apply_server(router_t *router, const char *id, const char *born)
{
	buf_t key = BUF_INIT;
	buf_t value = BUF_INIT;

	buf_printf(&key, "servers/%s", id);
	buf_printf(&value,
		   "{\"service\":\"s1\",\"address\":\"127.0.0.1:5\","
		   "\"zone\":\"z\",\"state\":\"ready\",\"born\":%s}",
		   born);
	records_apply(router, buf_view(&key), buf_view(&value));
	buf_release(&key);
	buf_release(&value);
}

static bool is_cold(const router_t *router, const char *id)
{
	const endpoint_t *endpoint = fleet_find(router->fleet, str_from(id));

	return endpoint && endpoint_is_cold(endpoint, router_now_ms(router));
}

/* Guards against treating an endpoint that starts later, or again, as warm
 * because its entry does not report that it is cold (FAILBACK). */
static void test_unreported_cold(void)
{
	mclock_manual_t manual_clock;
	router_options_t options = {.dialect = headers_dialect(),
				    .domain = STR_LIT("z"),
				    .region = STR_LIT("r")};
	catalog_t *catalog = read_config(1);
	router_t *router;

	mclock_manual_init(&manual_clock, 1000);
	options.loop = loop_create(&manual_clock.base);
	router = router_create(&options);
	router_set_catalog(router, catalog);
	apply_server(router, "old", "1");
	CU_ASSERT_FALSE(is_cold(router, "old"));
	mclock_manual_advance(&manual_clock, 10000);
	apply_server(router, "old", "1");
	apply_server(router, "new", "1");
	CU_ASSERT_FALSE(is_cold(router, "old"));
	CU_ASSERT_TRUE(is_cold(router, "new"));
	/* The same id with another `born` value is another process. */
	apply_server(router, "old", "2");
	CU_ASSERT_TRUE(is_cold(router, "old"));
	mclock_manual_advance(&manual_clock, 3000);
	CU_ASSERT_FALSE(is_cold(router, "new"));
	router_free(router);
	loop_free(options.loop);
	catalog_unref(catalog);
}

int main(void)
{
	CU_TestInfo tests[] = {{"config", test_config},
			       {"routes and keys", test_routes_and_keys},
			       {"split", test_split},
			       {"long lists", test_long_lists},
			       {"bad configs", test_bad_configs},
			       {"unreported cold", test_unreported_cold},
			       CU_TEST_INFO_NULL};

	return unit_run("records_config", tests);
}
