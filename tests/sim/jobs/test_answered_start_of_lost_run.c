/* Test of a start that is answered after its run was given up, in virtual
   time.

   Expected load: one task, on a backend server that was idle for longer than
   any lease lasts.  */

#include "jw_test.h"

enum
{
  SEEDS = 6,
  PHASES = 8 /* of the job's arrival between two grants */
};

#define IDLE_TIME (12 * JB_SECOND)
#define PHASE_INTERVAL (100 * JB_MS)

/* The start waits to be stored, so that it is in flight when the probe that
   was sent with the decision to start has not been answered.  */
#define STORE_DELAY (150 * JB_MS)
#define REPLY_DELAY (250 * JB_MS)
#define PROBE_DELAY (6 * JB_SECOND)

/* Time in which the owner receives the job.  */
#define SUBMISSION_TIME (20 * JB_MS)

/* Time in which the start is answered, and in which the task would start on
   another backend server.  */
#define ANSWER_TIME (1500 * JB_MS)

/* Return a new simulation in which a start on an idle backend server was
   answered after a probe beside it was not.  NUMBER chooses the seed and the
   phase of the job's arrival.  Set TASK to its task.  */
static struct jw_world *
create_answered_start (uint32_t number, const struct jw_task **task)
{
  struct jw_options options = { .seed = 1 + number / PHASES,
                                .hosts = 3,
                                .pools = 1,
                                .backends = 6,
                                .backend_cpu_milli = 8000 };
  struct jw_job_options job = { .step_count = 1,
                                .tasks_per_step = 1,
                                .cpu_milli = 1000,
                                .duration_ms = 8000 };
  struct jw_world *world = jw_create_world (&options);
  int owner = jw_pool_owner (world, 0);

  CU_ASSERT_FATAL (owner >= 0);
  jw_advance (world, IDLE_TIME + number % PHASES * PHASE_INTERVAL);
  world->store_delay = STORE_DELAY;
  world->backend_reply_delay = REPLY_DELAY;
  world->delayed_command
      = (struct jw_delayed_command){ .kind = JB_COMMAND_PROBE,
                                     .delay = PROBE_DELAY };
  *task = jw_get_task (
      world, talloc_asprintf (world, "%s.0.0.0", jw_submit_job (world, &job)));
  jw_advance (world, SUBMISSION_TIME);
  world->hosts[owner].peers_unreachable = true;
  jw_advance (world, ANSWER_TIME);
  CU_ASSERT_PTR_NOT_NULL (world->delayed_command.backend);
  world->hosts[owner].peers_unreachable = false;
  world->store_delay = 0;
  world->backend_reply_delay = 0;
  return world;
}

/* Two runs at the same time: the last lease ended long ago, so the run is
   given up when the probe isn't answered, and then the start is.  */
static void
test_two_runs (void)
{
  for (uint32_t i = 0; i < SEEDS * PHASES; i++)
    {
      const struct jw_task *task;
      struct jw_world *world = create_answered_start (i, &task);

      jw_advance (world, 20 * JB_SECOND);
      CU_ASSERT (task->done);
      jw_check_and_free (world);
    }
}

/* The same run is given up although it is active.  */
static void
test_lost_while_starting (void)
{
  for (uint32_t i = 0; i < SEEDS * PHASES; i++)
    {
      const struct jw_task *task;
      struct jw_world *world = create_answered_start (i, &task);

      CU_ASSERT_EQUAL (task->active_runs, 1);
      CU_ASSERT_EQUAL (jw_sum_counter (world, JB_COUNT_END_VANISHED), 0);
      jw_assert_and_free (world);
    }
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "two runs", test_two_runs },
          { "lost while starting", test_lost_while_starting },
          { NULL, NULL } };

  return dp_test_main ("answered start of a lost run", tests);
}
