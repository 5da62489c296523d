/* Test of how long a task waits for a start in doubt over a planned handover,
   in virtual time.  */

#include "jw_test.h"

enum
{
  SEEDS = 6
};

/* Time from the start until its owner stops as planned.  */
#define STOP_DELAY (6 * JB_SECOND)

/* Time in which a start may be carried out, and the lease that it opens.  */
#define DOUBT_TIME (17 * JB_SECOND)

/* LOST: a task waits for a start on a backend server that has crashed for good
   as long as if its new owner had sent it.  */
static void
test_wait_after_handover (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      struct jw_backend *backend;
      struct jw_world *world = jw_create_late_start (seed, 60000, JB_SECOND,
                                                     100 * JB_MS, &backend);
      GHashTableIter iter;
      gpointer task;
      int owner = jw_pool_owner (world, 0);

      CU_ASSERT_FATAL (owner >= 0);
      jw_backend_crash (world, backend, true);
      jw_advance (world, STOP_DELAY);
      jw_host_stop (world, (uint32_t)owner);
      jw_advance (world, DOUBT_TIME - STOP_DELAY);
      g_hash_table_iter_init (&iter, world->tasks);
      CU_ASSERT_FATAL (g_hash_table_iter_next (&iter, NULL, &task));
      CU_ASSERT_EQUAL (((const struct jw_task *)task)->active_runs, 1);
      jw_assert_and_free (world);
    }
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "the wait after a handover", test_wait_after_handover },
          { NULL, NULL } };

  return dp_test_main ("doubt after a handover", tests);
}
