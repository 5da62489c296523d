/* Tests of acknowledgements that reach the next incarnation of a backend
   server late.  Its ends are numbered from 1 again, so that they drop ends
   that nobody has seen, in virtual time.  */

#include "jw_test.h"

#include <stdio.h>

enum
{
  SEEDS = 6,
  FIRST_ENDS = 6 /* of the previous incarnation */
};

/* How late the start and the acknowledgement are carried out.  The task has
   started late and ended in between.  */
#define START_DELAY (5 * JB_SECOND)
#define ACKNOWLEDGEMENT_DELAY (8 * JB_SECOND)

#define TASK_DURATION_MS 600

/* Longest time to wait for a condition.  */
#define WAIT_LIMIT (10 * JB_SECOND)

/* Time in which the answer to a probe, but no further probe, is on its way. */
#define ANSWER_TIME (3 * JB_MS)

/* Time in which an answer that lists a run's end is stored and the next probe
   acknowledges the end.  */
#define ACKNOWLEDGEMENT_TIME (40 * JB_MS)

static struct jw_world *
create_world (uint32_t seed, struct jw_backend **backend)
{
  struct jw_options options = { .seed = seed,
                                .hosts = 3,
                                .pools = 1,
                                .backends = 1,
                                .backend_cpu_milli = 16000 };
  struct jw_world *world = jw_create_world (&options);

  *backend = jw_find_backend (world, 0, 0);
  CU_ASSERT_PTR_NOT_NULL_FATAL (*backend);
  return world;
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

static void
delay_next (struct jw_world *world, enum jb_command_kind kind, jb_time delay)
{
  world->delayed_command
      = (struct jw_delayed_command){ .kind = kind, .delay = delay };
}

/* Advance until the command was sent that delay_next has chosen.  Return when
   it is carried out.  */
static jb_time
wait_for_delayed_command (struct jw_world *world)
{
  jb_time limit = world->now + WAIT_LIMIT;

  while (world->delayed_command.backend == NULL && world->now < limit)
    jw_advance (world, JB_MS);
  CU_ASSERT_PTR_NOT_NULL_FATAL (world->delayed_command.backend);
  return world->delayed_command.delivered_at;
}

/* Let tasks end, and the acknowledgement of the last one be late.  Return when
   it is carried out.  */
static jb_time
delay_acknowledgement (struct jw_world *world, struct jw_backend *backend)
{
  const struct jw_task *task;
  jb_time limit;

  for (uint32_t i = 1; i < FIRST_ENDS; i++)
    submit_task (world, 100);
  jw_advance (world, JB_SECOND);
  CU_ASSERT (backend->last_end_number >= FIRST_ENDS - 1);
  task = submit_task (world, 200);
  limit = world->now + WAIT_LIMIT;
  while (!task->done && world->now < limit)
    jw_advance (world, JB_MS);
  CU_ASSERT_FATAL (task->done);
  jw_advance (world, ANSWER_TIME);
  delay_next (world, JB_COMMAND_PROBE, ACKNOWLEDGEMENT_DELAY);
  return wait_for_delayed_command (world);
}

/* Restart BACKEND just before a start arrives at START_AT, cut it off while
   the task runs, and end the cut just before an acknowledgement arrives at
   ACKNOWLEDGEMENT_AT.  */
static void
restart_before_start (struct jw_world *world, struct jw_backend *backend,
                      jb_time start_at, jb_time acknowledgement_at)
{
  jw_advance (world, start_at - world->now - JB_MS);
  backend->unreachable = false;
  jw_backend_restart (world, backend);
  jw_advance (world, JB_MS);
  backend->unreachable = true;
  jw_advance (world, acknowledgement_at - world->now - JB_MS);
  CU_ASSERT_EQUAL (backend->last_end_number, 1);
  backend->unreachable = false;
  jw_advance (world, 30 * JB_SECOND);
}

/* A done task starts again: its start was sent after the acknowledgement.  */
static void
test_acknowledgement_before_start (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      struct jw_backend *backend;
      struct jw_world *world = create_world (seed, &backend);
      jb_time acknowledgement_at = delay_acknowledgement (world, backend);
      jb_time start_at;

      delay_next (world, JB_COMMAND_START_TASK, START_DELAY);
      submit_task (world, TASK_DURATION_MS);
      start_at = wait_for_delayed_command (world);
      backend->unreachable = true;
      restart_before_start (world, backend, start_at, acknowledgement_at);
      jw_check_and_free (world);
    }
}

/* A done task starts again: its start was sent before the acknowledgement, and
   is still in doubt.  */
static void
test_acknowledgement_after_start (void)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      struct jw_backend *backend;
      struct jw_world *world = create_world (seed, &backend);
      jb_time acknowledgement_at;
      jb_time start_at;

      delay_next (world, JB_COMMAND_START_TASK, START_DELAY);
      submit_task (world, TASK_DURATION_MS);
      start_at = wait_for_delayed_command (world);
      backend->hangs = true;
      jw_advance (world, JB_SECOND);
      backend->hangs = false;
      acknowledgement_at = delay_acknowledgement (world, backend);
      jw_advance (world, ACKNOWLEDGEMENT_TIME);
      backend->unreachable = true;
      restart_before_start (world, backend, start_at, acknowledgement_at);
      jw_check_and_free (world);
    }
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "a start was sent after an acknowledgement that is late",
            test_acknowledgement_before_start },
          { "a start was sent before an acknowledgement that is late",
            test_acknowledgement_after_start },
          { NULL, NULL } };

  return dp_test_main ("late acknowledgements", tests);
}
