#ifndef STATE_NODE_H
#define STATE_NODE_H

#include "base/buf.h"
#include "base/err.h"
#include "state/sheet.h"

/*
 * node - a sheet as a Merkle tree of immutable nodes
 *
 * The root holds the digests of the base node (everything but the customers)
 * and of NODE_INDEXES index nodes; an index node holds the digests of
 * NODE_BUCKETS customer buckets. Nodes are msgpack maps addressed by their
 * SHA-256 digest. A change of one customer therefore changes one bucket, one
 * index node and the root; all other nodes are shared with the previous
 * version. An all-zero digest marks an empty index or bucket.
 */
#define NODE_INDEXES 16
#define NODE_BUCKETS 64
#define NODE_MAX_BYTES (1024UL * 1024)
/* Bytes of all nodes of a sheet; limits the memory a faulty peer can cost. */
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
 * Packs the sheet and passes every node to the sink, which may be NULL. The
 * customers must be in the order of sheet_build_index().
 *
 * ERRORS: ERR_TOO_LARGE for a node above NODE_MAX_BYTES; the sink's error.
 */
err_code_t node_pack(const sheet_t *sheet, node_sink_t sink, void *user,
		     node_digest_t *root, err_t *err);

/* Computes the digest of the packed root. */
err_code_t node_root_digest(const sheet_t *sheet, node_digest_t *root);

/* SHA-256 of the bytes of a node. */
node_digest_t node_compute_digest(str_t bytes);

/* Size of a node's key in the replica, including the final NUL. */
#define NODE_KEY_BYTES (sizeof("sheet/node/") + 2UL * SHEET_DIGEST_BYTES)
#define NODE_ROOT_KEY "sheet/root"

/* Formats the key of a node in the replica, sheet/node/HEX. */
void node_format_key(const node_digest_t *digest, char key[NODE_KEY_BYTES]);

/*
 * Builds a sheet from a root and the nodes below it. Verifies the digest of
 * each node. Requests from the source only nodes that are reachable from the
 * root.
 *
 * RETURN VALUE: the sheet, or NULL with `err` filled: ERR_INVALID for a
 * malformed node or wrong digest, ERR_TOO_LARGE above NODE_MAX_TOTAL_BYTES, or
 * the source's error.
 */
sheet_t *node_unpack(str_t root, node_source_t source, void *user, err_t *err);

/* Reads the version of a root without fetching nodes; 0 when malformed. */
uint64_t node_root_version(str_t root);

#endif
