#ifndef COORDINATION_QUEUE_H
#define COORDINATION_QUEUE_H

#include "state/sheet.h"

/*
 * queue - class queues of one pool at one dispatcher
 *
 * Strict tiers by earliest deadline, a floor for every class by deficit
 * counting, deficit round robin by tokens among a class's customers, bounded
 * queues, displacement of lower tiers only. See section 6.7 of docs/design.md.
 */
typedef struct queue queue_t;

/* Queued entries beyond the first of each class: 8,192 entries of 1 KiB body
 * are 8 MiB. The first entry of a class has room in any case, so that no class
 * is kept out or displaced altogether. */
#define QUEUE_MAX_TOTAL 8192
/*
 * A customer may queue up to this many times the free places of its class, so
 * that one customer fills at most 4/5 of a class and others find room.
 */
#define QUEUE_CUSTOMER_SHARE 4
/*
 * Least floor in percent that a class is served by, whatever the sheet says.
 * A class with queued entries and floor f is served within
 * ceil(100 / max(f, 1)) + SHEET_MAX_CLASSES pops as long as the floors add up
 * to at most 50: after 132 pops at the latest with floor 0.
 */
#define QUEUE_MIN_FLOOR_PERCENT 1
/* Tokens that a customer of weight 1 may send in one round. */
#define QUEUE_QUANTUM_TOKENS 1024
/* Larger costs count as this, which bounds the rounds of one pop. */
#define QUEUE_MAX_COST_TOKENS 65536

/* An entry that its owner embeds; the names stay valid while queued. */
typedef struct queue_entry {
	unsigned class_index;
	str_t customer;
	unsigned customer_weight;
	int64_t enqueued_ms;
	int64_t target_ms;   /* monotonic time of the first-token target */
	int64_t deadline_ms; /* monotonic time at which it is given up */
	uint64_t cost_tokens;
	struct queue_entry *prev, *next;   /* used by the queue */
	void *owner;			   /* used by the queue: its customer */
	struct queue_entry *older, *newer; /* used by the queue */
	uint64_t sequence;		   /* used by the queue */
	size_t slots[2];		   /* used by the queue */
} queue_entry_t;

typedef enum queue_verdict {
	QUEUE_ACCEPTED,
	QUEUE_FULL,    /* refused by a bound; retry later */
	QUEUE_TOO_LATE /* refused; it could not start before its deadline */
} queue_verdict_t;

queue_t *queue_create(const sheet_t *sheet);
void queue_free(queue_t *queue);

/* Takes over the classes of a new sheet; entries of classes that are gone come
 * back through `dropped`, linked by next. */
void queue_apply_sheet(queue_t *queue, const sheet_t *sheet,
		       queue_entry_t **dropped);

/*
 * Admits an entry. Its class must have room by max_queue, and its customer by
 * QUEUE_CUSTOMER_SHARE; displacing another class would not make such room.
 * When QUEUE_MAX_TOTAL entries are queued, the newest entry of the lowest tier
 * strictly below is displaced and comes back through `displaced` for an
 * immediate "not run"; otherwise `*displaced` is NULL.
 * `wait_ms` is the expected wait; above the time to the deadline: too late.
 */
queue_verdict_t queue_push(queue_t *queue, queue_entry_t *entry, int64_t now_ms,
			   int64_t wait_ms, queue_entry_t **displaced);

/* Removes and returns the entry that an arrival of this tier would displace, or
 * NULL: for a bound that the queue does not know. */
queue_entry_t *queue_displace(queue_t *queue, unsigned tier);

/* Next entry to send, or NULL. Never one whose deadline has passed. */
queue_entry_t *queue_pop(queue_t *queue, int64_t now_ms);

/* Puts a popped entry that could not be sent back in front, beyond any bound.
 * Directly after its pop, the pop does not count as a send. */
void queue_push_back(queue_t *queue, queue_entry_t *entry);

/* Removes an entry, such as a cancelled one. */
void queue_remove(queue_t *queue, queue_entry_t *entry);

/* Removes and returns one entry whose deadline has passed, or NULL. */
queue_entry_t *queue_pop_expired(queue_t *queue, int64_t now_ms);

size_t queue_length(const queue_t *queue);
size_t queue_class_length(const queue_t *queue, unsigned class_index);

/* Tokens queued at this tier and above it: what a new entry waits behind. */
uint64_t queue_tokens_ahead(const queue_t *queue, unsigned tier);

/* Earliest deadline of all entries, or INT64_MAX. */
int64_t queue_next_deadline(const queue_t *queue);

#endif
