#ifndef STATE_SHEETCHECK_H
#define STATE_SHEETCHECK_H

#include "base/buf.h"
#include "state/sheet.h"

/*
 * sheetcheck - parses and validates a sheet in TOML
 *
 * Every fault is reported in a line of the form
 *
 *	FILE:LINE: KEY: EXPECTED
 *
 * Faults are an unknown key, a wrong type, a value out of range, a duplicate
 * name, a dangling reference, and floors above SHEET_MAX_FLOOR_PERCENT in sum.
 * All faults are reported, not just the first.
 */
#define SHEETCHECK_MAX_BYTES (16UL * 1024 * 1024)

/*
 * Parses `text`; `file` is its name in the report.
 *
 * RETURN VALUE: the sheet with its digest and index, or NULL with the
 * faults in `report`.
 */
sheet_t *sheetcheck_parse(str_t text, const char *file, buf_t *report);

#endif
