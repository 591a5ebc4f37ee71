#include "coordination/confsync.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <time.h>

#include "base/metrics.h"
#include "base/plog.h"
#include "state/node.h"
#include "transport/platform.h"

#define HOSTS_KEY "hosts"
/* A root may be visible before its nodes: the platform is read from replicas
 * that lag. */
#define NODE_RETRIES 20
#define NODE_RETRY_MS 250
/* Nodes asked from a peer at once. */
#define FETCH_BATCH 64
#define FETCH_TIMEOUT_MS 2000
/* A peer that answers with nodes of other digests must not be asked for ever.
 */
#define FETCH_MAX_ROUNDS 64

/* A fetch of one version from one peer. */
typedef struct peer_fetch {
	link_t *link; /* to the peer; NULL: none in progress */
	buf_t root;
	size_t awaited;
	unsigned rounds;
	loop_timer_t timer;
} peer_fetch_t;

struct confsync {
	loop_t *loop;
	store_t *store;
	peers_t *peers;
	const confsync_ops_t *ops;
	void *user;
	char *platform;
	platform_watch_t *sheet_watch;
	platform_watch_t *host_watch;
	atomic_bool stopping;
	/* Guards the cache, the root and activation. */
	pthread_mutex_t lock;
	node_cache_t *cache;
	buf_t root;
	/* Platform thread only: a root whose nodes could not all be read. */
	buf_t pending_root;
	uint64_t platform_version; /* sheet version last read there */
	peer_fetch_t fetch;
	uint8_t conflict_digest[SHEET_DIGEST_BYTES]; /* last one reported */
};

static void call_active(void *user)
{
	confsync_t *confsync = user;

	confsync->ops->on_active(confsync->user);
}

/* Keeps every node of a sheet that is being activated. */
typedef struct packing {
	confsync_t *confsync;
	buf_t root;
} packing_t;

static err_code_t keep_node(void *user, const node_digest_t *digest,
			    str_t bytes)
{
	packing_t *packing = user;

	node_cache_put(packing->confsync->cache, digest, bytes);
	/* The root comes last. */
	buf_reset(&packing->root);
	buf_append_str(&packing->root, bytes);
	return ERR_OK;
}

static void report_refusal(uint64_t version, const char *source,
			   const err_t *err)
{
	if (err->code == ERR_CONFLICT) {
		metrics_inc(METRIC_SHEET_CONFLICTS);
		plog_write(PLOG_SHEET_CONFLICT, "version=%llu source=%s",
			   (unsigned long long)version, source);
		return;
	}
	metrics_inc(METRIC_SHEETS_REFUSED);
	plog_write(PLOG_SHEET_REFUSED, "version=%llu source=%s message=\"%s\"",
		   (unsigned long long)version, source, err->message);
}

/* Called with the lock held; takes ownership of the sheet. */
static err_code_t activate_locked(confsync_t *confsync, sheet_t *sheet,
				  const char *source, err_t *err)
{
	packing_t packing = {confsync, BUF_INIT};
	uint64_t before = store_version(confsync->store, NULL);
	uint64_t version = sheet->version;
	node_digest_t digest;
	err_code_t code;

	code = node_pack(sheet, keep_node, &packing, &digest, err);
	if (code == ERR_OK)
		code = store_activate(confsync->store, sheet, err);
	else
		sheet_free(sheet);
	if (code == ERR_OK && version > before) {
		buf_reset(&confsync->root);
		buf_append_str(&confsync->root, buf_view(&packing.root));
		metrics_inc(METRIC_SHEETS);
		plog_write(PLOG_SHEET_ACTIVE, "version=%llu source=%s",
			   (unsigned long long)version, source);
		loop_post(confsync->loop, call_active, confsync);
	}
	node_cache_retain(confsync->cache, buf_view(&confsync->root));
	buf_release(&packing.root);
	return code;
}

