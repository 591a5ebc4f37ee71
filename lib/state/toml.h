#ifndef STATE_TOML_H
#define STATE_TOML_H

#include <stdint.h>

#include "base/str.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * toml - C interface to libtomlplusplus
 *
 * The document owns its nodes and strings; they are valid until toml_free().
 * These functions throw no exceptions.
 */
typedef struct toml_doc toml_doc_t;
typedef struct toml_node toml_node_t;

typedef enum toml_type {
	TOML_TABLE,
	TOML_ARRAY,
	TOML_STRING,
	TOML_INTEGER,
	TOML_FLOAT,
	TOML_BOOLEAN,
	TOML_DATE_TIME, /* with an offset from UTC */
	TOML_LOCAL_TIME /* a date, a time of day or both, without an offset */
} toml_type_t;

/*
 * Parses a document.
 *
 * RETURN VALUE: the document; NULL with the line and the message (truncated to
 * `message_bytes`) when it is not valid TOML or memory ran out.
 */
toml_doc_t *toml_read(str_t text, unsigned *line, char *message,
		      size_t message_bytes);
void toml_free(toml_doc_t *doc);

const toml_node_t *toml_root(const toml_doc_t *doc);
toml_type_t toml_type_of(const toml_node_t *node);
/* Line of the node in the text, from 1; 0 when the parser reports none. */
unsigned toml_line_of(const toml_node_t *node);

/* The value of the key, or NULL. */
const toml_node_t *toml_table_get(const toml_node_t *table, str_t key);

/* Calls `visit` for each key of the table, ordered by key. */
void toml_table_each(const toml_node_t *table,
		     void (*visit)(void *user, str_t key, unsigned line),
		     void *user);

size_t toml_array_size(const toml_node_t *array);
const toml_node_t *toml_array_at(const toml_node_t *array, size_t i);

/* Typed getters: false when the node has another type. */
bool toml_get_string(const toml_node_t *node, str_t *value);
bool toml_get_int(const toml_node_t *node, int64_t *value);
bool toml_get_bool(const toml_node_t *node, bool *value);
/* Unix time of an offset date-time. */
bool toml_get_unix_s(const toml_node_t *node, int64_t *value);

#ifdef __cplusplus
}
#endif

#endif
