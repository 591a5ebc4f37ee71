#include "request/speedsync.h"

/* A batch as messages on their way to all hosts. */
typedef struct outgoing {
	relays_message_t base;
	speedqueue_batch_t *batch;
} outgoing_t;

static void write_batch(const relays_message_t *message, relays_step_t step,
			buf_t *out)
{
	static const speednews_kind_t kinds[] = {
		SPEEDNEWS_HOST, SPEEDNEWS_REGION, SPEEDNEWS_RELAY};
	speedqueue_batch_t *batch = ((const outgoing_t *)message)->batch;
	speednews_t *news = step == RELAYS_TO_OWN_REGION ? &batch->all_regions :
							   &batch->own_region;

	news->kind = kinds[step];
	speednews_write(news, out);
}

static const relays_message_ops_t message_ops = {write_batch};

void speedsync_init(speedsync_t *sync, router_t *router, const relays_t *relays)
{
	*sync = (speedsync_t){.router = router, .relays = relays};
}

static void send_batches(speedsync_t *sync, size_t max, int64_t now_ms)
{
	const fleet_t *fleet = sync->router->fleet;
	bool is_relay = relays_is_self(sync->relays);
	speedqueue_batch_t batch;
	outgoing_t outgoing = {{&message_ops}, &batch};
	size_t count;

	while (max && (count = speedqueue_take(&sync->queue, fleet, is_relay,
					       max, now_ms, &batch))) {
		relays_distribute(sync->relays, &outgoing.base);
		max -= count;
	}
}

void speedsync_on_round(speedsync_t *sync)
{
	int64_t now_ms = router_now_ms(sync->router);
	size_t max = fleet_count(sync->router->fleet);

	if (now_ms < sync->next_ms)
		return;
	sync->next_ms = now_ms + SPEEDNEWS_INTERVAL_MS;
	if (relays_is_self(sync->relays))
		max = speednews_max_entries(
			relays_count_receivers(sync->relays));
	send_batches(sync, max, now_ms);
}

err_code_t speedsync_read(const speedsync_t *sync, str_t message, err_t *err)
{
	speednews_t news;

	if (speednews_read(message, &news, err))
		return err->code;
	speedqueue_receive(sync->router->fleet,
			   sync->relays->count && relays_is_self(sync->relays),
			   &news, router_now_ms(sync->router));
	return ERR_OK;
}