err_code_t confsync_offer(confsync_t *confsync, sheet_t *sheet,
			  const char *source, err_t *err)
{
	uint64_t version = sheet->version;
	err_t fault = {0};
	err_code_t code;

	pthread_mutex_lock(&confsync->lock);
	code = activate_locked(confsync, sheet, source, &fault);
	pthread_mutex_unlock(&confsync->lock);
	/* An older sheet is not a fault: reads may be stale. */
	if (code != ERR_OK && code != ERR_VERSION)
		report_refusal(version, source, &fault);
	if (err)
		*err = fault;
	return code;
}

static err_code_t read_node(void *user, const node_digest_t *digest, buf_t *out,
			    err_t *err)
{
	confsync_t *confsync = user;
	char key[NODE_KEY_BYTES];
	err_code_t code;
	bool found;

	pthread_mutex_lock(&confsync->lock);
	found = node_cache_get(confsync->cache, digest, out);
	pthread_mutex_unlock(&confsync->lock);
	if (found)
		return ERR_OK;
	node_format_key(digest, key);
	code = platform_get(confsync->platform, key, out, NULL, err);
	if (code)
		return code;
	pthread_mutex_lock(&confsync->lock);
	node_cache_put(confsync->cache, digest, buf_view(out));
	pthread_mutex_unlock(&confsync->lock);
	return ERR_OK;
}

static bool is_passing_fault(err_code_t code)
{
	return code == ERR_NOT_FOUND || code == ERR_REFUSED || code == ERR_IO ||
	       code == ERR_TIMEOUT;
}

static void sleep_ms(long ms)
{
	struct timespec delay = {0, ms * 1000000};

	nanosleep(&delay, NULL);
}

/* Reads the nodes of pending_root and puts the sheet in force. */
static void read_pending(confsync_t *confsync)
{
	str_t root = buf_view(&confsync->pending_root);
	sheet_t *sheet = NULL;
	err_t err = {0};

	for (int i = 0; i < NODE_RETRIES; i++) {
		sheet = node_unpack(root, read_node, confsync, &err);
		if (sheet || !is_passing_fault(err.code) ||
		    atomic_load(&confsync->stopping))
			break;
		sleep_ms(NODE_RETRY_MS);
	}
	if (!sheet) {
		report_refusal(node_root_version(root), "platform", &err);
		if (!is_passing_fault(err.code))
			buf_reset(&confsync->pending_root);
		return;
	}
	confsync->platform_version = sheet->version;
	buf_reset(&confsync->pending_root);
	confsync_offer(confsync, sheet, "platform", NULL);
}

static void confirm(confsync_t *confsync)
{
	uint64_t version = store_version(confsync->store, NULL);

	/* The platform has nothing newer than what is in force. */
	if (confsync->platform_version && confsync->platform_version <= version)
		store_confirm(confsync->store, version);
}

static void on_root(void *user, uint64_t version, str_t value)
{
	confsync_t *confsync = user;

	(void)version;
	store_register_thread();
	buf_reset(&confsync->pending_root);
	buf_append_str(&confsync->pending_root, value);
	read_pending(confsync);
	confirm(confsync);
	store_unregister_thread();
}

static void on_unchanged(void *user, uint64_t version)
{
	confsync_t *confsync = user;

	(void)version;
	store_register_thread();
	if (confsync->pending_root.len)
		read_pending(confsync);
	confirm(confsync);
	store_unregister_thread();
}

/* A host list on its way from the platform's thread to the loop. */
typedef struct host_list {
	confsync_t *confsync;
	buf_t json;
} host_list_t;

static void apply_hosts(void *user)
{
	host_list_t *list = user;
	confsync_t *confsync = list->confsync;
	bool leaving;
	err_t err;

	if (peers_apply_host_list(confsync->peers, buf_view(&list->json),
				  &leaving, &err))
		plog_write(PLOG_MESSAGE_INVALID,
			   "peer=%s step=\"%s\" message=\"%s\"",
			   confsync->platform, err.step, err.message);
	else
		confsync->ops->on_listed(confsync->user, leaving);
	buf_release(&list->json);
	free(list);
}

static void on_hosts(void *user, uint64_t version, str_t value)
{
	host_list_t *list = calloc(1, sizeof(*list));

	(void)version;
	if (!list)
		abort();
	list->confsync = user;
	buf_append_str(&list->json, value);
	loop_post(list->confsync->loop, apply_hosts, list);
}

