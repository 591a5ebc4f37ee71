#ifndef COORDINATION_LOADBOARD_H
#define COORDINATION_LOADBOARD_H

#include <stdbool.h>
#include <stdint.h>

#include "base/buf.h"
#include "base/err.h"

/*
 * loadboard - the load that all hosts together put on each endpoint
 *
 * A single host observes only its own requests, which are a small share of the
 * total in a large fleet. Each host therefore reports its loads to the relay
 * host of its region, relays exchange the sums of their regions, and each relay
 * sends the totals over all regions to the hosts of its own region. Only relays
 * send traffic between regions, regardless of the number of hosts. The traffic
 * of a relay to its region grows with hosts times endpoints; above its budget a
 * relay sends only the most loaded endpoints. The board stores the entries and
 * encodes and decodes the messages; it does no input or output. Loads are
 * hints: an entry that has not been renewed for LOADBOARD_TTL_MS, or for
 * LOADBOARD_TTL_ROUNDS rounds where these take longer, counts as zero.
 */
#define LOADBOARD_TTL_MS 1500
#define LOADBOARD_TTL_ROUNDS 3
/* Interval between rounds: a minimum, and a time per host. Each host above
 * LOADBOARD_LARGE_FLEET_HOSTS adds more, since the cost of a round grows with
 * the number of hosts. */
#define LOADBOARD_MIN_ROUND_MS 100
#define LOADBOARD_ROUND_MS_PER_HOST 1
#define LOADBOARD_LARGE_FLEET_HOSTS 100
#define LOADBOARD_EXTRA_ROUND_MS_PER_HOST 4
/* Bandwidth budget of a relay for the totals that it sends to its region, and
 * the usual encoded size of an entry. */
#define LOADBOARD_TOTALS_BYTES_PER_S 400000
#define LOADBOARD_ENTRY_BYTES 13
#define LOADBOARD_MESSAGE_ENTRIES 60
#define LOADBOARD_MAX_ENTRIES 16384

typedef struct load {
	uint64_t backlog_tokens; /* of prompts sent, prefill not done */
	uint64_t tokens_per_s;	 /* of prompts sent recently */
	unsigned in_flight;
} load_t;

typedef struct loadboard loadboard_t;

loadboard_t *loadboard_create(void);
void loadboard_free(loadboard_t *board);

/* Interval between rounds in a fleet of this size. */
int64_t loadboard_round_ms(unsigned hosts);

/* Number of entries that a relay may send to each receiver in a round. */
size_t loadboard_max_totals(size_t receivers, int64_t round_ms);

/* Sets the lifetime of entries for rounds of this length. */
void loadboard_set_round(loadboard_t *board, int64_t round_ms);

typedef enum loadboard_kind {
	LOADBOARD_HOST,	  /* loads of one host, to the relay of its region */
	LOADBOARD_TOTALS, /* over all hosts, from a relay to its region */
	LOADBOARD_REGION  /* sums over the hosts of a region, to other relays */
} loadboard_kind_t;

/* The load of one endpoint in a message. */
typedef struct loadboard_entry {
	uint32_t endpoint; /* hash of its id */
	load_t load;
} loadboard_entry_t;

/* Appends a message with up to LOADBOARD_MESSAGE_ENTRIES entries. `source` is
 * the number of the sending host, relay or region, depending on the kind. */
void loadboard_write(loadboard_kind_t kind, uint32_t source,
		     const loadboard_entry_t *entries, size_t count,
		     buf_t *out);

/*
 * Decodes a message and stores its entries.
 *
 * ERRORS: ERR_INVALID.
 */
err_code_t loadboard_read(loadboard_t *board, str_t message, int64_t now_ms,
			  err_t *err);

typedef enum loadboard_scope {
	LOADBOARD_OWN_REGION, /* reports of the hosts of this region */
	LOADBOARD_ALL	      /* and the sums of other regions' relays */
} loadboard_scope_t;

/*
 * Sums the reported loads of each endpoint for a relay's message.
 *
 * RETURN VALUE: the number of entries, `max` at most.
 */
size_t loadboard_sum(const loadboard_t *board, loadboard_scope_t scope,
		     int64_t now_ms, loadboard_entry_t *entries, size_t max);

/*
 * Moves the entries of the most loaded endpoints to the front.
 *
 * RETURN VALUE: the number of entries to send, `max` at most.
 */
size_t loadboard_select_most_loaded(loadboard_entry_t *entries, size_t count,
				    size_t max);

/* The totals that a relay last sent for the endpoint; zero when they expired.
 */
load_t loadboard_get(const loadboard_t *board, uint32_t endpoint,
		     int64_t now_ms);

/* Removes expired entries. */
void loadboard_expire(loadboard_t *board, int64_t now_ms);

#endif
