/* Tests that runs which their owner has given up are counted when a backend
   server carries them out late, in virtual time.  The safeguards against that
   are disabled, so that the owner gives them up at once.  */

#include "jw_test.h"

enum
{
  SEEDS = 6
};

/* The start of a task is carried out 1.5 s late, after a cut in which the task
   has started elsewhere; if RESTART, by the next incarnation of its backend
   server.  */
static void
run_late_start (uint32_t seed, bool restart)
{
  struct jw_options options
      = { .seed = seed,
          .hosts = 3,
          .pools = 1,
          .backends = 6,
          .backend_cpu_milli = 8000,
          .disabled_safeguards
          = JB_SAFEGUARD_UNCONFIRMED_STARTS | JB_SAFEGUARD_DOUBT };
  struct jw_world *world = jw_create_world (&options);
  struct jw_job_options job = { .step_count = 1,
                                .tasks_per_step = 1,
                                .cpu_milli = 1000,
                                .duration_ms = 9000 };
  struct jw_backend *backend;

  world->delayed_command
      = (struct jw_delayed_command){ .kind = JB_COMMAND_START_TASK,
                                     .delay = 1500 * JB_MS };
  jw_submit_job (world, &job);
  jw_advance (world, 150 * JB_MS);
  backend = world->delayed_command.backend;
  CU_ASSERT_PTR_NOT_NULL_FATAL (backend);
  if (backend == NULL)
    return; /* clang-tidy does not know that the assertion ends the test */
  backend->unreachable = true;
  jw_advance (world, JB_SECOND);
  if (restart)
    jw_backend_restart (world, backend);
  /* No probe comes between the end of the cut and the start.  */
  jw_advance (world, 345 * JB_MS);
  backend->unreachable = false;
  jw_advance (world, 10 * JB_SECOND);
  CU_ASSERT_EQUAL (jw_sum_counter (world, JB_COUNT_LATE_RUNS_RESTARTED),
                   restart);
  CU_ASSERT_EQUAL (jw_sum_counter (world, JB_COUNT_LATE_RUNS_SAME), !restart);
  CU_ASSERT_PTR_NOT_NULL (strstr (world->first_violation, "runs twice"));
  jw_world_free (world);
}

static void
test_same_incarnation (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    run_late_start (seed, false);
}

static void
test_next_incarnation (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    run_late_start (seed, true);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "a late start in the same incarnation is counted",
            test_same_incarnation },
          { "a late start in the next incarnation is counted",
            test_next_incarnation },
          { NULL, NULL } };

  return dp_test_main ("late runs", tests);
}
