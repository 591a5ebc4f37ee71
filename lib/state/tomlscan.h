#ifndef STATE_TOMLSCAN_H
#define STATE_TOMLSCAN_H

#include "base/str.h"

/*
 * tomlscan - rejects text that the TOML library can't handle safely
 *
 * The library destroys nested tables recursively, so deep dotted keys could
 * exhaust the stack: the number of dots in a line is limited. Multi-line
 * strings are rejected because they would hide dots from this line-by-line
 * scan; no key needs such a string.
 */
#define TOMLSCAN_MAX_DOTS_PER_LINE 16 /* outside strings */

/*
 * RETURN VALUE: NULL when the text may be parsed, else a message that says what
 * is expected, with the line number in `line`.
 */
const char *tomlscan_text(str_t text, unsigned *line);

#endif
