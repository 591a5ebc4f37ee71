#include "state/node_internal.h"

#include <assert.h>
#include <openssl/sha.h>
#include <stdlib.h>

static_assert(NODE_INDEXES * NODE_BUCKETS == SHEET_CUSTOMER_BUCKETS,
	      "the index nodes cover all customer buckets");

typedef struct unpacker {
	node_reader_t reader;
	node_source_t source;
	void *user;
	err_t *err;
	size_t fetched_bytes;
} unpacker_t;

/* Fetches a node and verifies its digest. */
static err_code_t fetch_node(unpacker_t *u, const node_digest_t *digest,
			     buf_t *bytes)
{
	node_digest_t actual;
	err_code_t code;

	buf_reset(bytes);
	code = u->source(u->user, digest, bytes, u->err);
	if (code != ERR_OK)
		return code;
	u->fetched_bytes += bytes->len;
	if (bytes->len > NODE_MAX_BYTES ||
	    u->fetched_bytes > NODE_MAX_TOTAL_BYTES)
		return err_set(u->err, ERR_TOO_LARGE, NODE_STEP, "",
			       "node of %zu bytes, %zu bytes in total",
			       bytes->len, u->fetched_bytes);
	actual = node_compute_digest(buf_view(bytes));
	if (memcmp(&actual, digest, sizeof(actual)) != 0)
		return err_set(u->err, ERR_INVALID, NODE_STEP, "",
			       "node does not match its digest");
	return ERR_OK;
}

static err_code_t fetch_base(unpacker_t *u, const node_digest_t *digest)
{
	buf_t bytes = BUF_INIT;
	err_code_t code = fetch_node(u, digest, &bytes);

	if (code == ERR_OK) {
		msgpack_unpacked result;

		if (!msgcodec_unpack(buf_view(&bytes), &result) ||
		    !node_read_base(&u->reader, &result.data))
			code = err_set(u->err, ERR_INVALID, NODE_STEP, "",
				       "malformed base node");
		msgpack_unpacked_destroy(&result);
	}
	buf_release(&bytes);
	return code;
}

static err_code_t fetch_bucket(unpacker_t *u, const node_digest_t *digest,
			       unsigned bucket)
{
	buf_t bytes = BUF_INIT;
	err_code_t code = fetch_node(u, digest, &bytes);

	if (code == ERR_OK) {
		msgpack_unpacked result;

		if (!msgcodec_unpack(buf_view(&bytes), &result) ||
		    !node_read_bucket(&u->reader, &result.data, bucket))
			code = err_set(u->err, ERR_INVALID, NODE_STEP, "",
				       "malformed customer bucket %u", bucket);
		msgpack_unpacked_destroy(&result);
	}
	buf_release(&bytes);
	return code;
}

static err_code_t fetch_index(unpacker_t *u, const node_digest_t *digest,
			      unsigned index)
{
	node_digest_t buckets[NODE_BUCKETS];
	buf_t bytes = BUF_INIT;
	err_code_t code = fetch_node(u, digest, &bytes);

	if (code == ERR_OK) {
		msgpack_unpacked result;

		if (!msgcodec_unpack(buf_view(&bytes), &result) ||
		    !node_read_index(&result.data, buckets))
			code = err_set(u->err, ERR_INVALID, NODE_STEP, "",
				       "malformed index node %u", index);
		msgpack_unpacked_destroy(&result);
	}
	buf_release(&bytes);
	for (unsigned b = 0; code == ERR_OK && b < NODE_BUCKETS; b++) {
		if (!node_is_zero(&buckets[b]))
			code = fetch_bucket(u, &buckets[b],
					    index * NODE_BUCKETS + b);
	}
	return code;
}

/* Moves the customers from the heap into the sheet's memory. Must run after an
 * error, too: sheet_free() does not free the heap array. */
static void move_customers_to_arena(unpacker_t *u)
{
	sheet_t *sheet = u->reader.sheet;
	sheet_customer_t *heap_customers = sheet->customers;

	if (!heap_customers)
		return;
	sheet->customers = sheet_alloc(sheet, sheet->customer_count *
						      sizeof(*heap_customers));
	memcpy(sheet->customers, heap_customers,
	       sheet->customer_count * sizeof(*heap_customers));
	free(heap_customers);
}

static err_code_t check_sheet(const unpacker_t *u, str_t root)
{
	node_digest_t expected = node_compute_digest(root);
	node_digest_t actual;
	const char *fault = sheet_find_fault(u->reader.sheet);

	if (!fault && !sheet_build_index(u->reader.sheet))
		fault = "customer used twice";
	if (fault)
		return err_set(u->err, ERR_INVALID, NODE_STEP, "", "invalid %s",
			       fault);
	/* Equal sheets must have equal digests; a second encoding of the same
	 * content would be reported as a version conflict. */
	if (node_root_digest(u->reader.sheet, &actual) != ERR_OK ||
	    memcmp(&actual, &expected, sizeof(actual)) != 0)
		return err_set(u->err, ERR_INVALID, NODE_STEP, "",
			       "nodes are not packed in the canonical form");
	memcpy(u->reader.sheet->digest, actual.bytes, SHEET_DIGEST_BYTES);
	return ERR_OK;
}

node_digest_t node_compute_digest(str_t bytes)
{
	node_digest_t digest;

	SHA256((const unsigned char *)bytes.ptr, bytes.len, digest.bytes);
	return digest;
}

void node_format_key(const node_digest_t *digest, char key[NODE_KEY_BYTES])
{
	static const char hex[] = "0123456789abcdef";
	char *p = key + sizeof("sheet/node/") - 1;

	memcpy(key, "sheet/node/", sizeof("sheet/node/") - 1);
	for (size_t i = 0; i < SHEET_DIGEST_BYTES; i++) {
		*p++ = hex[digest->bytes[i] >> 4];
		*p++ = hex[digest->bytes[i] & 15];
	}
	*p = '\0';
}

sheet_t *node_unpack(str_t root, node_source_t source, void *user, err_t *err)
{
	unpacker_t u = {.source = source, .user = user, .err = err};
	node_digest_t indexes[NODE_INDEXES];
	node_digest_t base;
	err_code_t code;

	u.reader.sheet = sheet_create();
	if (!u.reader.sheet) {
		err_set(err, ERR_BAD_STATE, NODE_STEP, "", "no memory");
		return NULL;
	}
	if (!node_read_root(root, &u.reader.sheet->version, &base, indexes)) {
		err_set(err, ERR_INVALID, NODE_STEP, "", "malformed root node");
		sheet_free(u.reader.sheet);
		return NULL;
	}
	code = fetch_base(&u, &base);
	for (unsigned i = 0; code == ERR_OK && i < NODE_INDEXES; i++) {
		if (!node_is_zero(&indexes[i]))
			code = fetch_index(&u, &indexes[i], i);
	}
	move_customers_to_arena(&u);
	if (code == ERR_OK)
		code = check_sheet(&u, root);
	if (code == ERR_OK)
		return u.reader.sheet;
	sheet_free(u.reader.sheet);
	return NULL;
}

uint64_t node_root_version(str_t root)
{
	node_digest_t indexes[NODE_INDEXES];
	node_digest_t base;
	uint64_t version;

	return node_read_root(root, &version, &base, indexes) ? version : 0;
}
