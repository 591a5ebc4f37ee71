#ifndef COORDINATION_FLOORS_H
#define COORDINATION_FLOORS_H

#include <stddef.h>
#include <stdint.h>

/*
 * floors - a guaranteed share of the sends for each class of requests
 *
 * Urgent classes go first, but a class that waits earns a part of each send
 * until one is its own: without it, a long burst above it would starve it.
 */
#define FLOORS_MAX_CLASSES 32

typedef struct floors_class {
	uint64_t id;
	unsigned percent; /* of all sends */
	unsigned waiting; /* requests of the class that wait */
	double credit;	  /* sends earned and not made */
} floors_class_t;

typedef struct floors {
	floors_class_t classes[FLOORS_MAX_CLASSES];
	size_t count;
} floors_t;

/* The class of this id, added if needed; NULL when there are too many. */
floors_class_t *floors_get(floors_t *floors, uint64_t id, unsigned percent);

/* Counts a send of a class; `id` 0: of none that is known here. */
void floors_on_send(floors_t *floors, uint64_t id);

/* The class whose turn it is although others are more urgent; NULL if none. */
const floors_class_t *floors_due(const floors_t *floors);

#endif
