#include "state/node_internal.h"

#include <assert.h>

typedef struct packer {
	node_sink_t sink;
	void *user;
	err_t *err;
	msgpack_sbuffer out;
	msgpack_packer pk;
} packer_t;

static void pack_str(msgpack_packer *pk, str_t s)
{
	msgpack_pack_str(pk, s.len);
	msgpack_pack_str_body(pk, s.ptr, s.len);
}

static void pack_key(msgpack_packer *pk, const char *key)
{
	pack_str(pk, str_from(key));
}

static void pack_bool(msgpack_packer *pk, bool value)
{
	if (value)
		msgpack_pack_true(pk);
	else
		msgpack_pack_false(pk);
}

static void pack_digest(msgpack_packer *pk,
			const uint8_t digest[SHEET_DIGEST_BYTES])
{
	msgpack_pack_bin(pk, SHEET_DIGEST_BYTES);
	msgpack_pack_bin_body(pk, digest, SHEET_DIGEST_BYTES);
}

static void pack_domain(msgpack_packer *pk, const sheet_domain_t *domain)
{
	msgpack_pack_array(pk, 6);
	pack_str(pk, domain->name);
	pack_str(pk, domain->region);
	msgpack_pack_uint64(pk, domain->state);
	msgpack_pack_array(pk, domain->cold_host_count);
	for (size_t i = 0; i < domain->cold_host_count; i++) {
		msgpack_pack_array(pk, 2);
		pack_str(pk, domain->cold_hosts[i].host);
		pack_str(pk, domain->cold_hosts[i].address);
	}
	msgpack_pack_int64(pk, domain->cold_hosts_since_s);
	msgpack_pack_array(pk, domain->plan_count);
	for (size_t i = 0; i < domain->plan_count; i++) {
		msgpack_pack_array(pk, 3);
		msgpack_pack_uint64(pk, domain->plans[i].state);
		msgpack_pack_int64(pk, domain->plans[i].from_s);
		msgpack_pack_int64(pk, domain->plans[i].until_s);
	}
}

static void pack_class(msgpack_packer *pk, const sheet_class_t *class)
{
	msgpack_pack_array(pk, 9);
	pack_str(pk, class->name);
	msgpack_pack_uint64(pk, class->tier);
	msgpack_pack_int64(pk, class->first_token_ms);
	msgpack_pack_int64(pk, class->between_tokens_ms);
	msgpack_pack_int64(pk, class->timeout_ms);
	msgpack_pack_uint64(pk, class->floor_percent);
	msgpack_pack_uint64(pk, class->max_queue);
	msgpack_pack_uint64(pk, class->max_tokens);
	pack_bool(pk, class->cross_region);
}

static void pack_pool(msgpack_packer *pk, const sheet_pool_t *pool)
{
	msgpack_pack_array(pk, 3);
	pack_str(pk, pool->name);
	msgpack_pack_uint64(pk, pool->kind);
	msgpack_pack_array(pk, pool->call_count);
	for (size_t i = 0; i < pool->call_count; i++) {
		msgpack_pack_array(pk, 3);
		pack_str(pk, pool->calls[i].name);
		msgpack_pack_uint64(pk, pool->calls[i].class_index);
		pack_bool(pk, pool->calls[i].repeatable);
	}
}

static void pack_endpoint(msgpack_packer *pk, const sheet_endpoint_t *endpoint)
{
	msgpack_pack_array(pk, 7);
	pack_str(pk, endpoint->name);
	msgpack_pack_uint64(pk, endpoint->domain_index);
	msgpack_pack_uint64(pk, endpoint->pool_index);
	pack_str(pk, endpoint->address);
	msgpack_pack_uint64(pk, endpoint->state);
	msgpack_pack_uint64(pk, endpoint->cold_limit);
	msgpack_pack_uint64(pk, endpoint->max_in_flight);
}

static void pack_base(msgpack_packer *pk, const sheet_t *sheet)
{
	msgpack_pack_map(pk, 5);
	pack_key(pk, "cold_share_ttl_s");
	msgpack_pack_int64(pk, sheet->cold_share_ttl_s);
	pack_key(pk, "domains");
	msgpack_pack_array(pk, sheet->domain_count);
	for (size_t i = 0; i < sheet->domain_count; i++)
		pack_domain(pk, &sheet->domains[i]);
	pack_key(pk, "classes");
	msgpack_pack_array(pk, sheet->class_count);
	for (size_t i = 0; i < sheet->class_count; i++)
		pack_class(pk, &sheet->classes[i]);
	pack_key(pk, "pools");
	msgpack_pack_array(pk, sheet->pool_count);
	for (size_t i = 0; i < sheet->pool_count; i++)
		pack_pool(pk, &sheet->pools[i]);
	pack_key(pk, "endpoints");
	msgpack_pack_array(pk, sheet->endpoint_count);
	for (size_t i = 0; i < sheet->endpoint_count; i++)
		pack_endpoint(pk, &sheet->endpoints[i]);
}

