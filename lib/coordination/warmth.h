#ifndef COORDINATION_WARMTH_H
#define COORDINATION_WARMTH_H

#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"

/*
 * warmth - whether an engine is known to be warm
 *
 * An engine counts as cold until a response proves that it is warm, and again
 * when the proof has expired or the engine has restarted. Each response carries
 * the boot id of the engine. A request carries the boot id that its sender
 * knows, and an engine with another one refuses it, so that no request relies
 * on the state of an engine before its restart.
 */
/* Validity of a proof: an engine may become cold without notice. */
#define WARMTH_PROOF_MS 1000
#define WARMTH_BOOT_ID_BYTES 40

typedef struct warmth {
	char boot_id[WARMTH_BOOT_ID_BYTES]; /* empty: not known yet */
	bool unreachable; /* the last connection attempt or probe failed */
	bool refusing; /* refused a request and has not accepted work since */
	bool proven;
	int64_t proven_ms; /* send time of the request that gave the last proof
			    */
	int64_t invalidated_ms; /* requests sent until then prove nothing */
	/* Requests that have ended on this host but may still run on the
	 * engine; the last of them ends at orphaned_until_ms. */
	unsigned orphaned_requests;
	int64_t orphaned_until_ms;
} warmth_t;

bool warmth_is_proven(const warmth_t *warmth, int64_t now_ms);

/*
 * Handles the response to a request that was sent at `sent_ms`. `cold` is the
 * state that the engine reported in it.
 */
void warmth_on_answer(warmth_t *warmth, str_t boot_id, bool cold,
		      int64_t sent_ms, int64_t now_ms);

/* Discards the proof: the engine may have restarted, since its connection broke
 * or its port is closed. */
void warmth_invalidate(warmth_t *warmth, int64_t now_ms);

/* A connection attempt or a probe of the engine failed. */
void warmth_on_unreachable(warmth_t *warmth, int64_t now_ms);

/*
 * Sets whether the engine refuses work. While it does, it gets probes instead
 * of requests, since a leaving engine would refuse each of them.
 */
void warmth_set_refusing(warmth_t *warmth, bool refusing);

/* A request ended on this host that the engine may run until `until_ms`. */
void warmth_on_orphaned(warmth_t *warmth, int64_t now_ms, int64_t until_ms);

/* Orphaned requests; they count against the cold limit like those in flight. */
unsigned warmth_orphaned(const warmth_t *warmth, int64_t now_ms);

#endif
