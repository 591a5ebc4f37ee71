#ifndef COORDINATION_CRASHBOARD_H
#define COORDINATION_CRASHBOARD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * crashboard - finds the inputs that crash the endpoints that answer them, and
 * blocks them
 *
 * An input is a number, such as the id of a prompt part; a request has several.
 * A crash ends all requests of an endpoint, and most of their inputs are sound.
 * The board counts, for each input, the crashes in which a request with it had
 * just begun or was about to be answered. An answer that goes on after its
 * beginning shows that its inputs are sound at that time: earlier crashes, and
 * those shortly afterwards, no longer count against them.
 *
 * An input is blocked after CRASHBOARD_MIN_CRASHES such crashes at
 * CRASHBOARD_MIN_TIMES separate times, reported by two hosts or all by this
 * one. Crashes that a blocked input explains do not count against others, but
 * for an input that was in all of them: it may be the cause instead.
 * Inputs with exactly the same crashes can't be told apart: only a request with
 * all of them is refused, until an answer or a crash separates them.
 *
 * A block ends when an answer with the input goes on, or after
 * CRASHBOARD_BLOCK_MS without a crash. Hosts end it at different times, so that
 * few requests test the input again; one crash then blocks it for twice as
 * long.
 *
 * Hosts exchange crashes and sound inputs (see crashnews.h) and each decides by
 * itself. Both tables are bounded. The board does no input or output; times
 * are in ms of the host's steady clock.
 */
#define CRASHBOARD_MAX_CRASHES 64
#define CRASHBOARD_MAX_INPUTS 1024
#define CRASHBOARD_MAX_BLOCKS 16
#define CRASHBOARD_BLOCK_INPUTS 4
#define CRASHBOARD_MIN_CRASHES 4
#define CRASHBOARD_MIN_TIMES 3
/* The same for an input in all crashes of a blocked one, of the crashes that no
 * block explains. */
#define CRASHBOARD_MIN_UNEXPLAINED 2
/* Crashes closer to each other than this count as one time: endpoints that
 * share a fault end together. */
#define CRASHBOARD_TIME_GAP_MS 250
/* An answer that goes on for this long after its beginning did not crash its
 * endpoint. */
#define CRASHBOARD_BEGIN_MS 1000
/* A sound answer clears its inputs also from crashes until this much later. */
#define CRASHBOARD_SOUND_MS 2000
/* Time in which the reports of a crash arrive from all hosts that lost requests
 * by it. Until then it counts against nothing. */
#define CRASHBOARD_REPORT_MS 300
#define CRASHBOARD_BLOCK_MS 120000
#define CRASHBOARD_MAX_BLOCK_MS 3600000
#define CRASHBOARD_MAX_REPORTERS 4
#define CRASHBOARD_REPORT_INPUTS 64

/* A crash as one host saw it, or as several did. */
typedef struct crash_report {
	uint64_t process; /* of the endpoint; changes with each start of it */
	int64_t at_ms;
	uint32_t reporters[CRASHBOARD_MAX_REPORTERS]; /* ids of hosts */
	size_t reporter_count;
	uint64_t inputs[CRASHBOARD_REPORT_INPUTS];
	size_t input_count;
} crash_report_t;

/* Requests with all of these inputs are refused. */
typedef struct crash_block {
	uint64_t inputs[CRASHBOARD_BLOCK_INPUTS];
	size_t input_count;
	unsigned crashes;
	int64_t until_ms;
} crash_block_t;

typedef struct crashboard crashboard_t;

crashboard_t *crashboard_create(void);
void crashboard_free(crashboard_t *board);

/* Sets the id of this host, and the time after an input's first crash in which
 * reports of sound answers arrive from all hosts. */
void crashboard_set_host(crashboard_t *board, uint32_t host, int64_t settle_ms);

/* An answer to a request of this host with these inputs began at `began_ms` and
 * has gone on for CRASHBOARD_BEGIN_MS, or is complete. */
void crashboard_on_sound(crashboard_t *board, const uint64_t *inputs,
			 size_t count, int64_t began_ms);

/* The same, reported by another host for one input. RETURN VALUE: true when it
 * was news. */
bool crashboard_add_sound(crashboard_t *board, uint64_t input,
			  int64_t began_ms);

/* True when this host saw a sound answer with the input shortly before `at_ms`
 * or later; it is not worth a report. */
bool crashboard_is_sound(const crashboard_t *board, uint64_t input,
			 int64_t at_ms);

/* True when this host remembers a sound answer with the input, however old. */
bool crashboard_was_sound(const crashboard_t *board, uint64_t input);

/* Adds a crash. RETURN VALUE: true when the crash, an input or a reporter of it
 * was news. */
bool crashboard_add(crashboard_t *board, const crash_report_t *report);

/* A connection to the endpoint process that was opened at `opened_ms` is still
 * in use: crashes reported since then did not happen. */
void crashboard_refute(crashboard_t *board, uint64_t process,
		       int64_t opened_ms);

/* Decides anew. RETURN VALUE: true when inputs were blocked or released. */
bool crashboard_update(crashboard_t *board, int64_t now_ms);

/* RETURN VALUE: the block that refuses a request with these inputs, or NULL. */
const crash_block_t *crashboard_find(const crashboard_t *board,
				     const uint64_t *inputs, size_t count);

/* The blocks in force; `count` is set to their number. */
const crash_block_t *crashboard_blocks(const crashboard_t *board,
				       size_t *count);

/*
 * Copies the crash at `index`, below CRASHBOARD_MAX_CRASHES, for hosts that may
 * have missed it: with the blocked inputs that it counts against, and for a
 * while also with those that other crashes count against.
 *
 * RETURN VALUE: false when there is none, or it has no such input.
 */
bool crashboard_get(const crashboard_t *board, size_t index,
		    crash_report_t *report);

/* A sound input of which other hosts may not know. */
typedef struct sound_input {
	uint64_t input;
	int64_t began_ms;
} sound_input_t;

/*
 * Takes sound answers of this host that clear inputs which other hosts still
 * count crashes against. Each is returned once.
 *
 * RETURN VALUE: the number of entries, `max` at most.
 */
size_t crashboard_take_sound(crashboard_t *board, sound_input_t *sound,
			     size_t max);

/* Copies the latest known sound answers that clear inputs of several crashes,
 * for hosts that may have missed them. RETURN VALUE: as above. */
size_t crashboard_get_sound(const crashboard_t *board, sound_input_t *sound,
			    size_t max);

#endif