confsync_t *confsync_create(loop_t *loop, store_t *store, peers_t *peers,
			    const confsync_ops_t *ops, void *user)
{
	confsync_t *confsync = calloc(1, sizeof(*confsync));

	if (!confsync)
		return NULL;
	confsync->loop = loop;
	confsync->store = store;
	confsync->peers = peers;
	confsync->ops = ops;
	confsync->user = user;
	pthread_mutex_init(&confsync->lock, NULL);
	confsync->cache = node_cache_create();
	if (!confsync->cache) {
		confsync_free(confsync);
		return NULL;
	}
	return confsync;
}

void confsync_free(confsync_t *confsync)
{
	if (!confsync)
		return;
	atomic_store(&confsync->stopping, true);
	platform_watch_stop(confsync->sheet_watch);
	platform_watch_stop(confsync->host_watch);
	loop_timer_cancel(confsync->loop, &confsync->fetch.timer);
	buf_release(&confsync->fetch.root);
	buf_release(&confsync->pending_root);
	buf_release(&confsync->root);
	if (confsync->cache)
		node_cache_free(confsync->cache);
	pthread_mutex_destroy(&confsync->lock);
	free(confsync->platform);
	free(confsync);
}

err_code_t confsync_watch(confsync_t *confsync, const char *platform,
			  err_t *err)
{
	static const platform_watch_ops_t sheet_ops = {on_root, on_unchanged};
	static const platform_watch_ops_t host_ops = {on_hosts, NULL};

	confsync->platform = str_dup(str_from(platform));
	confsync->sheet_watch = platform_watch_start(platform, NODE_ROOT_KEY, 0,
						     &sheet_ops, confsync, err);
	if (!confsync->sheet_watch)
		return err->code;
	confsync->host_watch = platform_watch_start(platform, HOSTS_KEY, 0,
						    &host_ops, confsync, err);
	return confsync->host_watch ? ERR_OK : err->code;
}

static void end_fetch(confsync_t *confsync)
{
	loop_timer_cancel(confsync->loop, &confsync->fetch.timer);
	confsync->fetch.link = NULL;
	confsync->fetch.awaited = 0;
	confsync->fetch.rounds = 0;
	buf_reset(&confsync->fetch.root);
}

static void fetch_timed_out(void *user)
{
	end_fetch(user);
}

static void ask(confsync_t *confsync, str_t digest)
{
	msg_t msg = {.kind = MSG_NODE_GET};

	msg.u.node_get.digest = digest;
	peers_send_on(confsync->fetch.link, &msg);
	confsync->fetch.awaited++;
}

static void extend_timeout(confsync_t *confsync)
{
	loop_timer_set(confsync->loop, &confsync->fetch.timer, FETCH_TIMEOUT_MS,
		       fetch_timed_out, confsync);
}

static void report_conflict(confsync_t *confsync, const member_t *member)
{
	if (!memcmp(confsync->conflict_digest, member->sheet_digest,
		    SHEET_DIGEST_BYTES))
		return;
	memcpy(confsync->conflict_digest, member->sheet_digest,
	       SHEET_DIGEST_BYTES);
	store_note_conflict(confsync->store);
	metrics_inc(METRIC_SHEET_CONFLICTS);
	plog_write(PLOG_SHEET_CONFLICT, "version=%llu source=%s",
		   (unsigned long long)member->sheet_version, member->address);
}

void confsync_on_status(confsync_t *confsync, member_t *member)
{
	uint8_t digest[SHEET_DIGEST_BYTES];
	uint64_t version = store_version(confsync->store, digest);

	if (version && member->sheet_version == version &&
	    memcmp(member->sheet_digest, digest, sizeof(digest)) != 0)
		report_conflict(confsync, member);
	confsync_on_announced(confsync, peers_link(member),
			      member->sheet_version);
}

void confsync_on_announced(confsync_t *confsync, link_t *link, uint64_t version)
{
	if (confsync->fetch.link || !link ||
	    version <= store_version(confsync->store, NULL))
		return;
	confsync->fetch.link = link;
	ask(confsync, STR_LIT(""));
	extend_timeout(confsync);
}

