#include "dispatchd.h"

#include <stdlib.h>
#include <xxhash.h>

#include "base/metrics.h"
#include "base/plog.h"

/* A connection that says nothing for this long is closed. */
#define GREETING_TIMEOUT_MS 5000
/* Every so many messages a whole STATUS with members is sent in any case, which
 * repairs lists that lack a member of which this host heard in between. At the
 * design size, listing 42 members takes about 3 KB on each of 127 links: with
 * 30 here that alone would be above the budget of 3 KB/s. */
#define STATUS_REFRESH 600

static void drop_client(client_t *client)
{
	dispatchd_t *d = client->d;

	confsync_on_down(d->base.confsync, client->link);
	request_on_client_down(client);
	if (client->prev)
		client->prev->next = client->next;
	else
		d->clients = client->next;
	if (client->next)
		client->next->prev = client->prev;
	free(client);
}

void client_send(client_t *client, const msg_t *msg)
{
	err_code_t code;

	if (!client || !client->link)
		return;
	code = peers_send_on(client->link, msg);
	if (code != ERR_FULL)
		return;
	/* The peer does not read; its answers would be incomplete. */
	plog_write(PLOG_LINK_DOWN,
		   "peer=%s step=\"write\" message=\"output "
		   "buffer full\"",
		   link_peer(client->link));
	confsync_on_down(client->d->base.confsync, client->link);
	link_close(client->link);
	client->link = NULL; /* clients_sweep() drops the rest */
}

static void fill_pool(dispatchd_t *d, const pool_t *pool, msg_pool_t *row)
{
	*row = (msg_pool_t){.name = str_from(pool->name)};
	for (endpoint_t *e = d->endpoints; e; e = e->next) {
		unsigned limit;

		if (e->pool != pool || !e->in_sheet)
			continue;
		limit = endpoint_limit(e);
		if (!limit && !e->window.in_flight)
			continue;
		row->warm += window_is_warm(&e->window,
					    mclock_now_ms(d->base.clock));
		row->window += limit;
		row->in_flight += e->window.in_flight;
	}
	row->queued = (unsigned)queue_length(pool->queue);
	row->wait_ms = (uint64_t)pool_wait_ms(d, pool, 0);
}

static void fill_status(dispatchd_t *d, uint64_t sequence, msg_t *msg,
			uint8_t digest[SHEET_DIGEST_BYTES])
{
	msg_status_t *status = &msg->u.status;

	memset(msg, 0, sizeof(*msg));
	msg->kind = MSG_STATUS;
	status->sequence = sequence;
	status->host = str_from(d->base.settings->host);
	status->domain = str_from(d->base.settings->domain);
	status->address = str_from(d->base.settings->advertise);
	status->incarnation = d->base.incarnation;
	status->leaving = d->leaving;
	status->sheet_version = store_version(d->base.store, digest);
	status->sheet_digest = (str_t){(char *)digest, SHEET_DIGEST_BYTES};
	status->wall_ms = mclock_wall_ms(d->base.clock);
	for (size_t i = 0; i < d->pool_count; i++)
		if (pool_is_served(d, d->pools[i]))
			fill_pool(d, d->pools[i],
				  &status->pools[status->pool_count++]);
}

/* Of what a STATUS says, the time and the members aside. */
static uint64_t hash_status(const msg_t *msg)
{
	msg_t stripped = *msg;
	buf_t raw = BUF_INIT;
	uint64_t hash;

	stripped.u.status.sequence = 0;
	stripped.u.status.wall_ms = 0;
	msg_encode(&stripped, &raw);
	hash = XXH3_64bits(raw.ptr, raw.len);
	buf_release(&raw);
	return hash ? hash : 1;
}

static size_t count_live(const member_table_t *table)
{
	size_t live = 0;

	for (size_t i = 0; i < member_count(table); i++)
		live += member_is_live(table, member_at(table, i));
	return live;
}

/* The members are listed once, and again when a member came or went. */
static void list_members(client_t *client, msg_status_t *status)
{
	dispatchd_t *d = client->d;
	size_t live = count_live(peers_table(d->base.peers));

	if (live != client->listed_live ||
	    client->unchanged == STATUS_REFRESH) {
		client->listed_live = live;
		client->next_listed = 0;
	}
	peers_fill_members(d->base.peers, status, &client->next_listed);
}

static void send_status(client_t *client, uint64_t sequence)
{
	uint8_t digest[SHEET_DIGEST_BYTES];
	msg_t unchanged = {.kind = MSG_UNCHANGED};
	uint64_t hash;
	msg_t msg;

	fill_status(client->d, sequence, &msg, digest);
	hash = hash_status(&msg);
	list_members(client, &msg.u.status);
	if (hash == client->status_hash && !msg.u.status.member_count &&
	    client->unchanged < STATUS_REFRESH) {
		client->unchanged++;
		unchanged.u.unchanged.sequence = sequence;
		client_send(client, &unchanged);
		return;
	}
	client->status_hash = hash;
	client->unchanged = 0;
	client_send(client, &msg);
}

