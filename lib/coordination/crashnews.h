#ifndef COORDINATION_CRASHNEWS_H
#define COORDINATION_CRASHNEWS_H

#include "base/buf.h"
#include "base/err.h"
#include "coordination/crashboard.h"

/*
 * crashnews - messages between hosts about crashes of endpoints and the inputs
 * that may have caused them
 *
 * Requests with a faulty input arrive at any host, so one host sees too few
 * crashes to tell the cause. A host sends the crashes that it sees, and the
 * sound answers that clear an input, to the relay of its region, which passes
 * what is new to the other relays and to the hosts of its region. Times travel
 * as ages, since the hosts' clocks differ.
 *
 * This module does no I/O.
 */
/* Distinct from the kinds of prefixnews.h and loadboard.h, which use the same
 * port. */
typedef enum crashnews_kind {
	CRASHNEWS_HOST = 20, /* from a host, of itself, to its relay */
	CRASHNEWS_REGION,    /* from a relay to other relays */
	CRASHNEWS_RELAY,     /* from a relay to the hosts of its region */
	CRASHNEWS_DIGEST     /* all that a host knows, to its relay */
} crashnews_kind_t;

/* In a message. */
#define CRASHNEWS_MAX_SOUND 32
#define CRASHNEWS_MAX_CRASHES 8
#define CRASHNEWS_MAX_INPUTS CRASHBOARD_REPORT_INPUTS /* of all its crashes */

typedef struct crashnews {
	crashnews_kind_t kind;
	uint32_t source; /* id of the sending host */
	crash_report_t crashes[CRASHNEWS_MAX_CRASHES];
	size_t crash_count;
	sound_input_t sound[CRASHNEWS_MAX_SOUND];
	size_t sound_count;
} crashnews_t;

/* Whether the message is of these kinds; it may still be malformed. */
bool crashnews_is_message(str_t message);

/* RETURN VALUE: false when the message has no room for the crash. */
bool crashnews_add(crashnews_t *news, const crash_report_t *crash);

void crashnews_write(const crashnews_t *news, int64_t now_ms, buf_t *out);

/*
 * Decodes a message. In one from a host to its relay the sender counts as the
 * only reporter, whatever it states: no host can report in the names of others.
 *
 * ERRORS: ERR_INVALID.
 */
err_code_t crashnews_read(str_t message, int64_t now_ms, crashnews_t *news,
			  err_t *err);

#endif
