#include "request/notices.h"

#include "base/plog.h"

static void apply_leaving(router_t *router, endpoint_t *endpoint)
{
	int64_t now_ms = router_now_ms(router);
	notice_t *notice = fleet_notice(router->fleet, endpoint);

	if (notice->leaving_until_ms > now_ms)
		return;
	notice_on_leaving(notice, endpoint->incarnation != 0, now_ms);
	prefixnews_add(&router->prefix_keys,
		       prefixnews_leaving_key(endpoint->process_hash));
	plog_write(PLOG_ENDPOINT_LEAVING, "endpoint=%s source=answer",
		   endpoint->id);
}

static void apply_pause(router_t *router, endpoint_t *endpoint,
			int64_t asked_ms)
{
	notice_t *notice = fleet_notice(router->fleet, endpoint);
	int64_t kept_ms =
		notice_on_pause(notice, asked_ms, router_now_ms(router));

	plog_write(PLOG_ENDPOINT_PAUSED, "endpoint=%s asked_ms=%lld ms=%lld",
		   endpoint->id, (long long)asked_ms, (long long)kept_ms);
}

void notices_apply(router_t *router, endpoint_t *endpoint, const reply_t *reply)
{
	if (reply->misdirected)
		return; /* another endpoint has taken over the address */
	if (reply->leaving)
		apply_leaving(router, endpoint);
	if (reply->wants_pause)
		apply_pause(router, endpoint, reply->pause_ms);
}

void notices_apply_hint(router_t *router, uint64_t key)
{
	for (size_t i = 0; i < fleet_count(router->fleet); i++) {
		endpoint_t *endpoint = fleet_at(router->fleet, i);

		if (prefixnews_leaving_key(endpoint->process_hash) != key)
			continue;
		notice_on_leaving_hint(fleet_notice(router->fleet, endpoint),
				       router_now_ms(router));
		plog_write(PLOG_ENDPOINT_LEAVING, "endpoint=%s source=peer",
			   endpoint->id);
	}
}

notice_verdict_t notices_check(const router_t *router,
			       const endpoint_t *endpoint)
{
	return notice_check(endpoint_notice(endpoint), router->bounds.drain_ms,
			    router_now_ms(router));
}

bool notices_forbid_send(const router_t *router, const endpoint_t *endpoint)
{
	return notice_forbids(endpoint_notice(endpoint),
			      router->bounds.drain_ms, router_now_ms(router));
}
