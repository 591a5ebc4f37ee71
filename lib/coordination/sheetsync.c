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
	uint64_t refused_version; /* of a root that was refused, to log once */
};

/* Keys of the nodes that the replica has from the former sheet. */
typedef struct key_list {
	char (*keys)[NODE_KEY_BYTES];
	size_t count, cap;
} key_list_t;

typedef struct packing {
	sheetsync_t *sync;
	node_digest_t root;
	int64_t revision;
	key_list_t unused;
} packing_t;

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

static void refuse(sheetsync_t *sync, uint64_t version, const char *source,
		   const err_t *err)
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

/* Takes a key off the list; true when it was there. */
static bool take_key(key_list_t *list, const char *key)
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
	packing_t *packing = user;
	char key[NODE_KEY_BYTES] = NODE_ROOT_KEY;

	if (memcmp(digest, &packing->root, sizeof(*digest)) != 0) {
		node_format_key(digest, key);
		/* The same node is in the former sheet. */
		if (take_key(&packing->unused, key))
			return ERR_OK;
	}
	replica_put(packing->sync->replica, str_from(key), bytes,
		    packing->revision);
	return ERR_OK;
}

/* Puts the sheet's nodes into the replica and removes those that it lacks. */
static err_code_t publish(sheetsync_t *sync, const sheet_t *sheet, err_t *err)
{
	packing_t packing = {.sync = sync, .revision = (int64_t)sheet->version};
	err_code_t code = node_root_digest(sheet, &packing.root);

	if (code)
		return err_set(err, code, "pack-sheet", "",
			       "a node is too "
			       "large");
	replica_changes(sync->replica, 0, add_key, &packing.unused);
	code = node_pack(sheet, put_node, &packing, &packing.root, err);
	for (size_t i = 0; i < packing.unused.count && !code; i++)
		replica_remove(sync->replica, str_from(packing.unused.keys[i]),
			       packing.revision);
	free(packing.unused.keys);
	if (!code)
		replica_advance(sync->replica, packing.revision);
	return code;
}

err_code_t sheetsync_offer(sheetsync_t *sync, sheet_t *sheet,
			   const char *source, err_t *err)
{
	uint64_t version = sheet->version;
	bool same;
	err_code_t code = sheetchange_check(sync->sheet, sheet, &same, err);

	if (!code && !same)
		code = publish(sync, sheet, err);
	if (code || same) {
		sheet_free(sheet);
		if (code)
			refuse(sync, version, source, err);
	}
	if (code)
		return code;
	sync->confirmed_ms = mclock_now_ms(sync->clock);
	if (!same)
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
	bool same;

	if (!version || (sync->sheet && version <= sync->sheet->version))
		return;
	sheet = node_unpack(root, get_node, sync, &err);
	if (!sheet && err.code == ERR_NOT_FOUND) {
		/* The former sheet here was not the peer's: none of its nodes
		 * can be relied on. */
		replica_clear(sync->replica);
		return;
	}
	if (!sheet || sheetchange_check(sync->sheet, sheet, &same, &err)) {
		refuse(sync, version, source, &err);
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
