#include <fcntl.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "base/mclock.h"
#include "base/metrics.h"
#include "base/plog.h"
#include "transport/httpd.h"
#include "transport/platform.h"
#include "unit.h"

#define WAIT_LIMIT_MS 10000
#define LONG_WATCH_MS 30000
#define STOP_LIMIT_MS 1000
#define FUZZ_SEED 20261204
#define FUZZ_ROUNDS 200

/* A configuration service of one key, and what a watch has reported. */
static struct {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	httpd_t *httpd;
	char address[HTTPD_ADDRESS_BYTES];
	uint64_t version;
	const char *version_text; /* sent in place of the version */
	size_t value_bytes;
	bool down;
	bool ignore_after; /* as a stale replica that answers at once */
	int64_t max_wait_ms;
	bool stopping;
	unsigned waiting;
	uint64_t seen;
	unsigned values;
	unsigned unchanged;
} fake = {.lock = PTHREAD_MUTEX_INITIALIZER,
	  .changed = PTHREAD_COND_INITIALIZER};

static int64_t now_ms(void)
{
	return mclock_now_ms(mclock_system());
}

static void wait_change(int64_t ms)
{
	struct timespec until;

	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_nsec += ms % 1000 * 1000000;
	until.tv_sec += ms / 1000 + until.tv_nsec / 1000000000;
	until.tv_nsec %= 1000000000;
	pthread_cond_timedwait(&fake.changed, &fake.lock, &until);
}

/* Answers 200 or 304; called with the lock held. */
static void answer_value(httpd_call_t *call, uint64_t after)
{
	int64_t end = now_ms() + fake.max_wait_ms;
	buf_t value = BUF_INIT;
	char text[24];

	fake.waiting++;
	pthread_cond_broadcast(&fake.changed);
	while (!fake.stopping && !fake.down && !fake.ignore_after &&
	       fake.version <= after && now_ms() < end &&
	       !httpd_is_hung_up(call))
		wait_change(20);
	fake.waiting--;
	snprintf(text, sizeof(text), "%llu", (unsigned long long)fake.version);
	httpd_add_header(
		call, "X-Version",
		str_from(fake.version_text ? fake.version_text : text));
	if (fake.version <= after && !fake.ignore_after) {
		httpd_answer(call, 304, NULL, STR_LIT(""));
		return;
	}
	for (size_t i = 0; i < fake.value_bytes; i++)
		buf_append(&value, "v", 1);
	httpd_answer(call, 200, "application/octet-stream", buf_view(&value));
	buf_release(&value);
}

static void serve(void *user, httpd_call_t *call)
{
	str_t query = httpd_query(call);
	str_t prefix = STR_LIT("after=");
	uint64_t after = 0;

	(void)user;
	if (str_starts_with(query, prefix))
		after = strtoull(query.ptr + prefix.len, NULL, 10);
	pthread_mutex_lock(&fake.lock);
	if (fake.down)
		httpd_answer(call, 503, "text/plain", STR_LIT("down"));
	else if (!str_equals(httpd_path(call), STR_LIT("/v1/values/a/key")))
		httpd_answer(call, 404, "text/plain", STR_LIT("unknown"));
	else
		answer_value(call, after);
	pthread_mutex_unlock(&fake.lock);
}

