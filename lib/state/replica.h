#ifndef STATE_REPLICA_H
#define STATE_REPLICA_H

#include <stddef.h>

#include "base/str.h"
#include "state/position.h"

/*
 * replica - this host's copy of the configuration service's records
 *
 * Changes arrive from the service or from other hosts, in any order and more
 * than once; only a change with a newer revision of its key takes effect. A
 * removed key leaves a tombstone, so that the removal reaches other hosts and
 * an older copy doesn't restore the record.
 *
 * Two revisions bound what a replica knows of an era. Up to its position it
 * knows which records there are. After its history start it also knows which
 * were removed: a listing doesn't tell what was removed before it, and old
 * tombstones are dropped. A host whose own position is before the history start
 * needs all records; the changes since then might lack a removal.
 *
 * A new era (see position.h) begins when the service was restored from an older
 * copy. It then lacks changes that are known here, until their writers have
 * written them again. So the first full listing of an era doesn't simply
 * replace the records. Until replica_settle():
 *
 *   - a record that the listing lacks is kept;
 *   - a record whose listed value is older (see replica_observer_t) keeps its
 *     value;
 *   - a record that was removed before, and that the listing has again with
 *     its last or an older value, stays removed.
 *
 * Records that are written after the listing take effect as usual.
 */

/* Above this number the oldest tombstone is dropped. */
#define REPLICA_MAX_TOMBSTONES 256

typedef struct replica replica_t;

/* Numbers of records that the first listing of an era did not change. */
typedef struct replica_held {
	size_t missing; /* not listed, kept */
	size_t older;	/* listed with an older value, value kept */
	size_t removed; /* listed again after their removal, still removed */
} replica_held_t;

typedef struct replica_observer {
	/* Called for each change that takes effect; `value` has ptr NULL when
	 * the key was removed. */
	void (*changed)(void *user, str_t key, str_t value);
	/* RETURN VALUE: whether the contents of the values show that `offered`
	 * was written before `held`. NULL: they never do. */
	bool (*is_older)(void *user, str_t key, str_t held, str_t offered);
	/* The first listing of an era is complete and records are held; the
	 * observer calls replica_settle() when their writers have had time to
	 * write them again. NULL: no eras are used. */
	void (*era_listed)(void *user, const replica_held_t *held);
	void *user;
} replica_observer_t;

replica_t *replica_create(const replica_observer_t *observer);
void replica_free(replica_t *replica);

/* A record that the replica lacks, and whose revision its position has passed,
 * was removed: it is ignored. RETURN VALUE: true when the change took effect.
 */
bool replica_put(replica_t *replica, str_t key, str_t value, int64_t revision);
bool replica_remove(replica_t *replica, str_t key, int64_t revision);

/*
 * All keys of a full listing are put between replica_begin_listing(), which
 * returns the listing's number, and replica_end_listing(). The latter removes
 * all other keys, unless they are newer than `revision`, the revision at which
 * the listing began, or are held from an earlier era.
 *
 * Only the listing that began last can be ended: one that is read in several
 * pages doesn't know what another one has put and removed in between. Its puts
 * hold; the changes since the position of the other one tell the rest.
 *
 * RETURN VALUE of replica_end_listing(): false when another listing has begun;
 * then the listing has no effect but its puts.
 */
unsigned replica_begin_listing(replica_t *replica);
bool replica_end_listing(replica_t *replica, unsigned listing,
			 int64_t revision);

/* RETURN VALUE: whether no other listing has begun since. */
bool replica_is_listing(const replica_t *replica, unsigned listing);

/* Begins an era. The revision is 0 until the first listing is complete. */
void replica_begin_era(replica_t *replica, int64_t era);

/* Accepts the service's state of all held records, except that a record with an
 * older value keeps its own until the next change of its key. Does nothing
 * before the first listing of the era is complete. */
void replica_settle(replica_t *replica);

/* RETURN VALUE: the position up to which all changes are known. */
position_t replica_position(const replica_t *replica);
int64_t replica_revision(const replica_t *replica);

/* Moves the position to a later revision, up to which all changes since the
 * last position have been applied. */
void replica_advance(replica_t *replica, int64_t revision);

/*
 * Visits the changes after `position`, tombstones (value.ptr NULL) included.
 *
 * RETURN VALUE: false when the position is of another era or before the history
 * start; then all records that the service has were visited instead, as a full
 * listing.
 */
typedef void (*replica_visit_t)(void *user, str_t key, str_t value,
				int64_t revision);
bool replica_changes(const replica_t *replica, position_t position,
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
