#include "state/node_internal.h"

#include <stdlib.h>

#define CACHE_SLOTS 2048

struct cache_entry {
	struct cache_entry *next;
	node_digest_t digest;
	buf_t bytes;
	bool reached;
};

struct node_cache {
	struct cache_entry *slots[CACHE_SLOTS];
};

static struct cache_entry **find_entry(node_cache_t *cache,
				       const node_digest_t *digest)
{
	size_t slot = ((size_t)digest->bytes[0] << 8 | digest->bytes[1]) %
		      CACHE_SLOTS;
	struct cache_entry **entry = &cache->slots[slot];

	while (*entry &&
	       memcmp(&(*entry)->digest, digest, sizeof(*digest)) != 0)
		entry = &(*entry)->next;
	return entry;
}

/* Marks an index node and its buckets as reached. */
static void mark_index(node_cache_t *cache, const node_digest_t *digest)
{
	struct cache_entry *entry = *find_entry(cache, digest);
	node_digest_t buckets[NODE_BUCKETS];
	msgpack_unpacked result;

	if (!entry)
		return;
	entry->reached = true;
	if (node_unpack_object(buf_view(&entry->bytes), &result) &&
	    node_read_index(&result.data, buckets)) {
		for (size_t b = 0; b < NODE_BUCKETS; b++) {
			entry = *find_entry(cache, &buckets[b]);
			if (entry)
				entry->reached = true;
		}
	}
	msgpack_unpacked_destroy(&result);
}

/* A list of digests with a bound. */
typedef struct missing_list {
	node_digest_t *digests;
	size_t count;
	size_t max;
} missing_list_t;

/* Adds the digest unless the cache has it. True when the cache has it. */
static bool note_missing(node_cache_t *cache, const node_digest_t *digest,
			 missing_list_t *missing)
{
	if (node_is_zero(digest) || *find_entry(cache, digest))
		return true;
	if (missing->count < missing->max)
		missing->digests[missing->count++] = *digest;
	return false;
}

static void note_missing_buckets(node_cache_t *cache,
				 const node_digest_t *digest,
				 missing_list_t *missing)
{
	struct cache_entry *entry = *find_entry(cache, digest);
	node_digest_t buckets[NODE_BUCKETS];
	msgpack_unpacked result;

	if (!entry)
		return;
	if (node_unpack_object(buf_view(&entry->bytes), &result) &&
	    node_read_index(&result.data, buckets))
		for (size_t b = 0; b < NODE_BUCKETS; b++)
			note_missing(cache, &buckets[b], missing);
	msgpack_unpacked_destroy(&result);
}

static void free_entry(struct cache_entry *entry)
{
	buf_release(&entry->bytes);
	free(entry);
}

node_cache_t *node_cache_create(void)
{
	return calloc(1, sizeof(node_cache_t));
}

void node_cache_free(node_cache_t *cache)
{
	if (!cache)
		return;
	for (size_t i = 0; i < CACHE_SLOTS; i++) {
		struct cache_entry *entry;

		while ((entry = cache->slots[i])) {
			cache->slots[i] = entry->next;
			free_entry(entry);
		}
	}
	free(cache);
}

bool node_cache_get(node_cache_t *cache, const node_digest_t *digest,
		    buf_t *out)
{
	const struct cache_entry *entry = *find_entry(cache, digest);

	if (!entry)
		return false;
	buf_append_str(out, buf_view(&entry->bytes));
	return true;
}

void node_cache_put(node_cache_t *cache, const node_digest_t *digest,
		    str_t bytes)
{
	struct cache_entry **place = find_entry(cache, digest);
	node_digest_t actual = node_digest_bytes(bytes);
	struct cache_entry *entry;

	if (*place || bytes.len > NODE_MAX_BYTES ||
	    memcmp(&actual, digest, sizeof(actual)) != 0)
		return;
	entry = calloc(1, sizeof(*entry));
	if (!entry)
		abort();
	entry->digest = *digest;
	buf_append_str(&entry->bytes, bytes);
	*place = entry;
}

size_t node_cache_missing(node_cache_t *cache, str_t root,
			  node_digest_t *digests, size_t max)
{
	node_digest_t indexes[NODE_INDEXES];
	missing_list_t missing = {digests, 0, max};
	node_digest_t base;
	uint64_t version;

	if (!node_read_root(root, &version, &base, indexes))
		return 0;
	note_missing(cache, &base, &missing);
	for (size_t i = 0; i < NODE_INDEXES; i++)
		if (note_missing(cache, &indexes[i], &missing))
			note_missing_buckets(cache, &indexes[i], &missing);
	return missing.count;
}

void node_cache_retain(node_cache_t *cache, str_t root)
{
	node_digest_t indexes[NODE_INDEXES];
	node_digest_t digest = node_digest_bytes(root);
	node_digest_t base;
	uint64_t version;
	struct cache_entry *entry = *find_entry(cache, &digest);

	if (entry)
		entry->reached = true;
	if (node_read_root(root, &version, &base, indexes)) {
		entry = *find_entry(cache, &base);
		if (entry)
			entry->reached = true;
		for (size_t i = 0; i < NODE_INDEXES; i++)
			mark_index(cache, &indexes[i]);
	}
	for (size_t i = 0; i < CACHE_SLOTS; i++) {
		struct cache_entry **place = &cache->slots[i];

		while ((entry = *place)) {
			if (entry->reached) {
				entry->reached = false;
				place = &entry->next;
				continue;
			}
			*place = entry->next;
			free_entry(entry);
		}
	}
}
