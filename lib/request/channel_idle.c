#include "request/channel_internal.h"

#include <limits.h>

/* Idle limit when the endpoint states none. */
#define CHANNEL_DEFAULT_IDLE_MS 4000
/* Fraction of the stated idle time that is used; the rest allows for the time
 * that a request takes to the endpoint. */
#define CHANNEL_IDLE_FRACTION 0.6
/* Connections to an endpoint that each host may have at least. */
#define CHANNEL_MIN_CONNECTIONS 4

static int64_t idle_limit(const channel_t *channel)
{
	int64_t stated = channel->reply.keep_alive_ms;

	return stated >= 0 ? (int64_t)((double)stated * CHANNEL_IDLE_FRACTION) :
			     CHANNEL_DEFAULT_IDLE_MS;
}

void channel_keep_idle(channel_t *channel)
{
	endpoint_t *endpoint = channel->endpoint;

	channel->idle_limit_ms = idle_limit(channel);
	channel->idle_since_ms = router_now_ms(channel->router);
	channel->next = endpoint->idle_channels;
	endpoint->idle_channels = channel;
}

void channel_unlink_idle(channel_t *channel)
{
	channel_t **at = &channel->endpoint->idle_channels;

	while (*at && *at != channel)
		at = &(*at)->next;
	if (*at)
		*at = channel->next;
}

channel_t *channel_take_idle(endpoint_t *endpoint, int64_t max_idle_ms,
			     int64_t now_ms)
{
	while (endpoint->idle_channels) {
		channel_t *channel = endpoint->idle_channels;
		int64_t idle_ms = now_ms - channel->idle_since_ms;

		if (idle_ms > max_idle_ms)
			return NULL; /* the rest of the list is older */
		endpoint->idle_channels = channel->next;
		if (idle_ms <= channel->idle_limit_ms &&
		    !tcp_has_input(&channel->tcp))
			return channel;
		channel_destroy(channel);
	}
	return NULL;
}

unsigned channel_limit(const router_t *router, const catalog_service_t *service)
{
	unsigned limit = service ? service->max_connections : 0;

	if (service && service->limited_to_slots)
		return UINT_MAX; /* the limit on requests applies */
	limit /= router->all_hosts ? router->all_hosts : 1;
	return limit > CHANNEL_MIN_CONNECTIONS ? limit :
						 CHANNEL_MIN_CONNECTIONS;
}

void channel_retire_idle(router_t *router, endpoint_t *endpoint)
{
	int64_t now_ms = router_now_ms(router);
	channel_t **at = &endpoint->idle_channels;

	while (*at) {
		channel_t *channel = *at;

		if (now_ms - channel->idle_since_ms < channel->idle_limit_ms) {
			at = &channel->next;
			continue;
		}
		*at = channel->next;
		channel_destroy(channel);
	}
}

void channel_drop_idle(router_t *router, endpoint_t *endpoint)
{
	(void)router;
	while (endpoint->idle_channels) {
		channel_t *channel = endpoint->idle_channels;

		endpoint->idle_channels = channel->next;
		channel_destroy(channel);
	}
}
