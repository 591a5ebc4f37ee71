#include "coordination/sheetsync.h"

#include <inttypes.h>
#include <stdlib.h>

#include "base/metrics.h"
#include "base/plog.h"
#include "state/node.h"
#include "state/sheetchange.h"

struct sheetsync {
	replica_t *replica;
	const mclock_t *clock;
	sheetsync_observer_t observer;
	sheet_t *sheet;
	int64_t confirmed_ms;
	uint64_t refused_version; /* of the last refused root, logged once */
};

/* Keys of nodes in the replica. */
typedef struct key_list {
	char (*keys)[NODE_KEY_BYTES];
	size_t count, cap;
} key_list_t;

typedef struct publish_context {
	sheetsync_t *sync;
	node_digest_t root;
	int64_t revision;
	key_list_t stale_keys; /* of the former sheet, not in the new one */
} publish_context_t;

sheetsync_t *sheetsync_create(replica_t *replica, const mclock_t *clock,
			      const sheetsync_observer_t *observer)
{
	sheetsync_t *sync = calloc(1, sizeof(*sync));

	if (!sync)
		abort();
	sync->replica = replica;
	sync->clock = clock;
	sync->observer = *observer;
	return sync;
}

void sheetsync_free(sheetsync_t *sync)
{
	if (!sync)
		return;
	sheet_free(sync->sheet);
	free(sync);
}

static void activate(sheetsync_t *sync, sheet_t *sheet, const char *source)
{
	sheet_t *old = sync->sheet;

	sync->sheet = sheet;
	metrics_inc(METRIC_SHEETS);
	plog_write(PLOG_SHEET_ACTIVE, "version=%" PRIu64 " source=%s",
		   sheet->version, source);
	sync->observer.changed(sync->observer.user, old, sheet, source);
	sheet_free(old);
}

/* Logs and counts a sheet that was refused; each refused version once. */
static void report_refused(sheetsync_t *sync, uint64_t version,
			   const char *source, const err_t *err)
{
	if (err->code == ERR_CONFLICT) {
		metrics_inc(METRIC_SHEET_CONFLICTS);
		plog_write(PLOG_SHEET_CONFLICT, "version=%" PRIu64 " source=%s",
			   version, source);
		return;
	}
	if (sync->refused_version == version)
		return;
	sync->refused_version = version;
	metrics_inc(METRIC_SHEETS_REFUSED);
	plog_write(PLOG_SHEET_REFUSED,
		   "version=%" PRIu64 " source=%s step=%s message=\"%s\"",
		   version, source, err->step, err->message);
}

static void add_key(void *user, str_t key, str_t value, int64_t revision)
{
	key_list_t *list = user;

	(void)revision;
	if (!value.ptr || str_equals(key, STR_LIT(NODE_ROOT_KEY)))
		return;
	if (list->count == list->cap) {
		list->cap = list->cap ? list->cap * 2 : 64;
		list->keys =
			realloc(list->keys, list->cap * sizeof(*list->keys));
		if (!list->keys)
			abort();
	}
	str_copy(list->keys[list->count++], NODE_KEY_BYTES, key);
}

/* RETURN VALUE: whether the key was in the list. */
static bool remove_key(key_list_t *list, const char *key)
{
	for (size_t i = 0; i < list->count; i++)
		if (!strcmp(list->keys[i], key)) {
			memmove(list->keys[i], list->keys[--list->count],
				NODE_KEY_BYTES);
			return true;
		}
	return false;
}

static err_code_t put_node(void *user, const node_digest_t *digest, str_t bytes)
{
	publish_context_t *context = user;
	char key[NODE_KEY_BYTES] = NODE_ROOT_KEY;

	if (memcmp(digest, &context->root, sizeof(*digest)) != 0) {
		node_format_key(digest, key);
		/* The former sheet has the same node. */
		if (remove_key(&context->stale_keys, key))
			return ERR_OK;
	}
	replica_put(context->sync->replica, str_from(key), bytes,
		    context->revision);
	return ERR_OK;
}

/* Stores the nodes of a sheet in the replica and removes those of the former
 * sheet that it lacks. */
static err_code_t publish(sheetsync_t *sync, const sheet_t *sheet, err_t *err)
{
	publish_context_t context = {.sync = sync,
				     .revision = (int64_t)sheet->version};
	err_code_t code = node_root_digest(sheet, &context.root);

	if (code)
		return err_set(err, code, "pack-sheet", "",
			       "a node is too "
			       "large");
	replica_changes(sync->replica, (position_t){0}, add_key,
			&context.stale_keys);
	code = node_pack(sheet, put_node, &context, &context.root, err);
	for (size_t i = 0; i < context.stale_keys.count && !code; i++)
		replica_remove(sync->replica,
			       str_from(context.stale_keys.keys[i]),
			       context.revision);
	free(context.stale_keys.keys);
	if (!code)
		replica_advance(sync->replica, context.revision);
	return code;
}

err_code_t sheetsync_submit(sheetsync_t *sync, sheet_t *sheet,
			    const char *source, err_t *err)
{
	uint64_t version = sheet->version;
	bool unchanged;
	err_code_t code =
		sheetchange_check(sync->sheet, sheet, &unchanged, err);

	if (!code && !unchanged)
		code = publish(sync, sheet, err);
	if (code || unchanged) {
		sheet_free(sheet);
		if (code)
			report_refused(sync, version, source, err);
	}
	if (code)
		return code;
	sync->confirmed_ms = mclock_now_ms(sync->clock);
	if (!unchanged)
		activate(sync, sheet, source);
	return ERR_OK;
}

void sheetsync_confirm(sheetsync_t *sync, uint64_t version)
{
	if (sync->sheet && sync->sheet->version == version)
		sync->confirmed_ms = mclock_now_ms(sync->clock);
}

static err_code_t get_node(void *user, const node_digest_t *digest, buf_t *out,
			   err_t *err)
{
	const sheetsync_t *sync = user;
	char key[NODE_KEY_BYTES];
	str_t value;

	node_format_key(digest, key);
	value = replica_get(sync->replica, str_from(key));
	if (!value.ptr)
		return err_set(err, ERR_NOT_FOUND, "get-node", "",
			       "%s is missing", key);
	buf_append_str(out, value);
	return ERR_OK;
}

void sheetsync_refresh(sheetsync_t *sync, const char *source)
{
	str_t root = replica_get(sync->replica, STR_LIT(NODE_ROOT_KEY));
	uint64_t version = root.ptr ? node_root_version(root) : 0;
	err_t err = {0};
	sheet_t *sheet;
	bool unchanged;

	if (!version || (sync->sheet && version <= sync->sheet->version))
		return;
	sheet = node_unpack(root, get_node, sync, &err);
	if (!sheet && err.code == ERR_NOT_FOUND) {
		/* The peer's changes apply to another former sheet than the one
		 * in this replica, so none of its nodes can be relied on. */
		replica_clear(sync->replica);
		return;
	}
	if (!sheet || sheetchange_check(sync->sheet, sheet, &unchanged, &err)) {
		report_refused(sync, version, source, &err);
		sheet_free(sheet);
		return;
	}
	activate(sync, sheet, source);
}

const sheet_t *sheetsync_sheet(const sheetsync_t *sync)
{
	return sync->sheet;
}

int64_t sheetsync_confirmed_ms(const sheetsync_t *sync)
{
	return sync->confirmed_ms;
}