static void start_fake(const char *listen)
{
	httpd_options_t options = {
		.listen = listen, .interface = "fake", .handler = serve};

	fake.stopping = false;
	fake.httpd = httpd_start(&options, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(fake.httpd);
	str_copy(fake.address, sizeof(fake.address),
		 str_from(httpd_address(fake.httpd)));
}

static void stop_fake(void)
{
	pthread_mutex_lock(&fake.lock);
	fake.stopping = true;
	pthread_cond_broadcast(&fake.changed);
	pthread_mutex_unlock(&fake.lock);
	httpd_stop(fake.httpd);
}

static void reset_fake(void)
{
	fake.version = 5;
	fake.version_text = NULL;
	fake.value_bytes = 3;
	fake.down = false;
	fake.ignore_after = false;
	fake.max_wait_ms = 50;
	fake.seen = 0;
	fake.values = 0;
	fake.unchanged = 0;
	start_fake("127.0.0.1:0");
}

static void on_value(void *user, uint64_t version, str_t value)
{
	(void)user;
	pthread_mutex_lock(&fake.lock);
	CU_ASSERT_EQUAL(value.len, 3);
	CU_ASSERT(version > fake.seen);
	fake.seen = version;
	fake.values++;
	pthread_cond_broadcast(&fake.changed);
	pthread_mutex_unlock(&fake.lock);
}

static void on_unchanged(void *user, uint64_t version)
{
	(void)user;
	pthread_mutex_lock(&fake.lock);
	CU_ASSERT_EQUAL(version, fake.seen);
	fake.unchanged++;
	pthread_cond_broadcast(&fake.changed);
	pthread_mutex_unlock(&fake.lock);
}

static platform_watch_t *start_watch(void)
{
	static const platform_watch_ops_t ops = {on_value, on_unchanged};
	platform_watch_t *watch = platform_watch_start(fake.address, "a/key", 0,
						       &ops, NULL, NULL);

	CU_ASSERT_PTR_NOT_NULL_FATAL(watch);
	return watch;
}

/* Waits, with the lock held, until the condition is true. */
#define AWAIT(condition)                                      \
	do {                                                  \
		int64_t await_end = now_ms() + WAIT_LIMIT_MS; \
		while (!(condition) && now_ms() < await_end)  \
			wait_change(20);                      \
		CU_ASSERT_TRUE(condition);                    \
	} while (0)

static void check_stop(platform_watch_t *watch)
{
	int64_t start = now_ms();

	platform_watch_stop(watch);
	CU_ASSERT(now_ms() - start < STOP_LIMIT_MS);
}

static int log_fd;

static unsigned count_log(const char *mark)
{
	char text[65536];
	ssize_t len = pread(log_fd, text, sizeof(text) - 1, 0);
	unsigned count = 0;

	text[len > 0 ? len : 0] = '\0';
	for (const char *p = text; (p = strstr(p, mark)); p++)
		count++;
	return count;
}

static err_code_t get(const char *key, buf_t *value, uint64_t *version)
{
	return platform_get(fake.address, key, value, version, NULL);
}

/* Guards against callers that take an outage for a missing node. */
static void test_get_tells_errors_apart(void)
{
	buf_t value = BUF_INIT;
	uint64_t version = 0;
	uint64_t reads = metrics_total(METRIC_PLATFORM_READS);
	uint64_t bytes = metrics_total(METRIC_PLATFORM_BYTES);

	reset_fake();
	CU_ASSERT_EQUAL(get("a/key", &value, &version), ERR_OK);
	CU_ASSERT(version == 5 && value.len == 3);
	CU_ASSERT(metrics_total(METRIC_PLATFORM_BYTES) - bytes > 20);
	CU_ASSERT_EQUAL(get("other", &value, NULL), ERR_NOT_FOUND);
	fake.value_bytes = PLATFORM_MAX_VALUE_BYTES + 1;
	CU_ASSERT_EQUAL(get("a/key", &value, NULL), ERR_TOO_LARGE);
	fake.down = true;
	CU_ASSERT_EQUAL(get("a/key", &value, NULL), ERR_REFUSED);
	CU_ASSERT_EQUAL(metrics_total(METRIC_PLATFORM_READS) - reads, 4);
	CU_ASSERT_EQUAL(get("a b", &value, NULL), ERR_INVALID);
	CU_ASSERT_EQUAL(get("", &value, NULL), ERR_INVALID);
	CU_ASSERT_EQUAL(get("a/../b", &value, NULL), ERR_INVALID);
	stop_fake();
	CU_ASSERT_EQUAL(get("a/key", &value, NULL), ERR_IO);
	CU_ASSERT_EQUAL(value.len, 3);
	buf_release(&value);
}

/* Guards against versions read from malformed headers. */
static void test_get_refuses_malformed_versions(void)
{
	static const char alphabet[] = "0123456789012345678901234567890 -+x";
	unsigned seed = FUZZ_SEED;
	buf_t value = BUF_INIT;
	uint64_t version;

	reset_fake();
	fake.version_text = "18446744073709551616";
	CU_ASSERT_EQUAL(get("a/key", &value, &version), ERR_INVALID);
	for (int i = 0; i < FUZZ_ROUNDS; i++) {
		char text[8] = "";
		str_t bare;
		bool valid;

		for (int j = rand_r(&seed) % 7; j > 0; j--)
			text[j - 1] = alphabet[(size_t)rand_r(&seed) %
					       (sizeof(alphabet) - 1)];
		bare = str_from(text + strspn(text, " "));
		while (bare.len && bare.ptr[bare.len - 1] == ' ')
			bare.len--;
		valid = bare.len && strspn(bare.ptr, "0123456789") >= bare.len;
		fake.version_text = text;
		CU_ASSERT_EQUAL(get("a/key", &value, &version),
				valid ? ERR_OK : ERR_INVALID);
		if (valid)
			CU_ASSERT_EQUAL(version, strtoull(bare.ptr, NULL, 10));
	}
	stop_fake();
	buf_release(&value);
}

/* Guards against missed versions and a stop that waits for the service. */
static void test_watch_follows_and_stops(void)
{
	platform_watch_t *watch;

	reset_fake();
	watch = start_watch();
	pthread_mutex_lock(&fake.lock);
	AWAIT(fake.seen == 5 && fake.unchanged >= 2);
	fake.max_wait_ms = LONG_WATCH_MS;
	fake.version = 9;
	AWAIT(fake.seen == 9);
	CU_ASSERT_EQUAL(fake.values, 2);
	AWAIT(fake.waiting == 1);
	pthread_mutex_unlock(&fake.lock);
	check_stop(watch);
	stop_fake();
}

/* Guards against a stale service that lowers the version in force. */
static void test_watch_ignores_stale_values(void)
{
	uint64_t stale = metrics_total(METRIC_PLATFORM_STALE);
	unsigned logged = count_log("E3005");
	platform_watch_t *watch;

	reset_fake();
	watch = start_watch();
	pthread_mutex_lock(&fake.lock);
	AWAIT(fake.seen == 5);
	fake.ignore_after = true;
	fake.version = 3;
	AWAIT(metrics_total(METRIC_PLATFORM_STALE) - stale >= 2);
	CU_ASSERT(fake.seen == 5 && fake.values == 1);
	CU_ASSERT_EQUAL(count_log("E3005") - logged, 1);
	fake.ignore_after = false;
	fake.version = 6;
	AWAIT(fake.seen == 6);
	pthread_mutex_unlock(&fake.lock);
	check_stop(watch);
	stop_fake();
}

/* Guards against a watch that ends, floods the log or hangs in an outage. */
static void test_watch_outlives_outages(void)
{
	unsigned logged = count_log("E3004");
	uint64_t reads;
	platform_watch_t *watch;

	reset_fake();
	watch = start_watch();
	pthread_mutex_lock(&fake.lock);
	AWAIT(fake.seen == 5);
	reads = metrics_total(METRIC_PLATFORM_READS);
	fake.down = true;
	AWAIT(metrics_total(METRIC_PLATFORM_READS) - reads >= 4);
	CU_ASSERT_EQUAL(count_log("E3004") - logged, 1);
	fake.down = false;
	fake.unchanged = 0;
	AWAIT(fake.unchanged > 0);
	pthread_mutex_unlock(&fake.lock);
	stop_fake();
	reads = metrics_total(METRIC_PLATFORM_READS);
	pthread_mutex_lock(&fake.lock);
	AWAIT(metrics_total(METRIC_PLATFORM_READS) - reads >= 3);
	CU_ASSERT_EQUAL(count_log("E3004") - logged, 2);
	fake.version = 7;
	pthread_mutex_unlock(&fake.lock);
	start_fake(fake.address);
	pthread_mutex_lock(&fake.lock);
	AWAIT(fake.seen == 7);
	fake.down = true;
	AWAIT(count_log("E3004") - logged == 3);
	pthread_mutex_unlock(&fake.lock);
	check_stop(watch);
	stop_fake();
}

int main(void)
{
	CU_TestInfo tests[] = {
		{"get", test_get_tells_errors_apart},
		{"malformed versions", test_get_refuses_malformed_versions},
		{"watch", test_watch_follows_and_stops},
		{"stale", test_watch_ignores_stale_values},
		{"outage", test_watch_outlives_outages},
		CU_TEST_INFO_NULL};
	char path[] = "/tmp/platform-test-XXXXXX";
	int result;

	/* The log goes to a file, in which the tests count events. */
	log_fd = mkstemp(path);
	if (log_fd < 0 || dup2(log_fd, STDERR_FILENO) < 0 ||
	    plog_start("test", PLOG_LEVEL_INFO))
		return 2;
	unlink(path);
	result = unit_run("platform", tests);
	plog_stop();
	return result;
}
