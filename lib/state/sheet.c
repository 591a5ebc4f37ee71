#include "state/sheet.h"

#include <arpa/inet.h>
#include <assert.h>
#include <stdlib.h>
#include <xxhash.h>

#define ARENA_CHUNK_BYTES 65536
#define ARENA_ALIGN 16
#define MAX_PORT 65535

struct sheet_arena {
	struct sheet_arena *next;
	size_t used;
	size_t cap;
	_Alignas(ARENA_ALIGN) char bytes[];
};

/* Hash table with open addressing; a slot holds a customer's index plus one,
 * 0 is a free slot. */
struct sheet_index {
	size_t mask;
	uint32_t *slots;
};

/* Caches the bucket, so that a comparison does not hash the name. */
typedef struct sort_entry {
	unsigned bucket;
	sheet_customer_t customer;
} sort_entry_t;

static int compare_entries(const void *a, const void *b)
{
	const sort_entry_t *x = a;
	const sort_entry_t *y = b;

	if (x->bucket != y->bucket)
		return x->bucket < y->bucket ? -1 : 1;
	return str_compare(x->customer.name, y->customer.name);
}

/* Returns false when two names are equal. */
static bool sort_customers(sheet_t *sheet)
{
	sort_entry_t *entries;
	bool unique = true;

	if (!sheet->customer_count)
		return true;
	entries = calloc(sheet->customer_count, sizeof(*entries));
	if (!entries)
		abort();
	for (size_t i = 0; i < sheet->customer_count; i++) {
		entries[i].customer = sheet->customers[i];
		entries[i].bucket =
			sheet_customer_bucket(sheet->customers[i].name);
	}
	qsort(entries, sheet->customer_count, sizeof(*entries),
	      compare_entries);
	for (size_t i = 0; i < sheet->customer_count; i++) {
		sheet->customers[i] = entries[i].customer;
		if (i && !compare_entries(&entries[i - 1], &entries[i]))
			unique = false;
	}
	free(entries);
	return unique;
}

static size_t hash_digest(const uint8_t digest[SHEET_DIGEST_BYTES])
{
	return XXH64(digest, SHEET_DIGEST_BYTES, 0);
}

static const char *find_domain_fault(const sheet_domain_t *domain)
{
	if (!sheet_is_name(domain->name) || !sheet_is_name(domain->region))
		return "domain name or region";
	if (domain->state > SHEET_STATE_OUT)
		return "domain state";
	if (domain->cold_host_count > SHEET_MAX_COLD_HOSTS ||
	    domain->plan_count > SHEET_MAX_PLANS ||
	    domain->cold_hosts_since_s < 0)
		return "domain cold hosts or plans";
	for (size_t i = 0; i < domain->cold_host_count; i++) {
		const sheet_cold_host_t *host = &domain->cold_hosts[i];

		if (!sheet_is_name(host->host) ||
		    !sheet_is_address(host->address))
			return "cold host";
		for (size_t j = 0; j < i; j++) {
			if (str_equals(host->host,
				       domain->cold_hosts[j].host) ||
			    str_equals(host->address,
				       domain->cold_hosts[j].address))
				return "cold host listed twice";
		}
	}
	for (size_t i = 0; i < domain->plan_count; i++) {
		const sheet_plan_t *plan = &domain->plans[i];

		if (plan->state < SHEET_STATE_LEAVING ||
		    plan->state > SHEET_STATE_OUT ||
		    plan->until_s <= plan->from_s)
			return "plan";
	}
	return NULL;
}

static bool is_within(int64_t value, int64_t min, int64_t max)
{
	return value >= min && value <= max;
}

static const char *find_class_fault(const sheet_class_t *class)
{
	if (!sheet_is_name(class->name))
		return "class name";
	if (class->tier >= SHEET_TIERS)
		return "class tier";
	if (!is_within(class->first_token_ms, 1, SHEET_MAX_FIRST_TOKEN_MS) ||
	    !is_within(class->between_tokens_ms, 1,
		       SHEET_MAX_BETWEEN_TOKENS_MS) ||
	    !is_within(class->timeout_ms, class->first_token_ms,
		       SHEET_MAX_TIMEOUT_MS))
		return "class times";
	if (!is_within(class->floor_percent, 1, SHEET_MAX_FLOOR_PERCENT) ||
	    !is_within(class->max_queue, 1, SHEET_MAX_QUEUE) ||
	    !is_within(class->max_tokens, 1, SHEET_MAX_TOKENS))
		return "class limits";
	return NULL;
}

