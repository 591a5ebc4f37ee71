#ifndef STATE_POSITION_H
#define STATE_POSITION_H

#include <stdbool.h>
#include <stdint.h>

/*
 * position - a point in the history of the configuration service
 *
 * The service counts its changes with a revision. When it is restored from an
 * older copy, the revision goes back to that of the copy, the same revisions
 * are given to other changes, and the era rises. So revisions can be compared
 * within an era only. A source of records without eras has era 0.
 */
typedef struct position {
	int64_t era;
	int64_t revision; /* 0: no records of this era yet */
} position_t;

/* The highest rise of the era that is accepted at once. It is well above the
 * restores that a host may miss while it is partitioned, and keeps a faulty
 * sender from making all later eras look old. */
#define POSITION_MAX_ERA_STEP 1000

static inline bool position_is_newer(position_t a, position_t b)
{
	return a.era != b.era ? a.era > b.era : a.revision > b.revision;
}

/* RETURN VALUE: whether a host at `own` may accept the era. A host that knows
 * no era yet accepts any. */
static inline bool position_accepts_era(position_t own, int64_t era)
{
	return !own.era || era - own.era <= POSITION_MAX_ERA_STEP;
}

#endif
