#ifndef STATE_SHEETCHECK_INTERNAL_H
#define STATE_SHEETCHECK_INTERNAL_H

#include "state/lineset.h"
#include "state/sheetcheck.h"
#include "state/tomlcheck.h"

/*
 * sheetcheck_internal - shared by the parts that read a sheet
 */
typedef struct sheetcheck_reader {
	sheet_t *sheet;
	tomlcheck_table_t root;
} sheetcheck_reader_t;

/* NULL-terminated names in the order of sheet_state_t. */
extern const char *const sheetcheck_state_names[];

/* Array of an optional or required repeated table in the sheet's memory. */
void *sheetcheck_alloc_array(const sheetcheck_reader_t *r, const char *key,
			     size_t min, size_t max, size_t size,
			     size_t *count);

/* Reports a value that was used before; an empty one was reported already. */
void sheetcheck_require_unique(lineset_t *set, const tomlcheck_table_t *table,
			       const char *key, str_t value, const char *what);

/* The entry's name, which no other entry of the set may have. */
str_t sheetcheck_read_unique_name(const sheetcheck_reader_t *r, lineset_t *set,
				  const tomlcheck_table_t *table);

void sheetcheck_read_domains(const sheetcheck_reader_t *r);

#endif
