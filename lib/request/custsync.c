#include "request/custsync.h"

#include <xxhash.h>

#define INTERVAL_MS 1000
/* A host goes on reporting for this long after the last totals that say that a
 * service is short: one lost message doesn't end the exchange. */
#define HEARD_MS CUSTSHARE_TOTALS_TTL_MS

/* What a host or a relay sends in a round, as one message on its way to all. */
typedef struct outgoing {
	relays_message_t base;
	custnews_t host, region, totals;
} outgoing_t;

static void write_news(const relays_message_t *message, relays_step_t step,
		       buf_t *out)
{
	const outgoing_t *outgoing = (const outgoing_t *)message;

	switch (step) {
	case RELAYS_TO_OWN_RELAY:
		custnews_write(&outgoing->host, out);
		return;
	case RELAYS_TO_OTHER_RELAYS:
		custnews_write(&outgoing->region, out);
		return;
	case RELAYS_TO_OWN_REGION:
		custnews_write(&outgoing->totals, out);
		return;
	}
}

static const relays_message_ops_t message_ops = {write_news};

void custsync_init(custsync_t *sync, router_t *router, const relays_t *relays,
		   uint32_t host_id)
{
	*sync = (custsync_t){.router = router,
			     .relays = relays,
			     .board = custboard_create(),
			     .host_id = host_id};
}

void custsync_release(custsync_t *sync)
{
	custboard_free(sync->board);
}

static bool is_active(const custsync_t *sync, int64_t now_ms)
{
	return custshare_is_short(sync->router->custshare, now_ms) ||
	       (sync->heard_short_ms &&
		now_ms - sync->heard_short_ms < HEARD_MS) ||
	       custboard_is_short(sync->board, now_ms);
}

static bool accept_relay(custsync_t *sync, uint32_t relay, int64_t now_ms)
{
	if (relay < sync->relay &&
	    now_ms - sync->relay_heard_ms < CUSTSHARE_TOTALS_TTL_MS)
		return false;
	sync->relay = relay;
	sync->relay_heard_ms = now_ms;
	return true;
}

static void apply_totals(custsync_t *sync, const custnews_t *news,
			 int64_t now_ms)
{
	if (!accept_relay(sync, news->source, now_ms))
		return;
	if (news->is_short)
		sync->heard_short_ms = now_ms;
	custshare_set_totals(sync->router->custshare, news->uses, news->count,
			     now_ms);
}

/* Sums, at a relay, what the hosts of its region and other relays sent. */
static void sum_at_relay(custsync_t *sync, outgoing_t *outgoing, int64_t now_ms)
{
	str_t region = sync->router->region;

	custboard_expire(sync->board, now_ms);
	custboard_add(sync->board, &outgoing->host, now_ms);
	outgoing->region = (custnews_t){
		.kind = CUSTNEWS_REGION,
		.source = (uint32_t)XXH64(region.ptr, region.len, 0)};
	custboard_sum(sync->board, &outgoing->region, now_ms);
	outgoing->totals =
		(custnews_t){.kind = CUSTNEWS_TOTALS, .source = sync->host_id};
	custboard_sum(sync->board, &outgoing->totals, now_ms);
	/* Before all hosts have reported, the totals only ask them to: one
	 * host's few requests show little. */
	if (!sync->summing_since_ms)
		sync->summing_since_ms = now_ms;
	if (now_ms - sync->summing_since_ms < INTERVAL_MS)
		outgoing->totals.count = 0;
	apply_totals(sync, &outgoing->totals, now_ms);
}

void custsync_on_round(custsync_t *sync)
{
	const custshare_t *share = sync->router->custshare;
	int64_t now_ms = router_now_ms(sync->router);
	outgoing_t outgoing = {
		.base = {&message_ops},
		.host = {.kind = CUSTNEWS_HOST, .source = sync->host_id}};

	if (!is_active(sync, now_ms) || !relays_is_self(sync->relays))
		sync->summing_since_ms = 0;
	if (now_ms < sync->next_ms || !is_active(sync, now_ms))
		return;
	sync->next_ms = now_ms + INTERVAL_MS;
	outgoing.host.is_short = custshare_is_short(share, now_ms);
	outgoing.host.count =
		custshare_report(share, now_ms, outgoing.host.uses);
	if (relays_is_self(sync->relays))
		sum_at_relay(sync, &outgoing, now_ms);
	relays_distribute(sync->relays, &outgoing.base);
}

err_code_t custsync_read(custsync_t *sync, str_t message, err_t *err)
{
	int64_t now_ms = router_now_ms(sync->router);
	custnews_t news;

	if (custnews_read(message, &news, err))
		return err->code;
	if (news.kind == CUSTNEWS_TOTALS)
		apply_totals(sync, &news, now_ms);
	else
		custboard_add(sync->board, &news, now_ms);
	return ERR_OK;
}
