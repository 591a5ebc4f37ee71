#ifndef COORDINATION_PULLCODEC_H
#define COORDINATION_PULLCODEC_H

#include "base/buf.h"
#include "base/err.h"
#include "state/replica.h"

/*
 * pullcodec - messages with which a host pulls records from a peer
 *
 * A request is the revision of the requesting host. A response is an array of
 * the peer's revision, a flag that is true when the records are only those that
 * changed since the requested revision, and the records, each with key,
 * revision and value (nil: removed).
 */
void pullcodec_write_request(int64_t revision, buf_t *out);

/* ERRORS: ERR_INVALID. */
err_code_t pullcodec_read_request(str_t message, int64_t *revision, err_t *err);

/* Appends a response with the records that changed after a revision, or with
 * all records when the replica does not know what changed since then. */
void pullcodec_write_response(const replica_t *replica, int64_t after_revision,
			      buf_t *out);

/*
 * Applies a response to the replica. `revision` is set to the new revision, or
 * to 0 when the response is not newer than the replica.
 *
 * ERRORS: ERR_INVALID; the replica is unchanged then.
 */
err_code_t pullcodec_apply_response(replica_t *replica, str_t message,
				    int64_t *revision, err_t *err);

#endif
