#include "state/node.h"

#include <assert.h>
#include <msgpack.h>
#include <openssl/sha.h>
#include <stdlib.h>

#define STEP "sheet-node"
#define CACHE_SLOTS 2048

static_assert(NODE_INDEXES * NODE_BUCKETS == SHEET_CUSTOMER_BUCKETS,
	      "each bucket has its place in an index node");

struct cache_entry {
	struct cache_entry *next;
	node_digest_t digest;
	buf_t bytes;
	bool reached;
};

struct node_cache {
	struct cache_entry *slots[CACHE_SLOTS];
};

typedef struct packer {
	node_sink_t sink;
	void *user;
	err_t *err;
	msgpack_sbuffer out;
	msgpack_packer pk;
} packer_t;

typedef struct unpacker {
	sheet_t *sheet;
	node_source_t source;
	void *user;
	err_t *err;
	size_t total;
	size_t customer_cap;
} unpacker_t;

static const node_digest_t zero_digest;

static bool is_zero(const node_digest_t *digest)
{
	return !memcmp(digest, &zero_digest, sizeof(zero_digest));
}

/* Packing */

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
	msgpack_pack_array(pk, 7);
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
	msgpack_pack_uint64(pk, domain->max_loading);
}

static void pack_class(msgpack_packer *pk, const sheet_class_t *class)
{
	msgpack_pack_array(pk, 10);
	pack_str(pk, class->name);
	msgpack_pack_uint64(pk, class->tier);
	msgpack_pack_int64(pk, class->first_token_ms);
	msgpack_pack_int64(pk, class->between_tokens_ms);
	msgpack_pack_int64(pk, class->timeout_ms);
	msgpack_pack_uint64(pk, class->floor_percent);
	msgpack_pack_uint64(pk, class->max_queue);
	msgpack_pack_uint64(pk, class->expected_tokens);
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
	msgpack_pack_array(pk, 8);
	pack_str(pk, endpoint->name);
	msgpack_pack_uint64(pk, endpoint->domain_index);
	msgpack_pack_uint64(pk, endpoint->pool_index);
	pack_str(pk, endpoint->address);
	msgpack_pack_uint64(pk, endpoint->state);
	msgpack_pack_uint64(pk, endpoint->cold_limit);
	msgpack_pack_uint64(pk, endpoint->max_in_flight);
	pack_bool(pk, endpoint->checks_fence);
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

/* Digests the node in `out`, gives it to the sink and empties `out`. */
static err_code_t emit_node(packer_t *p, node_digest_t *digest)
{
	str_t bytes = {p->out.data, p->out.size};
	err_code_t code = ERR_OK;

	if (bytes.len > NODE_MAX_BYTES)
		return err_set(p->err, ERR_TOO_LARGE, STEP, "",
			       "node of %zu bytes, at most %lu", bytes.len,
			       NODE_MAX_BYTES);
	*digest = node_digest_bytes(bytes);
	if (p->sink)
		code = p->sink(p->user, digest, bytes);
	if (code != ERR_OK)
		err_set(p->err, code, STEP, "", "node could not be stored");
	msgpack_sbuffer_clear(&p->out);
	return code;
}

/* Packs the customers from `*next` on that belong to the index node `i`. */
static err_code_t pack_index(packer_t *p, const sheet_t *sheet, size_t i,
			     size_t *next, node_digest_t *digest)
{
	node_digest_t buckets[NODE_BUCKETS] = {0};
	size_t begin = *next;

	*digest = zero_digest;
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

/* Unpacking */

/*
 * Checks that the elements announced by array and map headers can all be in
 * the remaining bytes, since msgpack-c allocates by the headers. Returns the
 * number of bytes after the header at `p` and adds its elements to `more`.
 */
static size_t measure_item(const uint8_t *p, size_t left, uint64_t *more)
{
	static const uint8_t fixed[] = {/* nil to true */ 0,
					0,
					0,
					0,
					/* bin, ext */ 1,
					2,
					4,
					2,
					3,
					5,
					/* float to int64 */ 4,
					8,
					1,
					2,
					4,
					8,
					1,
					2,
					4,
					8,
					/* fixext */ 2,
					3,
					5,
					9,
					17,
					/* str, array, map */ 1,
					2,
					4,
					2,
					4,
					2,
					4};
	uint64_t value = 0;
	size_t header;

	if (*p < 0x80 || *p >= 0xe0)
		return 0;
	if (*p < 0xa0) {
		*more += (uint64_t)(*p & 0x0f) * (*p < 0x90 ? 2 : 1);
		return 0;
	}
	if (*p < 0xc0)
		return *p & 0x1f;
	header = fixed[*p - 0xc0];
	if (header >= left)
		return left;
	for (size_t i = 1; i <= header && i <= 4; i++)
		value = value << 8 | p[i];
	if (*p >= 0xdc)
		*more += *p >= 0xde ? 2 * value : value;
	else if ((*p >= 0xc4 && *p <= 0xc6) || (*p >= 0xd9 && *p <= 0xdb))
		return header + value;
	return header;
}

static bool is_bounded(str_t bytes)
{
	const uint8_t *p = (const uint8_t *)bytes.ptr;
	uint64_t pending = 1;
	size_t at = 0;

	while (pending) {
		size_t body;

		if (pending > bytes.len - at)
			return false;
		/* Extension types carry a body that this scan does not skip. */
		if (p[at] >= 0xc7 && p[at] <= 0xc9)
			return false;
		pending--;
		body = measure_item(p + at, bytes.len - at, &pending);
		at++;
		if (body > bytes.len - at)
			return false;
		at += body;
	}
	return at == bytes.len;
}

/* Unpacks one node; false when it is not well-formed msgpack. */
static bool unpack_object(str_t bytes, msgpack_unpacked *result)
{
	msgpack_unpacked_init(result);
	if (!bytes.len || bytes.len > NODE_MAX_BYTES || !is_bounded(bytes))
		return false;
	return msgpack_unpack_next(result, bytes.ptr, bytes.len, NULL) ==
	       MSGPACK_UNPACK_SUCCESS;
}

/* Value of a map's entry `i`, whose key must be this one. */
static const msgpack_object *get_entry(const msgpack_object *map, uint32_t i,
				       const char *key)
{
	const msgpack_object_kv *kv = &map->via.map.ptr[i];

	if (kv->key.type != MSGPACK_OBJECT_STR ||
	    !str_equals((str_t){kv->key.via.str.ptr, kv->key.via.str.size},
			str_from(key)))
		return NULL;
	return &kv->val;
}

static bool is_map(const msgpack_object *object, uint32_t size)
{
	return object->type == MSGPACK_OBJECT_MAP &&
	       object->via.map.size == size;
}

/* The array of an entry with at most `max` elements. */
static const msgpack_object_array *get_array(const msgpack_object *object,
					     size_t max)
{
	if (!object || object->type != MSGPACK_OBJECT_ARRAY ||
	    object->via.array.size > max)
		return NULL;
	return &object->via.array;
}

/* The fields of an array of exactly `count` elements. */
static const msgpack_object *get_fields(const msgpack_object *object,
					size_t count)
{
	const msgpack_object_array *array = get_array(object, count);

	return array && array->size == count ? array->ptr : NULL;
}

static bool read_str(unpacker_t *u, const msgpack_object *object, str_t *value)
{
	if (object->type != MSGPACK_OBJECT_STR ||
	    object->via.str.size >= SHEET_NAME_BYTES)
		return false;
	*value = sheet_copy_str(
		u->sheet, (str_t){object->via.str.ptr, object->via.str.size});
	return true;
}

static bool read_unsigned(const msgpack_object *object, unsigned *value)
{
	if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    object->via.u64 > UINT32_MAX)
		return false;
	*value = (unsigned)object->via.u64;
	return true;
}

static bool read_int64(const msgpack_object *object, int64_t *value)
{
	if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    object->via.u64 > INT64_MAX)
		return false;
	*value = (int64_t)object->via.u64;
	return true;
}

