/* Tests of starts that were prevented by a stop, and are carried out late by
   the next incarnation of the backend server, which knows of no stop, in
   virtual time.  */

#include "jw_test.h"

enum
{
  SEEDS = 6
};

/* A start that was not answered is prevented by a stop, and the task starts
   again.  Then the backend server restarts, forgets the stop and carries out
   the start late.  That run ends before the task starts once more.  */
static void
test_late_start_after_stop (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      struct jw_backend *backend;
      struct jw_world *world = jw_create_late_start (seed, 9000, 1500 * JB_MS,
                                                     1450 * JB_MS, &backend);

      if (backend == NULL)
        return; /* clang-tidy does not know that the assertion ends the test */
      CU_ASSERT_EQUAL (backend->runs->len, 1);
      jw_backend_restart (world, backend);
      jw_advance (world, 25 * JB_SECOND);
      jw_check_and_free (world);
    }
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "a late start is carried out after a stop and a restart",
            test_late_start_after_stop },
          { NULL, NULL } };

  return dp_test_main ("late starts after a stop", tests);
}
