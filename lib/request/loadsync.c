#include "request/loadsync.h"

#include <stdlib.h>
#include <sys/epoll.h>
#include <unistd.h>
#include <xxhash.h>

#include "base/metrics.h"
#include "base/plog.h"
#include "request/crashsync.h"
#include "request/custsync.h"
#include "request/limitsync.h"
#include "request/notices.h"
#include "request/relays.h"
#include "request/speedsync.h"
#include "transport/udp.h"

#define MESSAGE_BYTES 2048
#define MAX_ENDPOINTS 4096

struct loadsync {
	router_t *router;
	loadboard_t *board;
	char *name;
	uint32_t host_id; /* relays_host_id() of this host */
	unsigned port;
	int fd;
	loop_timer_t timer;
	relays_t relays;
	crashsync_t crashsync;
	limitsync_t limitsync;
	speedsync_t speedsync;
	custsync_t custsync;
	loadboard_entry_t entries[MAX_ENDPOINTS];
	/* On a relay: keys to be sent to the hosts of its own region. */
	prefixnews_t other_region_keys;
};

static int64_t current_ms(const loadsync_t *loadsync)
{
	return router_now_ms(loadsync->router);
}

/* Sends a message and releases its buffer. */
static void send_message(const loadsync_t *loadsync, const char *ip,
			 buf_t *message)
{
	metrics_add(METRIC_CONTROL_BYTES_SENT, STR_LIT(""), message->len);
	if (!udp_send(loadsync->fd, ip, loadsync->port, buf_view(message)))
		metrics_inc(METRIC_GOSSIP_UNSENT);
	buf_release(message);
}

static void send_relays_message(void *user, const char *ip, buf_t *message)
{
	send_message(user, ip, message);
}

/* Sends entries in messages of bounded size. */
static void send_entries(const loadsync_t *loadsync, const char *ip,
			 loadboard_kind_t kind, uint32_t source, size_t count)
{
	for (size_t at = 0; at < count; at += LOADBOARD_MESSAGE_ENTRIES) {
		size_t chunk = count - at < LOADBOARD_MESSAGE_ENTRIES ?
				       count - at :
				       LOADBOARD_MESSAGE_ENTRIES;
		buf_t message = BUF_INIT;

		loadboard_write(kind, source, loadsync->entries + at, chunk,
				&message);
		send_message(loadsync, ip, &message);
	}
}

/* Writes this host's non-zero loads to `entries`; returns their number. */
static size_t collect_own_loads(loadsync_t *loadsync)
{
	const fleet_t *fleet = loadsync->router->fleet;
	size_t count = 0;

	for (size_t i = 0; i < fleet_count(fleet) && count < MAX_ENDPOINTS;
	     i++) {
		endpoint_t *endpoint = fleet_at(fleet, i);
		load_t load = endpoint_own_load(endpoint, current_ms(loadsync));

		endpoint->reported_load = load;
		if (load.backlog_tokens || load.tokens_per_s || load.in_flight)
			loadsync->entries[count++] = (loadboard_entry_t){
				(uint32_t)endpoint->hash, load};
	}
	return count;
}

/* Adds the relay's own loads to its board as if another host had sent them. */
static void add_own_loads(loadsync_t *loadsync, size_t count)
{
	buf_t message = BUF_INIT;
	err_t err;

	loadboard_write(LOADBOARD_HOST, loadsync->host_id, loadsync->entries,
			count, &message);
	loadboard_read(loadsync->board, buf_view(&message),
		       current_ms(loadsync), &err);
	buf_release(&message);
}

/* Sends this host's loads to the relay of its region; a relay adds its own to
 * its board. */
static void send_own_loads(loadsync_t *loadsync)
{
	const relay_t *relay = relays_own(&loadsync->relays);
	size_t count = collect_own_loads(loadsync);

	if (!count)
		return;
	if (relay->member)
		send_entries(loadsync, relay->member->ip, LOADBOARD_HOST,
			     loadsync->host_id, count);
	else
		add_own_loads(loadsync, count);
}

/* Sends the sums over a relay's region to the other relays. */
static void send_region_loads(loadsync_t *loadsync)
{
	str_t region = loadsync->router->region;
	size_t count = loadboard_sum(loadsync->board, LOADBOARD_OWN_REGION,
				     current_ms(loadsync), loadsync->entries,
				     MAX_ENDPOINTS);

	for (size_t i = 0; i < loadsync->relays.count && count; i++) {
		const relay_t *relay = &loadsync->relays.list[i];

		if (relay->member && !str_equals(relay->region, region))
			send_entries(loadsync, relay->member->ip,
				     LOADBOARD_REGION,
				     (uint32_t)XXH64(region.ptr, region.len, 0),
				     count);
	}
}

