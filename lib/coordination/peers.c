#include "coordination/peers.h"

#include <jansson.h>
#include <stdlib.h>

#include "base/metrics.h"
#include "base/plog.h"
#include "coordination/rendezvous.h"
#include "transport/frame.h"

/* Connection to one member, kept in member_t.user. */
typedef struct peer {
	struct peers *peers;
	member_t *member;
	link_t *link;
	bool was_live;
	bool has_status; /* one came on this connection */
	/* Sheet that the last PING on this connection announced. */
	uint64_t sent_version;
	uint8_t sent_digest[SHEET_DIGEST_BYTES];
} peer_t;

struct peers {
	loop_t *loop;
	const store_t *store;
	peers_self_t self;
	const peers_ops_t *ops;
	void *user;
	member_table_t *table;
	loop_timer_t timer;
	uint64_t sequence;
	uint64_t rounds;
};

static str_t field(const char *text)
{
	return str_from(text);
}

static bool is_control(const msg_t *msg)
{
	return msg->kind <= MSG_STATUS || msg->kind == MSG_UNCHANGED;
}

err_code_t peers_send_on(link_t *link, const msg_t *msg)
{
	buf_t raw = BUF_INIT;
	err_code_t code;

	msg_encode(msg, &raw);
	code = link_send(link, buf_view(&raw));
	if (code == ERR_OK && is_control(msg))
		metrics_add(METRIC_CONTROL_BYTES_SENT, STR_LIT(""),
			    raw.len + FRAME_HEADER_BYTES);
	buf_release(&raw);
	return code;
}

void peers_count_invalid(const err_t *err)
{
	if (err->code == ERR_INVALID || err->code == ERR_TOO_LARGE)
		metrics_add(METRIC_INVALID_INPUT, STR_LIT("peers"), 1);
}

void peers_count_received(const msg_t *msg, size_t bytes)
{
	if (is_control(msg))
		metrics_add(METRIC_CONTROL_BYTES_RECEIVED, STR_LIT(""),
			    bytes + FRAME_HEADER_BYTES);
}

static void send_hello(peers_t *peers, link_t *link)
{
	msg_t msg = {.kind = MSG_HELLO};

	msg.u.hello = (msg_hello_t){
		.protocol = MSG_PROTOCOL,
		.role = peers->self.role,
		.host = peers->self.host,
		.domain = peers->self.domain,
		.address = peers->self.address,
		.incarnation = peers->self.incarnation,
	};
	peers_send_on(link, &msg);
}

/* The digest goes with the first PING on a connection and after a change. */
static void send_ping(peers_t *peers, peer_t *peer)
{
	uint8_t digest[SHEET_DIGEST_BYTES];
	msg_t msg = {.kind = MSG_PING};
	uint64_t version = store_version(peers->store, digest);

	msg.u.ping.sequence = peers->sequence;
	msg.u.ping.sheet_version = version;
	if (version != peer->sent_version ||
	    memcmp(digest, peer->sent_digest, sizeof(digest)) != 0)
		msg.u.ping.sheet_digest =
			(str_t){(char *)digest, sizeof(digest)};
	peer->sent_version = version;
	memcpy(peer->sent_digest, digest, sizeof(digest));
	peers_send_on(peer->link, &msg);
}

static void on_up(link_t *link)
{
	peer_t *peer = link_user(link);

	plog_write(PLOG_LINK_UP, "peer=%s", link_peer(link));
	peer->sent_version = 0;
	peer->has_status = false;
	send_hello(peer->peers, link);
	send_ping(peer->peers, peer);
}

static void learn_listed(peers_t *peers, const msg_status_t *status)
{
	for (size_t i = 0; i < status->member_count; i++) {
		const msg_member_t *listed = &status->members[i];

		if (!str_equals(listed->address, peers->self.address))
			member_learn(peers->table, listed->host, listed->domain,
				     listed->address);
	}
}

static void note_heard(peer_t *peer, uint64_t sequence, bool fresh)
{
	peers_t *peers = peer->peers;

	if (!peer->was_live)
		plog_write(PLOG_MEMBER_LIVE, "peer=%s host=%s domain=%s",
			   link_peer(peer->link), peer->member->host,
			   peer->member->domain);
	peer->was_live = true;
	if (sequence == peers->sequence)
		peers->rounds++;
	peers->ops->on_status(peers->user, peer->member, fresh);
}

static void take_status(peer_t *peer, const msg_status_t *status)
{
	peers_t *peers = peer->peers;
	bool fresh = member_heard(peers->table, peer->member, status);

	peer->has_status = true;
	learn_listed(peers, status);
	note_heard(peer, status->sequence, fresh);
}