static err_code_t cached_node(void *user, const node_digest_t *digest,
			      buf_t *out, err_t *err)
{
	confsync_t *confsync = user;

	if (node_cache_get(confsync->cache, digest, out))
		return ERR_OK;
	return err_set(err, ERR_NOT_FOUND, "read node", "cache", "missing");
}

static void activate_fetched(confsync_t *confsync)
{
	char source[SHEET_NAME_BYTES];
	sheet_t *sheet;
	err_t err = {0};

	str_copy(source, sizeof(source),
		 str_from(link_peer(confsync->fetch.link)));
	pthread_mutex_lock(&confsync->lock);
	sheet = node_unpack(buf_view(&confsync->fetch.root), cached_node,
			    confsync, &err);
	pthread_mutex_unlock(&confsync->lock);
	end_fetch(confsync);
	if (sheet)
		confsync_offer(confsync, sheet, source, NULL);
	else
		report_refusal(0, source, &err);
}

/* Asks for the next missing nodes, or activates when none is missing. */
static void continue_fetch(confsync_t *confsync)
{
	node_digest_t missing[FETCH_BATCH];
	size_t count;

	if (++confsync->fetch.rounds > FETCH_MAX_ROUNDS) {
		end_fetch(confsync);
		return;
	}
	pthread_mutex_lock(&confsync->lock);
	count = node_cache_missing(confsync->cache,
				   buf_view(&confsync->fetch.root), missing,
				   FETCH_BATCH);
	pthread_mutex_unlock(&confsync->lock);
	for (size_t i = 0; i < count; i++)
		ask(confsync, (str_t){(char *)missing[i].bytes,
				      sizeof(missing[i].bytes)});
	if (count)
		extend_timeout(confsync);
	else
		activate_fetched(confsync);
}

static void take_root(confsync_t *confsync, str_t bytes)
{
	if (node_root_version(bytes) <= store_version(confsync->store, NULL)) {
		end_fetch(confsync);
		return;
	}
	buf_reset(&confsync->fetch.root);
	buf_append_str(&confsync->fetch.root, bytes);
	continue_fetch(confsync);
}

void confsync_on_node(confsync_t *confsync, const link_t *link,
		      const msg_node_t *node)
{
	node_digest_t digest;

	if (link != confsync->fetch.link || !confsync->fetch.awaited)
		return;
	confsync->fetch.awaited--;
	if (!node->digest.len) {
		take_root(confsync, node->bytes);
		return;
	}
	if (node->digest.len != sizeof(digest.bytes) || !node->bytes.len) {
		end_fetch(confsync);
		return;
	}
	memcpy(digest.bytes, node->digest.ptr, sizeof(digest.bytes));
	pthread_mutex_lock(&confsync->lock);
	node_cache_put(confsync->cache, &digest, node->bytes);
	pthread_mutex_unlock(&confsync->lock);
	if (!confsync->fetch.awaited)
		continue_fetch(confsync);
}

void confsync_on_down(confsync_t *confsync, const link_t *link)
{
	if (link && confsync->fetch.link == link)
		end_fetch(confsync);
}

void confsync_serve(confsync_t *confsync, link_t *link,
		    const msg_node_get_t *get)
{
	msg_t msg = {.kind = MSG_NODE};
	node_digest_t digest = {{0}};
	buf_t bytes = BUF_INIT;

	pthread_mutex_lock(&confsync->lock);
	if (!get->digest.len) {
		buf_append_str(&bytes, buf_view(&confsync->root));
	} else if (get->digest.len == sizeof(digest.bytes)) {
		memcpy(digest.bytes, get->digest.ptr, sizeof(digest.bytes));
		node_cache_get(confsync->cache, &digest, &bytes);
	}
	pthread_mutex_unlock(&confsync->lock);
	msg.u.node.digest = get->digest;
	msg.u.node.bytes = buf_view(&bytes);
	peers_send_on(link, &msg);
	buf_release(&bytes);
}
