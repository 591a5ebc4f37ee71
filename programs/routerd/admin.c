#include <inttypes.h>
#include <openssl/crypto.h>
#include <openssl/sha.h>

#include "base/histogram.h"
#include "base/metrics.h"
#include "base/plog.h"
#include "programs/routerd/routerd.h"
#include "state/sheetcheck.h"

#define JSON_CONTENT_TYPE "application/json"

typedef void (*admin_handler_t)(routerd_t *routerd,
				const monitor_request_t *request,
				monitor_response_t *response);

typedef struct admin_route {
	unsigned method;
	const char *path;
	admin_handler_t handler;
} admin_route_t;

static void write_error(monitor_response_t *response, unsigned status,
			const char *step, str_t message)
{
	response->status = status;
	response->content_type = JSON_CONTENT_TYPE;
	buf_printf(&response->body,
		   "{\"error\":{\"step\":\"%s\",\"message\":", step);
	buf_append_json(&response->body, message);
	buf_append_str(&response->body, STR_LIT("}}\n"));
}

static void get_metrics(routerd_t *routerd, const monitor_request_t *request,
			monitor_response_t *response)
{
	(void)routerd;
	(void)request;
	response->status = 200;
	metrics_render(&response->body);
	histogram_render(&response->body);
}

static void get_status(routerd_t *routerd, const monitor_request_t *request,
		       monitor_response_t *response)
{
	(void)request;
	response->status = 200;
	response->content_type = JSON_CONTENT_TYPE;
	status_append(routerd, &response->body);
}

static void post_sheet(routerd_t *routerd, const monitor_request_t *request,
		       monitor_response_t *response)
{
	buf_t report = BUF_INIT;
	sheet_t *sheet = sheetcheck_parse(request->body, "sheet", &report);
	err_t err = {0};

	if (!sheet) {
		write_error(response, 422, "check sheet", buf_view(&report));
	} else if (sheetsync_submit(routerd->sheetsync, sheet, "operator",
				    &err)) {
		write_error(response, 409, err.step, str_from(err.message));
	} else {
		response->status = 200;
		response->content_type = JSON_CONTENT_TYPE;
		buf_printf(&response->body, "{\"sheet_version\":%" PRIu64 "}\n",
			   sheetsync_sheet(routerd->sheetsync)->version);
	}
	buf_release(&report);
}

static void post_drain(routerd_t *routerd, const monitor_request_t *request,
		       monitor_response_t *response)
{
	(void)request;
	routerd_drain(routerd, "operator");
	response->status = 200;
	response->content_type = JSON_CONTENT_TYPE;
	buf_append_str(&response->body, STR_LIT("{\"leaving\":true}\n"));
}

static const admin_route_t routes[] = {
	{HTTP_GET, "/metrics", get_metrics},
	{HTTP_GET, "/v1/status", get_status},
	{HTTP_POST, "/v1/sheet", post_sheet},
	{HTTP_POST, "/v1/drain", post_drain},
};

static bool is_authorized(const routerd_t *routerd,
			  const monitor_request_t *request)
{
	uint8_t digest[SHA256_DIGEST_LENGTH];

	if (!request->key.len)
		return false;
	SHA256((const uint8_t *)request->key.ptr, request->key.len, digest);
	return !CRYPTO_memcmp(digest,
			      routerd_settings(routerd)->operator_digest,
			      sizeof(digest));
}

/* Checks the key before the path, so that a client without the key can't find
 * out which paths exist. */
static void on_request(void *user, const monitor_request_t *request,
		       monitor_response_t *response)
{
	routerd_t *routerd = user;
	bool path_exists = false;

	if (!is_authorized(routerd, request)) {
		metrics_add(METRIC_UNAUTHORIZED, STR_LIT("operators"), 1);
		plog_write(PLOG_CALLER_UNAUTHORIZED,
			   "interface=operators path=%" STR_FMT,
			   STR_ARG(request->path));
		write_error(response, 401, "authenticate",
			    STR_LIT("missing or wrong key"));
		return;
	}
	for (size_t i = 0; i < sizeof(routes) / sizeof(routes[0]); i++) {
		if (!str_equals(request->path, str_from(routes[i].path)))
			continue;
		path_exists = true;
		if (routes[i].method == request->method) {
			routes[i].handler(routerd, request, response);
			return;
		}
	}
	write_error(response, path_exists ? 405 : 404, "route",
		    path_exists ? STR_LIT("method not allowed") :
				  STR_LIT("unknown path"));
}

err_code_t admin_start(routerd_t *routerd, err_t *err)
{
	monitor_options_t options = {
		.loop = routerd->host.loop,
		.address = routerd_settings(routerd)->admin.ptr,
		.max_body_bytes = SHEETCHECK_MAX_BYTES,
		.handler = on_request,
		.user = routerd};

	routerd->admin = monitor_create(&options, err);
	return routerd->admin ? ERR_OK : err->code;
}