/* The peer must have sent a STATUS on this connection. */
static int take_unchanged(peer_t *peer, const msg_unchanged_t *unchanged)
{
	if (!peer->has_status)
		return -1;
	note_heard(peer, unchanged->sequence,
		   member_heard_again(peer->peers->table, peer->member));
	return 0;
}

static int on_frame(link_t *link, str_t frame)
{
	peer_t *peer = link_user(link);
	msg_t msg;
	err_t err;

	if (msg_decode(frame, &msg, &err)) {
		plog_write(PLOG_MESSAGE_INVALID,
			   "peer=%s step=\"%s\" message=\"%s\"",
			   link_peer(link), err.step, err.message);
		return -1;
	}
	peers_count_received(&msg, frame.len);
	if (msg.kind == MSG_UNCHANGED)
		return take_unchanged(peer, &msg.u.unchanged);
	if (msg.kind == MSG_STATUS) {
		take_status(peer, &msg.u.status);
	} else if (msg.kind != MSG_HELLO && msg.kind != MSG_PING) {
		peer->peers->ops->on_message(peer->peers->user, peer->member,
					     &msg);
	}
	return 0;
}

static void on_down(link_t *link, const err_t *err)
{
	peer_t *peer = link_user(link);

	peers_count_invalid(err);
	/* A member that stays away is logged when it falls silent. */
	if (peer->was_live)
		plog_write(PLOG_LINK_DOWN, "peer=%s step=\"%s\" message=\"%s\"",
			   link_peer(link), err->step, err->message);
	peer->peers->ops->on_down(peer->peers->user, peer->member);
}

static const link_ops_t link_ops = {on_up, on_frame, on_down};

/* Rank of a member among those of its domain, by this host's name. */
static bool is_chosen_remote(const peers_t *peers, const member_t *member)
{
	uint64_t own = rendezvous_weight(STR_LIT("link"), peers->self.host,
					 field(member->address));
	size_t better = 0;

	for (size_t i = 0; i < member_count(peers->table); i++) {
		const member_t *other = member_at(peers->table, i);

		if (!strcmp(other->domain, member->domain) &&
		    member_is_live(peers->table, other) &&
		    rendezvous_weight(STR_LIT("link"), peers->self.host,
				      field(other->address)) > own)
			better++;
	}
	return better < PEERS_PER_DOMAIN;
}

static bool needs_link(const peers_t *peers, const member_t *member)
{
	if (member_count(peers->table) <= PEERS_FULL_MESH)
		return true;
	if (!*member->domain)
		return true;
	if (str_equals(field(member->domain), peers->self.domain))
		return true;
	return is_chosen_remote(peers, member);
}

static void drop_peer(void *user, member_t *member)
{
	peer_t *peer = member->user;

	(void)user;
	if (!peer)
		return;
	link_close(peer->link);
	free(peer);
	member->user = NULL;
}

static void open_peer(peers_t *peers, member_t *member)
{
	peer_t *peer = calloc(1, sizeof(*peer));

	if (!peer)
		abort();
	peer->peers = peers;
	peer->member = member;
	peer->link =
		link_open(peers->loop, member->address, &link_ops, peer, NULL);
	if (!peer->link) {
		free(peer);
		return;
	}
	member->user = peer;
}

static void check_silence(peers_t *peers, peer_t *peer)
{
	if (!peer->was_live || member_is_live(peers->table, peer->member))
		return;
	peer->was_live = false;
	plog_write(PLOG_MEMBER_SILENT, "peer=%s host=%s", peer->member->address,
		   peer->member->host);
	/* What was asked over a link to a silent peer counts as unanswered. */
	peers->ops->on_down(peers->user, peer->member);
}

static void tick(void *user)
{
	peers_t *peers = user;

	loop_timer_set(peers->loop, &peers->timer,
		       member_interval_ms(peers->table), tick, peers);
	peers->sequence++;
	member_sweep(peers->table, drop_peer, peers);
	for (size_t i = 0; i < member_count(peers->table); i++) {
		member_t *member = member_at(peers->table, i);
		peer_t *peer = member->user;

		if (!peer && needs_link(peers, member))
			open_peer(peers, member);
		else if (peer && !needs_link(peers, member)) {
			peers->ops->on_down(peers->user, member);
			drop_peer(peers, member);
		}
		peer = member->user;
		if (!peer)
			continue;
		check_silence(peers, peer);
		if (link_is_up(peer->link))
			send_ping(peers, peer);
	}
}

