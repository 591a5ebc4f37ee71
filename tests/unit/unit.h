#ifndef UNIT_H
#define UNIT_H

#include <CUnit/Basic.h>

/* Runs the tests of a program as one suite. RETURN VALUE: the exit status for
 * main(). */
int unit_run(const char *suite, CU_TestInfo *tests);

#endif