static bool read_state(const msgpack_object *object, sheet_state_t *state)
{
	unsigned value;

	if (!read_unsigned(object, &value) || value > SHEET_STATE_OUT)
		return false;
	*state = (sheet_state_t)value;
	return true;
}

static bool read_bool(const msgpack_object *object, bool *value)
{
	if (object->type != MSGPACK_OBJECT_BOOLEAN)
		return false;
	*value = object->via.boolean;
	return true;
}

static bool read_digest(const msgpack_object *object,
			uint8_t digest[SHEET_DIGEST_BYTES])
{
	if (object->type != MSGPACK_OBJECT_BIN ||
	    object->via.bin.size != SHEET_DIGEST_BYTES)
		return false;
	memcpy(digest, object->via.bin.ptr, SHEET_DIGEST_BYTES);
	return true;
}

static bool read_digests(const msgpack_object *object, node_digest_t *digests,
			 size_t count)
{
	const msgpack_object *f = object ? get_fields(object, count) : NULL;

	if (!f)
		return false;
	for (size_t i = 0; i < count; i++) {
		if (!read_digest(&f[i], digests[i].bytes))
			return false;
	}
	return true;
}

static bool read_domain(unpacker_t *u, const msgpack_object *object,
			sheet_domain_t *domain)
{
	const msgpack_object *f = get_fields(object, 7);
	const msgpack_object_array *hosts;
	const msgpack_object_array *plans;

	if (!f || !read_str(u, &f[0], &domain->name) ||
	    !read_str(u, &f[1], &domain->region) ||
	    !read_state(&f[2], &domain->state) ||
	    !read_int64(&f[4], &domain->cold_hosts_since_s) ||
	    !read_unsigned(&f[6], &domain->max_loading))
		return false;
	hosts = get_array(&f[3], SHEET_MAX_COLD_HOSTS);
	plans = get_array(&f[5], SHEET_MAX_PLANS);
	if (!hosts || !plans)
		return false;
	domain->cold_host_count = hosts->size;
	domain->cold_hosts = sheet_alloc(
		u->sheet, hosts->size * sizeof(*domain->cold_hosts));
	for (uint32_t i = 0; i < hosts->size; i++) {
		f = get_fields(&hosts->ptr[i], 2);
		if (!f || !read_str(u, &f[0], &domain->cold_hosts[i].host) ||
		    !read_str(u, &f[1], &domain->cold_hosts[i].address))
			return false;
	}
	domain->plan_count = plans->size;
	domain->plans =
		sheet_alloc(u->sheet, plans->size * sizeof(*domain->plans));
	for (uint32_t i = 0; i < plans->size; i++) {
		f = get_fields(&plans->ptr[i], 3);
		if (!f || !read_state(&f[0], &domain->plans[i].state) ||
		    !read_int64(&f[1], &domain->plans[i].from_s) ||
		    !read_int64(&f[2], &domain->plans[i].until_s))
			return false;
	}
	return true;
}

