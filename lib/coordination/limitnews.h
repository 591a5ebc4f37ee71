#ifndef COORDINATION_LIMITNEWS_H
#define COORDINATION_LIMITNEWS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/buf.h"
#include "base/err.h"

/*
 * limitnews - messages between hosts about the rates that endpoints state
 *
 * A host that gets no unit of an endpoint's limit gets no response of it
 * either, so hosts tell each other what endpoints state (see ratelimit.h).
 * Times travel as ages, since the hosts' clocks differ.
 *
 * This module does no I/O.
 */
/* Distinct from the kinds of crashnews.h, prefixnews.h and loadboard.h, which
 * use the same port. */
typedef enum limitnews_kind {
	LIMITNEWS_HOST = 24, /* from a host to the relay of its region */
	LIMITNEWS_REGION,    /* from a relay to other relays */
	LIMITNEWS_RELAY	     /* from a relay to the hosts of its region */
} limitnews_kind_t;

#define LIMITNEWS_MAX_ENTRIES 40 /* in a message */
/* Older statements are not passed on. */
#define LIMITNEWS_MAX_AGE_MS 600000

typedef struct limitnews_entry {
	uint64_t process;  /* process_hash of an endpoint */
	double per_s;	   /* 0: the limit ended */
	int64_t stated_ms; /* when the endpoint stated it */
} limitnews_entry_t;

typedef struct limitnews {
	limitnews_kind_t kind;
	limitnews_entry_t entries[LIMITNEWS_MAX_ENTRIES];
	size_t count;
} limitnews_t;

/* Whether the message is of these kinds; it may still be malformed. */
bool limitnews_is_message(str_t message);

void limitnews_write(const limitnews_t *news, int64_t now_ms, buf_t *out);

/* ERRORS: ERR_INVALID. */
err_code_t limitnews_read(str_t message, int64_t now_ms, limitnews_t *news,
			  err_t *err);

#endif
