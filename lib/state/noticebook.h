#ifndef STATE_NOTICEBOOK_H
#define STATE_NOTICEBOOK_H

#include <stddef.h>

#include "coordination/notice.h"

/*
 * noticebook - the notices of all endpoints, by process
 *
 * Records come and go while an endpoint's process lives on: a notice is kept by
 * the process that it concerns, so that it holds across each change of record.
 * Few endpoints ever give one; those that did not have no entry.
 */
/* The oldest entry that no endpoint uses yields to one more. */
#define NOTICEBOOK_MAX 4096

typedef struct noticebook_entry {
	notice_t notice;
	uint64_t process; /* an endpoint's id and incarnation, as a hash */
	unsigned refs;
	struct noticebook_entry *next;
} noticebook_entry_t;

typedef struct noticebook {
	noticebook_entry_t *first; /* the newest */
	size_t count;
} noticebook_t;

/* The entry of a process with one more reference; NULL when it has none. */
noticebook_entry_t *noticebook_find(const noticebook_t *book, uint64_t process);

/* The same, but adds the entry. */
noticebook_entry_t *noticebook_get(noticebook_t *book, uint64_t process);
void noticebook_unref(noticebook_entry_t *entry);

/* Frees all entries; no endpoint uses one any more. */
void noticebook_release(noticebook_t *book);

#endif