static bool read_class(unpacker_t *u, const msgpack_object *object,
		       sheet_class_t *class)
{
	const msgpack_object *f = get_fields(object, 10);

	return f && read_str(u, &f[0], &class->name) &&
	       read_unsigned(&f[1], &class->tier) &&
	       read_int64(&f[2], &class->first_token_ms) &&
	       read_int64(&f[3], &class->between_tokens_ms) &&
	       read_int64(&f[4], &class->timeout_ms) &&
	       read_unsigned(&f[5], &class->floor_percent) &&
	       read_unsigned(&f[6], &class->max_queue) &&
	       read_unsigned(&f[7], &class->expected_tokens) &&
	       read_unsigned(&f[8], &class->max_tokens) &&
	       read_bool(&f[9], &class->cross_region);
}

static bool read_pool(unpacker_t *u, const msgpack_object *object,
		      sheet_pool_t *pool)
{
	const msgpack_object *f = get_fields(object, 3);
	const msgpack_object_array *calls;
	unsigned kind;

	if (!f || !read_str(u, &f[0], &pool->name) ||
	    !read_unsigned(&f[1], &kind) || kind > SHEET_POOL_SERVICE)
		return false;
	calls = get_array(&f[2], SHEET_MAX_CALLS);
	if (!calls)
		return false;
	pool->kind = (sheet_pool_kind_t)kind;
	pool->call_count = calls->size;
	pool->calls = sheet_alloc(u->sheet, calls->size * sizeof(*pool->calls));
	for (uint32_t i = 0; i < calls->size; i++) {
		f = get_fields(&calls->ptr[i], 3);
		if (!f || !read_str(u, &f[0], &pool->calls[i].name) ||
		    !read_unsigned(&f[1], &pool->calls[i].class_index) ||
		    !read_bool(&f[2], &pool->calls[i].repeatable))
			return false;
	}
	return true;
}

