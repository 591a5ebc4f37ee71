#ifndef STATE_FLEET_H
#define STATE_FLEET_H

#include "coordination/breaker.h"
#include "coordination/coldgate.h"
#include "coordination/lanes.h"
#include "coordination/loadboard.h"
#include "coordination/speed.h"
#include "coordination/pace.h"
#include "coordination/warmth.h"
#include "state/catalog.h"
#include "state/noticetable.h"

/*
 * fleet - the endpoints known to this host, with their load and health
 *
 * Records of the configuration service add, change and remove endpoints.
 * Requests and connections hold references, so an endpoint stays allocated
 * after its record is removed until the last of them ends.
 */

/* How long an endpoint stays usable as a last resort after its record was
 * removed. Records expire while the configuration service is unavailable and
 * return within this time. */
#define FLEET_LINGER_MS 2000
/* Endpoints that a host reads within this time of its first one were there
 * before, so that other hosts use them already. */
#define FLEET_FIRST_LISTING_MS 2000

typedef enum endpoint_state {
	ENDPOINT_READY,
	ENDPOINT_LEAVING,   /* gets no new requests */
	ENDPOINT_LINGERING, /* its record was removed; a last resort */
	ENDPOINT_GONE	    /* not in the fleet; requests may still run */
} endpoint_state_t;

/* An endpoint as a record describes it. */
typedef struct endpoint_record {
	str_t id;
	str_t service;
	str_t address;
	str_t domain;
	unsigned slots;
	bool leaving;
	int64_t cold_ms; /* remaining time for which it is cold */
	int64_t incarnation;
} endpoint_record_t;

struct channel;

typedef struct endpoint {
	char *id, *service, *address, *domain;
	unsigned service_index; /* see fleet_find_service() */
	unsigned domain_index;	/* see fleet_domain_at() */
	uint64_t hash;		/* of its id */
	uint64_t process_hash;	/* of id and incarnation, for prefixmap.h */
	endpoint_state_t state;
	unsigned refs;
	unsigned slots;
	bool express; /* gets no long prompts, see fleet_update_express() */
	int64_t incarnation;
	int64_t cold_until_ms;
	int64_t linger_until_ms;
	/* Used if the service is `cold_until_proven`: this host's units of the
	 * endpoint's cold limit, and the warmth that responses proved. */
	unsigned cold_units;
	unsigned
		previous_cold_units; /* `cold_units` under the previous sheet */
	warmth_t warmth;
	int64_t last_probe_ms;		   /* 0: never probed */
	noticetable_entry_t *notice_entry; /* NULL: no notice was given */
	/* From this host's own requests and the loads of other hosts. */
	sendring_t sends;
	breaker_t breaker;
	pace_t pace;
	bool pace_reported; /* a limit by the pace is in the log */
	/* Place of this host among those that share the endpoint's limits. */
	size_t share_hosts, share_rank;
	int64_t share_updated_ms; /* 0: not known */
	unsigned in_flight;
	uint64_t last_send_seq; /* among all sends of this host */
	uint64_t backlog_tokens;
	double tokens_per_s;	 /* of prompts sent; decays over time */
	int64_t rate_updated_ms; /* time of the value in `tokens_per_s` */
	load_t reported_load;	 /* own load last sent to other hosts */
	load_t total_load; /* sum over all hosts as last received; delayed */
	load_t counted_own_load; /* own load that `total_load` contains */
	double excess_ms; /* moving average of latency above the expected */
	int64_t excess_updated_ms;
	double service_ms;
	/* See speed.h. */
	speed_t own_speed;   /* from streams to this host */
	speed_t fleet_speed; /* from streams to all hosts, as received */
	/* Samples not sent to other hosts yet: of this host and, at a relay, of
	 * others in its region; and of other regions, at a relay only. */
	speed_sums_t unsent_speed;
	speed_sums_t unsent_far_speed;
	double slowness;	/* how many times as long as the service's usual
				   endpoint it takes; 1 when unknown; from
				   fleet_update_slowness() */
	bool has_unusual_speed; /* reported as such in the log */
	bool is_slow;		/* takes much longer than the usual endpoint */
	struct channel *idle_channels; /* idle connections, newest first */
	unsigned channel_count;
} endpoint_t;

typedef struct fleet fleet_t;

/* Called for changes that affect requests in progress. */
typedef struct fleet_observer {
	void (*endpoint_gone)(void *user, endpoint_t *endpoint);
	void *user;
} fleet_observer_t;

fleet_t *fleet_create(const fleet_observer_t *observer);
void fleet_free(fleet_t *fleet);

