/* Tests of commands that the HTTP client sends a second time, since the
   connection was closed before the answer to the first sending, in virtual
   time.

   Expected load: one task, on a backend server that has others.  */

#include "jw_test.h"

enum
{
  SEEDS = 6
};

/* Time after which the start is sent again: its lease, a short one since there
   are other runs, has ended.  */
#define RESEND_DELAY (600 * JB_MS)

/* Probes are not answered in time meanwhile, but the start is.  */
#define REPLY_DELAY (260 * JB_MS)
#define SLOW_TIME (1500 * JB_MS)

/* Two runs at the same time: the first sending of a start is carried out, and
   the second one is refused.  */
static void
test_refused_start (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      struct jw_options options = { .seed = seed,
                                    .hosts = 3,
                                    .pools = 1,
                                    .backends = 3,
                                    .backend_cpu_milli = 8000 };
      struct jw_job_options others = { .step_count = 1,
                                       .tasks_per_step = 12,
                                       .cpu_milli = 1000,
                                       .duration_ms = 15000 };
      struct jw_job_options job = { .step_count = 1,
                                    .tasks_per_step = 1,
                                    .cpu_milli = 1000,
                                    .duration_ms = 6000 };
      struct jw_world *world = jw_create_world (&options);
      const struct jw_task *task;

      jw_submit_job (world, &others);
      jw_advance (world, 2 * JB_SECOND);
      world->backend_reply_delay = REPLY_DELAY;
      world->delayed_command = (struct jw_delayed_command){
        .kind = JB_COMMAND_START_TASK, .delay = RESEND_DELAY, .is_resent = true
      };
      task
          = jw_get_task (world, talloc_asprintf (world, "%s.0.0.0",
                                                 jw_submit_job (world, &job)));
      jw_advance (world, SLOW_TIME);
      world->backend_reply_delay = 0;
      jw_advance (world, 25 * JB_SECOND);
      CU_ASSERT_PTR_NOT_NULL (world->delayed_command.backend);
      CU_ASSERT (task->done);
      jw_check_and_free (world);
    }
}

#define LATE_RESEND_DELAY (11 * JB_SECOND)
#define LISTED_TIME (2500 * JB_MS)

/* Two runs at the same time: the first sending of a start is carried out and
   its run is listed, which settles the start, before the reply tells that it
   was sent twice.  The backend server restarts and is cut off, the run is
   given up when its lease has expired, and the next incarnation carries out
   the second sending.  */
static void
test_listed_before_reply (void)
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
                                    .duration_ms = 9000 };
      struct jw_world *world = jw_create_world (&options);
      struct jw_backend *backend;

      world->delayed_command
          = (struct jw_delayed_command){ .kind = JB_COMMAND_START_TASK,
                                         .delay = LATE_RESEND_DELAY,
                                         .is_resent = true };
      jw_submit_job (world, &job);
      jw_advance (world, LISTED_TIME);
      backend = world->delayed_command.backend;
      CU_ASSERT_PTR_NOT_NULL_FATAL (backend);
      if (backend == NULL)
        return; /* clang-tidy does not know that the assertion ends the test */
      backend->unreachable = true;
      jw_backend_restart (world, backend);
      /* Nothing else reaches it before the second sending.  */
      jw_advance (world,
                  world->delayed_command.delivered_at - world->now - JB_MS);
      backend->unreachable = false;
      jw_advance (world, 40 * JB_SECOND);
      jw_check_and_free (world);
    }
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "the second sending of a start is refused", test_refused_start },
          { "the run is listed before the reply", test_listed_before_reply },
          { NULL, NULL } };

  return dp_test_main ("commands sent twice", tests);
}
