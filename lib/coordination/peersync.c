#include "coordination/peersync_internal.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "base/metrics.h"
#include "base/plog.h"
#include "coordination/readers.h"
#include "transport/address.h"
#include "transport/udp.h"

/* Limits are divided among one host more than are known: one may just start. */
#define SPARE_HOSTS 1
/* Back-off after a failed pull, during which that peer is not used. */
#define PULL_BACKOFF_MS 2000
/* Assumed minimum numbers of hosts until other hosts had time to respond. */
#define MIN_DOMAIN_HOSTS 4
#define MIN_ALL_HOSTS 12
#define DISCOVERY_MS 3000

/* How long a peer may be ahead before its records are pulled: the time that the
 * own watch has to deliver them, or the spread delay of this host. */
static int64_t pull_delay_ms(const peersync_t *peersync)
{
	return peersync->service == GOSSIP_SERVICE_AVAILABLE ?
		       peersync->watch_grace_ms :
		       peersync->spread_ms;
}

static void on_behind_timer(void *user);

/* Whether records of a later era may be pulled: they are not while the service
 * can be asked. A host without records pulls any. */
static gossip_eras_t accepted_eras(const peersync_t *peersync, int64_t now_ms)
{
	const peersync_observer_t *observer = &peersync->observer;
	position_t own = replica_position(peersync->replica);
	int64_t latest;

	if (!own.revision || !observer->later_era)
		return GOSSIP_LATER_ERAS;
	latest = gossip_latest_era(peersync->gossip, own, now_ms);
	if (latest == own.era || !observer->later_era(observer->user, latest))
		return GOSSIP_LATER_ERAS;
	return GOSSIP_OWN_ERA;
}

/* Pulls from a peer that has been ahead for pull_delay_ms(), or sets a timer.
 */
static void pull_if_behind(peersync_t *peersync)
{
	int64_t now_ms = peersync_now_ms(peersync);
	position_t own = replica_position(peersync->replica);
	bool in_backoff = now_ms - peersync->backoff_start_ms < PULL_BACKOFF_MS;
	const member_t *source = gossip_pull_source(
		peersync->gossip, own, accepted_eras(peersync, now_ms),
		in_backoff ? peersync->backoff_ip : NULL, now_ms);
	int64_t left_ms;

	if (!source) {
		peersync->behind_since_ms = 0;
		return;
	}
	if (!peersync->behind_since_ms)
		peersync->behind_since_ms = now_ms;
	if (peersync->outgoing_pull)
		return;
	left_ms = peersync->behind_since_ms + pull_delay_ms(peersync) - now_ms;
	if (!own.revision || left_ms <= 0)
		peersync_start_pull(peersync, source->ip);
	else
		loop_timer_set(peersync->loop, &peersync->behind_timer, left_ms,
			       on_behind_timer, peersync);
}

static void on_behind_timer(void *user)
{
	pull_if_behind(user);
}

static void send_to_ip(const peersync_t *peersync, const char *ip, str_t data)
{
	metrics_add(METRIC_CONTROL_BYTES_SENT, STR_LIT(""), data.len);
	/* The next round makes up for a lost datagram. */
	if (!udp_send(peersync->udp_fd, ip, peersync->gossip_port, data))
		metrics_inc(METRIC_GOSSIP_UNSENT);
}

static void update_host_counts(peersync_t *peersync)
{
	int64_t now_ms = peersync_now_ms(peersync);
	unsigned domain_hosts =
		gossip_domain_host_count(peersync->gossip, now_ms) +
		SPARE_HOSTS;
	unsigned all_hosts =
		gossip_host_count(peersync->gossip, now_ms) + SPARE_HOSTS;

	if (now_ms - peersync->started_ms < DISCOVERY_MS) {
		if (domain_hosts < MIN_DOMAIN_HOSTS)
			domain_hosts = MIN_DOMAIN_HOSTS;
		if (all_hosts < MIN_ALL_HOSTS)
			all_hosts = MIN_ALL_HOSTS;
	}
	if (domain_hosts == peersync->domain_hosts &&
	    all_hosts == peersync->all_hosts)
		return;
	peersync->domain_hosts = domain_hosts;
	peersync->all_hosts = all_hosts;
	peersync->observer.hosts_changed(peersync->observer.user, domain_hosts,
					 all_hosts);
}

static gossip_state_t own_state(const peersync_t *peersync)
{
	return (gossip_state_t){.position = replica_position(peersync->replica),
				.leaving = peersync->leaving,
				.service = peersync->service};
}

/* Sends a digest to a member, or to all seeds when `to` is NULL. */
static void send_digest(const peersync_t *peersync, const member_t *to,
			int64_t now_ms)
{
	gossip_state_t state = own_state(peersync);
	buf_t message = BUF_INIT;

	gossip_write(peersync->gossip, &state, to, now_ms, &message);
	if (to)
		send_to_ip(peersync, to->ip, buf_view(&message));
	for (size_t i = 0; !to && i < peersync->seed_count; i++)
		send_to_ip(peersync, peersync->seeds[i], buf_view(&message));
	buf_release(&message);
}

static void on_datagram(void *user, uint32_t events)
{
	peersync_t *peersync = user;
	char buffer[GOSSIP_MESSAGE_BYTES];
	size_t len;

	(void)events;
	while ((len = udp_receive(peersync->udp_fd, buffer, sizeof(buffer)))) {
		const member_t *sender;
		err_t err;

		metrics_add(METRIC_CONTROL_BYTES_RECEIVED, STR_LIT(""), len);
		err_code_t code =
			gossip_read(peersync->gossip, (str_t){buffer, len},
				    peersync_now_ms(peersync), &sender, &err);

		if (code == ERR_INVALID)
			peersync_report_invalid(err.peer, err.step);
		else if (!code && gossip_needs_reply(peersync->gossip, sender,
						     peersync_now_ms(peersync)))
			send_digest(peersync, sender,
				    peersync_now_ms(peersync));
	}
	pull_if_behind(peersync);
}

