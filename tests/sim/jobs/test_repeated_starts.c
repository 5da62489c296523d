/* Tests of starts that are sent again because the first one was not answered,
   in virtual time.  */

#include "jw_test.h"

enum
{
  SEEDS = 6
};

/* A task starts with another number on a backend server that may still carry
   out a start with its former number: both would run.  The start is not
   answered, and its repetition is refused because there is no room for a
   while.  */
static void
test_start_beside_next_run (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      struct jw_backend *backend;
      struct jw_world *world = jw_create_late_start (seed, 9000, 3 * JB_SECOND,
                                                     150 * JB_MS, &backend);

      if (backend == NULL)
        return; /* clang-tidy does not know that the assertion ends the test */
      jw_backend_set_capacity (world, backend, 0);
      jw_advance (world, 1200 * JB_MS);
      CU_ASSERT_EQUAL (backend->runs->len, 0);
      jw_backend_set_capacity (world, backend, 8000);
      jw_advance (world, 30 * JB_SECOND);
      jw_check_and_free (world);
    }
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "a late start beside the next run", test_start_beside_next_run },
          { NULL, NULL } };

  return dp_test_main ("repeated starts", tests);
}