static const char *find_pool_fault(const sheet_t *sheet,
				   const sheet_pool_t *pool)
{
	if (!sheet_is_name(pool->name) || pool->kind > SHEET_POOL_SERVICE)
		return "pool name or kind";
	if (pool->call_count > SHEET_MAX_CALLS ||
	    (pool->kind == SHEET_POOL_MODEL) != (pool->call_count == 0))
		return "calls of a pool";
	for (size_t i = 0; i < pool->call_count; i++) {
		const sheet_call_t *call = &pool->calls[i];

		if (!sheet_is_name(call->name) ||
		    call->class_index >= sheet->class_count ||
		    sheet_find_call(pool, call->name) != call)
			return "call";
	}
	return NULL;
}

static const char *find_endpoint_fault(const sheet_t *sheet,
				       const sheet_endpoint_t *endpoint)
{
	if (!sheet_is_name(endpoint->name) ||
	    !sheet_is_address(endpoint->address))
		return "endpoint name or address";
	if (endpoint->domain_index >= sheet->domain_count ||
	    endpoint->pool_index >= sheet->pool_count)
		return "endpoint reference";
	if (endpoint->state > SHEET_STATE_OUT)
		return "endpoint state";
	if (!is_within(endpoint->max_in_flight, 1, SHEET_MAX_IN_FLIGHT) ||
	    !is_within(endpoint->cold_limit, 1, endpoint->max_in_flight))
		return "endpoint limits";
	return NULL;
}

static const char *find_customer_fault(const sheet_t *sheet,
				       const sheet_customer_t *customer)
{
	if (!sheet_is_name(customer->name))
		return "customer name";
	if (!is_within(customer->weight, 1, SHEET_MAX_WEIGHT) ||
	    !is_within(customer->max_in_flight, 1, SHEET_MAX_IN_FLIGHT))
		return "customer limits";
	if (!customer->classes ||
	    (uint64_t)customer->classes >> sheet->class_count)
		return "customer classes";
	return NULL;
}

static int compare_strs(const void *a, const void *b)
{
	return str_compare(*(const str_t *)a, *(const str_t *)b);
}

static bool has_duplicates(str_t *values, size_t count)
{
	qsort(values, count, sizeof(*values), compare_strs);
	for (size_t i = 1; i < count; i++) {
		if (str_equals(values[i - 1], values[i]))
			return true;
	}
	return false;
}

static bool has_duplicate_endpoints(const sheet_t *sheet)
{
	size_t count = sheet->endpoint_count;
	str_t *values;
	bool found;

	if (count < 2)
		return false;
	values = calloc(count, sizeof(*values));
	if (!values)
		abort();
	for (size_t i = 0; i < count; i++)
		values[i] = sheet->endpoints[i].name;
	found = has_duplicates(values, count);
	for (size_t i = 0; i < count; i++)
		values[i] = sheet->endpoints[i].address;
	found = found || has_duplicates(values, count);
	free(values);
	return found;
}

static const char *find_global_fault(const sheet_t *sheet)
{
	if (!sheet->version || sheet->version > INT64_MAX)
		return "version";
	if (!is_within(sheet->cold_share_ttl_s, SHEET_MIN_COLD_SHARE_TTL_S,
		       SHEET_MAX_COLD_SHARE_TTL_S))
		return "cold_share_ttl_s";
	if (!is_within((int64_t)sheet->domain_count, 1, SHEET_MAX_DOMAINS) ||
	    !is_within((int64_t)sheet->class_count, 1, SHEET_MAX_CLASSES) ||
	    sheet->pool_count > SHEET_MAX_POOLS ||
	    sheet->endpoint_count > SHEET_MAX_ENDPOINTS ||
	    sheet->customer_count > SHEET_MAX_CUSTOMERS)
		return "number of entries";
	return NULL;
}

sheet_t *sheet_create(void)
{
	return calloc(1, sizeof(sheet_t));
}