static bool read_endpoint(unpacker_t *u, const msgpack_object *object,
			  sheet_endpoint_t *endpoint)
{
	const msgpack_object *f = get_fields(object, 8);

	return f && read_str(u, &f[0], &endpoint->name) &&
	       read_unsigned(&f[1], &endpoint->domain_index) &&
	       read_unsigned(&f[2], &endpoint->pool_index) &&
	       read_str(u, &f[3], &endpoint->address) &&
	       read_state(&f[4], &endpoint->state) &&
	       read_unsigned(&f[5], &endpoint->cold_limit) &&
	       read_unsigned(&f[6], &endpoint->max_in_flight) &&
	       read_bool(&f[7], &endpoint->checks_fence);
}

static bool read_base(unpacker_t *u, const msgpack_object *object)
{
	sheet_t *sheet = u->sheet;
	const msgpack_object *ttl;
	const msgpack_object_array *parts[4];
	bool valid = true;

	if (!is_map(object, 5))
		return false;
	ttl = get_entry(object, 0, "cold_share_ttl_s");
	parts[0] =
		get_array(get_entry(object, 1, "domains"), SHEET_MAX_DOMAINS);
	parts[1] =
		get_array(get_entry(object, 2, "classes"), SHEET_MAX_CLASSES);
	parts[2] = get_array(get_entry(object, 3, "pools"), SHEET_MAX_POOLS);
	parts[3] = get_array(get_entry(object, 4, "endpoints"),
			     SHEET_MAX_ENDPOINTS);
	if (!ttl || !read_int64(ttl, &sheet->cold_share_ttl_s) || !parts[0] ||
	    !parts[1] || !parts[2] || !parts[3])
		return false;
	sheet->domain_count = parts[0]->size;
	sheet->domains =
		sheet_alloc(sheet, parts[0]->size * sizeof(*sheet->domains));
	for (size_t i = 0; valid && i < sheet->domain_count; i++)
		valid = read_domain(u, &parts[0]->ptr[i], &sheet->domains[i]);
	sheet->class_count = parts[1]->size;
	sheet->classes =
		sheet_alloc(sheet, parts[1]->size * sizeof(*sheet->classes));
	for (size_t i = 0; valid && i < sheet->class_count; i++)
		valid = read_class(u, &parts[1]->ptr[i], &sheet->classes[i]);
	sheet->pool_count = parts[2]->size;
	sheet->pools =
		sheet_alloc(sheet, parts[2]->size * sizeof(*sheet->pools));
	for (size_t i = 0; valid && i < sheet->pool_count; i++)
		valid = read_pool(u, &parts[2]->ptr[i], &sheet->pools[i]);
	sheet->endpoint_count = parts[3]->size;
	sheet->endpoints =
		sheet_alloc(sheet, parts[3]->size * sizeof(*sheet->endpoints));
	for (size_t i = 0; valid && i < sheet->endpoint_count; i++)
		valid = read_endpoint(u, &parts[3]->ptr[i],
				      &sheet->endpoints[i]);
	return valid;
}

