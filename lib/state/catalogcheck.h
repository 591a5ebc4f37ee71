#ifndef STATE_CATALOGCHECK_H
#define STATE_CATALOGCHECK_H

#include "base/buf.h"
#include "state/catalog.h"

/*
 * catalogcheck - review of a decoded configuration before it is sent
 *
 * Reports entries that can never match and limits that contradict each other,
 * and what differs from another version. It looks entries up as hosts do. Each
 * finding is a line of the form
 *
 *	error: KIND NAME: REASON
 *	warning: KIND NAME: REASON
 *
 * An error refuses callers, or sends a request where none was meant to go; a
 * warning is an entry or a limit without effect.
 */
typedef struct catalogcheck_result {
	size_t errors;
	size_t warnings;
} catalogcheck_result_t;

/* Appends the findings for a sealed catalog to `out`. */
void catalogcheck_review(const catalog_t *catalog, buf_t *out,
			 catalogcheck_result_t *result);

/*
 * Appends a line for each route, service and customer that `in_force` lacks or
 * has alone, for each value that differs, and an error for a version that is
 * not above that in force. API keys are counted, not printed.
 */
void catalogcheck_compare(const catalog_t *in_force, const catalog_t *catalog,
			  buf_t *out, catalogcheck_result_t *result);

#endif
