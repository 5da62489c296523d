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

/* Two runs at the same time: a probe beside the start is not answered.  The
   last lease ended long ago, so the run is given up, and then the start is
   answered.  */
static void
test_idle_backend (void)
{
  for (uint32_t i = 0; i < SEEDS * PHASES; i++)
    {
      struct jw_options options = { .seed = 1 + i / PHASES,
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
      const struct jw_task *task;

      CU_ASSERT_FATAL (owner >= 0);
      jw_advance (world, IDLE_TIME + i % PHASES * PHASE_INTERVAL);
      world->store_delay = STORE_DELAY;
      world->backend_reply_delay = REPLY_DELAY;
      world->delayed_command
          = (struct jw_delayed_command){ .kind = JB_COMMAND_PROBE,
                                         .delay = PROBE_DELAY };
      task
          = jw_get_task (world, talloc_asprintf (world, "%s.0.0.0",
                                                 jw_submit_job (world, &job)));
      jw_advance (world, SUBMISSION_TIME);
      world->hosts[owner].peers_unreachable = true;
      jw_advance (world, ANSWER_TIME);
      CU_ASSERT_PTR_NOT_NULL (world->delayed_command.backend);
      world->hosts[owner].peers_unreachable = false;
      world->store_delay = 0;
      world->backend_reply_delay = 0;
      jw_advance (world, 20 * JB_SECOND);
      CU_ASSERT (task->done);
      jw_check_and_free (world);
    }
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "the backend server was idle", test_idle_backend },
          { NULL, NULL } };

  return dp_test_main ("answered start of a lost run", tests);
}
