#include "state/replica_internal.h"

#include <stdlib.h>

void replica_begin_era(replica_t *replica, int64_t era)
{
	replica->position = (position_t){.era = era};
	replica->history_start = 0;
	replica->era_listed = false;
	for (size_t i = 0; i < replica->count; i++) {
		replica->records[i].revision = 0;
		replica->records[i].origin = RECORD_CARRIED;
	}
}

static bool is_older(const replica_t *replica, const record_t *record,
		     str_t held, str_t offered)
{
	const replica_observer_t *observer = &replica->observer;

	return observer->is_older &&
	       observer->is_older(observer->user, replica_record_key(record),
				  held, offered);
}

static void set_former(record_t *record, str_t value)
{
	char *copy = str_dup(value);

	if (!copy)
		abort();
	free(record->former);
	record->former = copy;
	record->former_len = value.len;
}

/* A value that is listed for a removed record is either the copy's, or was
 * written after the restore. After the listing, only the latter arrives. */
static bool hold_removed(replica_t *replica, record_t *record, str_t value)
{
	str_t former = {record->former, record->former_len};

	if (replica->era_listed || !former.ptr ||
	    (!str_equals(former, value) &&
	     !is_older(replica, record, former, value)))
		return false;
	set_former(record, value);
	record->origin = RECORD_WITHHELD;
	return true;
}

static bool hold_present(replica_t *replica, record_t *record, str_t value)
{
	str_t held = replica_record_value(record);

	if (str_equals(held, value))
		record->origin = RECORD_CURRENT;
	else if (is_older(replica, record, held, value))
		record->origin = RECORD_KEPT;
	else
		return false;
	return true;
}

bool replica_hold(replica_t *replica, record_t *record, str_t value,
		  int64_t revision)
{
	bool held;

	if (record->origin == RECORD_CURRENT)
		return false;
	held = record->value ? hold_present(replica, record, value) :
			       hold_removed(replica, record, value);
	if (held) {
		record->revision = revision;
		record->listing = replica->listing;
	}
	return held;
}

/* Ends the hold of records that a second listing of the era lacks. */
static void drop_withheld(replica_t *replica)
{
	for (size_t i = 0; i < replica->count; i++) {
		record_t *record = &replica->records[i];

		if (record->origin == RECORD_WITHHELD &&
		    record->listing != replica->listing)
			record->origin = RECORD_CURRENT;
	}
}

static replica_held_t count_held(const replica_t *replica)
{
	replica_held_t held = {0};

	for (size_t i = 0; i < replica->count; i++) {
		const record_t *record = &replica->records[i];

		held.missing +=
			record->origin == RECORD_CARRIED && record->value;
		held.older += record->origin == RECORD_KEPT;
		held.removed += record->origin == RECORD_WITHHELD;
	}
	return held;
}

void replica_end_era_listing(replica_t *replica)
{
	replica_held_t held;

	drop_withheld(replica);
	if (replica->era_listed)
		return;
	replica->era_listed = true;
	held = count_held(replica);
	if (replica->observer.era_listed &&
	    (held.missing || held.older || held.removed))
		replica->observer.era_listed(replica->observer.user, &held);
}

static record_t *find_origin(const replica_t *replica, record_origin_t origin)
{
	for (size_t i = 0; i < replica->count; i++)
		if (replica->records[i].origin == origin)
			return &replica->records[i];
	return NULL;
}

/* Removes a record that the service lacks, unless it is a tombstone already. */
static void settle_carried(replica_t *replica, record_t *record)
{
	char *key;

	record->origin = RECORD_CURRENT;
	if (!record->value)
		return;
	/* The removal may move the record. */
	key = str_dup(replica_record_key(record));
	if (!key)
		abort();
	replica_remove(replica, (str_t){key, record->key_len},
		       replica->position.revision);
	free(key);
}

static void settle_withheld(replica_t *replica, record_t *record)
{
	char *value = record->former;
	size_t len = record->former_len;

	record->former = NULL;
	replica_set_value(replica, record, (str_t){value, len});
	free(value);
}

void replica_settle(replica_t *replica)
{
	record_t *record;

	if (!replica->era_listed)
		return;
	while ((record = find_origin(replica, RECORD_KEPT)))
		record->origin = RECORD_CURRENT;
	while ((record = find_origin(replica, RECORD_WITHHELD)))
		settle_withheld(replica, record);
	while ((record = find_origin(replica, RECORD_CARRIED)))
		settle_carried(replica, record);
}
