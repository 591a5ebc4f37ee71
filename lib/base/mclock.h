#ifndef BASE_MCLOCK_H
#define BASE_MCLOCK_H

#include <stdint.h>

/*
 * mclock - clock interface
 *
 * Modules that depend on time take a mclock_t, so that tests can drive them
 * with a manual clock. now_us() is monotonic, includes time in which the
 * machine is suspended (CLOCK_BOOTTIME) and is unrelated to the time of day;
 * wall_ms() is Unix time and may jump.
 */
typedef struct mclock mclock_t;

typedef struct mclock_ops {
	int64_t (*now_us)(const mclock_t *clock);
	int64_t (*wall_ms)(const mclock_t *clock);
} mclock_ops_t;

struct mclock {
	const mclock_ops_t *ops;
};

/* A clock that only its owner advances, for tests. */
typedef struct mclock_manual {
	mclock_t base;
	int64_t now_us;
	int64_t wall_ms;
} mclock_manual_t;

/* CLOCK_BOOTTIME and CLOCK_REALTIME. */
const mclock_t *mclock_system(void);

void mclock_manual_init(mclock_manual_t *manual, int64_t now_ms);
void mclock_manual_advance(mclock_manual_t *manual, int64_t ms);

static inline int64_t mclock_now_us(const mclock_t *clock)
{
	return clock->ops->now_us(clock);
}

static inline int64_t mclock_now_ms(const mclock_t *clock)
{
	return clock->ops->now_us(clock) / 1000;
}

static inline int64_t mclock_wall_ms(const mclock_t *clock)
{
	return clock->ops->wall_ms(clock);
}

#endif
