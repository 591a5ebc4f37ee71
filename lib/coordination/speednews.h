#ifndef COORDINATION_SPEEDNEWS_H
#define COORDINATION_SPEEDNEWS_H

#include <stdbool.h>

#include "base/buf.h"
#include "base/err.h"
#include "coordination/speed.h"

/*
 * speednews - messages between hosts about the speed of endpoints
 *
 * One host sees few streams of one endpoint, so hosts add their samples up. A
 * message holds samples that its receiver has not got yet: what a lost message
 * held is lost, and later ones make up for it. Each entry is for one process of
 * an endpoint, so nothing outlives a restart.
 *
 * This module does no I/O.
 */
/* Distinct from the kinds of the other messages on the port of loads. */
typedef enum speednews_kind {
	SPEEDNEWS_HOST = 32, /* from a host to the relay of its region */
	SPEEDNEWS_REGION,    /* from a relay to other relays */
	SPEEDNEWS_RELAY	     /* from a relay to the hosts of its region */
} speednews_kind_t;

#define SPEEDNEWS_MAX_ENTRIES 100 /* in a message */
#define SPEEDNEWS_MAX_SAMPLES 10000
/* Bandwidth budget of a relay for the speeds that it sends to its region, a
 * small part of that for loads; and the usual encoded size of an entry. */
#define SPEEDNEWS_BYTES_PER_S 60000
#define SPEEDNEWS_ENTRY_BYTES 9
#define SPEEDNEWS_INTERVAL_MS 1000

typedef struct speednews_entry {
	uint32_t process; /* low half of an endpoint's process_hash */
	speed_sums_t sums;
} speednews_entry_t;

typedef struct speednews {
	speednews_kind_t kind;
	speednews_entry_t entries[SPEEDNEWS_MAX_ENTRIES];
	size_t count;
} speednews_t;

/* Number of entries that a relay may send to each receiver in an interval, one
 * at least. */
size_t speednews_max_entries(size_t receivers);

/* Whether the message is of these kinds; it may still be malformed. */
bool speednews_is_message(str_t message);

/* More than SPEEDNEWS_MAX_SAMPLES of an entry are written as that many. */
void speednews_write(const speednews_t *news, buf_t *out);

/* ERRORS: ERR_INVALID. */
err_code_t speednews_read(str_t message, speednews_t *news, err_t *err);

#endif
