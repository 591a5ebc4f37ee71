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
err_code_t node_root_digest(const sheet_t *sheet, node_digest_t *root);

/* SHA-256 of the bytes of a node. */
node_digest_t node_compute_digest(str_t bytes);

/* Bytes of a node's key on the platform, with the final NUL. */
#define NODE_KEY_BYTES (sizeof("sheet/node/") + 2UL * SHEET_DIGEST_BYTES)
#define NODE_ROOT_KEY "sheet/root"

/* Writes the platform's key of a node, sheet/node/HEX. */
void node_format_key(const node_digest_t *digest, char key[NODE_KEY_BYTES]);

/*
 * Builds a sheet from a root and the nodes it names. Each node's digest is
 * verified. The source is asked only for nodes that the root reaches.
 *
 * RETURN VALUE: the sheet, or NULL with `err` filled: ERR_INVALID for a
 * malformed node or wrong digest, ERR_TOO_LARGE above NODE_MAX_TOTAL_BYTES, or
 * the source's error.
 */
sheet_t *node_unpack(str_t root, node_source_t source, void *user, err_t *err);

/* The version that a root states, without its nodes; 0 when malformed. */
uint64_t node_root_version(str_t root);

#endif