/* Room for more customers; the array moves to the arena at the end. */
static bool reserve_customers(unpacker_t *u, size_t extra)
{
	sheet_t *sheet = u->sheet;
	size_t needed = sheet->customer_count + extra;
	size_t cap = u->customer_cap ? u->customer_cap : 64;
	sheet_customer_t *grown;

	if (needed > SHEET_MAX_CUSTOMERS)
		return false;
	if (needed <= u->customer_cap)
		return true;
	while (cap < needed)
		cap *= 2;
	grown = realloc(sheet->customers, cap * sizeof(*grown));
	if (!grown)
		abort();
	sheet->customers = grown;
	u->customer_cap = cap;
	return true;
}

static bool read_bucket(unpacker_t *u, const msgpack_object *object,
			unsigned bucket)
{
	const msgpack_object_array *customers;

	if (!is_map(object, 1))
		return false;
	customers = get_array(get_entry(object, 0, "customers"),
			      SHEET_MAX_CUSTOMERS);
	if (!customers || !customers->size ||
	    !reserve_customers(u, customers->size))
		return false;
	for (uint32_t i = 0; i < customers->size; i++) {
		sheet_customer_t *c =
			&u->sheet->customers[u->sheet->customer_count];
		const msgpack_object *f = get_fields(&customers->ptr[i], 5);

		if (!f || !read_str(u, &f[0], &c->name) ||
		    !read_digest(&f[1], c->key_digest) ||
		    !read_unsigned(&f[2], &c->weight) ||
		    !read_unsigned(&f[3], &c->max_in_flight) ||
		    !read_unsigned(&f[4], &c->classes) ||
		    sheet_customer_bucket(c->name) != bucket)
			return false;
		u->sheet->customer_count++;
	}
	return true;
}

static bool read_index(const msgpack_object *object,
		       node_digest_t buckets[NODE_BUCKETS])
{
	return is_map(object, 1) &&
	       read_digests(get_entry(object, 0, "buckets"), buckets,
			    NODE_BUCKETS);
}

static bool read_root(str_t bytes, uint64_t *version, node_digest_t *base,
		      node_digest_t indexes[NODE_INDEXES])
{
	msgpack_unpacked result;
	const msgpack_object *object = &result.data;
	const msgpack_object *v;
	const msgpack_object *b;
	int64_t number;
	bool valid = false;

	if (!unpack_object(bytes, &result) || !is_map(object, 3))
		goto out;
	v = get_entry(object, 0, "version");
	b = get_entry(object, 1, "base");
	if (!v || !b || !read_int64(v, &number) || number < 1 ||
	    !read_digest(b, base->bytes) || is_zero(base))
		goto out;
	*version = (uint64_t)number;
	valid = read_digests(get_entry(object, 2, "indexes"), indexes,
			     NODE_INDEXES);
out:
	msgpack_unpacked_destroy(&result);
	return valid;
}

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
	u->total += bytes->len;
	if (bytes->len > NODE_MAX_BYTES || u->total > NODE_MAX_TOTAL_BYTES)
		return err_set(u->err, ERR_TOO_LARGE, STEP, "",
			       "node of %zu bytes, %zu in sum", bytes->len,
			       u->total);
	actual = node_digest_bytes(buf_view(bytes));
	if (memcmp(&actual, digest, sizeof(actual)) != 0)
		return err_set(u->err, ERR_INVALID, STEP, "",
			       "node does not have its digest");
	return ERR_OK;
}

