#ifndef STATE_REPLICA_INTERNAL_H
#define STATE_REPLICA_INTERNAL_H

#include "state/replica.h"

/*
 * replica_internal - shared by the modules of replica
 *
 * replica.c keeps the records of one era; replica_era.c decides what holds
 * between the begin of an era and replica_settle().
 */

/* How a record relates to the service's records of the current era. */
typedef enum record_origin {
	RECORD_CURRENT,
	RECORD_CARRIED,	 /* from an earlier era, not listed in this one */
	RECORD_KEPT,	 /* the service has an older value at `revision` */
	RECORD_WITHHELD, /* a tombstone, but the service has `former` again */
} record_origin_t;

typedef struct record {
	char *key;
	size_t key_len;
	char *value; /* NULL: a tombstone */
	size_t value_len;
	char *former; /* of a tombstone: the last value; NULL if unknown, or if
			 no eras are used */
	size_t former_len;
	int64_t revision; /* in the current era; 0: none */
	unsigned listing; /* the last full listing that contained it */
	record_origin_t origin;
} record_t;

struct replica {
	replica_observer_t observer;
	record_t *records;
	size_t count, cap;
	size_t tombstone_count;
	position_t position;
	int64_t history_start; /* see replica.h */
	unsigned listing;      /* number of the last full listing */
	bool era_listed;       /* a listing of this era is complete */
};

/* Notes that removals up to `revision` may be unknown. */
void replica_limit_history(replica_t *replica, int64_t revision);

str_t replica_record_key(const record_t *record);
str_t replica_record_value(const record_t *record);

/* Sets the value of a record that has none, or another one. */
void replica_set_value(replica_t *replica, record_t *record, str_t value);

/*
 * Compares a listed or written value with a record of an earlier era.
 *
 * RETURN VALUE: whether the record stays as it is in spite of `value`; its
 * revision and origin have been updated then.
 */
bool replica_hold(replica_t *replica, record_t *record, str_t value,
		  int64_t revision);

/* Notes that the first listing of an era is complete. */
void replica_end_era_listing(replica_t *replica);

#endif
