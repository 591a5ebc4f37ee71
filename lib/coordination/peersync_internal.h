#ifndef COORDINATION_PEERSYNC_INTERNAL_H
#define COORDINATION_PEERSYNC_INTERNAL_H

#include "coordination/peersync.h"
#include "transport/tcp.h"

/*
 * peersync_internal - shared by the modules of peersync
 *
 * peersync.c exchanges gossip and decides when records are pulled;
 * peersync_pull.c asks for pulls and answers them.
 */
#define PEERSYNC_MAX_SEEDS 8

/* A connection over which a pull is asked for or answered. */
typedef struct pull {
	peersync_t *peersync;
	tcp_t tcp;
	buf_t received;
	bool outgoing;
	bool responded;
	int64_t deadline_ms;
	char peer[ADDRESS_BYTES];
	loop_timer_t timer;
} pull_t;

struct peersync {
	loop_t *loop;
	replica_t *replica;
	gossip_t *gossip;
	peersync_observer_t observer;
	int udp_fd;
	int listen_fd;
	unsigned gossip_port;
	unsigned pull_port;
	int64_t watch_grace_ms;
	char seeds[PEERSYNC_MAX_SEEDS][GOSSIP_IP_BYTES];
	size_t seed_count;
	bool leaving;
	bool allow_large_responses;
	gossip_service_t service;
	int64_t announced_ms;
	char backoff_ip[GOSSIP_IP_BYTES]; /* did not answer a pull */
	int64_t backoff_start_ms;
	int64_t started_ms;
	int64_t behind_since_ms; /* a peer's revision has been newer; 0: no */
	int64_t spread_ms;	 /* of this host, see PEERSYNC_SPREAD_MS */
	loop_timer_t behind_timer;
	unsigned domain_hosts, all_hosts;
	pull_t *outgoing_pull; /* the own pull; one at a time */
	size_t served_pulls;
	loop_timer_t round_timer;
};

int64_t peersync_now_ms(const peersync_t *peersync);

/* Logs and counts a message that can't be read. */
void peersync_report_invalid(const char *peer, const char *step);

/* Asks a peer for the records that are newer than the own ones. */
void peersync_start_pull(peersync_t *peersync, const char *ip);
void peersync_end_pull(pull_t *pull);

/* Peers connect to pull from this host. */
void peersync_on_accept(void *user, uint32_t events);

#endif
