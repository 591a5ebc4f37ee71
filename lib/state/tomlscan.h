#ifndef STATE_TOMLSCAN_H
#define STATE_TOMLSCAN_H

#include "base/str.h"

/*
 * tomlscan - keeps from the TOML library what it can't handle safely
 *
 * Multi-line strings, which no key needs and which would hide dots from this
 * scan, and deep dotted keys: the library destroys nested tables recursively,
 * which could exhaust the stack.
 */
#define TOMLSCAN_MAX_DOTS_PER_LINE 16 /* outside strings, in one line */

/*
 * RETURN VALUE: NULL when the text may be parsed, else what is expected, with
 * the number of the line.
 */
const char *tomlscan_text(str_t text, unsigned *line);

#endif
