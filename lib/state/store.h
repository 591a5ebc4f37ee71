#ifndef STATE_STORE_H
#define STATE_STORE_H

#include "base/err.h"
#include "base/mclock.h"
#include "state/sheet.h"

/*
 * store - the sheet in force, replaced under RCU
 *
 * One store per process. Readers call store_read_lock(), use store_sheet(),
 * and call store_read_unlock(); they take no lock. Each thread registers with
 * store_register_thread() first. Writers are serialised by the store.
 */
typedef struct store store_t;

store_t *store_create(const mclock_t *clock);
void store_free(store_t *store);

void store_register_thread(void);
void store_unregister_thread(void);
void store_read_lock(void);
void store_read_unlock(void);

/* The sheet in force, or NULL before the first. Valid until the unlock. */
const sheet_t *store_sheet(const store_t *store);

/*
 * Puts a sheet in force and takes ownership of it, also on failure. Frees the
 * former one after a grace period, for which it waits: a thread must not call
 * this within its own read lock.
 *
 * RETURN VALUE: ERR_OK; ERR_OK also when the same version and digest are in
 * force already (counts as a confirmation); ERR_VERSION for a lower version;
 * ERR_CONFLICT for the same version with another digest; ERR_INVALID when
 * cold hosts of a domain changed without a later cold_hosts_since, when
 * cold_hosts_since went back, or when the server at an address got another
 * endpoint name or domain without a later cold_hosts_since of its domain.
 */
err_code_t store_activate(store_t *store, sheet_t *sheet, err_t *err);

/* Notes that the platform or an operator confirmed the version in force. */
void store_confirm(store_t *store, uint64_t version);

/* Monotonic time of the last confirmation, in ms. */
int64_t store_confirmed_ms(const store_t *store);

/* Version and digest in force; version 0 before the first sheet. `digest` may
 * be NULL. */
uint64_t store_version(const store_t *store,
		       uint8_t digest[SHEET_DIGEST_BYTES]);

/* Notes that a peer has the version in force with other content. */
void store_note_conflict(store_t *store);

/* Conflicts seen: equal versions with other content, offered or at a peer. */
uint64_t store_conflicts(const store_t *store);

#endif