peers_t *peers_create(loop_t *loop, const store_t *store,
		      const peers_self_t *self, const peers_ops_t *ops,
		      void *user)
{
	peers_t *peers = calloc(1, sizeof(*peers));

	if (!peers)
		return NULL;
	peers->loop = loop;
	peers->store = store;
	peers->self = *self;
	peers->ops = ops;
	peers->user = user;
	peers->table = member_table_create(loop_clock(loop));
	if (!peers->table) {
		free(peers);
		return NULL;
	}
	loop_timer_set(loop, &peers->timer, 0, tick, peers);
	return peers;
}

void peers_free(peers_t *peers)
{
	if (!peers)
		return;
	loop_timer_cancel(peers->loop, &peers->timer);
	for (size_t i = 0; i < member_count(peers->table); i++)
		drop_peer(peers, member_at(peers->table, i));
	member_table_free(peers->table);
	free(peers);
}

void peers_add_seed(peers_t *peers, const char *address)
{
	member_t *member;

	if (str_equals(field(address), peers->self.address))
		return;
	member = member_learn(peers->table, STR_LIT(""), STR_LIT(""),
			      field(address));
	if (member)
		member->is_seed = true;
}

/* One row of the host list. */
typedef struct listed_host {
	const char *host;
	const char *domain;
	const char *address;
	const char *state;
} listed_host_t;

static int read_row(json_t *row, listed_host_t *listed)
{
	return json_unpack(row, "{s:s, s:s, s:s, s:s}", "host", &listed->host,
			   "domain", &listed->domain, "address",
			   &listed->address, "state", &listed->state);
}

static void apply_row(peers_t *peers, const listed_host_t *listed,
		      bool *self_leaving)
{
	bool leaving = !strcmp(listed->state, "leaving");
	member_t *member;

	if (str_equals(field(listed->address), peers->self.address) ||
	    str_equals(field(listed->host), peers->self.host))
		*self_leaving = leaving;
	if (str_equals(field(listed->address), peers->self.address))
		return;
	member = member_learn(peers->table, field(listed->host),
			      field(listed->domain), field(listed->address));
	if (member)
		member->listed_leaving = leaving;
}

err_code_t peers_apply_host_list(peers_t *peers, str_t json, bool *self_leaving,
				 err_t *err)
{
	json_t *root = json_loadb(json.ptr, json.len, 0, NULL);
	json_t *rows = json_object_get(root, "hosts");
	listed_host_t listed;
	err_code_t code = ERR_OK;
	json_t *row;
	size_t i;

	*self_leaving = false;
	if (!json_is_array(rows)) {
		code = err_set(err, ERR_INVALID, "read host list", "platform",
			       "expected {\"hosts\": [...]}");
		goto done;
	}
	json_array_foreach(rows, i, row)
	{
		if (read_row(row, &listed)) {
			code = err_set(err, ERR_INVALID, "read host list",
				       "platform", "malformed row %zu", i);
			goto done;
		}
	}
	json_array_foreach(rows, i, row)
	{
		if (!read_row(row, &listed))
			apply_row(peers, &listed, self_leaving);
	}
done:
	json_decref(root);
	return code;
}

member_table_t *peers_table(peers_t *peers)
{
	return peers->table;
}

const peers_self_t *peers_self(const peers_t *peers)
{
	return &peers->self;
}

link_t *peers_link(const member_t *member)
{
	const peer_t *peer = member->user;

	return peer ? peer->link : NULL;
}

bool peers_is_linked(const member_t *member)
{
	const peer_t *peer = member->user;

	return peer && link_is_up(peer->link);
}

err_code_t peers_send(peers_t *peers, member_t *member, const msg_t *msg)
{
	peer_t *peer = member->user;

	(void)peers;
	if (!peer)
		return ERR_BAD_STATE;
	return peers_send_on(peer->link, msg);
}

void peers_fill_members(peers_t *peers, msg_status_t *status, size_t *next)
{
	size_t count = member_count(peers->table);

	status->member_count = 0;
	for (; *next < count && status->member_count < MSG_MAX_MEMBERS;
	     ++*next) {
		const member_t *member = member_at(peers->table, *next);

		if (!member_is_live(peers->table, member))
			continue;
		status->members[status->member_count++] = (msg_member_t){
			field(member->host),
			field(member->domain),
			field(member->address),
		};
	}
}

uint64_t peers_rounds(const peers_t *peers)
{
	return peers->rounds;
}
