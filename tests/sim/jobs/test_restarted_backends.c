/* Tests of backend servers that restart under their instance names, in virtual
   time.  Commands that were sent to a previous incarnation of a backend
   server, and what was known of that incarnation, must not act on the next
   one.  */

#include "jw_test.h"

#include <stdio.h>

enum
{
  FIRST_JOB_TASKS = 6,
  SEEDS = 6
};

/* A backend server is cut off over the end of its run from this time after the
   run's start on.  It is below the shortest run time of long_job.  */
#define CUT_AFTER_START (700 * JB_MS)

/* Longest time to wait for a condition.  */
#define WAIT_LIMIT (10 * JB_SECOND)

static const struct jw_options one_backend = {
  .seed = 1, .hosts = 3, .pools = 1, .backends = 1, .backend_cpu_milli = 16000
};

static const struct jw_job_options first_job
    = { .step_count = 1,
        .tasks_per_step = FIRST_JOB_TASKS,
        .cpu_milli = 1000,
        .duration_ms = 300 };

static const struct jw_job_options long_job = {
  .step_count = 1, .tasks_per_step = 1, .cpu_milli = 1000, .duration_ms = 1200
};

static struct jw_task *
first_task (struct jw_world *world, const char *id)
{
  char name[64];

  snprintf (name, sizeof name, "%s.0.0.0", id);
  return jw_get_task (world, name);
}

/* Advance until TASK runs.  */
static void
wait_for_run (struct jw_world *world, const struct jw_task *task)
{
  jb_time limit = world->now + WAIT_LIMIT;

  while (task->active_runs == 0 && world->now < limit)
    jw_advance (world, JB_MS);
  CU_ASSERT (task->active_runs > 0);
}

/* Advance until TASK is done.  */
static void
wait_until_done (struct jw_world *world, const struct jw_task *task)
{
  jb_time limit = world->now + WAIT_LIMIT;

  while (!task->done && world->now < limit)
    jw_advance (world, JB_MS);
  CU_ASSERT (task->done);
}

/* A start that was not answered is carried out 3 s later, after a restart of
   its backend server, whose clock is young, and after its answers to probes.
   The backend server drains, so that the task starts elsewhere.  */
static void
test_late_start_in_next_incarnation (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      struct jw_backend *backend;
      struct jw_world *world = jw_create_late_start (seed, 6000, 3 * JB_SECOND,
                                                     150 * JB_MS, &backend);

      if (backend == NULL)
        return; /* clang-tidy does not know that the assertion ends the test */
      backend->unreachable = true;
      backend->draining = true;
      jw_backend_restart (world, backend);
      jw_advance (world, 2 * JB_SECOND);
      backend->unreachable = false;
      jw_advance (world, 15 * JB_SECOND);
      jw_check_and_free (world);
    }
}

/* Ends of runs in the previous incarnation are being stored during the
   restart.  Their numbers must not acknowledge ends of the next incarnation,
   which nobody has seen.  */
static void
test_numbers_stored_across_restart (void)
{
  struct jw_world *world = jw_create_world (&one_backend);
  struct jw_backend *backend = jw_find_backend (world, 0, 0);
  struct jw_task *task;

  jw_submit_job (world, &first_job);
  task = first_task (world, jw_submit_job (world, &long_job));
  jw_advance (world, 150 * JB_MS);
  world->store_down = true;
  jw_advance (world, 300 * JB_MS);
  jw_backend_restart (world, backend);
  wait_for_run (world, task);
  world->store_down = false;
  jw_advance (world, CUT_AFTER_START);
  backend->unreachable = true;
  wait_until_done (world, task);
  backend->unreachable = false;
  jw_advance (world, 10 * JB_SECOND);
  jw_check_and_free (world);
}

/* A probe that acknowledges ends of the previous incarnation is carried out in
   the next one, when an end there was not seen yet.  */
static void
test_late_acknowledgement (void)
{
  struct jw_world *world = jw_create_world (&one_backend);
  struct jw_backend *backend = jw_find_backend (world, 0, 0);
  jb_time carried_out_at;
  struct jw_task *task;

  jw_submit_job (world, &first_job);
  jw_advance (world, 600 * JB_MS);
  task = first_task (world, jw_submit_job (world, &long_job));
  wait_for_run (world, task);
  world->delayed_command
      = (struct jw_delayed_command){ .kind = JB_COMMAND_PROBE,
                                     .delay = 4 * JB_SECOND };
  while (world->delayed_command.backend == NULL)
    jw_advance (world, JB_MS);
  carried_out_at = world->now + 4 * JB_SECOND;
  jw_backend_restart (world, backend);
  /* The task starts again, once it is known, and ends during a cut.  */
  wait_for_run (world, task);
  jw_advance (world, CUT_AFTER_START);
  backend->unreachable = true;
  wait_until_done (world, task);
  CU_ASSERT (world->now < carried_out_at);
  jw_advance (world, carried_out_at - world->now - JB_MS);
  backend->unreachable = false;
  jw_advance (world, 10 * JB_SECOND);
  jw_check_and_free (world);
}

