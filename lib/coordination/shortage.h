#ifndef COORDINATION_SHORTAGE_H
#define COORDINATION_SHORTAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * shortage - spreads requests while a service's engines are short of slots
 *
 * Hosts see each other's loads some hundred milliseconds late. While slots are
 * free that does little harm. When nearly all are taken, the few engines that
 * seem to have room are the same for all hosts, and get the requests of all of
 * them at once: their queues overflow while other engines idle. So a request
 * then compares only a few engines that are picked at random for it. Comparing
 * few random ones keeps loads nearly as even as comparing all would with news
 * that were never late.
 */
typedef struct shortage {
	bool is_short;
} shortage_t;

/* Updates the state with the requests in flight at all engines of the service,
 * and the slots of these engines. */
void shortage_update(shortage_t *shortage, uint64_t in_flight, uint64_t slots);

/* Share of the `count` engines that a request compares: 1 unless slots are
 * short. */
double shortage_sample_share(const shortage_t *shortage, size_t count);

#endif
