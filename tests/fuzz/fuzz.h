#ifndef FUZZ_H
#define FUZZ_H

#include <stdbool.h>
#include <stdint.h>

#include "base/buf.h"

/*
 * fuzz - fuzz targets, one for each parser of external input
 *
 * A target must accept any input without a fault, and it checks the invariants
 * of the result. It uses `random_value` for its own random choices, such as
 * where to split an input in two.
 */
typedef struct fuzz_target {
	const char *name; /* also the corpus directory's name */
	void (*run)(str_t input, uint64_t random_value);
} fuzz_target_t;

/* Aborts unless an invariant holds. */
void fuzz_require(bool condition, const char *what);

/* Targets of targets_news.c, the messages on the port of loads. */
void fuzz_loads(str_t input, uint64_t random_value);
void fuzz_crash_news(str_t input, uint64_t random_value);
void fuzz_limit_news(str_t input, uint64_t random_value);
void fuzz_prefix_news(str_t input, uint64_t random_value);
void fuzz_speed_news(str_t input, uint64_t random_value);

/* The last entry has no name. */
extern const fuzz_target_t fuzz_targets[];

#endif
