#ifndef STATE_NOTICETABLE_H
#define STATE_NOTICETABLE_H

#include <stddef.h>

#include "coordination/notice.h"

/*
 * noticetable - table of the notices of all endpoints, by process
 *
 * An endpoint's record may be removed and added again while its process keeps
 * running, so notices are stored by process and stay valid across such changes.
 * Few endpoints ever give a notice; the others have no entry.
 */

/* At this number a new entry replaces the oldest one without references. */
#define NOTICETABLE_MAX_ENTRIES 4096

typedef struct noticetable_entry {
	notice_t notice;
	uint64_t process_hash; /* hash of an endpoint's id and incarnation */
	unsigned refs;
	struct noticetable_entry *next;
} noticetable_entry_t;

typedef struct noticetable {
	noticetable_entry_t *first; /* list, newest first */
	size_t count;
} noticetable_t;

/* RETURN VALUE: the entry of a process with a reference for the caller; NULL
 * when there is none. */
noticetable_entry_t *noticetable_find(const noticetable_t *table,
				      uint64_t process_hash);

/* The same, but adds a missing entry. */
noticetable_entry_t *noticetable_get(noticetable_t *table,
				     uint64_t process_hash);
void noticetable_unref(noticetable_entry_t *entry);

/* Frees all entries; there must be no references left. */
void noticetable_release(noticetable_t *table);

#endif
