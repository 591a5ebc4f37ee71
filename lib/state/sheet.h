#ifndef STATE_SHEET_H
#define STATE_SHEET_H

#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"

/*
 * sheet - the operators' configuration as an immutable structure
 *
 * A sheet_t is built once (from TOML by sheetcheck, from packed nodes by node)
 * and never changed afterwards; a new version replaces it as a whole. The sheet
 * owns the memory of all its strings and arrays. References between entries are
 * indices into the arrays below.
 */
#define SHEET_DIGEST_BYTES 32
#define SHEET_TIERS 5
#define SHEET_MAX_DOMAINS 32
#define SHEET_MAX_CLASSES 32
#define SHEET_MAX_POOLS 64
#define SHEET_MAX_ENDPOINTS 4096
#define SHEET_MAX_CUSTOMERS 200000
#define SHEET_NAME_BYTES 64 /* including the final NUL */
#define SHEET_MAX_COLD_HOSTS 64
#define SHEET_MAX_PLANS 16
#define SHEET_MAX_CALLS 32
/* Sum of the floors of all classes. */
#define SHEET_MAX_FLOOR_PERCENT 50
#define SHEET_CUSTOMER_BUCKETS 1024

/* Ranges of the values, for TOML and for packed nodes. */
#define SHEET_MIN_COLD_SHARE_TTL_S 60
#define SHEET_MAX_COLD_SHARE_TTL_S 86400
#define SHEET_MAX_FIRST_TOKEN_MS 600000
#define SHEET_MAX_BETWEEN_TOKENS_MS 60000
#define SHEET_MAX_TIMEOUT_MS 3600000
#define SHEET_MAX_QUEUE 100000
#define SHEET_MAX_TOKENS 1000000
#define SHEET_MAX_IN_FLIGHT 100000
#define SHEET_MAX_WEIGHT 1000

/* Administrative state of a domain or an endpoint, from least to most
 * restrictive. */
typedef enum sheet_state {
	SHEET_STATE_UP,
	SHEET_STATE_LEAVING, /* draining: only requests in flight continue */
	SHEET_STATE_OUT	     /* handled as leaving; the domain will go down */
} sheet_state_t;

/* A host that gets a share of the cold limits of its domain's endpoints. */
typedef struct sheet_cold_host {
	str_t host;
	str_t address; /* dispatch address, IP:PORT */
} sheet_cold_host_t;

/* A scheduled period in which a domain is leaving or out, in Unix seconds. */
typedef struct sheet_plan {
	sheet_state_t state;
	int64_t from_s;
	int64_t until_s;
} sheet_plan_t;

typedef struct sheet_domain {
	str_t name;
	str_t region;
	sheet_state_t state;
	sheet_cold_host_t *cold_hosts;
	size_t cold_host_count;
	int64_t cold_hosts_since_s; /* Unix time of their last change */
	sheet_plan_t *plans;
	size_t plan_count;
} sheet_domain_t;

typedef struct sheet_class {
	str_t name;
	unsigned tier;		   /* 0 is the highest */
	int64_t first_token_ms;	   /* target */
	int64_t between_tokens_ms; /* target */
	int64_t timeout_ms;	   /* a request is aborted after this */
	unsigned floor_percent;	   /* guaranteed share of a host's dispatches */
	unsigned max_queue;	   /* queued requests per host */
	unsigned max_tokens;	   /* output limit sent to the engine */
	bool cross_region;	   /* may use endpoints of another region */
} sheet_class_t;

typedef enum sheet_pool_kind {
	SHEET_POOL_MODEL,
	SHEET_POOL_SERVICE
} sheet_pool_kind_t;

/* A call (method) of a plain service. */
typedef struct sheet_call {
	str_t name;
	unsigned class_index;
	bool repeatable; /* may run more than once */
} sheet_call_t;

/* A model or a plain service with the endpoints that serve it. */
typedef struct sheet_pool {
	str_t name; /* unique within a kind */
	sheet_pool_kind_t kind;
	sheet_call_t *calls; /* services only */
	size_t call_count;
} sheet_pool_t;

