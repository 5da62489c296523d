/* Tests of tasks whose starts get no answer, in virtual time.  */

#include "jw_test.h"

enum
{
  SEEDS = 12,
  TASKS = 24,
  LOSS_PERMILLE = 750 /* of commands that get no answer */
};

/* For how long commands get no answer, and longest time after that without a
   run of a task for which there is room (rule LOST).  */
#define LOSS_TIME (8 * JB_SECOND)
#define MAX_WAIT (3 * JB_SECOND)

#define TASK_DURATION_MS 60000

/* Tasks wait although there is room, since a stop was sent after some starts
   without an answer: it bars those that are carried out late, and the tasks
   may not start elsewhere while that may happen.  */
static void
test_tasks_wait_for_barred_starts (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      struct jw_options options = { .seed = seed,
                                    .hosts = 3,
                                    .pools = 1,
                                    .backends = 4,
                                    .backend_cpu_milli = 8000 };
      struct jw_world *world = jw_create_world (&options);
      struct jw_job_options job = { .step_count = 1,
                                    .tasks_per_step = TASKS,
                                    .cpu_milli = 1000,
                                    .duration_ms = TASK_DURATION_MS };
      const char *id = jw_submit_job (world, &job);

      world->loss_permille.backend_commands = LOSS_PERMILLE;
      jw_advance (world, LOSS_TIME);
      world->loss_permille.backend_commands = 0;
      jw_advance (world, MAX_WAIT);
      CU_ASSERT_EQUAL (jw_count_running_tasks (world, id), TASKS);
      jw_advance (world, 2 * TASK_DURATION_MS * JB_MS);
      jw_check_and_free (world);
    }
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "tasks wait for starts that were barred",
            test_tasks_wait_for_barred_starts },
          { NULL, NULL } };

  return dp_test_main ("unanswered starts", tests);
}
