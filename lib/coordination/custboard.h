#ifndef COORDINATION_CUSTBOARD_H
#define COORDINATION_CUSTBOARD_H

#include "coordination/custnews.h"

/*
 * custboard - a relay's sums of what customers use of services
 *
 * Keeps the last message of each host of the relay's region and of each other
 * region's relay, and sums them. A message that has not been renewed for
 * CUSTBOARD_TTL_MS counts no more. This module does no I/O.
 */
#define CUSTBOARD_TTL_MS 3000
#define CUSTBOARD_MAX_SOURCES 512

typedef struct custboard custboard_t;

custboard_t *custboard_create(void);
void custboard_free(custboard_t *board);

/* Stores a message of kind CUSTNEWS_HOST or CUSTNEWS_REGION in place of the
 * source's last one. Further sources are ignored when the board is full. */
void custboard_add(custboard_t *board, const custnews_t *news, int64_t now_ms);

/*
 * Sets the uses, and whether any service is short, from the stored messages:
 * for CUSTNEWS_REGION from hosts only, for CUSTNEWS_TOTALS from all.
 */
void custboard_sum(const custboard_t *board, custnews_t *news, int64_t now_ms);

/* True while a service is short at any host. */
bool custboard_is_short(const custboard_t *board, int64_t now_ms);

/* Removes messages that are too old. */
void custboard_expire(custboard_t *board, int64_t now_ms);

#endif
