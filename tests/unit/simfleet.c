#include "simfleet.h"

#include <stdio.h>
#include <string.h>

#include "coordination/readers.h"
#include "unit.h"

static gossip_t *create_gossip(unsigned i, uint64_t incarnation)
{
	char name[32], domain[32], ip[40];
	gossip_self_t self = {name, domain, ip, incarnation};

	snprintf(name, sizeof(name), "edge-domain-%u-%u", i % SIM_DOMAINS, i);
	snprintf(domain, sizeof(domain), "domain-%u", i % SIM_DOMAINS);
	snprintf(ip, sizeof(ip), "10.%u.0.%u", i % SIM_DOMAINS,
		 i / SIM_DOMAINS);
	return gossip_create(&self, 7919 * (uint64_t)(i + 1) + incarnation);
}

void sim_start(sim_fleet_t *fleet, unsigned count)
{
	memset(fleet, 0, sizeof(*fleet));
	fleet->host_count = count;
	fleet->partitioned_domain = SIM_NO_DOMAIN;
	fleet->revision = 1;
	for (unsigned i = 0; i < count; i++)
		fleet->hosts[i] = (sim_host_t){.gossip = create_gossip(i, 1),
					       .revision = 1};
}

void sim_stop(sim_fleet_t *fleet)
{
	for (unsigned i = 0; i < fleet->host_count; i++)
		gossip_free(fleet->hosts[i].gossip);
}

void sim_restart(sim_fleet_t *fleet, unsigned host, uint64_t incarnation)
{
	sim_host_t *restarted = &fleet->hosts[host];
	bool refused = restarted->refused;

	gossip_free(restarted->gossip);
	*restarted = (sim_host_t){.gossip = create_gossip(host, incarnation),
				  .refused = refused,
				  .started_ms = fleet->now_ms};
	/* A host lists all records when it starts. */
	if (!refused && !fleet->service_down)
		restarted->revision = fleet->revision;
}

static unsigned domain_of(unsigned host)
{
	return host % SIM_DOMAINS;
}

static bool are_connected(const sim_fleet_t *fleet, unsigned a, unsigned b)
{
	const sim_host_t *x = &fleet->hosts[a];
	const sim_host_t *y = &fleet->hosts[b];

	return !x->down && !y->down && !x->isolated && !y->isolated &&
	       (domain_of(a) == domain_of(b) ||
		(domain_of(a) != fleet->partitioned_domain &&
		 domain_of(b) != fleet->partitioned_domain));
}

static gossip_state_t state_of(const sim_host_t *host)
{
	return (gossip_state_t){.position.revision = host->revision,
				.service = host->service};
}

static void send_digest(sim_fleet_t *fleet, unsigned from,
			const member_t *member);

static void deliver(sim_fleet_t *fleet, unsigned from, unsigned to,
		    const buf_t *message)
{
	sim_host_t *host = &fleet->hosts[to];
	const member_t *sender;
	member_t sender_copy;

	fleet->round_bytes += message->len;
	if (message->len > fleet->max_message_bytes)
		fleet->max_message_bytes = message->len;
	if (!are_connected(fleet, from, to))
		return;
	gossip_read(host->gossip, buf_view(message), fleet->now_ms, &sender,
		    NULL);
	if (!sender)
		return;
	sender_copy = *sender; /* a reply may reallocate the table */
	if (gossip_needs_reply(host->gossip, &sender_copy, fleet->now_ms))
		send_digest(fleet, to, &sender_copy);
	if (fleet->reads_service &&
	    sender_copy.position.revision > host->revision)
		host->revision = sender_copy.position.revision;
}

static unsigned host_of_ip(const char *ip)
{
	unsigned domain = 0, index = 0;

	CU_ASSERT_EQUAL(sscanf(ip, "10.%u.0.%u", &domain, &index), 2);
	return index * SIM_DOMAINS + domain;
}

static void send_digest(sim_fleet_t *fleet, unsigned from,
			const member_t *member)
{
	gossip_state_t state = state_of(&fleet->hosts[from]);
	buf_t message = BUF_INIT;

	gossip_write(fleet->hosts[from].gossip, &state, member, fleet->now_ms,
		     &message);
	deliver(fleet, from, host_of_ip(member->ip), &message);
	buf_release(&message);
}

