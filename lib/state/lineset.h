#ifndef STATE_LINESET_H
#define STATE_LINESET_H

#include <stddef.h>

#include "base/str.h"

/*
 * lineset - set of strings, each with the line of its first use
 */
typedef struct lineset {
	struct lineset_entry *entries;
	size_t cap;
	size_t count;
} lineset_t;

/*
 * Adds the value if it is new. Its bytes are not copied and must outlive the
 * set.
 *
 * RETURN VALUE: 0 when new, else the line of the first use.
 */
unsigned lineset_add(lineset_t *set, str_t value, unsigned line);
void lineset_release(lineset_t *set);

#endif
