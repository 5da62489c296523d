/* Tests of commands that were not answered and are carried out late, by a
   backend server that has restarted under its instance name meanwhile and so
   knows of no stop, fencing token or lease any more, in virtual time.  */

#include "jw_test.h"

#include <stdio.h>

enum
{
  SEEDS = 6,
  FIRST_ENDS = 6 /* of the previous incarnation */
};

/* Time after the submission of a job by which its start has been sent, but has
   not timed out.  */
#define START_SENT_TIME (150 * JB_MS)

/* Time after the submission of a job by which its start has timed out, after
   300 ms.  */
#define START_TIMED_OUT_TIME (420 * JB_MS)

/* A cut of this length lasts until the list has shown that the backend server
   drains.  */
#define CUT_TIME (1500 * JB_MS)

/* Longest time to wait for a condition.  */
#define WAIT_LIMIT (10 * JB_SECOND)

/* Let BACKEND drain, and cut it off until its owner knows that, so that what
   was to run there starts elsewhere.  */
static void
drain_behind_cut (struct jw_world *world, struct jw_backend *backend)
{
  backend->draining = true;
  backend->unreachable = true;
  jw_advance (world, CUT_TIME);
  backend->unreachable = false;
}

/* Restart BACKEND immediately before the late command is carried out, so that
   no other command reaches it in between, and let everything end.  */
static void
restart_before_late_command (struct jw_world *world,
                             struct jw_backend *backend)
{
  jw_advance (world, world->delayed_command.delivered_at - world->now - JB_MS);
  backend->draining = false;
  jw_backend_restart (world, backend);
  jw_advance (world, 25 * JB_SECOND);
}

/* Two runs at the same time: a start without an answer is not listed, the task
   starts elsewhere, and the next incarnation carries out the start.  */
static void
test_late_start_after_task_moved (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      struct jw_backend *backend;
      struct jw_world *world = jw_create_late_start (
          seed, 9000, 5 * JB_SECOND, START_SENT_TIME, &backend);

      if (backend == NULL)
        return; /* clang-tidy does not know that the assertion ends the test */
      drain_behind_cut (world, backend);
      restart_before_late_command (world, backend);
      jw_check_and_free (world);
    }
}

/* Two runs at the same time: the owner that sent the start is killed, the next
   one starts the task elsewhere, and the next incarnation of the backend
   server carries out the start of the former owner.  */
static void
test_late_start_of_former_owner (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      struct jw_backend *backend;
      struct jw_world *world = jw_create_late_start (
          seed, 9000, 8 * JB_SECOND, START_SENT_TIME, &backend);
      int owner = jw_pool_owner (world, 0);

      CU_ASSERT_FATAL (owner >= 0);
      if (backend == NULL)
        return; /* clang-tidy does not know that the assertion ends the test */
      backend->draining = true;
      backend->unreachable = true;
      jw_advance (world, START_TIMED_OUT_TIME - START_SENT_TIME);
      jw_host_kill (world, (uint32_t)owner);
      jw_advance (world, CUT_TIME);
      backend->unreachable = false;
      restart_before_late_command (world, backend);
      jw_check_and_free (world);
    }
}

/* A start after the end `done`: a start without an answer is sent again, its
   run ends, and the next incarnation carries out the first start.  */
static void
test_late_start_after_done (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      struct jw_backend *backend;
      struct jw_world *world = jw_create_late_start (
          seed, 500, 5 * JB_SECOND, START_SENT_TIME, &backend);

      if (backend == NULL)
        return; /* clang-tidy does not know that the assertion ends the test */
      restart_before_late_command (world, backend);
      jw_check_and_free (world);
    }
}

/* Advance until a probe was delayed.  */
static void
wait_for_delayed_probe (struct jw_world *world)
{
  jb_time limit = world->now + WAIT_LIMIT;

  while (world->delayed_command.backend == NULL && world->now < limit)
    jw_advance (world, JB_MS);
  CU_ASSERT_PTR_NOT_NULL_FATAL (world->delayed_command.backend);
}

/* Advance until TASK runs.  */
static void
wait_for_run (struct jw_world *world, const struct jw_task *task)
{
  jb_time limit = world->now + WAIT_LIMIT;

  while (task->active_runs == 0 && world->now < limit)
    jw_advance (world, JB_MS);
  CU_ASSERT_FATAL (task->active_runs > 0);
}

static const struct jw_task *
submit_task (struct jw_world *world, int64_t duration_ms)
{
  struct jw_job_options job = { .step_count = 1,
                                .tasks_per_step = 1,
                                .cpu_milli = 1000,
                                .duration_ms = duration_ms };
  char name[64];

  snprintf (name, sizeof name, "%s.0.0.0", jw_submit_job (world, &job));
  return jw_get_task (world, name);
}

/* A done task starts again: a probe with the numbers of ends of the previous
   incarnation is carried out in the next one, after its owner was killed, and
   acknowledges an end that no owner has seen.  */
static void
test_late_acknowledgement_of_dead_owner (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      struct jw_options options = { .seed = seed,
                                    .hosts = 3,
                                    .pools = 1,
                                    .backends = 1,
                                    .backend_cpu_milli = 16000 };
      struct jw_world *world = jw_create_world (&options);
      struct jw_backend *backend = jw_find_backend (world, 0, 0);
      const struct jw_task *task;
      int owner;

      for (uint32_t i = 0; i < FIRST_ENDS; i++)
        submit_task (world, 300);
      jw_advance (world, JB_SECOND);
      wait_for_run (world, submit_task (world, 9000));
      CU_ASSERT_EQUAL (backend->last_end_number, FIRST_ENDS);
      world->delayed_command
          = (struct jw_delayed_command){ .kind = JB_COMMAND_PROBE,
                                         .delay = 4 * JB_SECOND };
      wait_for_delayed_probe (world);
      /* The task starts before its owner knows of the restart, and ends during
         a cut.  */
      jw_backend_restart (world, backend);
      task = submit_task (world, 1200);
      wait_for_run (world, task);
      owner = jw_pool_owner (world, 0);
      CU_ASSERT_FATAL (owner >= 0);
      backend->unreachable = true;
      jw_host_kill (world, (uint32_t)owner);
      jw_advance (world,
                  world->delayed_command.delivered_at - world->now - JB_MS);
      CU_ASSERT (task->done);
      CU_ASSERT_EQUAL (backend->ended_runs->len, 1);
      backend->unreachable = false;
      jw_advance (world, 25 * JB_SECOND);
      jw_check_and_free (world);
    }
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "a late start is carried out after its task has moved",
            test_late_start_after_task_moved },
          { "a late start of a former owner is carried out",
            test_late_start_of_former_owner },
          { "a late start is carried out after the task was done",
            test_late_start_after_done },
          { "a late acknowledgement of a dead owner",
            test_late_acknowledgement_of_dead_owner },
          { NULL, NULL } };

  return dp_test_main ("late commands after a restart", tests);
}
