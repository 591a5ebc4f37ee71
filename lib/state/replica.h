#ifndef STATE_REPLICA_H
#define STATE_REPLICA_H

#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"

/*
 * replica - this host's copy of the configuration service's records
 *
 * Changes arrive from the service or from other hosts, in any order and more
 * than once; only a change with a newer revision of its key takes effect. A
 * removed key leaves a tombstone, so that the removal reaches other hosts and
 * an older copy doesn't restore the record.
 */

/* Above this number the oldest tombstone is dropped. */
#define REPLICA_MAX_TOMBSTONES 256

typedef struct replica replica_t;

/* Called for each change that takes effect; `value` has ptr NULL when the key
 * was removed. */
typedef struct replica_observer {
	void (*changed)(void *user, str_t key, str_t value);
	void *user;
} replica_observer_t;

replica_t *replica_create(const replica_observer_t *observer);
void replica_free(replica_t *replica);

/* RETURN VALUE: true when the change took effect. */
bool replica_put(replica_t *replica, str_t key, str_t value, int64_t revision);
bool replica_remove(replica_t *replica, str_t key, int64_t revision);

/*
 * All keys of a full listing are put between replica_begin_listing() and
 * replica_end_listing(). The latter removes all other keys, unless they are
 * newer than `revision`, the revision at which the listing began.
 */
void replica_begin_listing(replica_t *replica);
void replica_end_listing(replica_t *replica, int64_t revision);

/* RETURN VALUE: the revision up to which all changes are known. */
int64_t replica_revision(const replica_t *replica);
void replica_advance(replica_t *replica, int64_t revision);

/*
 * Visits the changes after `revision`, tombstones (value.ptr NULL) included.
 *
 * RETURN VALUE: false when tombstones newer than `revision` may have been
 * dropped; then all records were visited instead, as a full listing.
 */
typedef void (*replica_visit_t)(void *user, str_t key, str_t value,
				int64_t revision);
bool replica_changes(const replica_t *replica, int64_t revision,
		     replica_visit_t visit, void *user);

/* Drops all records and resets the revision to 0, so that a full listing is
 * fetched next. The observer is not called. */
void replica_clear(replica_t *replica);

/* RETURN VALUE: the value of a key, valid until the next change; ptr NULL when
 * there is no record. */
str_t replica_get(const replica_t *replica, str_t key);

/* Number of records without tombstones. */
size_t replica_count(const replica_t *replica);

#endif
