#include "state/catalog.h"

#include <assert.h>
#include <stdlib.h>
#include <strings.h>
#include <xxhash.h>

/* A catalog allocates its strings and arrays from blocks, which are freed
 * together. */
#define CATALOG_BLOCK_BYTES 4000
#define CATALOG_ALIGN 8

typedef struct block {
	struct block *next;
	size_t used, size;
	char bytes[];
} block_t;

typedef struct key_entry {
	str_t key;
	size_t customer;
} key_entry_t;

/* Hash table with open addressing. */
typedef struct index {
	uint32_t *slots; /* array position + 1; 0: empty */
	size_t size;	 /* a power of two */
} index_t;

#define DYNAMIC_ARRAY(type, name) \
	type *name;               \
	size_t name##_count, name##_cap

struct catalog {
	unsigned refs;
	int64_t version;
	bool requires_keys;
	bool sealed;
	unsigned priority_levels;
	catalog_limits_t limits;
	block_t *blocks;
	DYNAMIC_ARRAY(catalog_route_t, routes);
	DYNAMIC_ARRAY(catalog_service_t, services);
	DYNAMIC_ARRAY(catalog_customer_t, customers);
	DYNAMIC_ARRAY(key_entry_t, keys);
	index_t route_index;
	index_t key_index;
};

/* Makes room for one more element of a growing array. */
static void *reserve_one(void *array, size_t count, size_t *cap, size_t size)
{
	void *grown;

	if (count < *cap)
		return array;
	*cap = *cap ? *cap * 2 : 8;
	grown = realloc(array, *cap * size);
	if (!grown)
		abort();
	return grown;
}

