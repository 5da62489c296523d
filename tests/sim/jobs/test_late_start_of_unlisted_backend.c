/* Tests of a start that is carried out late by a backend server that is cut
   off from the entry hosts and from the platform's list meanwhile, in virtual
   time.  */

#include "jw_test.h"

enum
{
  SEEDS = 6,
  PHASES = 8 /* of a job's arrival between two grants */
};

#define PHASE_INTERVAL (100 * JB_MS)

#define TASK_DURATION_MS 9000

/* How late the start is carried out: after the backend server has left the
   list and its leases have expired.  */
#define START_DELAY (11 * JB_SECOND)

/* Two runs at the same time: a backend server that is not listed any more is
   taken for gone.  */
static void
test_late_start_after_unlisting (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      struct jw_options options
          = { .seed = seed,
              .hosts = 3,
              .pools = 1,
              .backends = 6,
              .backend_cpu_milli = 8000,
              .late_leases = JW_LATE_LEASES_FROM_ARRIVAL };
      struct jw_job_options job = { .step_count = 1,
                                    .tasks_per_step = 1,
                                    .cpu_milli = 1000,
                                    .duration_ms = TASK_DURATION_MS };
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
      backend->unlisted = true;
      jw_advance (world, START_DELAY + JB_SECOND);
      backend->unreachable = false;
      backend->unlisted = false;
      jw_advance (world, 40 * JB_SECOND);
      jw_check_and_free (world);
    }
}

/* A start and a grant that was sent after it, both carried out as late as
   possible.  */
#define LAST_START_DELAY (12400 * JB_MS)
#define LAST_GRANT_DELAY (12450 * JB_MS)

/* Two runs at the same time: the grant extends the lease that the late start
   has opened, after its backend server was taken for gone.  */
static void
test_late_grant_after_late_start (void)
{
  for (uint32_t i = 0; i < SEEDS * PHASES; i++)
    {
      struct jw_options options
          = { .seed = 1 + i / PHASES,
              .hosts = 3,
              .pools = 1,
              .backends = 3,
              .backend_cpu_milli = 8000,
              .late_leases = JW_LATE_LEASES_FROM_ARRIVAL };
      struct jw_job_options others = { .step_count = 1,
                                       .tasks_per_step = 12,
                                       .cpu_milli = 1000,
                                       .duration_ms = 6000 };
      struct jw_job_options job = { .step_count = 1,
                                    .tasks_per_step = 1,
                                    .cpu_milli = 1000,
                                    .duration_ms = TASK_DURATION_MS };
      struct jw_world *world = jw_create_world (&options);
      struct jw_backend *backend;

      jw_submit_job (world, &others);
      jw_advance (world, JB_SECOND + i % PHASES * PHASE_INTERVAL);
      world->delayed_command
          = (struct jw_delayed_command){ .kind = JB_COMMAND_START_TASK,
                                         .delay = LAST_START_DELAY };
      jw_submit_job (world, &job);
      jw_advance (world, 30 * JB_MS);
      backend = world->delayed_command.backend;
      CU_ASSERT_PTR_NOT_NULL_FATAL (backend);
      if (backend == NULL)
        return; /* clang-tidy does not know that the assertion ends the test */
      world->delayed_command
          = (struct jw_delayed_command){ .kind = JB_COMMAND_PROBE,
                                         .with_lease = true,
                                         .target = backend,
                                         .delay = LAST_GRANT_DELAY };
      for (int ms = 0; ms < 440 && world->delayed_command.delay != 0; ms++)
        jw_advance (world, JB_MS);
      world->delayed_command.delay = 0;
      backend->unreachable = true;
      backend->unlisted = true;
      jw_advance (world, 25 * JB_SECOND);
      backend->unreachable = false;
      backend->unlisted = false;
      jw_advance (world, 40 * JB_SECOND);
      jw_check_and_free (world);
    }
}

#define LONG_TASK_DURATION_MS 15000
#define RESTART_START_DELAY (12 * JB_SECOND)

/* Two runs at the same time: the backend server restarts before it carries out
   the start.  The lease of the start is far in the future on the clock of the
   next incarnation, and so as long as possible.  */
static void
test_restart_while_unlisted (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      struct jw_options options = { .seed = seed,
                                    .hosts = 3,
                                    .pools = 1,
                                    .backends = 6,
                                    .backend_cpu_milli = 8000 };
      struct jw_job_options job = { .step_count = 1,
                                    .tasks_per_step = 1,
                                    .cpu_milli = 1000,
                                    .duration_ms = LONG_TASK_DURATION_MS };
      struct jw_job_options others = { .step_count = 1,
                                       .tasks_per_step = 12,
                                       .cpu_milli = 1000,
                                       .duration_ms = 2000 };
      struct jw_world *world = jw_create_world (&options);
      struct jw_backend *backend;

      /* The owner has seen a restart.  */
      jw_submit_job (world, &others);
      jw_advance (world, 500 * JB_MS);
      jw_backend_restart (world, jw_find_backend (world, 0, 0));
      jw_advance (world, 20 * JB_SECOND);

      world->delayed_command
          = (struct jw_delayed_command){ .kind = JB_COMMAND_START_TASK,
                                         .delay = RESTART_START_DELAY };
      jw_submit_job (world, &job);
      jw_advance (world, 50 * JB_MS);
      backend = world->delayed_command.backend;
      CU_ASSERT_PTR_NOT_NULL_FATAL (backend);
      if (backend == NULL)
        return; /* clang-tidy does not know that the assertion ends the test */
      backend->unreachable = true;
      backend->unlisted = true;
      jw_advance (world, 11 * JB_SECOND);
      jw_backend_restart (world, backend);
      jw_advance (world,
                  world->delayed_command.delivered_at - world->now - JB_MS);
      backend->unreachable = false;
      jw_advance (world, 2 * JB_MS);
      backend->unreachable = true;
      jw_advance (world, 10 * JB_SECOND);
      backend->unreachable = false;
      backend->unlisted = false;
      jw_advance (world, 40 * JB_SECOND);
      jw_check_and_free (world);
    }
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "a late start after its backend server has left the list",
            test_late_start_after_unlisting },
          { "a late grant after a late start",
            test_late_grant_after_late_start },
          { "a restart before a late start", test_restart_while_unlisted },
          { NULL, NULL } };

  return dp_test_main ("late starts of unlisted backend servers", tests);
}
