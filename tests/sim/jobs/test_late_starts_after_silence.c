/* Tests of starts that were not answered and are carried out late, by a
   backend server that was silent and has restarted under its instance name
   meanwhile, in virtual time.  */

#include "jw_test.h"

enum
{
  SEEDS = 6
};

/* A backend server restarts and is cut off, for longer than a lease lasts,
   until just before the start is carried out.  */
static void
test_late_start_after_silence (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      struct jw_backend *backend;
      struct jw_world *world = jw_create_late_start (seed, 9000, 5 * JB_SECOND,
                                                     150 * JB_MS, &backend);

      if (backend == NULL)
        return; /* clang-tidy does not know that the assertion ends the test */
      backend->unreachable = true;
      jw_advance (world, JB_SECOND);
      jw_backend_restart (world, backend);
      jw_advance (world, 3800 * JB_MS);
      backend->unreachable = false;
      jw_advance (world, 20 * JB_SECOND);
      jw_check_and_free (world);
    }
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "a late start is carried out after a silence",
            test_late_start_after_silence },
          { NULL, NULL } };

  return dp_test_main ("late starts after a silence", tests);
}
