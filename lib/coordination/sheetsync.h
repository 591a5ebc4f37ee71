#ifndef COORDINATION_SHEETSYNC_H
#define COORDINATION_SHEETSYNC_H

#include "base/err.h"
#include "base/mclock.h"
#include "state/replica.h"
#include "state/sheet.h"

/*
 * sheetsync - the active sheet and its nodes in the replica
 *
 * A sheet that an operator submits is checked against the active one and stored
 * in the replica as the nodes of state/node.h. The version of the sheet is
 * their revision, so that peers pull only the nodes that changed. A host that
 * pulls a newer root from a peer builds the sheet from its replica. The active
 * version never decreases.
 */
typedef struct sheetsync sheetsync_t;

/* `changed` is called when another sheet became active; `old` is NULL for the
 * first one and is freed after the call. */
typedef struct sheetsync_observer {
	void (*changed)(void *user, const sheet_t *old, const sheet_t *new,
			const char *source);
	void *user;
} sheetsync_observer_t;

sheetsync_t *sheetsync_create(replica_t *replica, const mclock_t *clock,
			      const sheetsync_observer_t *observer);
void sheetsync_free(sheetsync_t *sync);

/*
 * Activates and publishes a sheet from a file or an operator. Takes ownership
 * of `sheet`, also on failure. A sheet with the version and content of the
 * active one only confirms the active one.
 *
 * ERRORS: those of sheetchange_check(), ERR_TOO_LARGE from packing.
 */
err_code_t sheetsync_submit(sheetsync_t *sync, sheet_t *sheet,
			    const char *source, err_t *err);

/* Records that a file still holds this version. */
void sheetsync_confirm(sheetsync_t *sync, uint64_t version);

/* Activates a newer sheet of the replica; to be called after records were
 * pulled from a peer. */
void sheetsync_refresh(sheetsync_t *sync, const char *source);

/* The active sheet; NULL before the first. */
const sheet_t *sheetsync_sheet(const sheetsync_t *sync);

/* When an operator or a file last confirmed the active sheet; monotonic ms. */
int64_t sheetsync_confirmed_ms(const sheetsync_t *sync);

#endif
