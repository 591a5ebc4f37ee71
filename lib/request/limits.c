#include "request/limits.h"

#include <stdio.h>

#include "base/plog.h"
#include "coordination/rendezvous.h"
#include "coordination/unitshare.h"

/* The membership table changes this slowly. */
#define UPDATE_INTERVAL_MS 1000
#define KEY_BYTES 160

size_t limits_list_hosts(const router_t *router, const endpoint_t *endpoint,
			 unsigned term, str_t *names)
{
	int64_t now_ms = router_now_ms(router);
	size_t count = 0;

	if (!term)
		count = gossip_host_names(router->gossip, endpoint->domain,
					  now_ms, names,
					  GOSSIP_MAX_MEMBERS + 1);
	if (!count)
		count = gossip_host_names(router->gossip, NULL, now_ms, names,
					  GOSSIP_MAX_MEMBERS + 1);
	return count;
}

static void take_share(const router_t *router, endpoint_t *endpoint)
{
	ratelimit_t *limit = &endpoint->notice_entry->notice.limit;
	int64_t now_ms = router_now_ms(router);
	const char *self = gossip_self(router->gossip)->name;
	str_t names[GOSSIP_MAX_MEMBERS + 1];
	char key[KEY_BYTES];
	unsigned term;
	size_t count;

	term = ratelimit_term(limit, now_ms);
	count = limits_list_hosts(router, endpoint, term, names);
	limit->all_units = ratelimit_count_units(limit->per_s, count);
	limit->units = 0;
	if (now_ms - router->started_ms < LIMITS_QUARANTINE_MS ||
	    !str_equals(names[0], str_from(self)))
		return;
	snprintf(key, sizeof(key), "%s %u", endpoint->id, term);
	limit->units =
		unitshare_of(limit->all_units, count,
			     rendezvous_rank((str_t)STR_LIT("rate"),
					     str_from(key), names, count, 0));
}

/* A host that exchanges nothing with others has all units. */
static void take_all_units(endpoint_t *endpoint)
{
	ratelimit_t *limit = &endpoint->notice_entry->notice.limit;

	limit->all_units = ratelimit_count_units(limit->per_s, 1);
	limit->units = limit->all_units;
}

static void update_units(const router_t *router, endpoint_t *endpoint)
{
	if (endpoint_limit_per_s(endpoint) <= 0.0)
		return;
	if (router->gossip)
		take_share(router, endpoint);
	else
		take_all_units(endpoint);
}

static void on_change(router_t *router, endpoint_t *endpoint, double before,
		      const char *source)
{
	plog_write(PLOG_ENDPOINT_LIMITED,
		   "endpoint=%s per_s=%g before=%g source=%s", endpoint->id,
		   endpoint_limit_per_s(endpoint), before, source);
	fleet_on_limit_changed(router->fleet);
	update_units(router, endpoint);
}

static void on_own_change(router_t *router, endpoint_t *endpoint, double before)
{
	const limit_observer_t *observer = &router->limit_observer;

	on_change(router, endpoint, before, "answer");
	if (observer->on_change)
		observer->on_change(observer->user, endpoint);
}

static void apply_stated(router_t *router, endpoint_t *endpoint, double per_s)
{
	double before = endpoint_limit_per_s(endpoint);
	notice_t *notice;

	if (per_s < 0.0) {
		plog_write(PLOG_LIMIT_INVALID, "endpoint=%s in_force=%g",
			   endpoint->id, before);
		return;
	}
	notice = fleet_notice(router->fleet, endpoint);
	if (!ratelimit_on_stated(&notice->limit, per_s, router_now_ms(router)))
		return;
	on_own_change(router, endpoint, before);
}

static void apply_unstated(router_t *router, endpoint_t *endpoint,
			   int64_t sent_ms)
{
	double before = endpoint_limit_per_s(endpoint);

	if (before <= 0.0 ||
	    !ratelimit_on_unstated(
		    &fleet_notice(router->fleet, endpoint)->limit, sent_ms,
		    router_now_ms(router)))
		return;
	on_own_change(router, endpoint, before);
}

void limits_apply(router_t *router, endpoint_t *endpoint, const reply_t *reply,
		  bool trusted, int64_t sent_ms)
{
	if (reply->misdirected)
		return; /* another endpoint has taken over the address */
	if (reply->names_limit)
		apply_stated(router, endpoint, reply->limit_per_s);
	/* A refusal may come from something in front of the endpoint. */
	else if (trusted && !reply->not_run && reply->stamped)
		apply_unstated(router, endpoint, sent_ms);
}

static endpoint_t *find_process(const fleet_t *fleet, uint64_t process)
{
	for (size_t i = 0; i < fleet_count(fleet); i++)
		if (fleet_at(fleet, i)->process_hash == process)
			return fleet_at(fleet, i);
	return NULL;
}

bool limits_apply_news(router_t *router, uint64_t process, double per_s,
		       int64_t stated_ms)
{
	endpoint_t *endpoint = find_process(router->fleet, process);
	double before;

	if (!endpoint)
		return false; /* its statements are repeated */
	before = endpoint_limit_per_s(endpoint);
	if (!ratelimit_on_news(&fleet_notice(router->fleet, endpoint)->limit,
			       per_s, stated_ms))
		return false;
	on_change(router, endpoint, before, "peer");
	return true;
}

const ratelimit_t *limits_get(const endpoint_t *endpoint)
{
	const notice_t *notice = endpoint_notice(endpoint);

	return notice && notice->limit.stated_ms ? &notice->limit : NULL;
}

int64_t limits_next_send_ms(const endpoint_t *endpoint, unsigned priority)
{
	const ratelimit_t *limit = limits_get(endpoint);

	return limit ? ratelimit_next_send_ms(limit, &endpoint->sends,
					      priority) :
		       0;
}

void limits_update_units(router_t *router)
{
	router->limits_updated_ms = router_now_ms(router);
	for (size_t i = 0; i < fleet_count(router->fleet); i++)
		update_units(router, fleet_at(router->fleet, i));
}

void limits_on_tick(router_t *router)
{
	if (router_now_ms(router) - router->limits_updated_ms >=
	    UPDATE_INTERVAL_MS)
		limits_update_units(router);
}
