#ifndef STATE_SHEETCHANGE_H
#define STATE_SHEETCHANGE_H

#include "base/err.h"
#include "state/sheet.h"

/*
 * sheetchange - validates the change from the active sheet to a new one
 *
 * `old` is the active sheet, or NULL when there is none.
 *
 * RETURN VALUE: ERR_OK, with `same` set when both have the same version and
 * digest; ERR_VERSION for a lower version; ERR_CONFLICT for the same version
 * with another digest; ERR_INVALID when cold hosts of a domain changed without
 * a later cold_hosts_since, when cold_hosts_since decreased, or when the server
 * at an address got another endpoint name or domain without a later
 * cold_hosts_since of its domain.
 */
err_code_t sheetchange_check(const sheet_t *old, const sheet_t *new, bool *same,
			     err_t *err);

#endif