typedef struct sheet_endpoint {
	str_t name;
	unsigned domain_index;
	unsigned pool_index;
	str_t address; /* IP:PORT */
	sheet_state_t state;
	unsigned cold_limit;	/* requests in flight during cold start */
	unsigned max_in_flight; /* requests in flight when warm */
} sheet_endpoint_t;

typedef struct sheet_customer {
	str_t name;
	uint8_t key_digest[SHEET_DIGEST_BYTES]; /* SHA-256 of the key */
	unsigned weight;			/* share within a class */
	unsigned max_in_flight;			/* requests per host */
	uint32_t classes;			/* bit per class index */
} sheet_customer_t;

typedef struct sheet {
	uint64_t version;
	uint8_t digest[SHEET_DIGEST_BYTES]; /* of the packed root node */
	/* Time after the last confirmation of the sheet at which a host's share
	 * of the cold limits expires. */
	int64_t cold_share_ttl_s;
	sheet_domain_t *domains;
	size_t domain_count;
	sheet_class_t *classes;
	size_t class_count;
	sheet_pool_t *pools;
	size_t pool_count;
	sheet_endpoint_t *endpoints;
	size_t endpoint_count;
	sheet_customer_t *customers;
	size_t customer_count;
	struct sheet_index *index; /* customers by key digest */
	struct sheet_arena *arena; /* owns everything above */
} sheet_t;

/* An empty sheet; NULL when out of memory. */
sheet_t *sheet_create(void);
void sheet_free(sheet_t *sheet);

/* Zeroed memory that lives as long as the sheet. Aborts when out of memory. */
void *sheet_alloc(sheet_t *sheet, size_t bytes);

/* A copy of the text that lives as long as the sheet. */
str_t sheet_copy_str(sheet_t *sheet, str_t s);

/*
 * Sorts the customers by bucket and name and builds the index by key digest.
 * Must be called once, after the last customer was added.
 *
 * RETURN VALUE: false when two customers have the same name or key digest.
 */
bool sheet_build_index(sheet_t *sheet);

/*
 * Validates ranges, names and references, so that a sheet from a peer can be
 * used without further checks.
 *
 * RETURN VALUE: NULL when valid, else the name of the invalid part.
 */
const char *sheet_find_fault(const sheet_t *sheet);

/* 1 to 63 characters of A-Z a-z 0-9 - _ . with a letter or digit first. */
bool sheet_is_name(str_t s);

/* IPv4:PORT or [IPv6]:PORT with a port from 1 to 65535. */
bool sheet_is_address(str_t s);

/* Bucket of a customer, below SHEET_CUSTOMER_BUCKETS. */
unsigned sheet_customer_bucket(str_t name);

/* Look-ups by name: the index of the entry, or -1. */
int sheet_find_domain(const sheet_t *sheet, str_t name);
int sheet_find_class(const sheet_t *sheet, str_t name);
int sheet_find_pool(const sheet_t *sheet, sheet_pool_kind_t kind, str_t name);
int sheet_find_endpoint(const sheet_t *sheet, str_t name);

/* The customer whose key has this SHA-256 digest, or NULL. Constant time in
 * the number of customers. */
const sheet_customer_t *sheet_find_customer(
	const sheet_t *sheet, const uint8_t digest[SHEET_DIGEST_BYTES]);

const sheet_call_t *sheet_find_call(const sheet_pool_t *pool, str_t name);

/* State of a domain at a Unix time: the most restrictive of its own state and
 * those of the plans in effect. */
sheet_state_t sheet_domain_state(const sheet_domain_t *domain, int64_t wall_s);

/* State of an endpoint at a Unix time: its own or its domain's, whichever is
 * more restrictive. */
sheet_state_t sheet_endpoint_state(const sheet_t *sheet,
				   const sheet_endpoint_t *endpoint,
				   int64_t wall_s);

/* The longest class timeout. */
int64_t sheet_longest_timeout_ms(const sheet_t *sheet);

#endif