#define RESERVE_ONE(catalog, name)                         \
	((catalog)->name = reserve_one(                    \
		 (catalog)->name, (catalog)->name##_count, \
		 &(catalog)->name##_cap, sizeof(*(catalog)->name)))

static void *allocate(catalog_t *catalog, size_t size)
{
	size_t aligned =
		(size + CATALOG_ALIGN - 1) / CATALOG_ALIGN * CATALOG_ALIGN;
	block_t *block = catalog->blocks;

	if (!block || block->size - block->used < aligned) {
		size_t bytes = aligned > CATALOG_BLOCK_BYTES ?
				       aligned :
				       CATALOG_BLOCK_BYTES;

		block = malloc(sizeof(*block) + bytes);
		if (!block)
			abort();
		*block = (block_t){.next = catalog->blocks, .size = bytes};
		catalog->blocks = block;
	}
	block->used += aligned;
	return block->bytes + block->used - aligned;
}

static str_t copy_str(catalog_t *catalog, str_t s)
{
	char *bytes = allocate(catalog, s.len + 1);

	if (s.len)
		memcpy(bytes, s.ptr, s.len);
	bytes[s.len] = '\0';
	return (str_t){bytes, s.len};
}

static catalog_regions_t copy_regions(catalog_t *catalog,
				      catalog_regions_t regions)
{
	str_t *names = allocate(catalog, regions.count * sizeof(*names));

	for (size_t i = 0; i < regions.count; i++)
		names[i] = copy_str(catalog, regions.names[i]);
	return (catalog_regions_t){names, regions.count};
}

catalog_t *catalog_create(int64_t version)
{
	catalog_t *catalog = calloc(1, sizeof(*catalog));

	if (!catalog)
		abort();
	catalog->refs = 1;
	catalog->version = version;
	return catalog;
}

catalog_t *catalog_ref(catalog_t *catalog)
{
	catalog->refs++;
	return catalog;
}

void catalog_unref(catalog_t *catalog)
{
	if (!catalog || --catalog->refs)
		return;
	while (catalog->blocks) {
		block_t *block = catalog->blocks;

		catalog->blocks = block->next;
		free(block);
	}
	free(catalog->routes);
	free(catalog->services);
	free(catalog->customers);
	free(catalog->keys);
	free(catalog->route_index.slots);
	free(catalog->key_index.slots);
	free(catalog);
}

void catalog_set_limits(catalog_t *catalog, const catalog_limits_t *limits)
{
	catalog->limits = *limits;
}

void catalog_add_route(catalog_t *catalog, const catalog_route_t *route)
{
	catalog_route_t *added;
	catalog_split_t *splits;

	assert(!catalog->sealed);
	RESERVE_ONE(catalog, routes);
	added = &catalog->routes[catalog->routes_count++];
	*added = *route;
	added->name = copy_str(catalog, route->name);
	added->host = copy_str(catalog, route->host);
	added->prefix = copy_str(catalog, route->prefix);
	added->regions = copy_regions(catalog, route->regions);
	splits = allocate(catalog, route->split_count * sizeof(*splits));
	for (size_t i = 0; i < route->split_count; i++) {
		splits[i] = route->splits[i];
		splits[i].service = copy_str(catalog, route->splits[i].service);
	}
	added->splits = splits;
	if (route->priority >= catalog->priority_levels)
		catalog->priority_levels = route->priority + 1;
}

void catalog_add_service(catalog_t *catalog, const catalog_service_t *service)
{
	catalog_service_t *added;

	assert(!catalog->sealed);
	RESERVE_ONE(catalog, services);
	added = &catalog->services[catalog->services_count++];
	*added = *service;
	added->name = copy_str(catalog, service->name);
	added->health_path = copy_str(catalog, service->health_path);
}

void catalog_add_customer(catalog_t *catalog,
			  const catalog_customer_t *customer, const str_t *keys,
			  size_t key_count)
{
	catalog_customer_t *added;

	assert(!catalog->sealed);
	RESERVE_ONE(catalog, customers);
	added = &catalog->customers[catalog->customers_count++];
	*added = *customer;
	added->name = copy_str(catalog, customer->name);
	added->regions = copy_regions(catalog, customer->regions);
	for (size_t i = 0; i < key_count; i++) {
		RESERVE_ONE(catalog, keys);
		catalog->keys[catalog->keys_count++] =
			(key_entry_t){copy_str(catalog, keys[i]),
				      catalog->customers_count - 1};
	}
	catalog->requires_keys = true;
}

void catalog_require_keys(catalog_t *catalog)
{
	catalog->requires_keys = true;
}

static uint64_t hash_str(str_t s, uint64_t seed)
{
	return XXH64(s.ptr, s.len, seed);
}

static uint64_t hash_route(str_t host, str_t prefix)
{
	char lower[256];
	size_t len = host.len < sizeof(lower) ? host.len : sizeof(lower);

	/* Host names are case-insensitive. */
	for (size_t i = 0; i < len; i++) {
		char c = host.ptr[i];

		lower[i] = c >= 'A' && c <= 'Z' ? (char)(c | 0x20) : c;
	}
	return hash_str(prefix, hash_str((str_t){lower, len}, 0));
}

static void index_create(index_t *index, size_t count)
{
	index->size = 8;
	while (index->size < count * 2)
		index->size *= 2;
	index->slots = calloc(index->size, sizeof(*index->slots));
	if (!index->slots)
		abort();
}

static void index_add(index_t *index, uint64_t hash, size_t position)
{
	size_t at = hash & (index->size - 1);

	while (index->slots[at])
		at = (at + 1) & (index->size - 1);
	index->slots[at] = (uint32_t)position + 1;
}

void catalog_seal(catalog_t *catalog)
{
	index_create(&catalog->route_index, catalog->routes_count);
	for (size_t i = 0; i < catalog->routes_count; i++)
		index_add(&catalog->route_index,
			  hash_route(catalog->routes[i].host,
				     catalog->routes[i].prefix),
			  i);
	index_create(&catalog->key_index, catalog->keys_count);
	for (size_t i = 0; i < catalog->keys_count; i++)
		index_add(&catalog->key_index,
			  hash_str(catalog->keys[i].key, 0), i);
	catalog->sealed = true;
}

int64_t catalog_version(const catalog_t *catalog)
{
	return catalog->version;
}

size_t catalog_route_count(const catalog_t *catalog)
{
	return catalog->routes_count;
}

size_t catalog_customer_count(const catalog_t *catalog)
{
	return catalog->customers_count;
}

size_t catalog_key_count(const catalog_t *catalog)
{
	return catalog->keys_count;
}

size_t catalog_service_count(const catalog_t *catalog)
{
	return catalog->services_count;
}

const catalog_route_t *catalog_get_route(const catalog_t *catalog, size_t index)
{
	return &catalog->routes[index];
}

const catalog_service_t *catalog_get_service(const catalog_t *catalog,
					     size_t index)
{
	return &catalog->services[index];
}

const catalog_customer_t *catalog_get_customer(const catalog_t *catalog,
					       size_t index)
{
	return &catalog->customers[index];
}

str_t catalog_get_key(const catalog_t *catalog, size_t index,
		      const catalog_customer_t **customer)
{
	*customer = &catalog->customers[catalog->keys[index].customer];
	return catalog->keys[index].key;
}

unsigned catalog_priority_levels(const catalog_t *catalog)
{
	return catalog->priority_levels;
}

const catalog_limits_t *catalog_get_limits(const catalog_t *catalog)
{
	return &catalog->limits;
}

bool catalog_requires_keys(const catalog_t *catalog)
{
	return catalog->requires_keys;
}

static const catalog_route_t *find_route_by_prefix(const catalog_t *catalog,
						   str_t host, str_t prefix)
{
	const index_t *index = &catalog->route_index;
	size_t at = hash_route(host, prefix) & (index->size - 1);

	for (; index->slots[at]; at = (at + 1) & (index->size - 1)) {
		const catalog_route_t *route =
			&catalog->routes[index->slots[at] - 1];

		if (str_equals(route->prefix, prefix) &&
		    route->host.len == host.len &&
		    !strncasecmp(route->host.ptr, host.ptr, host.len))
			return route;
	}
	return NULL;
}

const catalog_route_t *catalog_find_route(const catalog_t *catalog, str_t host,
					  str_t path)
{
	for (size_t len = path.len; len; len--) {
		const catalog_route_t *route;

		if (path.ptr[len - 1] != '/')
			continue;
		route = find_route_by_prefix(catalog, host,
					     (str_t){path.ptr, len});
		if (route)
			return route;
	}
	return NULL;
}

const catalog_customer_t *catalog_find_customer(const catalog_t *catalog,
						str_t key)
{
	const index_t *index = &catalog->key_index;
	size_t at = hash_str(key, 0) & (index->size - 1);

	for (; index->slots[at]; at = (at + 1) & (index->size - 1)) {
		const key_entry_t *entry = &catalog->keys[index->slots[at] - 1];

		if (str_equals(entry->key, key))
			return &catalog->customers[entry->customer];
	}
	return NULL;
}

const catalog_service_t *catalog_find_service(const catalog_t *catalog,
					      str_t name)
{
	for (size_t i = 0; i < catalog->services_count; i++)
		if (str_equals(catalog->services[i].name, name))
			return &catalog->services[i];
	return NULL;
}

str_t catalog_pick_service(const catalog_route_t *route, uint64_t hash)
{
	uint64_t total = 0;

	for (size_t i = 0; i < route->split_count; i++)
		total += route->splits[i].weight;
	if (!total)
		return route->split_count ? route->splits[0].service :
					    (str_t){NULL, 0};
	hash %= total;
	for (size_t i = 0; i < route->split_count; i++) {
		if (hash < route->splits[i].weight)
			return route->splits[i].service;
		hash -= route->splits[i].weight;
	}
	return (str_t){NULL, 0};
}

bool catalog_allows_region(const catalog_regions_t *regions, str_t region)
{
	if (!regions->count)
		return true;
	for (size_t i = 0; i < regions->count; i++)
		if (str_equals(regions->names[i], region))
			return true;
	return false;
}
