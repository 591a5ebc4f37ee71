#include "request/limitsync.h"

#include "request/limits.h"

#define REPEAT_INTERVAL_MS 1000

/* limitnews_t as a message on its way to all hosts. */
typedef struct outgoing {
	relays_message_t base;
	limitnews_t *news;
	int64_t now_ms;
} outgoing_t;

static void write_news(const relays_message_t *message, relays_step_t step,
		       buf_t *out)
{
	static const limitnews_kind_t kinds[] = {
		LIMITNEWS_HOST, LIMITNEWS_REGION, LIMITNEWS_RELAY};
	const outgoing_t *outgoing = (const outgoing_t *)message;

	outgoing->news->kind = kinds[step];
	limitnews_write(outgoing->news, outgoing->now_ms, out);
}

static const relays_message_ops_t message_ops = {write_news};

static outgoing_t make_outgoing(const limitsync_t *sync, limitnews_t *news)
{
	return (outgoing_t){{&message_ops}, news, router_now_ms(sync->router)};
}

/* Sends the news, if there are any, and empties it. */
static void distribute(const limitsync_t *sync, limitnews_t *news)
{
	outgoing_t outgoing = make_outgoing(sync, news);

	if (news->count)
		relays_distribute(sync->relays, &outgoing.base);
	news->count = 0;
}

static void add(limitnews_t *news, const endpoint_t *endpoint,
		const ratelimit_t *limit)
{
	news->entries[news->count++] = (limitnews_entry_t){
		endpoint->process_hash, limit->per_s, limit->stated_ms};
}

static void on_change(void *user, const endpoint_t *endpoint)
{
	limitsync_t *sync = user;
	limitnews_t news = {.count = 0};

	add(&news, endpoint, limits_get(endpoint));
	distribute(sync, &news);
}

void limitsync_init(limitsync_t *sync, router_t *router, const relays_t *relays)
{
	*sync = (limitsync_t){.router = router, .relays = relays};
	router->limit_observer = (limit_observer_t){on_change, sync};
}

/* Sends the statements: all that are recent, or only those that this host has
 * itself received since the last time. */
static void repeat(const limitsync_t *sync, bool all)
{
	const fleet_t *fleet = sync->router->fleet;
	int64_t now_ms = router_now_ms(sync->router);
	limitnews_t news = {.count = 0};

	for (size_t i = 0; i < fleet_count(fleet); i++) {
		const endpoint_t *endpoint = fleet_at(fleet, i);
		const ratelimit_t *limit = limits_get(endpoint);

		if (!limit || now_ms - limit->stated_ms > LIMITNEWS_MAX_AGE_MS)
			continue;
		if (!all && limit->received_ms <= sync->repeated_ms)
			continue;
		if (news.count == LIMITNEWS_MAX_ENTRIES)
			distribute(sync, &news);
		add(&news, endpoint, limit);
	}
	distribute(sync, &news);
}

void limitsync_on_round(limitsync_t *sync)
{
	int64_t now_ms = router_now_ms(sync->router);

	if (now_ms < sync->repeat_ms)
		return;
	repeat(sync, relays_repeats_all(sync->relays));
	sync->repeated_ms = now_ms;
	sync->repeat_ms = now_ms + REPEAT_INTERVAL_MS;
}

/* Applies the entries and keeps those that changed a limit. */
static void merge(const limitsync_t *sync, limitnews_t *news)
{
	size_t kept = 0;

	for (size_t i = 0; i < news->count; i++) {
		const limitnews_entry_t *entry = &news->entries[i];

		if (limits_apply_news(sync->router, entry->process,
				      entry->per_s, entry->stated_ms))
			news->entries[kept++] = *entry;
	}
	news->count = kept;
}

/* The step by which a message of this kind came. */
static relays_step_t step_of(limitnews_kind_t kind)
{
	switch (kind) {
	case LIMITNEWS_HOST:
		return RELAYS_TO_OWN_RELAY;
	case LIMITNEWS_REGION:
		return RELAYS_TO_OTHER_RELAYS;
	case LIMITNEWS_RELAY:
		break;
	}
	return RELAYS_TO_OWN_REGION;
}

err_code_t limitsync_read(limitsync_t *sync, str_t message, err_t *err)
{
	limitnews_t news;
	outgoing_t outgoing = make_outgoing(sync, &news);
	relays_step_t received;

	if (limitnews_read(message, outgoing.now_ms, &news, err))
		return err->code;
	received = step_of(news.kind);
	merge(sync, &news);
	if (news.count)
		relays_forward(sync->relays, &outgoing.base, received);
	return ERR_OK;
}
