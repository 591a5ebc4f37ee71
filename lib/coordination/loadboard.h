#ifndef COORDINATION_LOADBOARD_H
#define COORDINATION_LOADBOARD_H

#include <stdbool.h>
#include <stdint.h>

#include "base/buf.h"
#include "base/err.h"

/*
 * loadboard - what all hosts together have sent to each endpoint
 *
 * A host alone sees its own sends only, which are few when there are many
 * hosts. So each tells its loads to the relay host of its region, relays tell
 * each other the sums of their regions, and each tells the sums over all to the
 * hosts of its region: between regions only relays speak, however many hosts
 * there are. What a relay sends to its region grows with hosts times endpoints:
 * above the budget it tells the most loaded endpoints only. The board keeps the
 * entries and reads and writes messages; it does no input or output. Loads are
 * hints: what has not been renewed for LOADBOARD_TTL_MS, or for some rounds
 * where these are longer, counts as zero.
 */
#define LOADBOARD_TTL_MS 1500
#define LOADBOARD_TTL_ROUNDS 3
/* Time between rounds: at least, and for each host; more for each host above
 * a number, since rounds of many hosts are dear. */
#define LOADBOARD_MIN_ROUND_MS 100
#define LOADBOARD_ROUND_MS_PER_HOST 1
#define LOADBOARD_LARGE_FLEET_HOSTS 100
#define LOADBOARD_EXTRA_ROUND_MS_PER_HOST 4
/* What a relay may send to its region, and the usual size of an entry. */
#define LOADBOARD_SUMS_BYTES_PER_S 400000
#define LOADBOARD_ENTRY_BYTES 13
#define LOADBOARD_MESSAGE_ENTRIES 60
#define LOADBOARD_MAX_ENTRIES 16384

/* Loads of one endpoint. */
typedef struct load {
	uint64_t backlog_tokens; /* of prompts sent and not read yet */
	uint64_t tokens_per_s;	 /* of prompts sent lately */
	unsigned in_flight;
} load_t;

typedef struct loadboard loadboard_t;

loadboard_t *loadboard_create(void);
void loadboard_free(loadboard_t *board);

/* Time between the rounds of so many hosts. */
int64_t loadboard_round_ms(unsigned hosts);

/* How many entries a relay may tell each of its receivers in a round. */
size_t loadboard_max_sums(size_t receivers, int64_t round_ms);

/* Sets how long entries count, for rounds of this length. */
void loadboard_set_round(loadboard_t *board, int64_t round_ms);

typedef enum loadboard_kind {
	LOADBOARD_HOST,	 /* loads of one host, for the relay of its region */
	LOADBOARD_SUMS,	 /* sums over all hosts, from a relay */
	LOADBOARD_REGION /* sums over the hosts of a region, for other relays */
} loadboard_kind_t;

/* One endpoint's entry of a message. */
typedef struct loadboard_entry {
	uint32_t endpoint; /* hash of its id */
	load_t load;
} loadboard_entry_t;

/* Appends a message with up to LOADBOARD_MESSAGE_ENTRIES entries. `source` is
 * the number of the host, of the relay or of the region. */
void loadboard_write(loadboard_kind_t kind, uint32_t source,
		     const loadboard_entry_t *entries, size_t count,
		     buf_t *out);

/*
 * Reads a message into the board.
 *
 * ERRORS: ERR_INVALID.
 */
err_code_t loadboard_read(loadboard_t *board, str_t message, int64_t now_ms,
			  err_t *err);

typedef enum loadboard_scope {
	LOADBOARD_OWN_REGION, /* what hosts said */
	LOADBOARD_ALL	      /* and what other regions' relays said */
} loadboard_scope_t;

/*
 * Sums what was said of each endpoint, for a relay's message.
 *
 * RETURN VALUE: the number of entries, `max` at most.
 */
size_t loadboard_sum(const loadboard_t *board, loadboard_scope_t scope,
		     int64_t now_ms, loadboard_entry_t *entries, size_t max);

/*
 * Moves the entries of the most loaded endpoints to the front.
 *
 * RETURN VALUE: the number of entries to tell, `max` at most.
 */
size_t loadboard_select_most_loaded(loadboard_entry_t *entries, size_t count,
				    size_t max);

/* What a relay last said of the endpoint; zero when that is too old. */
load_t loadboard_get(const loadboard_t *board, uint32_t endpoint,
		     int64_t now_ms);

/* Forgets what has not been renewed. */
void loadboard_expire(loadboard_t *board, int64_t now_ms);

#endif
