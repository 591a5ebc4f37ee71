#ifndef COORDINATION_CUSTSHARE_H
#define COORDINATION_CUSTSHARE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * custshare - which customers use more than their share of a service that is
 * short
 *
 * For each customer and service a host counts what is used, which is what it
 * sends to endpoints, and what is demanded, also if it is refused: recent rates
 * of both, and a slow average of the demand, the usual rate. While a service is
 * short, hosts exchange the rates of their largest customers, see custnews.h
 * and custboard.h, and each host gets the totals over all hosts. A customer is
 * over its share while
 *
 * - the service is short at this host,
 * - its demand is above CUSTSHARE_USUAL_FACTOR times its usual rate, and
 * - its use is above its part of the use of all customers, by weight.
 *
 * Without recent totals no customer is over its share. Amounts are in any unit
 * that is the same for all requests of a service. This module does no I/O.
 */
#define CUSTSHARE_RECENT_HALF_LIFE_MS 2000.0
#define CUSTSHARE_USUAL_HALF_LIFE_MS 300000.0
/* Demand enters the usual rate with a delay of this half-life, so that a burst
 * is compared with what was usual before it. */
#define CUSTSHARE_DELAY_HALF_LIFE_MS 10000.0
#define CUSTSHARE_USUAL_FACTOR 3.0
/* A service is short for this long after a request had to wait for it. */
#define CUSTSHARE_SHORT_MS 5000
/* Totals that are older count as unknown. */
#define CUSTSHARE_TOTALS_TTL_MS 4000
#define CUSTSHARE_MAX_REPORT 16 /* customers and services of a host */
#define CUSTSHARE_MAX_TOTALS 32 /* the same over many hosts */
#define CUSTSHARE_MAX_ENTRIES 256
#define CUSTSHARE_MAX_SERVICES 16
#define CUSTSHARE_MAX_WEIGHT 100000

/* A customer's use of a service. */
typedef struct custshare_use {
	uint32_t service;  /* hash of its name */
	uint32_t customer; /* the same */
	unsigned weight;   /* 1 to CUSTSHARE_MAX_WEIGHT */
	double used_per_s; /* recently */
	double demand_per_s;
	double usual_per_s; /* mean demand */
} custshare_use_t;

typedef struct custshare custshare_t;

/* Only the host's age at `now_ms` matters: usual rates are means over it while
 * it is short. */
custshare_t *custshare_create(int64_t now_ms);
void custshare_free(custshare_t *share);

/* Counts a new request for `amount` of the service. A weight of 0 counts as 1.
 */
void custshare_on_demand(custshare_t *share, uint32_t service,
			 uint32_t customer, unsigned weight, double amount,
			 int64_t now_ms);

/* Counts a send to an endpoint. */
void custshare_on_use(custshare_t *share, uint32_t service, uint32_t customer,
		      double amount, int64_t now_ms);

/* Notes that a request of the service has to wait at this host. */
void custshare_on_short(custshare_t *share, uint32_t service, int64_t now_ms);
/* True while any service is short at this host. */
bool custshare_is_short(const custshare_t *share, int64_t now_ms);

/* Sets the totals over all hosts. */
void custshare_set_totals(custshare_t *share, const custshare_use_t *totals,
			  size_t count, int64_t now_ms);

/*
 * RETURN VALUE: 0 when the customer is not over its share of the service, else
 * how many times its share it uses, above 1.
 */
double custshare_excess(const custshare_t *share, uint32_t service,
			uint32_t customer, int64_t now_ms);

/* Notes a request of a customer over its share. RETURN VALUE: true for the
 * first one in CUSTSHARE_SHORT_MS. */
bool custshare_note_over(custshare_t *share, uint32_t service,
			 uint32_t customer, int64_t now_ms);

/* Time in ms by which a request of a customer over its share queues later than
 * its arrival among those of other such customers. */
int64_t custshare_delay_ms(double excess);

/* Time in ms after which a customer of which nothing is sent is back at its
 * share. */
int64_t custshare_recovery_ms(double excess);

/*
 * Lists this host's largest customers for a message.
 *
 * RETURN VALUE: their number, CUSTSHARE_MAX_REPORT at most.
 */
size_t custshare_report(const custshare_t *share, int64_t now_ms,
			custshare_use_t *uses);

/*
 * Moves the uses with the largest parts of what is used of their services to
 * the front. Uses with the same service and customer are added up first.
 *
 * RETURN VALUE: the number of uses to send, `max` at most.
 */
size_t custshare_select_largest(custshare_use_t *uses, size_t count,
				size_t max);

#endif
