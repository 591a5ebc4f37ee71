#ifndef REPLICAS_H
#define REPLICAS_H

#include "base/buf.h"
#include "state/replica.h"

/*
 * replicas - replicas for the tests of replica and its eras
 */

/* The changes that took effect, such as "a=1 b=- " for a put and a removal. */
extern buf_t changes;

/* Appends to `changes`; for a replica_observer_t. */
void on_change(void *user, str_t key, str_t value);
replica_t *create_replica(void);

/* Compares the recorded changes with the expected ones, and clears them. */
bool match_and_reset_changes(const char *expected);

/* A replica_visit_t; `user` is the replica that a record is copied to. */
void copy_record(void *user, str_t key, str_t value, int64_t revision);

/* Puts records such as "a=1", the first one at `revision`. */
void put_all(replica_t *replica, const char *const *values, int64_t revision);

/* Lists records such as "a=1", from revision 1 on, in the replica's era. */
void list_records(replica_t *replica, const char *const *values,
		  int64_t revision);

#endif
