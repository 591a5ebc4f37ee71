#ifndef UNIT_H
#define UNIT_H

#include <CUnit/Basic.h>

/* Comments on tests name in brackets the guarantee that the test guards:
 * P1 to P10 are listed in docs/PROMISES.md, the users' platform's rules (names
 * in upper case, such as FAILBACK) in docs/PLATFORM.md and docs/PROMISES.md. */

/* Runs the tests of a program as one suite. RETURN VALUE: the exit status for
 * main(). */
int unit_run(const char *suite, CU_TestInfo *tests);

#endif