/* Sends the totals over all hosts to a relay's region, and adds them to its own
 * board. */
static void send_totals(loadsync_t *loadsync, int64_t round_ms)
{
	const gossip_t *gossip = peersync_gossip(loadsync->relays.peersync);
	int64_t now_ms = current_ms(loadsync);
	size_t count = loadboard_sum(loadsync->board, LOADBOARD_ALL, now_ms,
				     loadsync->entries, MAX_ENDPOINTS);
	buf_t message = BUF_INIT;
	err_t err;

	if (!count)
		return;
	count = loadboard_select_most_loaded(
		loadsync->entries, count,
		loadboard_max_totals(relays_count_receivers(&loadsync->relays),
				     round_ms));
	for (size_t i = 0; i < gossip_member_count(gossip); i++) {
		const member_t *member = gossip_member(gossip, i);

		if (relays_in_region(&loadsync->relays, member))
			send_entries(loadsync, member->ip, LOADBOARD_TOTALS,
				     loadsync->host_id, count);
	}
	loadboard_write(LOADBOARD_TOTALS, loadsync->host_id, loadsync->entries,
			count, &message);
	loadboard_read(loadsync->board, buf_view(&message), now_ms, &err);
	buf_release(&message);
}

/* Sets the endpoints' total loads from the board. */
static void apply_board(loadsync_t *loadsync)
{
	const fleet_t *fleet = loadsync->router->fleet;
	int64_t now_ms = current_ms(loadsync);

	loadboard_expire(loadsync->board, now_ms);
	for (size_t i = 0; i < fleet_count(fleet); i++) {
		endpoint_t *endpoint = fleet_at(fleet, i);

		endpoint->total_load = loadboard_get(
			loadsync->board, (uint32_t)endpoint->hash, now_ms);
		endpoint->counted_own_load = endpoint->reported_load;
	}
}

static void send_keys(const loadsync_t *loadsync, const char *ip,
		      prefixnews_kind_t kind, const prefixnews_t *queue)
{
	for (size_t at = 0; at < queue->count;
	     at += PREFIXNEWS_MAX_MESSAGE_KEYS) {
		size_t chunk = queue->count - at < PREFIXNEWS_MAX_MESSAGE_KEYS ?
				       queue->count - at :
				       PREFIXNEWS_MAX_MESSAGE_KEYS;
		buf_t message = BUF_INIT;

		prefixnews_write(kind, queue->keys + at, chunk, &message);
		send_message(loadsync, ip, &message);
	}
}

/* Sends the keys from a relay's region to the other relays, and those from all
 * regions to the hosts of its region. */
static void relay_prefix_keys(const loadsync_t *loadsync)
{
	const gossip_t *gossip = peersync_gossip(loadsync->relays.peersync);
	const prefixnews_t *queue = &loadsync->router->prefix_keys;

	for (size_t i = 0; i < loadsync->relays.count; i++)
		if (loadsync->relays.list[i].member)
			send_keys(loadsync, loadsync->relays.list[i].member->ip,
				  PREFIXNEWS_REGION, queue);
	for (size_t i = 0; i < gossip_member_count(gossip); i++) {
		const member_t *member = gossip_member(gossip, i);

		if (!relays_in_region(&loadsync->relays, member))
			continue;
		send_keys(loadsync, member->ip, PREFIXNEWS_RELAY, queue);
		send_keys(loadsync, member->ip, PREFIXNEWS_RELAY,
			  &loadsync->other_region_keys);
	}
}

/* Sends the prefix keys queued since the last round. */
static void send_prefix_keys(loadsync_t *loadsync)
{
	const relay_t *relay = relays_own(&loadsync->relays);
	prefixnews_t *queue = &loadsync->router->prefix_keys;

	if (relays_is_self(&loadsync->relays))
		relay_prefix_keys(loadsync);
	else
		send_keys(loadsync, relay->member->ip, PREFIXNEWS_HOST, queue);
	metrics_add(METRIC_PREFIX_NEWS_LEFT_OUT, STR_LIT(""),
		    queue->dropped + loadsync->other_region_keys.dropped);
	prefixnews_clear(queue);
	prefixnews_clear(&loadsync->other_region_keys);
}

