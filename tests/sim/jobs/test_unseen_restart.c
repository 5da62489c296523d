/* Tests of a late start that is carried out after a restart which no entry
   host has seen, in virtual time.  */

#include "jw_test.h"

enum
{
  SEEDS = 6
};

#define TASK_DURATION_MS 9000

/* How late the start is carried out.  */
#define START_DELAY (11 * JB_SECOND)

/* Two runs at the same time: the backend server restarts while it is cut off,
   which nobody sees, and its next incarnation carries the start out.  It asks
   for a time on the former clock, so the lease is the longest possible.  */
static void
test_late_start_after_unseen_restart (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      struct jw_options options = { .seed = seed,
                                    .hosts = 3,
                                    .pools = 1,
                                    .backends = 6,
                                    .backend_cpu_milli = 8000,
                                    .late_leases = JW_LATE_LEASES_UNTIL };
      struct jw_job_options job = { .step_count = 1,
                                    .tasks_per_step = 1,
                                    .cpu_milli = 1000,
                                    .duration_ms = 2 * TASK_DURATION_MS };
      struct jw_world *world = jw_create_world (&options);
      struct jw_backend *backend;

      world->delayed_command
          = (struct jw_delayed_command){ .kind = JB_COMMAND_START_TASK,
                                         .delay = START_DELAY };
      jw_submit_job (world, &job);
      jw_advance (world, 50 * JB_MS);
      backend = world->delayed_command.backend;
      CU_ASSERT_PTR_NOT_NULL_FATAL (backend);
      if (backend == NULL)
        return; /* clang-tidy does not know that the assertion ends the test */
      backend->unreachable = true;
      jw_advance (world, START_DELAY - JB_SECOND);
      jw_backend_restart (world, backend);
      jw_advance (world, 12 * JB_SECOND);
      backend->unreachable = false;
      jw_advance (world, 40 * JB_SECOND);
      jw_check_and_free (world);
    }
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "a late start after an unseen restart",
            test_late_start_after_unseen_restart },
          { NULL, NULL } };

  return dp_test_main ("an unseen restart", tests);
}
