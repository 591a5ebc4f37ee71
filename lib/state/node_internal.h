#ifndef STATE_NODE_INTERNAL_H
#define STATE_NODE_INTERNAL_H

#include "base/msgcodec.h"
#include "state/node.h"

/*
 * node_internal - decoding of single nodes, for node.c
 *
 * Functions that read return false for a malformed node.
 */
#define NODE_STEP "sheet-node"

/* The sheet that is being built. */
typedef struct node_reader {
	sheet_t *sheet;
	size_t customer_cap; /* allocated elements of sheet->customers */
} node_reader_t;

/* The all-zero digest marks an empty index or bucket. */
bool node_is_zero(const node_digest_t *digest);

bool node_read_base(node_reader_t *r, const msgpack_object *object);

/* Appends the customers of a bucket to sheet->customers, which is allocated
 * with realloc() and not in the memory of the sheet. */
bool node_read_bucket(node_reader_t *r, const msgpack_object *object,
		      unsigned bucket);

bool node_read_index(const msgpack_object *object,
		     node_digest_t buckets[NODE_BUCKETS]);

bool node_read_root(str_t bytes, uint64_t *version, node_digest_t *base,
		    node_digest_t indexes[NODE_INDEXES]);

#endif
