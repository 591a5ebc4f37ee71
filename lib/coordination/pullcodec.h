#ifndef COORDINATION_PULLCODEC_H
#define COORDINATION_PULLCODEC_H

#include "base/buf.h"
#include "base/err.h"
#include "state/replica.h"

/*
 * pullcodec - messages by which a host takes records from a peer
 *
 * A question is the asking host's revision. An answer is an array of the peer's
 * revision, whether the records are changes only, and the records, each with
 * key, revision and value (nil: removed).
 */
void pullcodec_write_request(int64_t revision, buf_t *out);

/* ERRORS: ERR_INVALID. */
err_code_t pullcodec_read_request(str_t message, int64_t *revision, err_t *err);

/* Appends what changed after a revision, or all records if that isn't known. */
void pullcodec_write_response(const replica_t *replica, int64_t after,
			      buf_t *out);

/*
 * Applies an answer to the replica. `revision` is set to the new revision, or
 * to 0 when the answer is not newer than the replica.
 *
 * ERRORS: ERR_INVALID; the replica is unchanged then.
 */
err_code_t pullcodec_apply_response(replica_t *replica, str_t message,
				    int64_t *revision, err_t *err);

#endif