void clients_announce(dispatchd_t *d)
{
	for (client_t *client = d->clients; client; client = client->next)
		if (client->greeted)
			send_status(client, 0);
}

static int greet(client_t *client, const msg_hello_t *hello)
{
	dispatchd_t *d = client->d;

	client->greeted = true;
	client->role = hello->role;
	str_copy(client->host, sizeof(client->host), hello->host);
	/* A new peer is heard of before it answers a PING. */
	if (hello->role == MSG_ROLE_DISPATCH &&
	    !str_equals(hello->address, str_from(d->base.settings->advertise)))
		member_learn(peers_table(d->base.peers), hello->host,
			     hello->domain, hello->address);
	return 0;
}

static int take_message(client_t *client, const msg_t *msg)
{
	switch (msg->kind) {
	case MSG_HELLO:
		return greet(client, &msg->u.hello);
	case MSG_PING:
		confsync_on_announced(client->d->base.confsync, client->link,
				      msg->u.ping.sheet_version);
		send_status(client, msg->u.ping.sequence);
		return 0;
	case MSG_NODE:
		confsync_on_node(client->d->base.confsync, client->link,
				 &msg->u.node);
		return 0;
	case MSG_SUBMIT:
		request_submit(client, &msg->u.submit);
		return 0;
	case MSG_CANCEL:
		request_cancel(client, &msg->u.cancel.id);
		return 0;
	case MSG_TICKET_GET:
		call_issue_ticket(client, &msg->u.ticket_get);
		return 0;
	case MSG_NODE_GET:
		confsync_serve(client->d->base.confsync, client->link,
			       &msg->u.node_get);
		return 0;
	default:
		return -1;
	}
}

static int on_frame(link_t *link, str_t frame)
{
	client_t *client = link_user(link);
	msg_t msg;
	err_t err = {0};
	int result = -1;

	if (!msg_decode(frame, &msg, &err) &&
	    (client->greeted || msg.kind == MSG_HELLO)) {
		peers_count_received(&msg, frame.len);
		result = take_message(client, &msg);
	}
	if (result)
		plog_write(PLOG_MESSAGE_INVALID,
			   "peer=%s step=\"%s\" message=\"%s\"",
			   link_peer(link),
			   err.code ? err.step : "read message",
			   err.code ? err.message : "unexpected kind");
	return result;
}

static void on_down(link_t *link, const err_t *err)
{
	client_t *client = link_user(link);

	peers_count_invalid(err);
	plog_write(PLOG_LINK_DOWN, "peer=%s host=%s step=\"%s\" message=\"%s\"",
		   link_peer(link), client->host, err->step, err->message);
	drop_client(client);
}

static void on_accept(void *user, link_t *link)
{
	dispatchd_t *d = user;
	client_t *client = calloc(1, sizeof(*client));

	if (!client)
		abort();
	client->d = d;
	client->link = link;
	client->accepted_ms = mclock_now_ms(d->base.clock);
	client->next = d->clients;
	if (d->clients)
		d->clients->prev = client;
	d->clients = client;
	link_set_user(link, client);
}

static const link_ops_t client_ops = {NULL, on_frame, on_down};

err_code_t clients_listen(dispatchd_t *d, err_t *err)
{
	d->listener = link_listen(d->base.loop, d->base.settings->listen,
				  &client_ops, on_accept, d, err);
	return d->listener ? ERR_OK : err->code;
}

void clients_sweep(dispatchd_t *d)
{
	int64_t now = mclock_now_ms(d->base.clock);
	client_t *next;

	for (client_t *client = d->clients; client; client = next) {
		next = client->next;
		if (client->link && !client->greeted &&
		    now - client->accepted_ms > GREETING_TIMEOUT_MS) {
			metrics_add(METRIC_INVALID_INPUT, STR_LIT("peers"), 1);
			plog_write(PLOG_MESSAGE_INVALID,
				   "peer=%s step=\"greet\" message=\"no HELLO "
				   "in time\"",
				   link_peer(client->link));
			confsync_on_down(d->base.confsync, client->link);
			link_close(client->link);
			client->link = NULL;
		}
		if (!client->link)
			drop_client(client);
	}
}

void clients_free(dispatchd_t *d)
{
	client_t *next;

	link_listener_close(d->listener);
	d->listener = NULL;
	for (client_t *client = d->clients; client; client = next) {
		next = client->next;
		link_close(client->link);
		drop_client(client);
	}
}
