#ifndef STATE_SHEETCHECK_INTERNAL_H
#define STATE_SHEETCHECK_INTERNAL_H

#include "state/lineset.h"
#include "state/sheetcheck.h"
#include "state/tomlcheck.h"

/*
 * sheetcheck_internal - helpers shared by the readers of the sheet's tables
 */
typedef struct sheetcheck_reader {
	sheet_t *sheet;
	tomlcheck_table_t root;
} sheetcheck_reader_t;

/* NULL-terminated names in the order of sheet_state_t. */
extern const char *const sheetcheck_state_names[];

/* Allocates an element of `size` bytes in the sheet's memory for each table of
 * the array `key` and sets `count`. The key is required when `min` is not 0. */
void *sheetcheck_alloc_array(const sheetcheck_reader_t *r, const char *key,
			     size_t min, size_t max, size_t size,
			     size_t *count);

/* Reports a duplicate value. Ignores an empty one: the getter that returned it
 * reported the fault. */
void sheetcheck_require_unique(lineset_t *set, const tomlcheck_table_t *table,
			       const char *key, str_t value, const char *what);

/* Reads the name of an entry and reports one that is already in `set`. */
str_t sheetcheck_read_unique_name(const sheetcheck_reader_t *r, lineset_t *set,
				  const tomlcheck_table_t *table);

void sheetcheck_read_domains(const sheetcheck_reader_t *r);

#endif
