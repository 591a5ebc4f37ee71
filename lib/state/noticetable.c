#include "state/noticetable.h"

#include <stdlib.h>

noticetable_entry_t *noticetable_find(const noticetable_t *table,
				      uint64_t process_hash)
{
	noticetable_entry_t *entry = table->first;

	while (entry && entry->process_hash != process_hash)
		entry = entry->next;
	if (entry)
		entry->refs++;
	return entry;
}

/* Frees the oldest entry without references, if there is one. */
static void free_oldest_unused(noticetable_t *table)
{
	noticetable_entry_t **oldest = NULL;
	noticetable_entry_t *entry;

	for (noticetable_entry_t **at = &table->first; *at; at = &(*at)->next)
		if (!(*at)->refs)
			oldest = at;
	if (!oldest)
		return;
	entry = *oldest;
	*oldest = entry->next;
	table->count--;
	free(entry);
}

noticetable_entry_t *noticetable_get(noticetable_t *table,
				     uint64_t process_hash)
{
	noticetable_entry_t *entry = noticetable_find(table, process_hash);

	if (entry)
		return entry;
	if (table->count >= NOTICETABLE_MAX_ENTRIES)
		free_oldest_unused(table);
	entry = calloc(1, sizeof(*entry));
	if (!entry)
		abort();
	entry->process_hash = process_hash;
	entry->refs = 1;
	entry->next = table->first;
	table->first = entry;
	table->count++;
	return entry;
}

void noticetable_unref(noticetable_entry_t *entry)
{
	if (entry)
		entry->refs--;
}

void noticetable_release(noticetable_t *table)
{
	while (table->first) {
		noticetable_entry_t *entry = table->first;

		table->first = entry->next;
		free(entry);
	}
	table->count = 0;
}
