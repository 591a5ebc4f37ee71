#include "state/fleet.h"

#include <math.h>
#include <stdlib.h>
#include <xxhash.h>

#include "base/plog.h"

#define FLEET_MAX_DOMAINS 64
/* Rates of tokens are means over about this time. */
#define FLEET_RATE_MS 2000.0
#define MS_PER_S 1000.0

typedef struct domain {
	char *name;
	char *region;
	bool evacuated;
} domain_t;

struct fleet {
	fleet_observer_t observer;
	endpoint_t **endpoints;
	size_t count, cap;
	domain_t domains[FLEET_MAX_DOMAINS];
	size_t domain_count;
};

static char *copy_text(str_t s)
{
	char *copy = str_dup(s);

	if (!copy)
		abort();
	return copy;
}

fleet_t *fleet_create(const fleet_observer_t *observer)
{
	fleet_t *fleet = calloc(1, sizeof(*fleet));

	if (!fleet)
		abort();
	fleet->observer = *observer;
	return fleet;
}

static domain_t *find_domain(const fleet_t *fleet, str_t name)
{
	for (size_t i = 0; i < fleet->domain_count; i++)
		if (str_equals(str_from(fleet->domains[i].name), name))
			return (domain_t *)&fleet->domains[i];
	return NULL;
}

static domain_t *get_domain(fleet_t *fleet, str_t name)
{
	domain_t *domain = find_domain(fleet, name);

	if (domain || fleet->domain_count == FLEET_MAX_DOMAINS)
		return domain;
	domain = &fleet->domains[fleet->domain_count++];
	domain->name = copy_text(name);
	domain->region = copy_text((str_t){"", 0});
	return domain;
}

void fleet_add_domain(fleet_t *fleet, str_t name, str_t region)
{
	domain_t *domain = get_domain(fleet, name);

	if (!domain)
		return;
	free(domain->region);
	domain->region = copy_text(region);
}

str_t fleet_region(const fleet_t *fleet, str_t name)
{
	const domain_t *domain = find_domain(fleet, name);

	return domain ? str_from(domain->region) : (str_t){"", 0};
}

void endpoint_ref(endpoint_t *endpoint)
{
	endpoint->refs++;
}

void endpoint_unref(endpoint_t *endpoint)
{
	if (--endpoint->refs)
		return;
	free(endpoint->id);
	free(endpoint->service);
	free(endpoint->address);
	free(endpoint->domain);
	free(endpoint);
}

void fleet_free(fleet_t *fleet)
{
	if (!fleet)
		return;
	for (size_t i = 0; i < fleet->count; i++)
		endpoint_unref(fleet->endpoints[i]);
	free(fleet->endpoints);
	for (size_t i = 0; i < fleet->domain_count; i++) {
		free(fleet->domains[i].name);
		free(fleet->domains[i].region);
	}
	free(fleet);
}

endpoint_t *fleet_find(const fleet_t *fleet, str_t id)
{
	for (size_t i = 0; i < fleet->count; i++)
		if (str_equals(str_from(fleet->endpoints[i]->id), id))
			return fleet->endpoints[i];
	return NULL;
}

static void append(fleet_t *fleet, endpoint_t *endpoint)
{
	if (fleet->count == fleet->cap) {
		endpoint_t **grown;

		fleet->cap = fleet->cap ? fleet->cap * 2 : 32;
		grown = realloc(fleet->endpoints, fleet->cap * sizeof(*grown));
		if (!grown)
			abort();
		fleet->endpoints = grown;
	}
	fleet->endpoints[fleet->count++] = endpoint;
}

static endpoint_t *create_endpoint(fleet_t *fleet,
				   const endpoint_record_t *record)
{
	endpoint_t *endpoint = calloc(1, sizeof(*endpoint));

	if (!endpoint)
		abort();
	endpoint->refs = 1;
	endpoint->id = copy_text(record->id);
	endpoint->service = copy_text(record->service);
	endpoint->address = copy_text(record->address);
	endpoint->domain = copy_text(record->domain);
	endpoint->region = fleet_region(fleet, record->domain);
	endpoint->hash = XXH64(record->id.ptr, record->id.len, 0);
	endpoint->incarnation = record->incarnation;
	return endpoint;
}

static bool is_group(const endpoint_t *a, const endpoint_t *b)
{
	return !strcmp(a->service, b->service) && !strcmp(a->domain, b->domain);
}

/* How many of a group of endpoints are express; none of a small group. */
static size_t express_count(size_t size)
{
	if (size < FLEET_EXPRESS_MIN_GROUP)
		return 0;
	return size < FLEET_EXPRESS_ONE_IN ? 1 : size / FLEET_EXPRESS_ONE_IN;
}

static void mark_express(fleet_t *fleet)
{
	for (size_t i = 0; i < fleet->count; i++) {
		endpoint_t *endpoint = fleet->endpoints[i];
		size_t size = 0, rank = 0;

		for (size_t j = 0; j < fleet->count; j++) {
			const endpoint_t *other = fleet->endpoints[j];

			if (other->state != ENDPOINT_READY ||
			    !is_group(endpoint, other))
				continue;
			size++;
			rank += other->hash < endpoint->hash;
		}
		endpoint->express = rank < express_count(size);
	}
}

/* Takes the endpoint off the list; requests that run there go on. */
static void drop(fleet_t *fleet, size_t index)
{
	endpoint_t *endpoint = fleet->endpoints[index];

	fleet->endpoints[index] = fleet->endpoints[--fleet->count];
	endpoint->state = ENDPOINT_GONE;
	fleet->observer.endpoint_gone(fleet->observer.user, endpoint);
	endpoint_unref(endpoint);
}

