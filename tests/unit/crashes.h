#ifndef CRASHES_H
#define CRASHES_H

#include "coordination/crashboard.h"

/*
 * crashes - boards of crashes for the tests of crashboard and crashnews
 */
#define HOST_A 11
#define HOST_B 22
#define SETTLE_MS 1200
/* Inputs: a part that all prompts of a class share, a customer's part, one of
 * few prompts, and the one that crashes endpoints. */
#define CLASS_PART 1
#define CUSTOMER_PART 2
#define RARE_PART 3
#define FAULTY_PART 4
#define OTHER_FAULTY_PART 5
/* Time of the first crash, and between crashes. */
#define START_MS 100000
#define STEP_MS 1500

/* A board of HOST_A. */
crashboard_t *create_board(void);

/* Reports a crash with these inputs. */
void report_inputs(crashboard_t *board, uint32_t host, uint64_t process,
		   int64_t at_ms, const uint64_t *inputs, size_t count);

/* Whether a request with these inputs, or with only this one, is refused. */
bool blocks(const crashboard_t *board, const uint64_t *inputs, size_t count);
bool blocks_input(const crashboard_t *board, uint64_t input);

/* Reports `count` crashes with these inputs, by two hosts in turn. RETURN
 * VALUE: the time after the last one. */
int64_t crash_in_turn(crashboard_t *board, unsigned count, int64_t from_ms,
		      const uint64_t *inputs, size_t input_count);

#endif
