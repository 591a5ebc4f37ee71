#ifndef COORDINATION_SPEEDQUEUE_H
#define COORDINATION_SPEEDQUEUE_H

#include "coordination/speednews.h"
#include "state/fleet.h"

/*
 * speedqueue - samples of endpoints' speed on their way to all hosts
 *
 * A host sends its own new samples to the relay of its region. A relay adds up
 * what it receives until it sends it on: the samples of its region to the other
 * relays, and those of all regions to the hosts of its region. Every host, also
 * the one that a sample comes from, counts it when a relay sends it. What is
 * queued lies with the endpoints, so it is dropped with them.
 *
 * When a relay may not send all that is queued, endpoints take turns. This
 * module does no I/O.
 */
typedef struct speedqueue {
	size_t next; /* index of the endpoint that is next to be sent */
} speedqueue_t;

/* Samples that were taken off the queue. */
typedef struct speedqueue_batch {
	speednews_t own_region;	 /* of this host; at a relay, of its region */
	speednews_t all_regions; /* at a relay only */
} speedqueue_batch_t;

/*
 * Takes the samples of up to `max` endpoints, and of as many as fit into a
 * message. A relay counts them for its own estimates.
 *
 * RETURN VALUE: the number of endpoints; 0 when nothing is queued.
 */
size_t speedqueue_take(speedqueue_t *queue, const fleet_t *fleet, bool is_relay,
		       size_t max, int64_t now_ms, speedqueue_batch_t *batch);

/* Counts what a relay sent, or queues what a relay has to send on. Another host
 * drops the latter: its sender takes it for the relay by mistake. */
void speedqueue_receive(const fleet_t *fleet, bool is_relay,
			const speednews_t *news, int64_t now_ms);

#endif
