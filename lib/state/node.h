#ifndef STATE_NODE_H
#define STATE_NODE_H

#include "base/buf.h"
#include "base/err.h"
#include "state/sheet.h"

/*
 * node - a sheet as immutable nodes under one root
 *
 * The root names the base node (all but the customers) and NODE_INDEXES index
 * nodes; an index node names NODE_BUCKETS customer buckets. Nodes are msgpack
 * maps addressed by their SHA-256 digest, so a change of one customer changes
 * one bucket, one index node and the root, and everything else is shared with
 * the version before. An all-zero digest stands for an empty index or bucket.
 */
#define NODE_INDEXES 16
#define NODE_BUCKETS 64
#define NODE_MAX_BYTES (1024UL * 1024)
/* Bytes of all nodes of a sheet; bounds what a faulty peer can make us load. */
#define NODE_MAX_TOTAL_BYTES (64UL * 1024 * 1024)

typedef struct node_digest {
	uint8_t bytes[SHEET_DIGEST_BYTES];
} node_digest_t;

/* Called once per node by node_pack(), the root last. */
typedef err_code_t (*node_sink_t)(void *user, const node_digest_t *digest,
				  str_t bytes);

/* Fetches the bytes of a node into `out`. */
typedef err_code_t (*node_source_t)(void *user, const node_digest_t *digest,
				    buf_t *out, err_t *err);

/*
 * Packs the sheet, whose customers are in the order of sheet_build_index(),
 * and gives every node to the sink, which may be NULL.
 *
 * ERRORS: ERR_TOO_LARGE for a node above NODE_MAX_BYTES; the sink's error.
 */
err_code_t node_pack(const sheet_t *sheet, node_sink_t sink, void *user,
		     node_digest_t *root, err_t *err);

/* Computes the digest of the packed root. */
err_code_t node_digest_of(const sheet_t *sheet, node_digest_t *root);

/* SHA-256 of the bytes of a node. */
node_digest_t node_digest_bytes(str_t bytes);

/* Bytes of a node's key on the platform, with the final NUL. */
#define NODE_KEY_BYTES (sizeof("sheet/node/") + 2UL * SHEET_DIGEST_BYTES)
#define NODE_ROOT_KEY "sheet/root"

/* Writes the platform's key of a node, sheet/node/HEX. */
void node_format_key(const node_digest_t *digest, char key[NODE_KEY_BYTES]);

/*
 * Builds a sheet from a root and the nodes it names. Each node's digest is
 * verified. The source is asked only for nodes that the root reaches; a caching
 * source (node_cache) keeps the ones that are shared with the version before.
 *
 * RETURN VALUE: the sheet, or NULL with `err` filled: ERR_INVALID for a
 * malformed node or wrong digest, ERR_TOO_LARGE above NODE_MAX_TOTAL_BYTES, or
 * the source's error.
 */
sheet_t *node_unpack(str_t root, node_source_t source, void *user, err_t *err);

/* The version that a root states, without its nodes; 0 when malformed. */
uint64_t node_root_version(str_t root);

/*
 * node_cache - nodes of the sheet in force, for peers and for the next version
 *
 * Not thread-safe; the thread that follows versions owns it.
 */
typedef struct node_cache node_cache_t;

node_cache_t *node_cache_create(void);
void node_cache_free(node_cache_t *cache);
bool node_cache_get(node_cache_t *cache, const node_digest_t *digest,
		    buf_t *out);
/* Keeps a copy; ignores bytes that do not have this digest. */
void node_cache_put(node_cache_t *cache, const node_digest_t *digest,
		    str_t bytes);
/*
 * Lists nodes that the root reaches and the cache does not have, at most `max`;
 * those behind a missing index node are not known yet.
 *
 * RETURN VALUE: their number; 0 when all are there or the root is malformed.
 */
size_t node_cache_missing(node_cache_t *cache, str_t root,
			  node_digest_t *digests, size_t max);
/* Drops every node that this root does not reach. */
void node_cache_retain(node_cache_t *cache, str_t root);

#endif
