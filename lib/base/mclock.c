#include "base/mclock.h"

#include <time.h>

#define US_PER_S 1000000
#define MS_PER_S 1000
#define NS_PER_US 1000
#define NS_PER_MS 1000000

static int64_t system_now_us(const mclock_t *clock)
{
	struct timespec ts;

	(void)clock;
	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (int64_t)ts.tv_sec * US_PER_S + ts.tv_nsec / NS_PER_US;
}

static int64_t system_wall_ms(const mclock_t *clock)
{
	struct timespec ts;

	(void)clock;
	clock_gettime(CLOCK_REALTIME, &ts);
	return (int64_t)ts.tv_sec * MS_PER_S + ts.tv_nsec / NS_PER_MS;
}

static int64_t manual_now_us(const mclock_t *clock)
{
	return ((const mclock_manual_t *)clock)->now_us;
}

static int64_t manual_wall_ms(const mclock_t *clock)
{
	return ((const mclock_manual_t *)clock)->wall_ms;
}

const mclock_t *mclock_system(void)
{
	static const mclock_ops_t ops = {system_now_us, system_wall_ms};
	static const mclock_t clock = {&ops};

	return &clock;
}

void mclock_manual_init(mclock_manual_t *manual, int64_t now_ms)
{
	static const mclock_ops_t ops = {manual_now_us, manual_wall_ms};

	manual->base.ops = &ops;
	manual->now_us = now_ms * 1000;
	manual->wall_ms = now_ms;
}

void mclock_manual_advance(mclock_manual_t *manual, int64_t ms)
{
	manual->now_us += ms * 1000;
	manual->wall_ms += ms;
}
