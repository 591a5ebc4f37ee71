#ifndef COORDINATION_COLDSHARE_H
#define COORDINATION_COLDSHARE_H

#include "state/sheet.h"

/*
 * coldshare - this host's disjoint share of an endpoint's cold limit
 *
 * The limit is divided among the cold hosts of the endpoint's domain by the
 * sheet alone, so that the sum never exceeds it whatever hosts believe about
 * each other.
 */

/* Margin on top of the longest timeout, in ms. */
#define COLDSHARE_MARGIN_MS 2000

/* What the share depends on, all taken immediately before a send. */
typedef struct coldshare_time {
	int64_t now_ms;	      /* monotonic */
	int64_t started_ms;   /* monotonic start of this process */
	int64_t confirmed_ms; /* monotonic time the sheet was last confirmed */
	int64_t wall_s;	      /* Unix time */
} coldshare_time_t;

/* Units that the sheet gives to this host and address, ignoring time. */
unsigned coldshare_units(const sheet_t *sheet, const sheet_endpoint_t *endpoint,
			 str_t host, str_t address);

/*
 * Units that may be used now: zero during the quarantine after the start and
 * when the sheet has not been confirmed for its cold_share_ttl_s. While a
 * change of the domain's cold hosts is younger than the ttl plus the
 * quarantine, at most `held_before` units: the result of this function for the
 * former sheet at the moment of the change; 0 when this process had none.
 */
unsigned coldshare_usable(const sheet_t *sheet,
			  const sheet_endpoint_t *endpoint, str_t host,
			  str_t address, const coldshare_time_t *time,
			  unsigned held_before);

/* Time after the start in which cold endpoints get nothing, in ms. */
int64_t coldshare_quarantine_ms(const sheet_t *sheet);

#endif
