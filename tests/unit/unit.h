#ifndef UNIT_H
#define UNIT_H

#include <CUnit/Basic.h>

/* Runs the tests of one program as one suite; the result is main()'s. */
int unit_run(const char *suite, CU_TestInfo *tests);

#endif
