#ifndef SIMFLEET_H
#define SIMFLEET_H

#include "coordination/gossip.h"

/*
 * simfleet - simulated fleet of hosts that exchange gossip in simulated time
 *
 * Host i belongs to domain i % SIM_DOMAINS; the first SIM_SEEDS hosts are the
 * seeds. With `reads_service` set, the hosts that readers.h selects read a
 * configuration service, and a host pulls from each host whose message reports
 * a newer revision. Time advances in rounds of GOSSIP_ROUND_MS.
 */
#define SIM_DOMAINS 6
#define SIM_MAX_HOSTS 360
#define SIM_SEEDS 3
#define SIM_NO_DOMAIN UINT32_MAX

typedef struct sim_host {
	gossip_t *gossip;
	bool down;
	bool refused;  /* the service doesn't answer this host */
	bool isolated; /* no messages pass between it and other hosts */
	int64_t started_ms;
	int64_t announced_ms;
	int64_t revision;
	gossip_service_t service;
} sim_host_t;

typedef struct sim_fleet {
	sim_host_t hosts[SIM_MAX_HOSTS];
	unsigned host_count;
	int64_t now_ms;
	uint64_t round_bytes;	  /* sent by all hosts in the current round */
	size_t max_message_bytes; /* size of the largest message so far */
	bool reads_service;
	bool service_down;
	int64_t revision;	  /* newest one of the service */
	unsigned service_callers; /* hosts that called it in this round */
	/* Domain partitioned from the others, or SIM_NO_DOMAIN. */
	unsigned partitioned_domain;
} sim_fleet_t;

void sim_start(sim_fleet_t *fleet, unsigned count);
void sim_stop(sim_fleet_t *fleet);

/* Restarts a host with an empty table; it reads the records from the service if
 * the service answers it. */
void sim_restart(sim_fleet_t *fleet, unsigned host, uint64_t incarnation);

/* Simulates this number of rounds. */
void sim_run(sim_fleet_t *fleet, unsigned rounds);

/* Number of hosts that `host` considers live, itself included, and the lowest
 * such number over all running hosts. */
unsigned sim_live_count(const sim_fleet_t *fleet, unsigned host);
unsigned sim_min_live_count(const sim_fleet_t *fleet);

/* Number of running hosts that read the service successfully, and of those
 * without its newest revision. */
unsigned sim_reader_count(const sim_fleet_t *fleet);
unsigned sim_lagging_count(const sim_fleet_t *fleet);

#endif
