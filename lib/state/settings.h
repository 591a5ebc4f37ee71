#ifndef STATE_SETTINGS_H
#define STATE_SETTINGS_H

#include "base/buf.h"
#include "base/plog.h"
#include "state/sheet.h"

/*
 * settings - the TOML settings of one daemon, fully checked
 *
 * Faults are reported as in sheetcheck. A daemon exits with status 2 when its
 * settings are refused.
 */
#define SETTINGS_MAX_SEEDS 32

typedef enum settings_role {
	SETTINGS_ENTRY,
	SETTINGS_DISPATCH
} settings_role_t;

typedef struct settings {
	settings_role_t role;
	char *host;		/* [process] host */
	char *domain;		/* [process] domain */
	plog_level_t log_level; /* [process] log_level, default info */
	char *listen;		/* [listen] callers (entry), peers (dispatch) */
	char *admin;		/* [listen] admin */
	char *advertise; /* [listen] advertise, default peers (dispatch) */
	char *seeds[SETTINGS_MAX_SEEDS]; /* [peers] seeds, dispatch addresses */
	size_t seed_count;
	char *local_dispatch; /* [peers] local (entry), may be NULL */
	char *platform;	      /* [platform] address, may be NULL */
	char *sheet_file;     /* [platform] sheet_file read at start, or NULL */
	uint8_t operator_digest[SHEET_DIGEST_BYTES]; /* [operator] key_sha256 */
	char *trace_file;	/* [trace] file, may be NULL */
	int64_t max_body_bytes; /* [limits] max_body_bytes, default 1 MiB */
	unsigned threads;	/* [limits] threads (entry), default 64 */
} settings_t;

/*
 * Parses `text` for a daemon of this role.
 *
 * RETURN VALUE: the settings, or NULL with the faults in `report`.
 */
settings_t *settings_parse(str_t text, const char *file, settings_role_t role,
			   buf_t *report);

/* Reads and parses a file. */
settings_t *settings_load(const char *file, settings_role_t role,
			  buf_t *report);
void settings_free(settings_t *settings);

#endif