void sheet_free(sheet_t *sheet)
{
	struct sheet_arena *chunk;

	if (!sheet)
		return;
	while ((chunk = sheet->arena)) {
		sheet->arena = chunk->next;
		free(chunk);
	}
	free(sheet);
}

void *sheet_alloc(sheet_t *sheet, size_t bytes)
{
	struct sheet_arena *chunk = sheet->arena;
	size_t rounded = (bytes + ARENA_ALIGN - 1) & ~(size_t)(ARENA_ALIGN - 1);
	void *memory;

	if (!chunk || chunk->cap - chunk->used < rounded) {
		size_t cap = rounded > ARENA_CHUNK_BYTES ? rounded :
							   ARENA_CHUNK_BYTES;

		chunk = calloc(1, sizeof(*chunk) + cap);
		if (!chunk)
			abort();
		chunk->cap = cap;
		chunk->next = sheet->arena;
		sheet->arena = chunk;
	}
	memory = chunk->bytes + chunk->used;
	chunk->used += rounded;
	return memory;
}

str_t sheet_copy_str(sheet_t *sheet, str_t s)
{
	char *copy = sheet_alloc(sheet, s.len + 1);

	if (s.len)
		memcpy(copy, s.ptr, s.len);
	return (str_t){copy, s.len};
}

bool sheet_build_index(sheet_t *sheet)
{
	struct sheet_index *index;
	size_t slot_count = 16;

	if (!sort_customers(sheet))
		return false;
	while (slot_count < 2 * sheet->customer_count)
		slot_count *= 2;
	index = sheet_alloc(sheet, sizeof(*index));
	index->mask = slot_count - 1;
	index->slots = sheet_alloc(sheet, slot_count * sizeof(*index->slots));
	sheet->index = index;
	for (size_t i = 0; i < sheet->customer_count; i++) {
		const uint8_t *digest = sheet->customers[i].key_digest;
		size_t slot = hash_digest(digest) & index->mask;

		if (sheet_find_customer(sheet, digest))
			return false;
		while (index->slots[slot])
			slot = (slot + 1) & index->mask;
		index->slots[slot] = (uint32_t)i + 1;
	}
	return true;
}

const char *sheet_find_fault(const sheet_t *sheet)
{
	const char *fault = find_global_fault(sheet);
	unsigned floor_sum = 0;

	for (size_t i = 0; !fault && i < sheet->domain_count; i++) {
		fault = find_domain_fault(&sheet->domains[i]);
		if (sheet_find_domain(sheet, sheet->domains[i].name) != (int)i)
			fault = "domain name used twice";
	}
	for (size_t i = 0; !fault && i < sheet->class_count; i++) {
		fault = find_class_fault(&sheet->classes[i]);
		floor_sum += sheet->classes[i].floor_percent;
		if (sheet_find_class(sheet, sheet->classes[i].name) != (int)i)
			fault = "class name used twice";
	}
	if (!fault && floor_sum > SHEET_MAX_FLOOR_PERCENT)
		fault = "sum of floors";
	for (size_t i = 0; !fault && i < sheet->pool_count; i++) {
		const sheet_pool_t *pool = &sheet->pools[i];

		fault = find_pool_fault(sheet, pool);
		if (sheet_find_pool(sheet, pool->kind, pool->name) != (int)i)
			fault = "pool name used twice";
	}
	for (size_t i = 0; !fault && i < sheet->endpoint_count; i++)
		fault = find_endpoint_fault(sheet, &sheet->endpoints[i]);
	if (!fault && has_duplicate_endpoints(sheet))
		fault = "endpoint name or address used twice";
	for (size_t i = 0; !fault && i < sheet->customer_count; i++)
		fault = find_customer_fault(sheet, &sheet->customers[i]);
	return fault;
}

bool sheet_is_name(str_t s)
{
	if (!s.len || s.len >= SHEET_NAME_BYTES)
		return false;
	for (size_t i = 0; i < s.len; i++) {
		char c = s.ptr[i];
		bool is_alnum = (c >= 'a' && c <= 'z') ||
				(c >= 'A' && c <= 'Z') ||
				(c >= '0' && c <= '9');

		if (!is_alnum && (!i || (c != '-' && c != '_' && c != '.')))
			return false;
	}
	return true;
}

