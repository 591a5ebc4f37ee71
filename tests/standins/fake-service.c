#include "standin.h"

#include <stdio.h>
#include <unistd.h>

/* clang-format off */
#define SWITCHES(X) \
	X(run_ms, 0, "run time of a call") \
	X(break_next, 0, "reset the connection after the next N runs")
#define COUNTERS(X) \
	X(total_runs) X(in_flight) X(peak) X(failed)
/* clang-format on */
STANDIN_DEFINE_TABLES(SWITCHES, COUNTERS);

static void handle_call(struct mg_connection *conn, const char *path)
{
	const char *key = mg_get_header(conn, "Idempotency-Key");
	buf_t body = BUF_INIT, out = BUF_INIT;
	char body_key[32];
	long run, key_run;

	if (strcmp(mg_get_request_info(conn)->request_method, "POST") != 0) {
		standin_send_error(conn, 405, "", "method");
		return;
	}
	if (!standin_read_body(conn, &body)) {
		standin_send_error(conn, 413, "", "size");
		mg_disable_connection_keep_alive(conn);
		goto out;
	}
	snprintf(body_key, sizeof(body_key), "body:%016llx",
		 (unsigned long long)standin_hash(STANDIN_HASH_START,
						  buf_view(&body)));
	standin_log_request(key ? key : body_key, path, "");
	run = ++counters.total_runs;
	key_run = key ? standin_count_run(key) : 0;
	standin_count_run(body_key);
	standin_raise_peak(&counters.peak, ++counters.in_flight);
	for (int64_t end = standin_now_us() + switches.run_ms.value * 1000;
	     standin_now_us() < end && !standin_stopping();)
		usleep(1000);
	counters.in_flight--;
	if (standin_consume_fault(&switches.break_next)) {
		standin_reset(conn);
	} else if (standin_consume_fail_next()) {
		counters.failed++;
		standin_send_error(conn, 500, "", "failed");
	} else {
		buf_printf(&out, "{\"run\":%ld,\"key_run\":%ld,\"call\":", run,
			   key_run);
		buf_append_json(&out, str_from(path + 1));
		buf_printf(&out, ",\"body\":");
		buf_append_json(&out, buf_view(&body));
		buf_printf(&out, "}\n");
		standin_send_response(conn, 200, "", buf_view(&out));
	}
out:
	buf_release(&body);
	buf_release(&out);
}

static const standin_program_t service = {
	.doc = "Stand-in of a plain service without deduplication.",
	STANDIN_TABLES,
	.handle = handle_call,
};

int main(int argc, char **argv)
{
	return standin_main(&service, argc, argv);
}
