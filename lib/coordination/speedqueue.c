#include "coordination/speedqueue.h"

static void add_entry(speednews_t *news, const endpoint_t *endpoint,
		      const speed_sums_t *sums)
{
	if (sums->weight > 0.0)
		news->entries[news->count++] = (speednews_entry_t){
			(uint32_t)endpoint->process_hash, *sums};
}

/* RETURN VALUE: whether the endpoint had samples to send. */
static bool take_endpoint(endpoint_t *endpoint, bool is_relay, int64_t now_ms,
			  speedqueue_batch_t *batch)
{
	speed_sums_t own_region = endpoint->unsent_speed;
	speed_sums_t all_regions = endpoint->unsent_far_speed;

	endpoint->unsent_speed = (speed_sums_t){0.0, 0.0};
	endpoint->unsent_far_speed = (speed_sums_t){0.0, 0.0};
	if (is_relay) {
		speed_sums_add(&all_regions, &own_region);
		speed_add(&endpoint->fleet_speed, &all_regions, now_ms);
		add_entry(&batch->all_regions, endpoint, &all_regions);
	}
	add_entry(&batch->own_region, endpoint, &own_region);
	return own_region.weight > 0.0 ||
	       (is_relay && all_regions.weight > 0.0);
}

size_t speedqueue_take(speedqueue_t *queue, const fleet_t *fleet, bool is_relay,
		       size_t max, int64_t now_ms, speedqueue_batch_t *batch)
{
	size_t count = fleet_count(fleet);
	size_t taken = 0;

	batch->own_region.count = batch->all_regions.count = 0;
	if (max > SPEEDNEWS_MAX_ENTRIES)
		max = SPEEDNEWS_MAX_ENTRIES;
	for (size_t i = 0; i < count && taken < max; i++) {
		queue->next = (queue->next + 1) % count;
		taken += take_endpoint(fleet_at(fleet, queue->next), is_relay,
				       now_ms, batch);
	}
	return taken;
}

static endpoint_t *find_process(const fleet_t *fleet, uint32_t process)
{
	for (size_t i = 0; i < fleet_count(fleet); i++)
		if ((uint32_t)fleet_at(fleet, i)->process_hash == process)
			return fleet_at(fleet, i);
	return NULL;
}

static void receive_entry(endpoint_t *endpoint, speednews_kind_t kind,
			  bool is_relay, const speed_sums_t *sums,
			  int64_t now_ms)
{
	if (kind == SPEEDNEWS_RELAY)
		speed_add(&endpoint->fleet_speed, sums, now_ms);
	else if (is_relay && kind == SPEEDNEWS_HOST)
		speed_sums_add(&endpoint->unsent_speed, sums);
	else if (is_relay)
		speed_sums_add(&endpoint->unsent_far_speed, sums);
}

void speedqueue_receive(const fleet_t *fleet, bool is_relay,
			const speednews_t *news, int64_t now_ms)
{
	for (size_t i = 0; i < news->count; i++) {
		const speednews_entry_t *entry = &news->entries[i];
		endpoint_t *endpoint = find_process(fleet, entry->process);

		if (endpoint)
			receive_entry(endpoint, news->kind, is_relay,
				      &entry->sums, now_ms);
	}
}