bool sheet_is_address(str_t s)
{
	char text[INET6_ADDRSTRLEN + 16];
	unsigned char ip[sizeof(struct in6_addr)];
	unsigned port = 0;
	char *colon;
	size_t len;

	if (!s.len || memchr(s.ptr, '\0', s.len) ||
	    !str_copy(text, sizeof(text), s))
		return false;
	colon = strrchr(text, ':');
	if (!colon || colon[1] < '1' || colon[1] > '9')
		return false;
	for (const char *p = colon + 1; *p; p++) {
		if (*p < '0' || *p > '9')
			return false;
		port = port * 10 + (unsigned)(*p - '0');
		if (port > MAX_PORT)
			return false;
	}
	*colon = '\0';
	len = strlen(text);
	if (text[0] != '[')
		return inet_pton(AF_INET, text, ip) == 1;
	if (text[len - 1] != ']')
		return false;
	text[len - 1] = '\0';
	return inet_pton(AF_INET6, text + 1, ip) == 1;
}

unsigned sheet_customer_bucket(str_t name)
{
	return XXH64(name.ptr, name.len, 0) % SHEET_CUSTOMER_BUCKETS;
}

int sheet_find_domain(const sheet_t *sheet, str_t name)
{
	for (size_t i = 0; i < sheet->domain_count; i++) {
		if (str_equals(sheet->domains[i].name, name))
			return (int)i;
	}
	return -1;
}

int sheet_find_class(const sheet_t *sheet, str_t name)
{
	for (size_t i = 0; i < sheet->class_count; i++) {
		if (str_equals(sheet->classes[i].name, name))
			return (int)i;
	}
	return -1;
}

int sheet_find_pool(const sheet_t *sheet, sheet_pool_kind_t kind, str_t name)
{
	for (size_t i = 0; i < sheet->pool_count; i++) {
		if (sheet->pools[i].kind == kind &&
		    str_equals(sheet->pools[i].name, name))
			return (int)i;
	}
	return -1;
}

int sheet_find_endpoint(const sheet_t *sheet, str_t name)
{
	for (size_t i = 0; i < sheet->endpoint_count; i++) {
		if (str_equals(sheet->endpoints[i].name, name))
			return (int)i;
	}
	return -1;
}

const sheet_customer_t *sheet_find_customer(
	const sheet_t *sheet, const uint8_t digest[SHEET_DIGEST_BYTES])
{
	const struct sheet_index *index = sheet->index;
	size_t slot;

	if (!index)
		return NULL;
	slot = hash_digest(digest) & index->mask;
	for (; index->slots[slot]; slot = (slot + 1) & index->mask) {
		const sheet_customer_t *customer =
			&sheet->customers[index->slots[slot] - 1];

		if (!memcmp(customer->key_digest, digest, SHEET_DIGEST_BYTES))
			return customer;
	}
	return NULL;
}

const sheet_call_t *sheet_find_call(const sheet_pool_t *pool, str_t name)
{
	for (size_t i = 0; i < pool->call_count; i++) {
		if (str_equals(pool->calls[i].name, name))
			return &pool->calls[i];
	}
	return NULL;
}

sheet_state_t sheet_domain_state(const sheet_domain_t *domain, int64_t wall_s)
{
	sheet_state_t state = domain->state;

	for (size_t i = 0; i < domain->plan_count; i++) {
		const sheet_plan_t *plan = &domain->plans[i];

		if (wall_s >= plan->from_s && wall_s < plan->until_s &&
		    plan->state > state)
			state = plan->state;
	}
	return state;
}

sheet_state_t sheet_endpoint_state(const sheet_t *sheet,
				   const sheet_endpoint_t *endpoint,
				   int64_t wall_s)
{
	sheet_state_t domain = sheet_domain_state(
		&sheet->domains[endpoint->domain_index], wall_s);

	return domain > endpoint->state ? domain : endpoint->state;
}

int64_t sheet_longest_timeout_ms(const sheet_t *sheet)
{
	int64_t longest = 0;

	for (size_t i = 0; i < sheet->class_count; i++) {
		if (sheet->classes[i].timeout_ms > longest)
			longest = sheet->classes[i].timeout_ms;
	}
	return longest;
}
