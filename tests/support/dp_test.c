#include "dp_test.h"

#include <stdlib.h>

int
dp_test_main (const char *suite, const struct dp_test *tests)
{
  CU_pSuite cu_suite;
  unsigned failure_count;

  if (CU_initialize_registry () != CUE_SUCCESS)
    return EXIT_FAILURE;
  cu_suite = CU_add_suite (suite, NULL, NULL);
  for (; cu_suite != NULL && tests->name != NULL; tests++)
    CU_add_test (cu_suite, tests->name, tests->run);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failure_count = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return cu_suite != NULL && failure_count == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
