#ifndef PROTOCOL_NATIVEROUTES_H
#define PROTOCOL_NATIVEROUTES_H

#include "state/fleet.h"
#include "state/sheet.h"

/*
 * nativeroutes - a sheet as the catalog and the endpoints of a router
 *
 * The native interface looks up completions by class and calls by their path;
 * this module and protocol/native.h agree on the keys.
 */
typedef struct nativeroutes_options {
	str_t region; /* of this host; empty: not known */
	size_t max_body_bytes;
} nativeroutes_options_t;

/* The catalog of a sheet, with one reference. */
catalog_t *nativeroutes_catalog(const sheet_t *sheet,
				const nativeroutes_options_t *options);

/* Adds, changes and removes endpoints as the sheet says, and states the regions
 * of the domains. */
void nativeroutes_apply(fleet_t *fleet, const sheet_t *sheet, int64_t now_ms);

/* Brings the states up to date, of domains with their plans. */
void nativeroutes_update_domains(fleet_t *fleet, const sheet_t *sheet,
				 const catalog_t *catalog, int64_t wall_s,
				 int64_t now_ms);

#endif
