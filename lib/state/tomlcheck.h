#ifndef STATE_TOMLCHECK_H
#define STATE_TOMLCHECK_H

#include "base/buf.h"
#include "state/sheet.h"
#include "state/toml.h"

/*
 * tomlcheck - typed access to TOML tables that reports every fault
 *
 * Faults are appended to the report as FILE:LINE: KEY: EXPECTED. A getter that
 * reports a fault returns a usable value, so that the caller can continue and
 * find the other faults. KEY counts array elements from 0, as in class[2].tier.
 */
#define TOMLCHECK_MAX_FAULTS 100 /* lines in a report */
#define TOMLCHECK_PATH_BYTES 96	 /* including the final NUL */

typedef struct tomlcheck {
	const char *file;
	buf_t *report;
	size_t faults; /* also counts those that are not listed */
	toml_doc_t *doc;
} tomlcheck_t;

typedef struct tomlcheck_table {
	tomlcheck_t *check;
	const toml_node_t *node;
	char path[TOMLCHECK_PATH_BYTES]; /* of keys; empty for the document */
} tomlcheck_table_t;

/* Specification of a key with an integer value. */
typedef struct tomlcheck_int {
	const char *key;
	int64_t min;
	int64_t max;
	int64_t fallback; /* value of a missing key that is not required */
	bool required;
} tomlcheck_int_t;

typedef enum tomlcheck_presence {
	TOMLCHECK_OPTIONAL,
	TOMLCHECK_REQUIRED
} tomlcheck_presence_t;

/* Parses the text; false after reporting a fault. `file` and `report` must
 * outlive `check`. */
bool tomlcheck_open(tomlcheck_t *check, str_t text, size_t max_bytes,
		    const char *file, buf_t *report);
void tomlcheck_close(tomlcheck_t *check);

tomlcheck_table_t tomlcheck_root(tomlcheck_t *check);

/* Reports a fault of the key, or of the table itself when `key` is NULL. The
 * format describes what is expected. */
void tomlcheck_report(const tomlcheck_table_t *table, const char *key,
		      unsigned line, const char *format, ...)
	__attribute__((format(printf, 4, 5)));

/* Line of a key's value, or of the table when the key is missing. */
unsigned tomlcheck_line(const tomlcheck_table_t *table, const char *key);

/* Reports each key that is not in the NULL-terminated list. */
void tomlcheck_check_keys(const tomlcheck_table_t *table,
			  const char *const *known);

/* Gets a table; false when it is missing or of another type. */
bool tomlcheck_get_table(const tomlcheck_table_t *table, const char *key,
			 tomlcheck_presence_t presence, tomlcheck_table_t *out);

/* Number of elements of an array, at most `max`; 0 when it is missing. Reports
 * a number outside `min` to `max`. The key is required when `min` is not 0.
 * `element` describes the elements in the report. */
size_t tomlcheck_get_array(const tomlcheck_table_t *table, const char *key,
			   size_t min, size_t max, const char *element);

/* Element `i` of an array of tables; false when it is no table. */
bool tomlcheck_get_element(const tomlcheck_table_t *table, const char *key,
			   size_t i, tomlcheck_table_t *out);

/* Element `i` of an array of strings; false when it is no string. `path` is set
 * to the element's key, KEY[i]. */
bool tomlcheck_get_string_element(const tomlcheck_table_t *table,
				  const char *key, size_t i,
				  char path[TOMLCHECK_PATH_BYTES], str_t *value,
				  unsigned *line);

int64_t tomlcheck_get_int(const tomlcheck_table_t *table,
			  const tomlcheck_int_t *spec);
bool tomlcheck_get_bool(const tomlcheck_table_t *table, const char *key,
			tomlcheck_presence_t presence, bool fallback);
/* A string accepted by sheet_is_name(); empty when missing or faulty. */
str_t tomlcheck_get_name(const tomlcheck_table_t *table, const char *key);
/* IP:PORT; empty when missing or faulty. */
str_t tomlcheck_get_address(const tomlcheck_table_t *table, const char *key,
			    tomlcheck_presence_t presence);
/* A file path without NUL; empty when missing or faulty. */
str_t tomlcheck_get_path(const tomlcheck_table_t *table, const char *key);
/* Index of the string in a NULL-terminated list; `fallback` when missing. A
 * negative `fallback` makes the key required. */
int tomlcheck_get_choice(const tomlcheck_table_t *table, const char *key,
			 const char *const *choices, int fallback);
/* Decodes 64 hexadecimal digits; false when missing or faulty. */
bool tomlcheck_get_digest(const tomlcheck_table_t *table, const char *key,
			  uint8_t digest[SHEET_DIGEST_BYTES]);
/* An offset date-time in Unix seconds; 0 when missing or faulty. */
int64_t tomlcheck_get_time(const tomlcheck_table_t *table, const char *key,
			   tomlcheck_presence_t presence);

#endif
