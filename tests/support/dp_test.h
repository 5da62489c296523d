#ifndef DP_TEST_H
#define DP_TEST_H

/* Common main function of the CUnit test programs.  */

#include <CUnit/Basic.h>

struct dp_test
{
  const char *name;
  void (*run) (void);
};

/* Run TESTS, an array that ends with a NULL name, as the suite named SUITE and
   print the results.  Return the exit status of the program: EXIT_SUCCESS if
   all tests passed.  */
int dp_test_main (const char *suite, const struct dp_test *tests);

#endif
