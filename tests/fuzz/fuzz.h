#ifndef FUZZ_H
#define FUZZ_H

#include <stdint.h>

#include "base/buf.h"

/*
 * fuzz - parsers that get inputs from outside, each behind one function
 *
 * A target must take any input without a fault, and it checks what must hold
 * of the result. `draw` is a number for choices of its own, such as where an
 * input is cut in two.
 */
typedef struct fuzz_target {
	const char *name; /* also of the corpus */
	void (*run)(str_t input, uint64_t random_value);
} fuzz_target_t;

/* Ends with a target without a name. */
extern const fuzz_target_t fuzz_targets[];

#endif