/* Sets the region of a domain; adds the domain if needed. */
void fleet_add_domain(fleet_t *fleet, str_t name, str_t region);
/* RETURN VALUE: empty when unknown. */
str_t fleet_region(const fleet_t *fleet, str_t name);

/* Domains by index. Unknown domains, and all beyond this number, share the last
 * index, FLEET_MAX_DOMAINS. */
#define FLEET_MAX_DOMAINS 64

typedef struct fleet_domain {
	char *name;
	char *region; /* empty when unknown */
	bool evacuated;
} fleet_domain_t;

const fleet_domain_t *fleet_domain_at(const fleet_t *fleet, size_t index);

/* RETURN VALUE: the index of the service, or -1 if no endpoint has had it. */
int fleet_find_service(const fleet_t *fleet, str_t name);

/* Adds or updates the endpoint. A record with another incarnation, service,
 * address or domain replaces the endpoint by a new one. */
endpoint_t *fleet_put(fleet_t *fleet, const endpoint_record_t *record,
		      int64_t now_ms);

/* Removes the endpoint at once if it is leaving, otherwise after
 * FLEET_LINGER_MS. */
void fleet_remove(fleet_t *fleet, str_t id, int64_t now_ms);

/* Removes the endpoint without lingering, because operators deleted it. */
void fleet_remove_now(fleet_t *fleet, str_t id);
endpoint_t *fleet_find(const fleet_t *fleet, str_t id);

/* Marks a domain as evacuated or as back in service. When it comes back, its
 * endpoints count as cold for their service's `cold_ms`. */
void fleet_set_evacuated(fleet_t *fleet, str_t name, bool evacuated,
			 const catalog_t *catalog, int64_t now_ms);
bool fleet_is_evacuated(const fleet_t *fleet, str_t name);

/*
 * Marks a part of each service's ready endpoints in a domain as express if
 * endpoints or lanes have changed (see lanes.h). All hosts mark them in order
 * of their hashes, so that hosts with slightly different shares disagree on few
 * endpoints.
 */
void fleet_update_express(fleet_t *fleet);

/* An endpoint has begun, or ceased, to limit its requests: limited ones are not
 * marked as express. */
void fleet_on_limit_changed(fleet_t *fleet);

/* Resets the lanes of all services to the state without known loads. */
void fleet_reset_lanes(fleet_t *fleet);

/* Adapts a service's lanes to the loads of all hosts; `prefill_tokens_per_ms`
 * is the prefill rate of one of its engines. */
void fleet_update_lanes(fleet_t *fleet, str_t service,
			double prefill_tokens_per_ms, int64_t now_ms);

/* Updates the slowness of all endpoints from the samples known by now. */
void fleet_update_slowness(fleet_t *fleet, int64_t now_ms);

/* Time in ms between the events of a stream at the service's usual endpoint
 * while nothing is prefilled there; 0 when unknown. */
double fleet_quiet_pause_ms(const fleet_t *fleet, str_t service);

/* Removes the lingering endpoints whose time is over. */
void fleet_expire_lingering(fleet_t *fleet, int64_t now_ms);

size_t fleet_count(const fleet_t *fleet);
endpoint_t *fleet_at(const fleet_t *fleet, size_t index);

/* The notice of the endpoint's process, for update; added if needed. */
notice_t *fleet_notice(fleet_t *fleet, endpoint_t *endpoint);

/* The same, read-only; NULL when there is none. */
const notice_t *endpoint_notice(const endpoint_t *endpoint);

/* The rate of requests that the endpoint accepts from all hosts together; 0
 * without a limit. See ratelimit.h. */
double endpoint_limit_per_s(const endpoint_t *endpoint);

/* Adds the prompt tokens of a send to the endpoint's token rate. */
void endpoint_count_tokens(endpoint_t *endpoint, uint64_t tokens,
			   int64_t now_ms);

/* The load from this host alone. */
load_t endpoint_own_load(const endpoint_t *endpoint, int64_t now_ms);

/* The load from all hosts: `total_load` with this host's part up to date. */
load_t endpoint_load(const endpoint_t *endpoint, int64_t now_ms);

/* Adds the lower quartile of the pauses between the events of a stream; 0 when
 * the stream was too short to tell. */
void endpoint_add_quiet_pause(endpoint_t *endpoint, double pause_ms,
			      int64_t now_ms);

/* Time between the events of a stream while nothing is prefilled at the
 * endpoint. RETURN VALUE: 0 when unknown. */
double endpoint_quiet_pause_ms(const endpoint_t *endpoint, int64_t now_ms);

bool endpoint_is_cold(const endpoint_t *endpoint, int64_t now_ms);
void endpoint_ref(endpoint_t *endpoint);
void endpoint_unref(endpoint_t *endpoint);

#endif
