#include "state/noticebook.h"

#include <stdlib.h>

noticebook_entry_t *noticebook_find(const noticebook_t *book, uint64_t process)
{
	noticebook_entry_t *entry = book->first;

	while (entry && entry->process != process)
		entry = entry->next;
	if (entry)
		entry->refs++;
	return entry;
}

/* Frees the oldest entry without references, if there is one. */
static void free_oldest_unused(noticebook_t *book)
{
	noticebook_entry_t **oldest = NULL;
	noticebook_entry_t *entry;

	for (noticebook_entry_t **at = &book->first; *at; at = &(*at)->next)
		if (!(*at)->refs)
			oldest = at;
	if (!oldest)
		return;
	entry = *oldest;
	*oldest = entry->next;
	book->count--;
	free(entry);
}

noticebook_entry_t *noticebook_get(noticebook_t *book, uint64_t process)
{
	noticebook_entry_t *entry = noticebook_find(book, process);

	if (entry)
		return entry;
	if (book->count >= NOTICEBOOK_MAX)
		free_oldest_unused(book);
	entry = calloc(1, sizeof(*entry));
	if (!entry)
		abort();
	entry->process = process;
	entry->refs = 1;
	entry->next = book->first;
	book->first = entry;
	book->count++;
	return entry;
}

void noticebook_unref(noticebook_entry_t *entry)
{
	if (entry)
		entry->refs--;
}

void noticebook_release(noticebook_t *book)
{
	while (book->first) {
		noticebook_entry_t *entry = book->first;

		book->first = entry->next;
		free(entry);
	}
	book->count = 0;
}
