#ifndef COORDINATION_FLOORS_H
#define COORDINATION_FLOORS_H

#include <stddef.h>
#include <stdint.h>

/*
 * floors - guaranteed share of the sends for each class of requests
 *
 * Classes with a higher priority are served first. A waiting class earns credit
 * with each send of another class and is due when the credit reaches one send;
 * otherwise a long burst of higher classes would starve it.
 */
#define FLOORS_MAX_CLASSES 32

typedef struct floors_class {
	uint64_t id;	  /* hash of its name */
	unsigned percent; /* guaranteed share of all sends */
	unsigned waiting; /* queued requests of the class */
	double credit;	  /* sends earned but not made */
} floors_class_t;

typedef struct floors {
	floors_class_t classes[FLOORS_MAX_CLASSES];
	size_t count;
} floors_t;

/* Finds the class of this id or adds it; NULL when the table is full. */
floors_class_t *floors_get(floors_t *floors, uint64_t id, unsigned percent);

/* Records a send of a class; `id` 0 means a class that is not in the table. */
void floors_on_send(floors_t *floors, uint64_t id);

/* The class to be served next regardless of priority; NULL if none is due. */
const floors_class_t *floors_due(const floors_t *floors);

#endif