static void drop_endpoint(fleet_t *fleet, const endpoint_t *endpoint)
{
	for (size_t i = 0; i < fleet->count; i++)
		if (fleet->endpoints[i] == endpoint) {
			drop(fleet, i);
			return;
		}
}

static bool is_same_process(const endpoint_t *endpoint,
			    const endpoint_record_t *record)
{
	return endpoint->incarnation == record->incarnation &&
	       str_equals(str_from(endpoint->service), record->service) &&
	       str_equals(str_from(endpoint->address), record->address) &&
	       str_equals(str_from(endpoint->domain), record->domain);
}

endpoint_t *fleet_put(fleet_t *fleet, const endpoint_record_t *record,
		      int64_t now_ms)
{
	endpoint_t *endpoint = fleet_find(fleet, record->id);
	int64_t cold_until_ms = now_ms + record->cold_ms;

	if (endpoint && !is_same_process(endpoint, record)) {
		drop_endpoint(fleet, endpoint);
		endpoint = NULL;
	}
	if (!endpoint) {
		endpoint = create_endpoint(fleet, record);
		append(fleet, endpoint);
		get_domain(fleet, record->domain);
	}
	endpoint->slots = record->slots;
	if (record->cold_ms > 0 && cold_until_ms > endpoint->cold_until_ms)
		endpoint->cold_until_ms = cold_until_ms;
	endpoint->state = record->leaving ? ENDPOINT_LEAVING : ENDPOINT_READY;
	mark_express(fleet);
	return endpoint;
}

void fleet_remove(fleet_t *fleet, str_t id, int64_t now_ms)
{
	endpoint_t *endpoint = fleet_find(fleet, id);

	if (!endpoint)
		return;
	if (endpoint->state == ENDPOINT_LEAVING) {
		drop_endpoint(fleet, endpoint);
		return;
	}
	endpoint->state = ENDPOINT_LINGERING;
	endpoint->lingers_until_ms = now_ms + FLEET_LINGER_MS;
	mark_express(fleet);
}

static void chill_domain(fleet_t *fleet, str_t domain, const catalog_t *catalog,
			 int64_t now_ms)
{
	for (size_t i = 0; i < fleet->count; i++) {
		endpoint_t *endpoint = fleet->endpoints[i];
		const catalog_service_t *service;

		if (!catalog || !str_equals(str_from(endpoint->domain), domain))
			continue;
		service = catalog_find_service(catalog,
					       str_from(endpoint->service));
		if (service && service->cold_per_s > 0.0 &&
		    now_ms + service->cold_ms > endpoint->cold_until_ms)
			endpoint->cold_until_ms = now_ms + service->cold_ms;
	}
}

void fleet_set_evacuated(fleet_t *fleet, str_t name, bool evacuated,
			 const catalog_t *catalog, int64_t now_ms)
{
	domain_t *domain = get_domain(fleet, name);

	if (!domain) {
		plog_write(PLOG_RECORD_INVALID,
			   "key=evacuate domain=%" STR_FMT
			   " reason=too-many-domains",
			   STR_ARG(name));
		return;
	}
	if (domain->evacuated && !evacuated)
		chill_domain(fleet, name, catalog, now_ms);
	domain->evacuated = evacuated;
}

bool fleet_is_evacuated(const fleet_t *fleet, str_t name)
{
	const domain_t *domain = find_domain(fleet, name);

	return domain && domain->evacuated;
}

void fleet_tick(fleet_t *fleet, int64_t now_ms)
{
	for (size_t i = fleet->count; i-- > 0;) {
		endpoint_t *endpoint = fleet->endpoints[i];

		if (endpoint->state == ENDPOINT_LINGERING &&
		    endpoint->lingers_until_ms <= now_ms)
			drop(fleet, i);
	}
}

size_t fleet_count(const fleet_t *fleet)
{
	return fleet->count;
}

endpoint_t *fleet_at(const fleet_t *fleet, size_t index)
{
	return fleet->endpoints[index];
}

static double faded_rate(const endpoint_t *endpoint, int64_t now_ms)
{
	double age = (double)(now_ms - endpoint->rate_ms);

	return age > 0.0 ? endpoint->tokens_per_s * exp(-age / FLEET_RATE_MS) :
			   endpoint->tokens_per_s;
}

void endpoint_count_tokens(endpoint_t *endpoint, uint64_t tokens,
			   int64_t now_ms)
{
	endpoint->tokens_per_s = faded_rate(endpoint, now_ms) +
				 (double)tokens * MS_PER_S / FLEET_RATE_MS;
	endpoint->rate_ms = now_ms;
}

load_t endpoint_own_load(const endpoint_t *endpoint, int64_t now_ms)
{
	return (load_t){endpoint->backlog_tokens,
			(uint64_t)faded_rate(endpoint, now_ms),
			endpoint->in_flight};
}

/* The others' part of a sum in which the own part was `told`. */
static uint64_t others(uint64_t total, uint64_t told)
{
	return total > told ? total - told : 0;
}

load_t endpoint_load(const endpoint_t *endpoint, int64_t now_ms)
{
	load_t load = endpoint_own_load(endpoint, now_ms);
	const load_t *total = &endpoint->total;
	const load_t *told = &endpoint->told;

	load.backlog_tokens +=
		others(total->backlog_tokens, told->backlog_tokens);
	load.tokens_per_s += others(total->tokens_per_s, told->tokens_per_s);
	load.in_flight += (unsigned)others(total->in_flight, told->in_flight);
	return load;
}

bool endpoint_is_cold(const endpoint_t *endpoint, int64_t now_ms)
{
	return endpoint->cold_until_ms > now_ms;
}
