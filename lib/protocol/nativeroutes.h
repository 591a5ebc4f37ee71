#ifndef PROTOCOL_NATIVEROUTES_H
#define PROTOCOL_NATIVEROUTES_H

#include "state/fleet.h"
#include "state/sheet.h"

/*
 * nativeroutes - builds a router's catalog and endpoints from a sheet
 *
 * The native interface looks up the routes of chat completions by class and
 * those of calls by path; protocol/native.h defines the format of the keys.
 */
typedef struct nativeroutes_options {
	str_t region; /* of this host; empty: unknown */
	size_t max_body_bytes;
} nativeroutes_options_t;

/* Builds the catalog of a sheet; the caller owns the one reference to it. */
catalog_t *nativeroutes_catalog(const sheet_t *sheet,
				const nativeroutes_options_t *options);

/* Adds, changes and removes endpoints to match the sheet, and sets the regions
 * of the domains. */
void nativeroutes_apply(fleet_t *fleet, const sheet_t *sheet, int64_t now_ms);

/* Sets which domains are evacuated at time `wall_s` (Unix time) by their states
 * and planned absences in the sheet. */
void nativeroutes_update_domains(fleet_t *fleet, const sheet_t *sheet,
				 const catalog_t *catalog, int64_t wall_s,
				 int64_t now_ms);

#endif