static void pack_bucket(msgpack_packer *pk, const sheet_customer_t *customers,
			size_t count)
{
	msgpack_pack_map(pk, 1);
	pack_key(pk, "customers");
	msgpack_pack_array(pk, count);
	for (size_t i = 0; i < count; i++) {
		msgpack_pack_array(pk, 5);
		pack_str(pk, customers[i].name);
		pack_digest(pk, customers[i].key_digest);
		msgpack_pack_uint64(pk, customers[i].weight);
		msgpack_pack_uint64(pk, customers[i].max_in_flight);
		msgpack_pack_uint64(pk, customers[i].classes);
	}
}

static void pack_digests(msgpack_packer *pk, const node_digest_t *digests,
			 size_t count)
{
	msgpack_pack_array(pk, count);
	for (size_t i = 0; i < count; i++)
		pack_digest(pk, digests[i].bytes);
}

/* Hashes the node in `out`, passes it to the sink and clears `out`. */
static err_code_t emit_node(packer_t *p, node_digest_t *digest)
{
	str_t bytes = {p->out.data, p->out.size};
	err_code_t code = ERR_OK;

	if (bytes.len > NODE_MAX_BYTES)
		return err_set(p->err, ERR_TOO_LARGE, NODE_STEP, "",
			       "node of %zu bytes, at most %lu", bytes.len,
			       NODE_MAX_BYTES);
	*digest = node_compute_digest(bytes);
	if (p->sink)
		code = p->sink(p->user, digest, bytes);
	if (code != ERR_OK)
		err_set(p->err, code, NODE_STEP, "",
			"node could not be stored");
	msgpack_sbuffer_clear(&p->out);
	return code;
}

/* Packs index node `i` and its buckets, starting at the customer `*next`. */
static err_code_t pack_index(packer_t *p, const sheet_t *sheet, size_t i,
			     size_t *next, node_digest_t *digest)
{
	node_digest_t buckets[NODE_BUCKETS] = {0};
	size_t begin = *next;

	*digest = (node_digest_t){{0}};
	for (unsigned b = 0; b < NODE_BUCKETS; b++) {
		size_t first = *next;
		err_code_t code;

		while (*next < sheet->customer_count &&
		       sheet_customer_bucket(sheet->customers[*next].name) ==
			       i * NODE_BUCKETS + b)
			++*next;
		if (first == *next)
			continue;
		pack_bucket(&p->pk, &sheet->customers[first], *next - first);
		code = emit_node(p, &buckets[b]);
		if (code != ERR_OK)
			return code;
	}
	if (begin == *next)
		return ERR_OK;
	msgpack_pack_map(&p->pk, 1);
	pack_key(&p->pk, "buckets");
	pack_digests(&p->pk, buckets, NODE_BUCKETS);
	return emit_node(p, digest);
}

err_code_t node_pack(const sheet_t *sheet, node_sink_t sink, void *user,
		     node_digest_t *root, err_t *err)
{
	packer_t p = {.sink = sink, .user = user, .err = err};
	node_digest_t indexes[NODE_INDEXES];
	node_digest_t base;
	size_t next = 0;
	err_code_t code;

	msgpack_sbuffer_init(&p.out);
	msgpack_packer_init(&p.pk, &p.out, msgpack_sbuffer_write);
	pack_base(&p.pk, sheet);
	code = emit_node(&p, &base);
	for (size_t i = 0; code == ERR_OK && i < NODE_INDEXES; i++)
		code = pack_index(&p, sheet, i, &next, &indexes[i]);
	if (code != ERR_OK)
		goto out;
	assert(next == sheet->customer_count);
	msgpack_pack_map(&p.pk, 3);
	pack_key(&p.pk, "version");
	msgpack_pack_uint64(&p.pk, sheet->version);
	pack_key(&p.pk, "base");
	pack_digest(&p.pk, base.bytes);
	pack_key(&p.pk, "indexes");
	pack_digests(&p.pk, indexes, NODE_INDEXES);
	code = emit_node(&p, root);
out:
	msgpack_sbuffer_destroy(&p.out);
	return code;
}

err_code_t node_root_digest(const sheet_t *sheet, node_digest_t *root)
{
	return node_pack(sheet, NULL, NULL, root, NULL);
}
