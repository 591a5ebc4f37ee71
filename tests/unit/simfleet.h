#ifndef SIMFLEET_H
#define SIMFLEET_H

#include "coordination/gossip.h"

/*
 * simfleet - host tables that pass messages as hosts do, on a clock of the test
 *
 * Host i is of domain i % SIM_DOMAINS; the first hosts are the seeds. With
 * `reads_service` set, hosts read a configuration service as readers.h has it,
 * and pull from a host whose message shows a newer revision. Time goes in
 * rounds of GOSSIP_ROUND_MS.
 */
#define SIM_DOMAINS 6
#define SIM_MAX_HOSTS 360
#define SIM_SEEDS 3
#define SIM_NO_DOMAIN UINT32_MAX

typedef struct sim_host {
	gossip_t *gossip;
	bool down;
	bool refused;  /* the service doesn't answer it */
	bool isolated; /* other hosts don't hear of it, nor it of them */
	int64_t started_ms;
	int64_t announced_ms;
	int64_t revision;
	gossip_service_t service;
} sim_host_t;

typedef struct sim_fleet {
	sim_host_t hosts[SIM_MAX_HOSTS];
	unsigned count;
	int64_t now_ms;
	uint64_t bytes;	  /* sent in the present round */
	size_t max_bytes; /* of one message so far */
	bool reads_service;
	bool service_down;
	int64_t revision;    /* of the service */
	unsigned callers;    /* hosts that called it in the present round */
	unsigned cut_domain; /* can't reach the others; SIM_NO_DOMAIN */
} sim_fleet_t;

void sim_start(sim_fleet_t *fleet, unsigned count);
void sim_stop(sim_fleet_t *fleet);

/* A host's process starts anew, with nothing. */
void sim_restart(sim_fleet_t *fleet, unsigned host, uint64_t incarnation);
void sim_run(sim_fleet_t *fleet, unsigned rounds);

/* Hosts that a host takes for live, itself included. */
unsigned sim_live_at(const sim_fleet_t *fleet, unsigned host);
unsigned sim_least_live(const sim_fleet_t *fleet);

/* Hosts up that read the service, and those that lack its newest revision. */
unsigned sim_readers(const sim_fleet_t *fleet);
unsigned sim_behind(const sim_fleet_t *fleet);

#endif
