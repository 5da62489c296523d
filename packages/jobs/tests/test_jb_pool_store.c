/* Test of the order in which a pool's jobs are written to the store.

   Expected load: a store that takes half a second for a transaction, which
   holds 90 rows, while hundreds of jobs make progress.  */

#include "../src/jb_pool_internal.h"
#include "dp_test.h"

enum
{
  JOB_COUNT = 300,
  NEW_JOB = 250,
  ENDED_JOB = 270
};

/* A new job waits behind the progress of all others: its client gets no
   answer in time.  */
static void
test_clients_first (void)
{
  struct jb_job jobs[JOB_COUNT] = { 0 };
  GPtrArray *dirty_jobs = g_ptr_array_new ();

  for (uint32_t i = 0; i < JOB_COUNT; i++)
    {
      jobs[i].stored = i != NEW_JOB;
      jobs[i].ended_at = i == ENDED_JOB ? JB_SECOND : 0;
      g_ptr_array_add (dirty_jobs, &jobs[i]);
    }
  CU_ASSERT_EQUAL (jb_pool_find_next_write (dirty_jobs), NEW_JOB);
  jobs[NEW_JOB].stored = true;
  CU_ASSERT_EQUAL (jb_pool_find_next_write (dirty_jobs), ENDED_JOB);
  jobs[ENDED_JOB].ended_at = 0;
  CU_ASSERT_EQUAL (jb_pool_find_next_write (dirty_jobs), 0);
  g_ptr_array_free (dirty_jobs, TRUE);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "new and ended jobs are written first", test_clients_first },
          { NULL, NULL } };

  return dp_test_main ("writes of a pool", tests);
}