static void announce(sim_fleet_t *fleet, unsigned from)
{
	sim_host_t *host = &fleet->hosts[from];
	gossip_state_t state = state_of(host);
	buf_t message = BUF_INIT;

	host->announced_ms = fleet->now_ms;
	gossip_write_self(host->gossip, &state, fleet->now_ms, &message);
	for (size_t i = 0; i < gossip_member_count(host->gossip); i++) {
		const member_t *member = gossip_member(host->gossip, i);
		unsigned to = host_of_ip(member->ip);

		if (domain_of(to) == domain_of(from) &&
		    gossip_is_live(host->gossip, member, fleet->now_ms))
			deliver(fleet, from, to, &message);
	}
	buf_release(&message);
}

/* Does what a host does with the service in each round: reads it if the host is
 * a reader, and announces changes to its domain. */
static void read_service(sim_fleet_t *fleet, unsigned index)
{
	sim_host_t *host = &fleet->hosts[index];
	bool available = !host->refused && !fleet->service_down;
	gossip_service_t before = host->service;
	int64_t revision = host->revision;

	host->service = GOSSIP_SERVICE_UNUSED;
	if (readers_includes_self(host->gossip, host->started_ms,
				  fleet->now_ms)) {
		host->service = available ? GOSSIP_SERVICE_AVAILABLE :
					    GOSSIP_SERVICE_FAILING;
		fleet->service_callers++;
		if (available && fleet->revision > host->revision)
			host->revision = fleet->revision;
	}
	if (host->service != before || host->revision != revision ||
	    (host->service != GOSSIP_SERVICE_UNUSED &&
	     fleet->now_ms - host->announced_ms >=
		     READERS_ANNOUNCE_INTERVAL_MS))
		announce(fleet, index);
}

static void send_round(sim_fleet_t *fleet, unsigned from)
{
	const member_t *targets[GOSSIP_FANOUT];
	member_t chosen[GOSSIP_FANOUT];
	sim_host_t *host = &fleet->hosts[from];
	gossip_state_t state = state_of(host);
	size_t count = gossip_targets(host->gossip, fleet->now_ms, targets);

	for (size_t i = 0; i < count; i++)
		chosen[i] = *targets[i];
	for (size_t i = 0; i < count; i++)
		send_digest(fleet, from, &chosen[i]);
	for (unsigned i = 0; count < GOSSIP_FANOUT && i < SIM_SEEDS; i++) {
		buf_t message = BUF_INIT;

		gossip_write(host->gossip, &state, NULL, fleet->now_ms,
			     &message);
		if (i != from)
			deliver(fleet, from, i, &message);
		buf_release(&message);
	}
}

void sim_run(sim_fleet_t *fleet, unsigned rounds)
{
	while (rounds--) {
		fleet->now_ms += GOSSIP_ROUND_MS;
		fleet->round_bytes = 0;
		fleet->service_callers = 0;
		for (unsigned i = 0;
		     fleet->reads_service && i < fleet->host_count; i++)
			if (!fleet->hosts[i].down)
				read_service(fleet, i);
		for (unsigned i = 0; i < fleet->host_count; i++)
			if (!fleet->hosts[i].down)
				send_round(fleet, i);
	}
}

unsigned sim_live_count(const sim_fleet_t *fleet, unsigned host)
{
	const gossip_t *gossip = fleet->hosts[host].gossip;
	unsigned live = 1;

	for (size_t i = 0; i < gossip_member_count(gossip); i++)
		live += gossip_is_live(gossip, gossip_member(gossip, i),
				       fleet->now_ms);
	return live;
}

unsigned sim_min_live_count(const sim_fleet_t *fleet)
{
	unsigned min_live = fleet->host_count;

	for (unsigned i = 0; i < fleet->host_count; i++)
		if (!fleet->hosts[i].down &&
		    sim_live_count(fleet, i) < min_live)
			min_live = sim_live_count(fleet, i);
	return min_live;
}

unsigned sim_reader_count(const sim_fleet_t *fleet)
{
	unsigned count = 0;

	for (unsigned i = 0; i < fleet->host_count; i++)
		count += !fleet->hosts[i].down &&
			 fleet->hosts[i].service == GOSSIP_SERVICE_AVAILABLE;
	return count;
}

unsigned sim_lagging_count(const sim_fleet_t *fleet)
{
	unsigned count = 0;

	for (unsigned i = 0; i < fleet->host_count; i++)
		count += !fleet->hosts[i].down &&
			 fleet->hosts[i].revision < fleet->revision;
	return count;
}
