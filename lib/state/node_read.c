#include "state/node_internal.h"

#include <stdlib.h>

bool node_is_zero(const node_digest_t *digest)
{
	static const node_digest_t zero_digest;

	return !memcmp(digest, &zero_digest, sizeof(zero_digest));
}

/* Value of entry `i` of a map, or NULL when its key is not `key`. */
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

/* NULL when the object is missing, no array or longer than `max`. */
static const msgpack_object_array *get_array(const msgpack_object *object,
					     size_t max)
{
	if (!object || object->type != MSGPACK_OBJECT_ARRAY ||
	    object->via.array.size > max)
		return NULL;
	return &object->via.array;
}

/* Elements of an array, or NULL when it does not have exactly `count`. */
static const msgpack_object *get_fields(const msgpack_object *object,
					size_t count)
{
	const msgpack_object_array *array = get_array(object, count);

	return array && array->size == count ? array->ptr : NULL;
}

static bool read_str(node_reader_t *r, const msgpack_object *object,
		     str_t *value)
{
	if (object->type != MSGPACK_OBJECT_STR ||
	    object->via.str.size >= SHEET_NAME_BYTES)
		return false;
	*value = sheet_copy_str(
		r->sheet, (str_t){object->via.str.ptr, object->via.str.size});
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

static bool read_domain(node_reader_t *r, const msgpack_object *object,
			sheet_domain_t *domain)
{
	const msgpack_object *f = get_fields(object, 6);
	const msgpack_object_array *hosts;
	const msgpack_object_array *plans;

	if (!f || !read_str(r, &f[0], &domain->name) ||
	    !read_str(r, &f[1], &domain->region) ||
	    !read_state(&f[2], &domain->state) ||
	    !read_int64(&f[4], &domain->cold_hosts_since_s))
		return false;
	hosts = get_array(&f[3], SHEET_MAX_COLD_HOSTS);
	plans = get_array(&f[5], SHEET_MAX_PLANS);
	if (!hosts || !plans)
		return false;
	domain->cold_host_count = hosts->size;
	domain->cold_hosts = sheet_alloc(
		r->sheet, hosts->size * sizeof(*domain->cold_hosts));
	for (uint32_t i = 0; i < hosts->size; i++) {
		f = get_fields(&hosts->ptr[i], 2);
		if (!f || !read_str(r, &f[0], &domain->cold_hosts[i].host) ||
		    !read_str(r, &f[1], &domain->cold_hosts[i].address))
			return false;
	}
	domain->plan_count = plans->size;
	domain->plans =
		sheet_alloc(r->sheet, plans->size * sizeof(*domain->plans));
	for (uint32_t i = 0; i < plans->size; i++) {
		f = get_fields(&plans->ptr[i], 3);
		if (!f || !read_state(&f[0], &domain->plans[i].state) ||
		    !read_int64(&f[1], &domain->plans[i].from_s) ||
		    !read_int64(&f[2], &domain->plans[i].until_s))
			return false;
	}
	return true;
}

static bool read_class(node_reader_t *r, const msgpack_object *object,
		       sheet_class_t *class)
{
	const msgpack_object *f = get_fields(object, 9);

	return f && read_str(r, &f[0], &class->name) &&
	       read_unsigned(&f[1], &class->tier) &&
	       read_int64(&f[2], &class->first_token_ms) &&
	       read_int64(&f[3], &class->between_tokens_ms) &&
	       read_int64(&f[4], &class->timeout_ms) &&
	       read_unsigned(&f[5], &class->floor_percent) &&
	       read_unsigned(&f[6], &class->max_queue) &&
	       read_unsigned(&f[7], &class->max_tokens) &&
	       read_bool(&f[8], &class->cross_region);
}

static bool read_pool(node_reader_t *r, const msgpack_object *object,
		      sheet_pool_t *pool)
{
	const msgpack_object *f = get_fields(object, 3);
	const msgpack_object_array *calls;
	unsigned kind;

	if (!f || !read_str(r, &f[0], &pool->name) ||
	    !read_unsigned(&f[1], &kind) || kind > SHEET_POOL_SERVICE)
		return false;
	calls = get_array(&f[2], SHEET_MAX_CALLS);
	if (!calls)
		return false;
	pool->kind = (sheet_pool_kind_t)kind;
	pool->call_count = calls->size;
	pool->calls = sheet_alloc(r->sheet, calls->size * sizeof(*pool->calls));
	for (uint32_t i = 0; i < calls->size; i++) {
		f = get_fields(&calls->ptr[i], 3);
		if (!f || !read_str(r, &f[0], &pool->calls[i].name) ||
		    !read_unsigned(&f[1], &pool->calls[i].class_index) ||
		    !read_bool(&f[2], &pool->calls[i].repeatable))
			return false;
	}
	return true;
}

static bool read_endpoint(node_reader_t *r, const msgpack_object *object,
			  sheet_endpoint_t *endpoint)
{
	const msgpack_object *f = get_fields(object, 7);

	return f && read_str(r, &f[0], &endpoint->name) &&
	       read_unsigned(&f[1], &endpoint->domain_index) &&
	       read_unsigned(&f[2], &endpoint->pool_index) &&
	       read_str(r, &f[3], &endpoint->address) &&
	       read_state(&f[4], &endpoint->state) &&
	       read_unsigned(&f[5], &endpoint->cold_limit) &&
	       read_unsigned(&f[6], &endpoint->max_in_flight);
}

bool node_read_base(node_reader_t *r, const msgpack_object *object)
{
	sheet_t *sheet = r->sheet;
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
		valid = read_domain(r, &parts[0]->ptr[i], &sheet->domains[i]);
	sheet->class_count = parts[1]->size;
	sheet->classes =
		sheet_alloc(sheet, parts[1]->size * sizeof(*sheet->classes));
	for (size_t i = 0; valid && i < sheet->class_count; i++)
		valid = read_class(r, &parts[1]->ptr[i], &sheet->classes[i]);
	sheet->pool_count = parts[2]->size;
	sheet->pools =
		sheet_alloc(sheet, parts[2]->size * sizeof(*sheet->pools));
	for (size_t i = 0; valid && i < sheet->pool_count; i++)
		valid = read_pool(r, &parts[2]->ptr[i], &sheet->pools[i]);
	sheet->endpoint_count = parts[3]->size;
	sheet->endpoints =
		sheet_alloc(sheet, parts[3]->size * sizeof(*sheet->endpoints));
	for (size_t i = 0; valid && i < sheet->endpoint_count; i++)
		valid = read_endpoint(r, &parts[3]->ptr[i],
				      &sheet->endpoints[i]);
	return valid;
}

/* Grows the heap array of customers; false above SHEET_MAX_CUSTOMERS. */
static bool reserve_customers(node_reader_t *r, size_t extra)
{
	sheet_t *sheet = r->sheet;
	size_t needed = sheet->customer_count + extra;
	size_t cap = r->customer_cap ? r->customer_cap : 64;
	sheet_customer_t *grown;

	if (needed > SHEET_MAX_CUSTOMERS)
		return false;
	if (needed <= r->customer_cap)
		return true;
	while (cap < needed)
		cap *= 2;
	grown = realloc(sheet->customers, cap * sizeof(*grown));
	if (!grown)
		abort();
	sheet->customers = grown;
	r->customer_cap = cap;
	return true;
}

bool node_read_bucket(node_reader_t *r, const msgpack_object *object,
		      unsigned bucket)
{
	const msgpack_object_array *customers;

	if (!is_map(object, 1))
		return false;
	customers = get_array(get_entry(object, 0, "customers"),
			      SHEET_MAX_CUSTOMERS);
	if (!customers || !customers->size ||
	    !reserve_customers(r, customers->size))
		return false;
	for (uint32_t i = 0; i < customers->size; i++) {
		sheet_customer_t *c =
			&r->sheet->customers[r->sheet->customer_count];
		const msgpack_object *f = get_fields(&customers->ptr[i], 5);

		if (!f || !read_str(r, &f[0], &c->name) ||
		    !read_digest(&f[1], c->key_digest) ||
		    !read_unsigned(&f[2], &c->weight) ||
		    !read_unsigned(&f[3], &c->max_in_flight) ||
		    !read_unsigned(&f[4], &c->classes) ||
		    sheet_customer_bucket(c->name) != bucket)
			return false;
		r->sheet->customer_count++;
	}
	return true;
}

bool node_read_index(const msgpack_object *object,
		     node_digest_t buckets[NODE_BUCKETS])
{
	return is_map(object, 1) &&
	       read_digests(get_entry(object, 0, "buckets"), buckets,
			    NODE_BUCKETS);
}

bool node_read_root(str_t bytes, uint64_t *version, node_digest_t *base,
		    node_digest_t indexes[NODE_INDEXES])
{
	msgpack_unpacked result;
	const msgpack_object *object = &result.data;
	const msgpack_object *v;
	const msgpack_object *b;
	int64_t number;
	bool valid = false;

	if (!msgcodec_unpack(bytes, &result) || !is_map(object, 3))
		goto out;
	v = get_entry(object, 0, "version");
	b = get_entry(object, 1, "base");
	if (!v || !b || !read_int64(v, &number) || number < 1 ||
	    !read_digest(b, base->bytes) || node_is_zero(base))
		goto out;
	*version = (uint64_t)number;
	valid = read_digests(get_entry(object, 2, "indexes"), indexes,
			     NODE_INDEXES);
out:
	msgpack_unpacked_destroy(&result);
	return valid;
}
