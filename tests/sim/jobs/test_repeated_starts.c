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

/* Tasks that are done start again: a backend server lists at most 500 ends
   that were not acknowledged, and one that is held back for a start in doubt
   hides those after them.  */
static void
test_many_ends_behind_held_one (void)
{
  struct jw_options options = { .seed = 1,
                                .hosts = 3,
                                .pools = 1,
                                .backends = 1,
                                .backend_cpu_milli = 16000 };
  struct jw_world *world = jw_create_world (&options);
  struct jw_job_options job = {
    .step_count = 1, .tasks_per_step = 1, .cpu_milli = 1000, .duration_ms = 300
  };

  world->delayed_command
      = (struct jw_delayed_command){ .kind = JB_COMMAND_START_TASK,
                                     .delay = 10 * JB_SECOND };
  jw_submit_job (world, &job);
  jw_advance (world, 1200 * JB_MS);
  job.tasks_per_step = 100;
  job.duration_ms = 100;
  for (uint32_t i = 0; i < 12; i++)
    jw_submit_job (world, &job);
  jw_advance (world, 40 * JB_SECOND);
  jw_check_and_free (world);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "a late start beside the next run", test_start_beside_next_run },
          { "many ends behind one that is held back",
            test_many_ends_behind_held_one },
          { NULL, NULL } };

  return dp_test_main ("repeated starts", tests);
}
