#include "unit.h"

int unit_run(const char *suite, CU_TestInfo *tests)
{
	CU_SuiteInfo suites[] = {{suite, NULL, NULL, NULL, NULL, tests},
				 CU_SUITE_INFO_NULL};
	unsigned failures;

	if (CU_initialize_registry() || CU_register_suites(suites))
		return 2;
	CU_basic_set_mode(CU_BRM_VERBOSE);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures ? 1 : 0;
}
