#ifndef COORDINATION_COLDSHARE_H
#define COORDINATION_COLDSHARE_H

#include "state/sheet.h"

/*
 * coldshare - this host's disjoint share of an endpoint's cold limit
 *
 * The sheet limits the requests in flight at a cold endpoint and lists the cold
 * hosts of each domain, among which the limit is divided. A unit is one request
 * in flight. The division depends on the sheet alone, so that the sum never
 * exceeds the limit, even when hosts have different views of each other. A host
 * may use no units during the quarantine after its start.
 */

/* The quarantine is the longest request timeout plus this. */
#define COLDSHARE_MARGIN_MS 2000

/* Times that the share depends on, all read immediately before a send. */
typedef struct coldshare_time {
	int64_t now_ms;	      /* monotonic */
	int64_t started_ms;   /* monotonic start of this process */
	int64_t confirmed_ms; /* monotonic time the sheet was last confirmed */
	int64_t wall_s;	      /* Unix time */
} coldshare_time_t;

/* Units that the sheet assigns to this host and address, regardless of time. */
unsigned coldshare_units(const sheet_t *sheet, const sheet_endpoint_t *endpoint,
			 str_t host, str_t address);

/*
 * Units that may be used now: 0 during the quarantine after the start and when
 * the sheet has not been confirmed for its cold_share_ttl_s. For the ttl plus
 * the quarantine after a change of the domain's cold hosts, the result is at
 * most `previous_units`: the result for the former sheet at the time of the
 * change, 0 when this process had no sheet.
 */
unsigned coldshare_usable_units(const sheet_t *sheet,
				const sheet_endpoint_t *endpoint, str_t host,
				str_t address, const coldshare_time_t *time,
				unsigned previous_units);

/* Length of the quarantine after the start. */
int64_t coldshare_quarantine_ms(const sheet_t *sheet);

#endif
