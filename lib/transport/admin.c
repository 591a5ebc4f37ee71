#include <openssl/crypto.h>
#include <openssl/evp.h>

#include "transport/admin.h"

#include <assert.h>
#include <stdlib.h>

#include "base/metrics.h"
#include "base/plog.h"

#define INTERFACE "operators"

typedef struct route {
	const char *method;
	const char *path;
	admin_handler_t handler;
	void *user;
} route_t;

struct admin {
	char *listen;
	admin_options_t options;
	httpd_t *httpd;
	route_t routes[ADMIN_MAX_ROUTES];
	size_t route_count;
};

static bool is_authorized(const admin_t *admin, const httpd_call_t *call)
{
	str_t key = httpd_bearer(call);
	uint8_t digest[EVP_MAX_MD_SIZE];
	unsigned len = 0;

	if (!key.len ||
	    !EVP_Digest(key.ptr, key.len, digest, &len, EVP_sha256(), NULL))
		return false;
	return len == ADMIN_DIGEST_BYTES &&
	       !CRYPTO_memcmp(digest, admin->options.key_digest, len);
}

static void refuse(httpd_call_t *call, int status, const char *step,
		   str_t message)
{
	httpd_answer_error(call,
			   &(httpd_error_t){status, "not-run", step,
					    httpd_peer(call), message, 0});
}

static void refuse_key(httpd_call_t *call)
{
	metrics_add(METRIC_UNAUTHORIZED, STR_LIT(INTERFACE), 1);
	plog_write(PLOG_CALLER_UNAUTHORIZED, "interface=%s peer=%s", INTERFACE,
		   httpd_peer(call));
	httpd_add_header(call, "WWW-Authenticate", STR_LIT("Bearer"));
	refuse(call, 401, "authenticate", STR_LIT("missing or wrong key"));
}

/* Answers 405 with the methods that the path has, or 404. */
static void refuse_route(const admin_t *admin, httpd_call_t *call)
{
	buf_t allow = BUF_INIT;

	metrics_add(METRIC_INVALID_INPUT, STR_LIT(INTERFACE), 1);
	for (size_t i = 0; i < admin->route_count; i++)
		if (str_equals(httpd_path(call),
			       str_from(admin->routes[i].path)))
			buf_printf(&allow, "%s%s", allow.len ? ", " : "",
				   admin->routes[i].method);
	if (allow.len) {
		httpd_add_header(call, "Allow", buf_view(&allow));
		refuse(call, 405, "route", STR_LIT("method not allowed"));
	} else {
		refuse(call, 404, "route", STR_LIT("unknown path"));
	}
	buf_release(&allow);
}

static const route_t *find_route(const admin_t *admin, const httpd_call_t *call)
{
	for (size_t i = 0; i < admin->route_count; i++) {
		const route_t *route = &admin->routes[i];

		if (str_equals(httpd_path(call), str_from(route->path)) &&
		    str_equals(httpd_method(call), str_from(route->method)))
			return route;
	}
	return NULL;
}

static void handle_call(void *user, httpd_call_t *call)
{
	const admin_t *admin = user;
	const route_t *route;
	buf_t body = BUF_INIT;
	err_t err;

	if (!is_authorized(admin, call)) {
		refuse_key(call);
		return;
	}
	route = find_route(admin, call);
	if (!route)
		refuse_route(admin, call);
	else if (httpd_read_body(call, &body, &err))
		httpd_answer_body_error(call, &err);
	else
		route->handler(route->user, call, buf_view(&body));
	buf_release(&body);
}

static void handle_metrics(void *user, httpd_call_t *call, str_t body)
{
	buf_t page = BUF_INIT;

	(void)user;
	(void)body;
	metrics_render(&page);
	httpd_answer(call, 200, "text/plain; version=0.0.4; charset=utf-8",
		     buf_view(&page));
	buf_release(&page);
}

admin_t *admin_create(const admin_options_t *options)
{
	admin_t *admin = calloc(1, sizeof(*admin));

	if (!admin)
		abort();
	admin->options = *options;
	admin->listen = str_dup(str_from(options->listen));
	if (!admin->listen)
		abort();
	admin->options.listen = admin->listen;
	admin_route(admin, "GET", "/metrics", handle_metrics, NULL);
	return admin;
}

void admin_route(admin_t *admin, const char *method, const char *path,
		 admin_handler_t handler, void *user)
{
	assert(!admin->httpd && admin->route_count < ADMIN_MAX_ROUTES);
	admin->routes[admin->route_count++] =
		(route_t){method, path, handler, user};
}

err_code_t admin_start(admin_t *admin, err_t *err)
{
	httpd_options_t options = {
		.listen = admin->listen,
		.interface = INTERFACE,
		.threads = admin->options.threads,
		.max_body_bytes = admin->options.max_body_bytes,
		.read_timeout_ms = admin->options.read_timeout_ms,
		.handler = handle_call,
		.user = admin,
	};
	err_t reason;

	admin->httpd = httpd_start(&options, &reason);
	if (admin->httpd)
		return ERR_OK;
	if (err)
		*err = reason;
	return reason.code;
}

const char *admin_address(const admin_t *admin)
{
	return httpd_address(admin->httpd);
}

void admin_stop(admin_t *admin)
{
	if (!admin)
		return;
	httpd_stop(admin->httpd);
	free(admin->listen);
	free(admin);
}
