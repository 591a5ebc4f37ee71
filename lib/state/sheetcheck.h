#ifndef STATE_SHEETCHECK_H
#define STATE_SHEETCHECK_H

#include "base/buf.h"
#include "state/sheet.h"

/*
 * sheetcheck - reads and checks the morning sheet in TOML form
 *
 * Every fault is reported as
 *
 *	FILE:LINE: KEY: EXPECTED
 *
 * one a line: unknown key, wrong type, out of range, duplicate name, dangling
 * reference, floors above 50 in sum. All faults are reported, not just the
 * first.
 */
#define SHEETCHECK_MAX_BYTES (16UL * 1024 * 1024)

/*
 * Parses `text`; `file` names it in reports.
 *
 * RETURN VALUE: the sheet with its digest and index in place, or NULL with the
 * faults in `report`.
 */
sheet_t *sheetcheck_parse(str_t text, const char *file, buf_t *report);

#endif