static void on_round(void *user)
{
	loadsync_t *loadsync = user;
	int64_t round_ms = loadboard_round_ms(loadsync->router->all_hosts);

	loadboard_set_round(loadsync->board, round_ms);
	relays_find(&loadsync->relays);
	if (relays_is_self(&loadsync->relays)) {
		send_own_loads(loadsync);
		send_region_loads(loadsync);
		send_totals(loadsync, round_ms);
		apply_board(loadsync);
	} else {
		/* The totals received so far contain the loads that this host
		 * sent a round earlier, so apply them before sending. */
		apply_board(loadsync);
		send_own_loads(loadsync);
	}
	send_prefix_keys(loadsync);
	crashsync_on_round(&loadsync->crashsync, round_ms);
	limitsync_on_round(&loadsync->limitsync);
	speedsync_on_round(&loadsync->speedsync);
	custsync_on_round(&loadsync->custsync);
	loop_timer_set(loadsync->router->loop, &loadsync->timer, round_ms,
		       on_round, loadsync);
}

/* Adds keys to the prefix map and applies those that report a leaving endpoint.
 * A relay queues new keys from its own region for the other relays, and those
 * from other relays for its region. */
static err_code_t read_prefix_keys(loadsync_t *loadsync, str_t message,
				   err_t *err)
{
	router_t *router = loadsync->router;
	prefixnews_t new_keys = {.count = 0};
	prefixnews_kind_t kind;
	prefixnews_t *queue;

	if (prefixnews_read(message, &router->prefixes, &kind, &new_keys, err))
		return err->code;
	for (size_t i = 0; i < new_keys.count; i++)
		notices_apply_hint(router, new_keys.keys[i]);
	if (kind == PREFIXNEWS_RELAY)
		return ERR_OK;
	queue = kind == PREFIXNEWS_HOST ? &router->prefix_keys :
					  &loadsync->other_region_keys;
	for (size_t i = 0; i < new_keys.count; i++)
		prefixnews_add(queue, new_keys.keys[i]);
	return ERR_OK;
}

static err_code_t read_datagram(loadsync_t *loadsync, str_t message, err_t *err)
{
	if (prefixnews_is_message(message))
		return read_prefix_keys(loadsync, message, err);
	if (crashnews_is_message(message))
		return crashsync_read(&loadsync->crashsync, message, err);
	if (limitnews_is_message(message))
		return limitsync_read(&loadsync->limitsync, message, err);
	if (speednews_is_message(message))
		return speedsync_read(&loadsync->speedsync, message, err);
	if (custnews_is_message(message))
		return custsync_read(&loadsync->custsync, message, err);
	return loadboard_read(loadsync->board, message, current_ms(loadsync),
			      err);
}

static void on_datagram(void *user, uint32_t events)
{
	loadsync_t *loadsync = user;
	char buffer[MESSAGE_BYTES];
	size_t len;

	(void)events;
	while ((len = udp_receive(loadsync->fd, buffer, sizeof(buffer)))) {
		err_t err;

		metrics_add(METRIC_CONTROL_BYTES_RECEIVED, STR_LIT(""), len);
		if (read_datagram(loadsync, (str_t){buffer, len}, &err))
			plog_write(PLOG_MESSAGE_INVALID, "peer=%s step=%s",
				   err.peer, err.step);
	}
}

loadsync_t *loadsync_create(router_t *router, const peersync_t *peersync,
			    const char *ip, const char *name, unsigned port,
			    err_t *err)
{
	int fd = udp_open(ip, port, err);
	loadsync_t *loadsync;

	if (fd < 0)
		return NULL;
	loadsync = calloc(1, sizeof(*loadsync));
	if (!loadsync || !(loadsync->name = str_dup(str_from(name))))
		abort();
	loadsync->router = router;
	loadsync->relays = (relays_t){.router = router,
				      .peersync = peersync,
				      .name = loadsync->name,
				      .send = send_relays_message,
				      .user = loadsync};
	loadsync->board = loadboard_create();
	loadsync->host_id = relays_host_id(name);
	crashsync_init(&loadsync->crashsync, router, &loadsync->relays,
		       loadsync->host_id);
	limitsync_init(&loadsync->limitsync, router, &loadsync->relays);
	speedsync_init(&loadsync->speedsync, router, &loadsync->relays);
	custsync_init(&loadsync->custsync, router, &loadsync->relays,
		      loadsync->host_id);
	loadsync->port = port;
	loadsync->fd = fd;
	loop_watch(router->loop, fd, EPOLLIN, on_datagram, loadsync);
	on_round(loadsync);
	return loadsync;
}

void loadsync_free(loadsync_t *loadsync)
{
	if (!loadsync)
		return;
	loop_timer_cancel(loadsync->router->loop, &loadsync->timer);
	loop_unwatch(loadsync->router->loop, loadsync->fd);
	loadsync->router->crash_observer.on_crash = NULL;
	loadsync->router->limit_observer.on_change = NULL;
	custsync_release(&loadsync->custsync);
	close(loadsync->fd);
	loadboard_free(loadsync->board);
	free(loadsync->name);
	free(loadsync);
}
