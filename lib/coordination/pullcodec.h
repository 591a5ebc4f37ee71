#ifndef COORDINATION_PULLCODEC_H
#define COORDINATION_PULLCODEC_H

#include "base/buf.h"
#include "base/err.h"
#include "state/replica.h"

/*
 * pullcodec - messages with which a host pulls records from a peer
 *
 * A request is an array of the era and the revision of the requesting host. A
 * response is an array of the peer's era and revision, a flag that is true when
 * the records are only those that changed since the requested position, and the
 * records, each with key, revision and value (nil: removed).
 */
void pullcodec_write_request(position_t position, buf_t *out);

/* ERRORS: ERR_INVALID. */
err_code_t pullcodec_read_request(str_t message, position_t *position,
				  err_t *err);

/* Appends a response with the records that changed after a position, or with
 * all records when the replica does not know what changed since then. */
void pullcodec_write_response(const replica_t *replica, position_t after,
			      buf_t *out);

/* What a response changed. */
typedef struct pullcodec_applied {
	int64_t revision; /* the new one; 0: not newer than the replica */
	bool is_delta;	  /* only changes, not all records */
	size_t records;	  /* number in the response, removals included */
} pullcodec_applied_t;

/*
 * Applies a response to the replica and sets `applied`.
 *
 * ERRORS: ERR_INVALID, also for changes of another era than the replica's and
 * for an era that it can't accept; the replica is unchanged then.
 */
err_code_t pullcodec_apply_response(replica_t *replica, str_t message,
				    pullcodec_applied_t *applied, err_t *err);

#endif