/* A task ends in the next incarnation, before the owner knows of the restart
   and while the backend server is cut off.  The first probe after that must
   not acknowledge this end with a number of the previous incarnation.  */
static void
test_acknowledgement_after_silence (void)
{
  struct jw_world *world = jw_create_world (&one_backend);
  struct jw_backend *backend = jw_find_backend (world, 0, 0);
  struct jw_task *task;

  jw_submit_job (world, &first_job);
  jw_advance (world, 2 * JB_SECOND);
  jw_backend_restart (world, backend);
  task = first_task (world, jw_submit_job (world, &long_job));
  wait_for_run (world, task);
  backend->unreachable = true;
  wait_until_done (world, task);
  backend->unreachable = false;
  jw_advance (world, 10 * JB_SECOND);
  jw_check_and_free (world);
}

/* A restarted backend server leaves the list for so long that it is forgotten,
   and returns: it must not refuse the commands of the same owner.  */
static void
test_return_after_restart (void)
{
  struct jw_world *world = jw_create_world (&one_backend);
  struct jw_backend *backend = jw_find_backend (world, 0, 0);

  jw_submit_job (world, &long_job);
  jw_advance (world, 200 * JB_MS);
  jw_backend_restart (world, backend);
  jw_advance (world, 5 * JB_SECOND);
  backend->unlisted = true;
  jw_advance (world, 60 * JB_SECOND);
  backend->unlisted = false;
  jw_submit_job (world, &long_job);
  jw_advance (world, 10 * JB_SECOND);
  jw_check_and_free (world);
}

/* After a restart, the ends of the next incarnation are acknowledged, though
   their numbers are lower than those of the former one.  */
static void
test_ends_of_next_life_acknowledged (void)
{
  struct jw_world *world = jw_create_world (&one_backend);
  struct jw_backend *backend = jw_find_backend (world, 0, 0);
  struct jw_task *task;

  jw_submit_job (world, &first_job);
  task = first_task (world, jw_submit_job (world, &long_job));
  jw_advance (world, 600 * JB_MS);
  jw_backend_restart (world, backend);
  wait_for_run (world, task);
  wait_until_done (world, task);
  jw_advance (world, 3 * JB_SECOND);
  CU_ASSERT_EQUAL (backend->ended_runs->len, 0);
  jw_check_and_free (world);
}

/* Tasks start on backend servers that have just restarted, before the owner
   knows: the lease that they get is the longest possible, since it was meant
   for the former clocks.  Then they are cut off.  The tasks must not start
   elsewhere before that lease has expired, and must do so soon after it.  */
static void
test_lease_of_previous_incarnation (void)
{
  struct jw_options options = {
    .seed = 1, .hosts = 3, .pools = 1, .backends = 4, .backend_cpu_milli = 8000
  };
  struct jw_world *world = jw_create_world (&options);
  struct jw_job_options job = long_job;
  const struct jw_task *task;
  const char *id;

  job.duration_ms = 12000;
  for (uint32_t i = 0; i < options.backends / 2; i++)
    jw_backend_restart (world, jw_find_backend (world, 0, i));
  job.tasks_per_step = 8;
  id = jw_submit_job (world, &job);
  task = first_task (world, id);
  wait_for_run (world, task);
  jw_advance (world, 50 * JB_MS);
  for (uint32_t i = 0; i < options.backends / 2; i++)
    jw_find_backend (world, 0, i)->unreachable = true;
  jw_advance (world, 8 * JB_SECOND);
  CU_ASSERT_EQUAL (jw_count_running_tasks (world, id), job.tasks_per_step);
  for (uint32_t i = 0; i < options.backends / 2; i++)
    jw_find_backend (world, 0, i)->unreachable = false;
  jw_advance (world, 25 * JB_SECOND);
  jw_check_and_free (world);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "a late start is carried out in the next incarnation",
            test_late_start_in_next_incarnation },
          { "numbers stored across a restart",
            test_numbers_stored_across_restart },
          { "a late acknowledgement", test_late_acknowledgement },
          { "an acknowledgement after a silence",
            test_acknowledgement_after_silence },
          { "a restarted backend server leaves and returns",
            test_return_after_restart },
          { "ends of the next incarnation are acknowledged",
            test_ends_of_next_life_acknowledged },
          { "a lease of the previous incarnation",
            test_lease_of_previous_incarnation },
          { NULL, NULL } };

  return dp_test_main ("backend servers that restart", tests);
}
