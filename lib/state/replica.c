#include "state/replica_internal.h"

#include <stdlib.h>

replica_t *replica_create(const replica_observer_t *observer)
{
	replica_t *replica = calloc(1, sizeof(*replica));

	if (!replica)
		abort();
	replica->observer = *observer;
	return replica;
}

void replica_clear(replica_t *replica)
{
	for (size_t i = 0; i < replica->count; i++) {
		free(replica->records[i].key);
		free(replica->records[i].value);
		free(replica->records[i].former);
	}
	replica->count = 0;
	replica->tombstone_count = 0;
	replica->position.revision = 0;
	replica->history_start = 0;
}

void replica_free(replica_t *replica)
{
	if (!replica)
		return;
	replica_clear(replica);
	free(replica->records);
	free(replica);
}

void replica_limit_history(replica_t *replica, int64_t revision)
{
	if (revision > replica->history_start)
		replica->history_start = revision;
}

str_t replica_record_key(const record_t *record)
{
	return (str_t){record->key, record->key_len};
}

str_t replica_record_value(const record_t *record)
{
	return (str_t){record->value, record->value_len};
}

static record_t *find_record(const replica_t *replica, str_t key)
{
	for (size_t i = 0; i < replica->count; i++)
		if (str_equals(replica_record_key(&replica->records[i]), key))
			return &replica->records[i];
	return NULL;
}

static char *copy_bytes(str_t s)
{
	char *copy = str_dup(s);

	if (!copy)
		abort();
	return copy;
}

static record_t *add_record(replica_t *replica, str_t key)
{
	record_t *grown;

	if (replica->count == replica->cap) {
		replica->cap = replica->cap ? replica->cap * 2 : 32;
		grown = realloc(replica->records,
				replica->cap * sizeof(*grown));
		if (!grown)
			abort();
		replica->records = grown;
	}
	grown = &replica->records[replica->count++];
	*grown = (record_t){.key = copy_bytes(key), .key_len = key.len};
	replica->tombstone_count++; /* until it has a value */
	return grown;
}

/* Drops the oldest tombstone when there are more than
 * REPLICA_MAX_TOMBSTONES. */
static void limit_tombstones(replica_t *replica)
{
	record_t *oldest = NULL;

	if (replica->tombstone_count <= REPLICA_MAX_TOMBSTONES)
		return;
	for (size_t i = 0; i < replica->count; i++) {
		record_t *record = &replica->records[i];

		if (!record->value && record->origin != RECORD_WITHHELD &&
		    (!oldest || record->revision < oldest->revision))
			oldest = record;
	}
	if (!oldest)
		return; /* all are held until replica_settle() */
	replica_limit_history(replica, oldest->revision);
	free(oldest->key);
	free(oldest->former);
	*oldest = replica->records[--replica->count];
	replica->tombstone_count--;
}

void replica_set_value(replica_t *replica, record_t *record, str_t value)
{
	if (!record->value)
		replica->tombstone_count--;
	free(record->value);
	free(record->former);
	record->former = NULL;
	record->value = copy_bytes(value);
	record->value_len = value.len;
	record->origin = RECORD_CURRENT;
	replica->observer.changed(replica->observer.user,
				  replica_record_key(record), value);
}

/* Turns a record into a tombstone, which remembers the last value for the next
 * era. */
static void clear_value(replica_t *replica, record_t *record)
{
	record->origin = RECORD_CURRENT;
	if (!record->value)
		return;
	replica->tombstone_count++;
	free(record->former);
	record->former = NULL;
	if (replica->observer.era_listed) {
		record->former = record->value;
		record->former_len = record->value_len;
	} else {
		free(record->value);
	}
	record->value = NULL;
	record->value_len = 0;
}

bool replica_put(replica_t *replica, str_t key, str_t value, int64_t revision)
{
	record_t *record = find_record(replica, key);

	if (record && record->revision >= revision) {
		if (record->value || record->origin == RECORD_WITHHELD)
			record->listing = replica->listing;
		return false;
	}
	if (record && replica_hold(replica, record, value, revision))
		return false;
	if (!record && revision <= replica->position.revision)
		return false;
	if (!record)
		record = add_record(replica, key);
	record->revision = revision;
	record->listing = replica->listing;
	replica_set_value(replica, record, value);
	return true;
}

bool replica_remove(replica_t *replica, str_t key, int64_t revision)
{
	record_t *record = find_record(replica, key);
	bool known = record && record->value;

	if (record && record->revision >= revision)
		return false;
	if (!record)
		record = add_record(replica, key);
	clear_value(replica, record);
	record->revision = revision;
	limit_tombstones(replica);
	if (known)
		replica->observer.changed(replica->observer.user, key,
					  (str_t){NULL, 0});
	return known;
}

unsigned replica_begin_listing(replica_t *replica)
{
	return ++replica->listing;
}

bool replica_is_listing(const replica_t *replica, unsigned listing)
{
	return listing == replica->listing;
}

/* Finds a record that the last listing didn't contain. The caller removes these
 * one at a time, since each removal may move records. */
static const record_t *find_unlisted(const replica_t *replica, int64_t revision)
{
	for (size_t i = 0; i < replica->count; i++) {
		const record_t *record = &replica->records[i];

		if (record->value && record->listing != replica->listing &&
		    record->revision <= revision &&
		    record->origin != RECORD_CARRIED)
			return record;
	}
	return NULL;
}

bool replica_end_listing(replica_t *replica, unsigned listing, int64_t revision)
{
	const record_t *record;

	if (!replica_is_listing(replica, listing))
		return false;
	while ((record = find_unlisted(replica, revision))) {
		char *key = copy_bytes(replica_record_key(record));
		size_t len = record->key_len;
		/* A record at the listing's own revision would be listed, so
		 * its removal is newer. */
		int64_t removed = record->revision < revision ?
					  revision :
					  record->revision + 1;

		replica_remove(replica, (str_t){key, len}, removed);
		free(key);
	}
	replica_advance(replica, revision);
	replica_limit_history(replica, revision);
	replica_end_era_listing(replica);
	return true;
}

position_t replica_position(const replica_t *replica)
{
	return replica->position;
}

int64_t replica_revision(const replica_t *replica)
{
	return replica->position.revision;
}

void replica_advance(replica_t *replica, int64_t revision)
{
	if (!replica->position.revision)
		replica_limit_history(replica, revision);
	if (revision > replica->position.revision)
		replica->position.revision = revision;
}

/* The value that the service has, which may differ from the one in force. */
static str_t service_value(const record_t *record)
{
	if (record->origin == RECORD_WITHHELD)
		return (str_t){record->former, record->former_len};
	return replica_record_value(record);
}

bool replica_changes(const replica_t *replica, position_t position,
		     replica_visit_t visit, void *user)
{
	bool complete = position.era == replica->position.era &&
			position.revision > 0 &&
			position.revision >= replica->history_start;

	for (size_t i = 0; i < replica->count; i++) {
		const record_t *record = &replica->records[i];
		str_t value = service_value(record);

		if (record->origin == RECORD_CARRIED)
			continue;
		if (complete ? record->revision > position.revision :
			       value.ptr != NULL)
			visit(user, replica_record_key(record), value,
			      record->revision);
	}
	return complete;
}

str_t replica_get(const replica_t *replica, str_t key)
{
	const record_t *record = find_record(replica, key);

	return record ? (str_t){record->value, record->value_len} :
			(str_t){NULL, 0};
}

size_t replica_count(const replica_t *replica)
{
	return replica->count - replica->tombstone_count;
}