static void send_round(peersync_t *peersync)
{
	const member_t *targets[GOSSIP_FANOUT];
	int64_t now_ms = peersync_now_ms(peersync);
	size_t count = gossip_targets(peersync->gossip, now_ms, targets);

	for (size_t i = 0; i < count; i++)
		send_digest(peersync, targets[i], now_ms);
	if (count < GOSSIP_FANOUT)
		send_digest(peersync, NULL, now_ms);
}

void peersync_announce(peersync_t *peersync)
{
	const gossip_t *gossip = peersync->gossip;
	gossip_state_t state = own_state(peersync);
	int64_t now_ms = peersync_now_ms(peersync);
	buf_t message = BUF_INIT;

	peersync->announced_ms = now_ms;
	gossip_write_self(gossip, &state, now_ms, &message);
	for (size_t i = 0; i < gossip_member_count(gossip); i++) {
		const member_t *member = gossip_member(gossip, i);

		if (!strcmp(member->domain, gossip_self(gossip)->domain) &&
		    gossip_is_live(gossip, member, now_ms))
			send_to_ip(peersync, member->ip, buf_view(&message));
	}
	buf_release(&message);
}

void peersync_allow_large_responses(peersync_t *peersync, bool allow)
{
	peersync->allow_large_responses = allow;
}

void peersync_set_service(peersync_t *peersync, gossip_service_t service)
{
	if (service == peersync->service)
		return;
	peersync->service = service;
	peersync_announce(peersync);
}

static void on_round(void *user)
{
	peersync_t *peersync = user;
	int64_t now_ms = peersync_now_ms(peersync);

	if (peersync->observer.round_started)
		peersync->observer.round_started(peersync->observer.user);
	if (peersync->service != GOSSIP_SERVICE_UNUSED &&
	    now_ms - peersync->announced_ms >= READERS_ANNOUNCE_INTERVAL_MS)
		peersync_announce(peersync);
	send_round(peersync);
	update_host_counts(peersync);
	pull_if_behind(peersync);
	loop_timer_set(peersync->loop, &peersync->round_timer, GOSSIP_ROUND_MS,
		       on_round, peersync);
}

err_code_t peersync_create(const peersync_options_t *options, peersync_t **out,
			   err_t *err)
{
	peersync_t *peersync = calloc(1, sizeof(*peersync));
	struct sockaddr_in sin;

	if (!peersync)
		abort();
	peersync->loop = options->loop;
	peersync->replica = options->replica;
	peersync->observer = options->observer;
	peersync->gossip_port = options->gossip_port;
	peersync->watch_grace_ms = options->watch_grace_ms;
	peersync->listen_fd = -1;
	peersync->started_ms = peersync_now_ms(peersync);
	peersync->spread_ms =
		readers_weight(options->self.name) % PEERSYNC_SPREAD_MS;
	peersync->gossip = gossip_create(
		&options->self,
		options->self.incarnation ^
			(uint64_t)mclock_now_us(loop_clock(options->loop)));
	peersync->udp_fd =
		udp_open(options->self.ip, options->gossip_port, err);
	if (peersync->udp_fd < 0 ||
	    address_parse(options->pull_listen, &sin, err))
		goto fail;
	peersync->pull_port = ntohs(sin.sin_port);
	peersync->listen_fd = tcp_listen(options->pull_listen, err);
	if (peersync->listen_fd < 0)
		goto fail;
	loop_watch(peersync->loop, peersync->udp_fd, EPOLLIN, on_datagram,
		   peersync);
	loop_watch(peersync->loop, peersync->listen_fd, EPOLLIN,
		   peersync_on_accept, peersync);
	loop_timer_set(peersync->loop, &peersync->round_timer, 0, on_round,
		       peersync);
	*out = peersync;
	return ERR_OK;
fail:
	peersync_free(peersync);
	return ERR_IO;
}

void peersync_free(peersync_t *peersync)
{
	if (!peersync)
		return;
	loop_timer_cancel(peersync->loop, &peersync->round_timer);
	loop_timer_cancel(peersync->loop, &peersync->behind_timer);
	if (peersync->outgoing_pull)
		peersync_end_pull(peersync->outgoing_pull);
	while (peersync->served_pull_count)
		peersync_end_pull(peersync->served_pulls[0]);
	if (peersync->udp_fd >= 0) {
		loop_unwatch(peersync->loop, peersync->udp_fd);
		close(peersync->udp_fd);
	}
	if (peersync->listen_fd >= 0) {
		loop_unwatch(peersync->loop, peersync->listen_fd);
		close(peersync->listen_fd);
	}
	gossip_free(peersync->gossip);
	free(peersync);
}

void peersync_set_seeds(peersync_t *peersync, const str_t *ips, size_t count)
{
	peersync->seed_count = 0;
	for (size_t i = 0; i < count && i < PEERSYNC_MAX_SEEDS; i++)
		if (str_copy(peersync->seeds[peersync->seed_count],
			     GOSSIP_IP_BYTES, ips[i]))
			peersync->seed_count++;
}

const gossip_t *peersync_gossip(const peersync_t *peersync)
{
	return peersync->gossip;
}

void peersync_leave(peersync_t *peersync)
{
	peersync->leaving = true;
}