static err_code_t fetch_base(unpacker_t *u, const node_digest_t *digest)
{
	buf_t bytes = BUF_INIT;
	err_code_t code = fetch_node(u, digest, &bytes);

	if (code == ERR_OK) {
		msgpack_unpacked result;

		if (!unpack_object(buf_view(&bytes), &result) ||
		    !read_base(u, &result.data))
			code = err_set(u->err, ERR_INVALID, STEP, "",
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

		if (!unpack_object(buf_view(&bytes), &result) ||
		    !read_bucket(u, &result.data, bucket))
			code = err_set(u->err, ERR_INVALID, STEP, "",
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

		if (!unpack_object(buf_view(&bytes), &result) ||
		    !read_index(&result.data, buckets))
			code = err_set(u->err, ERR_INVALID, STEP, "",
				       "malformed index node %u", index);
		msgpack_unpacked_destroy(&result);
	}
	buf_release(&bytes);
	for (unsigned b = 0; code == ERR_OK && b < NODE_BUCKETS; b++) {
		if (!is_zero(&buckets[b]))
			code = fetch_bucket(u, &buckets[b],
					    index * NODE_BUCKETS + b);
	}
	return code;
}

/* Moves the customers into the sheet's memory, also after an error. */
static void keep_customers(unpacker_t *u)
{
	sheet_t *sheet = u->sheet;
	sheet_customer_t *grown = sheet->customers;

	if (!grown)
		return;
	sheet->customers =
		sheet_alloc(sheet, sheet->customer_count * sizeof(*grown));
	memcpy(sheet->customers, grown, sheet->customer_count * sizeof(*grown));
	free(grown);
}

static err_code_t check_sheet(const unpacker_t *u, str_t root)
{
	node_digest_t expected = node_digest_bytes(root);
	node_digest_t actual;
	const char *fault = sheet_find_fault(u->sheet);

	if (!fault && !sheet_build_index(u->sheet))
		fault = "customer used twice";
	if (fault)
		return err_set(u->err, ERR_INVALID, STEP, "", "invalid %s",
			       fault);
	/* One sheet must have one digest, or equal sheets would conflict. */
	if (node_digest_of(u->sheet, &actual) != ERR_OK ||
	    memcmp(&actual, &expected, sizeof(actual)) != 0)
		return err_set(u->err, ERR_INVALID, STEP, "",
			       "nodes are not packed in the canonical form");
	memcpy(u->sheet->digest, actual.bytes, SHEET_DIGEST_BYTES);
	return ERR_OK;
}

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
	if (unpack_object(buf_view(&entry->bytes), &result) &&
	    read_index(&result.data, buckets)) {
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
	if (is_zero(digest) || *find_entry(cache, digest))
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
	if (unpack_object(buf_view(&entry->bytes), &result) &&
	    read_index(&result.data, buckets))
		for (size_t b = 0; b < NODE_BUCKETS; b++)
			note_missing(cache, &buckets[b], missing);
	msgpack_unpacked_destroy(&result);
}

static void free_entry(struct cache_entry *entry)
{
	buf_release(&entry->bytes);
	free(entry);
}

/* Interface */

node_digest_t node_digest_bytes(str_t bytes)
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

err_code_t node_digest_of(const sheet_t *sheet, node_digest_t *root)
{
	return node_pack(sheet, NULL, NULL, root, NULL);
}

sheet_t *node_unpack(str_t root, node_source_t source, void *user, err_t *err)
{
	unpacker_t u = {.source = source, .user = user, .err = err};
	node_digest_t indexes[NODE_INDEXES];
	node_digest_t base;
	err_code_t code;

	u.sheet = sheet_create();
	if (!u.sheet) {
		err_set(err, ERR_BAD_STATE, STEP, "", "no memory");
		return NULL;
	}
	if (!read_root(root, &u.sheet->version, &base, indexes)) {
		err_set(err, ERR_INVALID, STEP, "", "malformed root node");
		sheet_free(u.sheet);
		return NULL;
	}
	code = fetch_base(&u, &base);
	for (unsigned i = 0; code == ERR_OK && i < NODE_INDEXES; i++) {
		if (!is_zero(&indexes[i]))
			code = fetch_index(&u, &indexes[i], i);
	}
	keep_customers(&u);
	if (code == ERR_OK)
		code = check_sheet(&u, root);
	if (code == ERR_OK)
		return u.sheet;
	sheet_free(u.sheet);
	return NULL;
}

uint64_t node_root_version(str_t root)
{
	node_digest_t indexes[NODE_INDEXES];
	node_digest_t base;
	uint64_t version;

	return read_root(root, &version, &base, indexes) ? version : 0;
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

	if (!read_root(root, &version, &base, indexes))
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
	if (read_root(root, &version, &base, indexes)) {
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
