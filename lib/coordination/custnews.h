#ifndef COORDINATION_CUSTNEWS_H
#define COORDINATION_CUSTNEWS_H

#include "base/buf.h"
#include "base/err.h"
#include "coordination/custshare.h"

/*
 * custnews - messages between hosts about what customers use of services
 *
 * See custshare.h. Messages take the path of loads: from a host to the relay of
 * its region, sums from relays to each other, totals from a relay to the hosts
 * of its region. This module does no I/O.
 */
/* Distinct from the kinds of the other messages on the same port: loadboard.h,
 * prefixnews.h, crashnews.h and limitnews.h. */
typedef enum custnews_kind {
	CUSTNEWS_HOST = 40, /* of one host, to the relay of its region */
	CUSTNEWS_REGION,    /* sums of a region, from a relay to other relays */
	CUSTNEWS_TOTALS	    /* over all hosts, from a relay to its region */
} custnews_kind_t;

typedef struct custnews {
	custnews_kind_t kind;
	uint32_t source; /* number of the sending host, or of its region */
	bool is_short;	 /* a service is short at a host that is counted */
	custshare_use_t uses[CUSTSHARE_MAX_TOTALS];
	size_t count;
} custnews_t;

/* Whether the message is of these kinds; it may still be malformed. */
bool custnews_is_message(str_t message);

void custnews_write(const custnews_t *news, buf_t *out);

/* ERRORS: ERR_INVALID. */
err_code_t custnews_read(str_t message, custnews_t *news, err_t *err);

#endif
