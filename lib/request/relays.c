#include "request/relays.h"

#include <assert.h>
#include <string.h>
#include <xxhash.h>

/* Hosts of a region beside the relay that repeat all that they know. */
#define REPEATING_HOSTS 2

uint32_t relays_host_id(const char *name)
{
	return (uint32_t)XXH64(name, strlen(name), 0) | 1;
}

static relay_t *get_region_relay(relays_t *relays, str_t region)
{
	for (size_t i = 0; i < relays->count; i++)
		if (str_equals(relays->list[i].region, region))
			return &relays->list[i];
	if (relays->count == RELAYS_MAX_REGIONS)
		return NULL;
	relays->list[relays->count] = (relay_t){.region = region};
	return &relays->list[relays->count++];
}

static void add_candidate(relays_t *relays, str_t region, const char *name,
			  const member_t *member)
{
	relay_t *relay = get_region_relay(relays, region);
	uint32_t weight = relays_host_id(name);

	if (relay && weight > relay->weight) {
		relay->weight = weight;
		relay->member = member;
	}
}

static str_t get_region(const relays_t *relays, const member_t *member)
{
	return fleet_region(relays->router->fleet, str_from(member->domain));
}

void relays_find(relays_t *relays)
{
	const gossip_t *gossip = peersync_gossip(relays->peersync);
	int64_t now_ms = router_now_ms(relays->router);

	relays->count = 0;
	add_candidate(relays, relays->router->region, relays->name, NULL);
	for (size_t i = 0; i < gossip_member_count(gossip); i++) {
		const member_t *member = gossip_member(gossip, i);

		if (gossip_is_live(gossip, member, now_ms) && !member->leaving)
			add_candidate(relays, get_region(relays, member),
				      member->name, member);
	}
}

const relay_t *relays_own(const relays_t *relays)
{
	/* relays_find() adds this host, and so its region, first. */
	assert(relays->count);
	return &relays->list[0];
}

bool relays_is_self(const relays_t *relays)
{
	return !relays_own(relays)->member;
}

bool relays_in_region(const relays_t *relays, const member_t *member)
{
	const router_t *router = relays->router;
	const gossip_t *gossip = peersync_gossip(relays->peersync);

	return gossip_is_live(gossip, member, router_now_ms(router)) &&
	       str_equals(get_region(relays, member), router->region);
}

size_t relays_count_receivers(const relays_t *relays)
{
	const gossip_t *gossip = peersync_gossip(relays->peersync);
	size_t receivers = 0;

	for (size_t i = 0; i < gossip_member_count(gossip); i++)
		receivers += relays_in_region(relays, gossip_member(gossip, i));
	return receivers;
}

bool relays_repeats_all(const relays_t *relays)
{
	unsigned hosts;

	if (!relays->count || relays_is_self(relays))
		return true;
	hosts = relays->router->all_hosts / (unsigned)relays->count;
	return hosts <= REPEATING_HOSTS ||
	       router_random(relays->router) % hosts < REPEATING_HOSTS;
}

static void send_to(const relays_t *relays, const member_t *member,
		    const relays_message_t *message, relays_step_t step)
{
	buf_t out = BUF_INIT;

	message->ops->write(message, step, &out);
	relays->send(relays->user, member->ip, &out);
}

static void send_to_other_relays(const relays_t *relays,
				 const relays_message_t *message)
{
	for (size_t i = 0; i < relays->count; i++)
		if (relays->list[i].member)
			send_to(relays, relays->list[i].member, message,
				RELAYS_TO_OTHER_RELAYS);
}

static void send_to_own_region(const relays_t *relays,
			       const relays_message_t *message)
{
	const gossip_t *gossip = peersync_gossip(relays->peersync);

	for (size_t i = 0; i < gossip_member_count(gossip); i++) {
		const member_t *member = gossip_member(gossip, i);

		if (relays_in_region(relays, member))
			send_to(relays, member, message, RELAYS_TO_OWN_REGION);
	}
}

void relays_distribute(const relays_t *relays, const relays_message_t *message)
{
	if (!relays->count)
		return;
	if (!relays_is_self(relays)) {
		send_to(relays, relays_own(relays)->member, message,
			RELAYS_TO_OWN_RELAY);
		return;
	}
	send_to_other_relays(relays, message);
	send_to_own_region(relays, message);
}

void relays_forward(const relays_t *relays, const relays_message_t *message,
		    relays_step_t received)
{
	if (received == RELAYS_TO_OWN_REGION || !relays->count ||
	    !relays_is_self(relays))
		return;
	if (received == RELAYS_TO_OWN_RELAY)
		send_to_other_relays(relays, message);
	send_to_own_region(relays, message);
}
