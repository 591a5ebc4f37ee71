#ifndef COORDINATION_PEERSYNC_INTERNAL_H
#define COORDINATION_PEERSYNC_INTERNAL_H

#include "coordination/peersync.h"
#include "transport/tcp.h"

/*
 * peersync_internal - shared by the modules of peersync
 *
 * peersync.c exchanges gossip and decides when to pull records;
 * peersync_pull.c sends and serves pull requests.
 */
#define PEERSYNC_MAX_SEEDS 8

/* Connection of a pull, from this host or from a peer. */
typedef struct pull {
	peersync_t *peersync;
	tcp_t tcp;
	buf_t received;
	bool outgoing;	/* this host sent the request */
	bool responded; /* to a peer's request */
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
	char backoff_ip[GOSSIP_IP_BYTES]; /* its last pull failed */
	int64_t backoff_start_ms;
	int64_t started_ms;
	int64_t behind_since_ms; /* since when a peer is ahead; 0: none is */
	int64_t spread_ms;	 /* own pull delay, see PEERSYNC_SPREAD_MS */
	loop_timer_t behind_timer;
	unsigned domain_hosts, all_hosts;
	pull_t *outgoing_pull; /* at most one at a time */
	/* Pulls of peers, the oldest first. */
	pull_t *served_pulls[PEERSYNC_MAX_SERVED_PULLS];
	size_t served_pull_count;
	loop_timer_t round_timer;
};

int64_t peersync_now_ms(const peersync_t *peersync);

/* Logs and counts a malformed message. */
void peersync_report_invalid(const char *peer, const char *step);

/* Requests the records from a peer that are newer than the own ones. */
void peersync_start_pull(peersync_t *peersync, const char *ip);
void peersync_end_pull(pull_t *pull);

/* Accepts connections of peers that pull from this host. */
void peersync_on_accept(void *user, uint32_t events);

#endif
