#ifndef STATE_FLEET_H
#define STATE_FLEET_H

#include "coordination/breaker.h"
#include "coordination/coldgate.h"
#include "coordination/lanes.h"
#include "coordination/loadboard.h"
#include "coordination/warmth.h"
#include "state/catalog.h"
#include "state/noticebook.h"

/*
 * fleet - the endpoints that this host knows, and what it has seen of each
 *
 * Records of the configuration service add, change and remove endpoints.
 * Requests and connections hold references, so that an endpoint outlives its
 * record until the last of them has ended.
 */

/* How long an endpoint whose record is gone stays a last resort. Records lapse
 * while the configuration service is away and come back within this time. */
#define FLEET_LINGER_MS 2000

typedef enum endpoint_state {
	ENDPOINT_READY,
	ENDPOINT_LEAVING,   /* gets no new work */
	ENDPOINT_LINGERING, /* its record is gone; a last resort for a while */
	ENDPOINT_GONE
} endpoint_state_t;

/* An endpoint as a record describes it. */
typedef struct endpoint_record {
	str_t id;
	str_t service;
	str_t address;
	str_t domain;
	unsigned slots;
	bool leaving;
	int64_t cold_ms; /* it stays cold for this long from now on */
	int64_t incarnation;
} endpoint_record_t;

struct channel;

typedef struct endpoint {
	char *id, *service, *address, *domain;
	unsigned service_index; /* see fleet_find_service() */
	unsigned domain_index;	/* see fleet_domain_at() */
	uint64_t hash;		/* of its id */
	uint64_t memory_hash;	/* and of its incarnation, for prefixmap.h */
	endpoint_state_t state;
	unsigned refs;
	unsigned slots;
	bool express; /* kept free of long prompts, see fleet_update_marks() */
	int64_t incarnation;
	int64_t cold_until_ms;
	int64_t lingers_until_ms;
	/* Of services that prove warmth: this host's units of the cold limit,
	 * and what it knows. */
	unsigned cold_units;
	unsigned held_units; /* when the sheet last changed */
	warmth_t warmth;
	int64_t probed_ms;	   /* when it was last asked for its state */
	noticebook_entry_t *noted; /* what it asked of hosts; NULL: nothing */
	/* What this host has sent and seen. */
	coldgate_t gate;
	breaker_t breaker;
	unsigned in_flight;
	uint64_t last_send; /* its number among the sends of this host */
	uint64_t backlog_tokens;
	double tokens_per_s; /* of prompts sent; faded since `rate_ms` */
	int64_t rate_ms;
	load_t told;	/* own loads that the other hosts were told last */
	load_t total;	/* of all hosts, as told; lags behind */
	load_t counted; /* own loads that `total` contains, told before */
	double excess_ms;
	int64_t excess_set_ms;
	double service_ms;
	struct channel *idle; /* kept connections, the newest first */
	unsigned channel_count;
} endpoint_t;

typedef struct fleet fleet_t;

/* Tells of changes that concern work in progress. */
typedef struct fleet_observer {
	void (*endpoint_gone)(void *user, endpoint_t *endpoint);
	void *user;
} fleet_observer_t;

fleet_t *fleet_create(const fleet_observer_t *observer);
void fleet_free(fleet_t *fleet);

/* States the region of a domain. */
void fleet_add_domain(fleet_t *fleet, str_t domain, str_t region);
str_t fleet_region(const fleet_t *fleet, str_t domain);

/* Domains by index; one that is not known has the last index. */
#define FLEET_MAX_DOMAINS 64

typedef struct fleet_domain {
	char *name;
	char *region; /* empty when unknown */
	bool evacuated;
} fleet_domain_t;

const fleet_domain_t *fleet_domain_at(const fleet_t *fleet, size_t index);

/* Index of a service that an endpoint has or had; -1 if none did. */
int fleet_find_service(const fleet_t *fleet, str_t name);

/* Adds the endpoint or changes it. */
endpoint_t *fleet_put(fleet_t *fleet, const endpoint_record_t *record,
		      int64_t now_ms);
void fleet_remove(fleet_t *fleet, str_t id, int64_t now_ms);

/* Takes an endpoint off at once: the operators removed it. */
void fleet_drop(fleet_t *fleet, str_t id);
endpoint_t *fleet_find(const fleet_t *fleet, str_t id);

/* Takes a domain out or back. Endpoints of a domain that is back count as cold
 * for their service's cold time. */
void fleet_set_evacuated(fleet_t *fleet, str_t domain, bool evacuated,
			 const catalog_t *catalog, int64_t now_ms);
bool fleet_is_evacuated(const fleet_t *fleet, str_t domain);

/*
 * Marks a part of each service's endpoints in a domain as express, if endpoints
 * or lanes have changed (see lanes.h). All hosts mark them in the same order,
 * so that hosts whose shares differ a little differ in few endpoints.
 */
void fleet_update_marks(fleet_t *fleet);

/* Sets the lanes of all services back to what they are without known loads. */
void fleet_reset_lanes(fleet_t *fleet);

/* Adapts a service's lanes to the loads that hosts told; `tokens_per_ms` is
 * what one of its engines reads. */
void fleet_update_lanes(fleet_t *fleet, str_t service, double tokens_per_ms,
			int64_t now_ms);

/* Ends the time of lingering endpoints. */
void fleet_tick(fleet_t *fleet, int64_t now_ms);

size_t fleet_count(const fleet_t *fleet);
endpoint_t *fleet_at(const fleet_t *fleet, size_t index);

/* The notice of the endpoint's process, to be changed. */
notice_t *fleet_notice(fleet_t *fleet, endpoint_t *endpoint);

/* The same, to be asked; NULL when there is none. */
const notice_t *endpoint_notice(const endpoint_t *endpoint);

/* Counts the prompt tokens of a send. */
void endpoint_count_tokens(endpoint_t *endpoint, uint64_t tokens,
			   int64_t now_ms);

/* What this host alone has sent to the endpoint. */
load_t endpoint_own_load(const endpoint_t *endpoint, int64_t now_ms);

/* What all hosts have sent: the last sums, with the own part as it is now. */
load_t endpoint_load(const endpoint_t *endpoint, int64_t now_ms);

bool endpoint_is_cold(const endpoint_t *endpoint, int64_t now_ms);
void endpoint_ref(endpoint_t *endpoint);
void endpoint_unref(endpoint_t *endpoint);

#endif
