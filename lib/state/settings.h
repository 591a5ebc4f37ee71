#ifndef STATE_SETTINGS_H
#define STATE_SETTINGS_H

#include "base/plog.h"
#include "state/hostsettings.h"
#include "state/sheet.h"

/*
 * settings - the TOML settings file of peridot-routerd
 *
 * peridot-routerd runs without the users' platform; the settings of
 * peridot-hostd are in platform/settings.h. Faults are reported as in
 * sheetcheck. All hosts use the same ports: the port of [listen] peers for
 * gossip and pulls, the next one for loads.
 */
typedef struct settings {
	hostsettings_t base;
	str_t admin;	  /* [listen] admin */
	str_t sheet_file; /* [sheet] file; empty: none */
	str_t trace_file; /* [trace] file; empty: none */
	uint8_t operator_digest[SHEET_DIGEST_BYTES]; /* [operator] key_sha256 */
	size_t max_body_bytes; /* [limits] max_body_bytes */
} settings_t;

/*
 * Parses `text`; `file` names it in reports.
 *
 * RETURN VALUE: the settings, or NULL with the faults in `report`.
 */
settings_t *settings_parse(str_t text, const char *file, buf_t *report);

/* Reads and parses a file; returns as settings_parse(). */
settings_t *settings_load(const char *file, buf_t *report);
void settings_free(settings_t *settings);

#endif
