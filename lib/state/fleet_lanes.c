#include "state/fleet_internal.h"

#include <math.h>
#include <stdlib.h>

/* Endpoints are marked again when the express share changes by this much. */
#define FLEET_MIN_SHARE_CHANGE 0.01

static bool is_limited(const endpoint_t *endpoint)
{
	return endpoint_limit_per_s(endpoint) > 0.0;
}

/* Orders endpoints by service and domain, which form a group; then slow ones
 * after others, whose streams suffer less from prefill, and by hash. Those with
 * a limited rate come last. */
static int compare_groups(const void *a, const void *b)
{
	const endpoint_t *x = *(endpoint_t *const *)a;
	const endpoint_t *y = *(endpoint_t *const *)b;

	if (x->service_index != y->service_index)
		return x->service_index < y->service_index ? -1 : 1;
	if (x->domain_index != y->domain_index)
		return x->domain_index < y->domain_index ? -1 : 1;
	if (is_limited(x) != is_limited(y))
		return is_limited(x) ? 1 : -1;
	if (x->is_slow != y->is_slow)
		return x->is_slow ? 1 : -1;
	return x->hash < y->hash ? -1 : x->hash > y->hash;
}

static bool is_same_group(const endpoint_t *a, const endpoint_t *b)
{
	return a->service_index == b->service_index &&
	       a->domain_index == b->domain_index;
}

/* At least one endpoint without a limit stays for long prompts. */
static void mark_group_express(const fleet_t *fleet, endpoint_t **group,
			       unsigned size)
{
	const lanes_t *lanes = &fleet->lanes[group[0]->service_index];
	unsigned express = lanes_express_count(lanes, size);
	unsigned unlimited = 0;

	while (unlimited < size && !is_limited(group[unlimited]))
		unlimited++;
	for (unsigned i = 0; i < express && i + 1 < unlimited; i++)
		group[i]->express = true;
}

void fleet_on_limit_changed(fleet_t *fleet)
{
	fleet->express_is_stale = true;
}

void fleet_update_express(fleet_t *fleet)
{
	endpoint_t **sorted;
	size_t count = 0;

	if (!fleet->express_is_stale)
		return;
	fleet->express_is_stale = false;
	sorted = malloc((fleet->count + 1) * sizeof(*sorted));
	if (!sorted)
		abort();
	for (size_t i = 0; i < fleet->count; i++) {
		fleet->endpoints[i]->express = false;
		if (fleet->endpoints[i]->state == ENDPOINT_READY)
			sorted[count++] = fleet->endpoints[i];
	}
	qsort(sorted, count, sizeof(*sorted), compare_groups);
	for (size_t first = 0, end; first < count; first = end) {
		end = first + 1;
		while (end < count && is_same_group(sorted[first], sorted[end]))
			end++;
		mark_group_express(fleet, sorted + first,
				   (unsigned)(end - first));
	}
	free(sorted);
}

void fleet_reset_lanes(fleet_t *fleet)
{
	for (size_t i = 0; i < fleet->service_count; i++) {
		if (fleet->lanes[i].share > 0.0)
			fleet->express_is_stale = true;
		fleet->lanes[i].share = 0.0;
	}
}

void fleet_update_lanes(fleet_t *fleet, str_t service,
			double prefill_tokens_per_ms, int64_t now_ms)
{
	int index = fleet_find_service(fleet, service);
	lanes_load_t loads[2] = {{0.0, 0.0}, {0.0, 0.0}};

	if (index < 0)
		return;
	for (size_t i = 0; i < fleet->count; i++) {
		const endpoint_t *endpoint = fleet->endpoints[i];
		load_t load = endpoint_load(endpoint, now_ms);

		if ((int)endpoint->service_index != index || !endpoint->slots)
			continue;
		loads[endpoint->express].prefill_share_sum +=
			(double)load.tokens_per_s * endpoint->slowness /
			(prefill_tokens_per_ms * FLEET_MS_PER_S);
		loads[endpoint->express].slot_share_sum +=
			(double)load.in_flight / endpoint->slots;
	}
	lanes_update(&fleet->lanes[index], &loads[1], &loads[0], now_ms);
	if (fabs(fleet->lanes[index].share -
		 fleet->marked_express_shares[index]) < FLEET_MIN_SHARE_CHANGE)
		return;
	fleet->marked_express_shares[index] = fleet->lanes[index].share;
	fleet->express_is_stale = true;
}
