#ifndef COORDINATION_SHEETSYNC_H
#define COORDINATION_SHEETSYNC_H

#include "base/err.h"
#include "base/mclock.h"
#include "state/replica.h"
#include "state/sheet.h"

/*
 * sheetsync - the sheet in force, as nodes in the replica
 *
 * A sheet that an operator hands over is checked against the one in force and
 * put into the replica as the nodes of state/node.h, with its version as their
 * revision: peers pull only the nodes that changed. Whoever gets a newer root
 * from a peer takes the sheet from its replica. A version never falls.
 */
typedef struct sheetsync sheetsync_t;

/* Called when a sheet has come into force; `old` may be NULL. */
typedef struct sheetsync_observer {
	void (*changed)(void *user, const sheet_t *old, const sheet_t *new,
			const char *source);
	void *user;
} sheetsync_observer_t;

sheetsync_t *sheetsync_create(replica_t *replica, const mclock_t *clock,
			      const sheetsync_observer_t *observer);
void sheetsync_free(sheetsync_t *sync);

/*
 * Takes over a sheet from a file or an operator, also on failure. The version
 * in force with the same content is a confirmation.
 *
 * ERRORS: those of sheetchange_check(), ERR_TOO_LARGE from packing.
 */
err_code_t sheetsync_submit(sheetsync_t *sync, sheet_t *sheet,
			    const char *source, err_t *err);

/* Notes that a file still states this version. */
void sheetsync_confirm(sheetsync_t *sync, uint64_t version);

/* Looks whether the replica has a newer sheet, after records came from a peer.
 */
void sheetsync_refresh(sheetsync_t *sync, const char *source);

/* The sheet in force; NULL before the first. */
const sheet_t *sheetsync_sheet(const sheetsync_t *sync);

/* When an operator or a file last stated the sheet in force; monotonic ms. */
int64_t sheetsync_confirmed_ms(const sheetsync_t *sync);

#endif
