#ifndef STATE_NOTICEBOOK_H
#define STATE_NOTICEBOOK_H

#include <stddef.h>

#include "coordination/notice.h"

/*
 * noticebook - table of the notices of all endpoints, by process
 *
 * An endpoint's record may be removed and added again while its process keeps
 * running, so notices are stored by process and stay valid across such changes.
 * Few endpoints ever give a notice; the others have no entry.
 */

/* At this number a new entry replaces the oldest one without references. */
#define NOTICEBOOK_MAX 4096

typedef struct noticebook_entry {
	notice_t notice;
	uint64_t process; /* hash of an endpoint's id and incarnation */
	unsigned refs;
	struct noticebook_entry *next;
} noticebook_entry_t;

typedef struct noticebook {
	noticebook_entry_t *first; /* list, newest first */
	size_t count;
} noticebook_t;

/* RETURN VALUE: the entry of a process with a reference for the caller; NULL
 * when there is none. */
noticebook_entry_t *noticebook_find(const noticebook_t *book, uint64_t process);

/* The same, but adds a missing entry. */
noticebook_entry_t *noticebook_get(noticebook_t *book, uint64_t process);
void noticebook_unref(noticebook_entry_t *entry);

/* Frees all entries; there must be no references left. */
void noticebook_release(noticebook_t *book);

#endif
