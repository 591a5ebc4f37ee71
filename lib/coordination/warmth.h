#ifndef COORDINATION_WARMTH_H
#define COORDINATION_WARMTH_H

#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"

/*
 * warmth - whether an engine is known to be warm
 *
 * An engine counts as cold until an answer proves that it is warm, and again
 * when the proof is old or the engine has started anew. Answers name the
 * engine's boot; a request names the boot that its sender knows, and an engine
 * of another boot refuses it, so that no send relies on an engine that is gone.
 */
/* An engine may turn cold without a word: a proof holds this long. */
#define WARMTH_PROOF_MS 1000
#define WARMTH_BOOT_BYTES 40

typedef struct warmth {
	char boot[WARMTH_BOOT_BYTES]; /* empty: not known yet */
	bool unreachable;	      /* nobody answered at its address last */
	bool refusing; /* it refused work and hasn't offered to take some since
			*/
	bool proven;
	int64_t proven_ms; /* when the request of the last proof was sent */
	int64_t invalidated_ms; /* requests sent up to then prove nothing */
	/* Requests that the engine may still run although they have ended
	 * here, until the last of them has ended there as well. */
	unsigned orphaned_requests;
	int64_t orphaned_until_ms;
} warmth_t;

bool warmth_is_proven(const warmth_t *warmth, int64_t now_ms);

/*
 * An answer to a request that was sent at `sent_ms` has come; `cold` says what
 * the engine said of itself then.
 */
void warmth_on_answer(warmth_t *warmth, str_t boot, bool cold, int64_t sent_ms,
		      int64_t now_ms);

/* The engine may have started anew: a connection broke, or nobody listens. */
void warmth_invalidate(warmth_t *warmth, int64_t now_ms);

/* Nobody answered at the engine's address. */
void warmth_on_unreachable(warmth_t *warmth, int64_t now_ms);

/*
 * An engine refused work, or answered that it takes some. One that refuses is
 * asked, not tried with requests: a leaving engine would refuse each of them.
 */
void warmth_set_refusing(warmth_t *warmth, bool refusing);

/* A request ended here that the engine may run until `until_ms`. */
void warmth_on_orphaned(warmth_t *warmth, int64_t now_ms, int64_t until_ms);

/* Requests that count against the cold limit besides those in flight. */
unsigned warmth_orphaned(const warmth_t *warmth, int64_t now_ms);

#endif
