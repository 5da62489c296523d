/* Test of which tasks cause crashes of backend servers.

   Expected load: tasks that crash each backend server that starts them, beside
   a dozen others.  */

#include "dp_test.h"
#include "jb_crash.h"

#define NOW (60 * JB_SECOND)

/* Return a job with one step of TASKS tasks.  */
static struct jb_job *
make_job (TALLOC_CTX *mem, uint32_t tasks, bool long_running)
{
  struct jb_job_desc *desc = talloc_zero (mem, struct jb_job_desc);
  struct jb_job *job;

  desc->id = talloc_strdup (desc, "0123456789abcdef");
  desc->queue = talloc_strdup (desc, "queue");
  desc->spec = talloc_strdup (desc, "spec");
  desc->step_count = 1;
  desc->steps = talloc_zero_array (desc, struct jb_step, 1);
  desc->steps[0].task_count = tasks;
  desc->steps[0].long_running = long_running;
  job = jb_job_new (mem, desc);
  jb_job_open_next_occurrence (job);
  return job;
}

static struct jb_task *
get_task (const struct jb_job *job, uint32_t index)
{
  return &jb_job_find_group (job, 0, 0)->tasks[index];
}

/* Let the run of TASK on BACKEND, which has STATE and is PROVEN or not, be
   lost in a crash.  */
static void
crash (struct jb_task *task, struct jb_backend *backend,
       enum jb_run_state state, bool proven)
{
  jb_task_assign (task, backend, state);
  task->run_proven = proven;
  jb_crash_record (task, jb_crash_phase_of (task), false);
  jb_task_unassign (task, NOW);
}

static void
test_giving_up (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct jb_backend *backend = talloc_zero (mem, struct jb_backend);
  struct jb_job *job = make_job (mem, 3, false);
  struct jb_task *early = get_task (job, 0);
  struct jb_task *late = get_task (job, 1);
  struct jb_task *cleared = get_task (job, 2);

  crash (early, backend, JB_RUN_RUNNING, false);
  CU_ASSERT_FALSE (jb_crash_gives_up (early));
  crash (early, backend, JB_RUN_RUNNING, false);
  CU_ASSERT (jb_crash_gives_up (early));
  /* At most three crashes and two more starts are allowed; a crash that an
     owner did not live to count is one of them.  */
  for (int i = 0; i < 3; i++)
    {
      crash (late, backend, i == 0 ? JB_RUN_UNCONFIRMED : JB_RUN_RUNNING,
             true);
      CU_ASSERT_FALSE (jb_crash_gives_up (late));
    }
  crash (late, backend, JB_RUN_RUNNING, true);
  CU_ASSERT (jb_crash_gives_up (late));
  crash (cleared, backend, JB_RUN_RUNNING, false);
  jb_crash_retract (cleared, JB_CRASH_EARLY, false);
  crash (cleared, backend, JB_RUN_RUNNING, false);
  CU_ASSERT_FALSE (jb_crash_gives_up (cleared));
  talloc_free (mem);
}

/* A long task that saves its progress between crashes is not given up, one
   that gets no further is, within the same number of crashes.  A new owner
   doesn't take the checkpoint that it has read for progress.  */
static void
test_progress_between_crashes (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct jb_backend *backend = talloc_zero (mem, struct jb_backend);
  struct jb_job *job = make_job (mem, 1, false);
  struct jb_job *copy = make_job (mem, 1, false);
  struct jb_task *task = get_task (job, 0);

  for (int i = 0; i < 10; i++)
    {
      talloc_free (task->checkpoint);
      task->checkpoint = talloc_asprintf (task->group, "%016d", i);
      crash (task, backend, JB_RUN_RUNNING, true);
      CU_ASSERT_FALSE (jb_crash_gives_up (task));
    }
  for (int i = 0; i < 2; i++)
    {
      crash (task, backend, JB_RUN_RUNNING, true);
      CU_ASSERT_FALSE (jb_crash_gives_up (task));
    }
  CU_ASSERT (jb_job_apply_progress (copy, jb_job_encode_progress (mem, job)));
  task = get_task (copy, 0);
  CU_ASSERT_FALSE (jb_crash_gives_up (task));
  crash (task, backend, JB_RUN_RUNNING, true);
  CU_ASSERT (jb_crash_gives_up (task));
  talloc_free (mem);
}

/* Backend servers that were last heard at about the same time crashed at
   once, whether the others were heard before or after.  */
static void
test_recognising_waves (void)
{
  const jb_time window = JB_CRASH_WAVE_MS * JB_MS;
  const jb_time others[] = { NOW - window, NOW + window, NOW + window + 1 };

  CU_ASSERT_FALSE (jb_crash_is_wave (NOW, NULL, 0));
  CU_ASSERT_FALSE (jb_crash_is_wave (NOW, others, JB_CRASH_WAVE_SIZE - 2));
  CU_ASSERT (jb_crash_is_wave (NOW, others, JB_CRASH_WAVE_SIZE - 1));
  CU_ASSERT_FALSE (jb_crash_is_wave (NOW, &others[1], 2));
}

/* Crashes in waves raise no suspicion, and a proven run ends it; a task that
   may have crashed its backend server each time is given up all the same,
   within the same number of crashes.  */
static void
test_waves (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct jb_job *job = make_job (mem, 3, false);
  struct jb_task *early = get_task (job, 0);
  struct jb_task *late = get_task (job, 1);
  struct jb_task *proven = get_task (job, 2);

  for (int i = 0; i < 3; i++)
    {
      jb_crash_record (early, JB_CRASH_EARLY, true);
      CU_ASSERT_EQUAL (early->early_crashes, 0);
      CU_ASSERT_FALSE (jb_crash_gives_up (early));
    }
  jb_crash_record (early, JB_CRASH_UNCONFIRMED, true);
  CU_ASSERT (jb_crash_gives_up (early));
  for (int i = 0; i < 10; i++)
    jb_crash_record (late, JB_CRASH_LATE, true);
  CU_ASSERT_FALSE (jb_crash_gives_up (late));
  jb_crash_record (late, JB_CRASH_EARLY, false);
  jb_crash_retract (late, JB_CRASH_EARLY, true);
  CU_ASSERT_EQUAL (late->early_crashes, 1);
  jb_crash_record (proven, JB_CRASH_EARLY, false);
  CU_ASSERT (jb_crash_prove (proven));
  CU_ASSERT (proven->run_proven);
  CU_ASSERT_FALSE (jb_crash_prove (proven));
  jb_crash_record (proven, JB_CRASH_EARLY, false);
  CU_ASSERT_FALSE (jb_crash_gives_up (proven));
  CU_ASSERT_EQUAL (proven->crashes, 2);
  talloc_free (mem);
}

/* A long-running task outlives many backend servers.  */
static void
test_long_running (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct jb_backend *backend = talloc_zero (mem, struct jb_backend);
  struct jb_task *task = get_task (make_job (mem, 1, true), 0);

  for (int i = 0; i < 10; i++)
    {
      jb_task_assign (task, backend, JB_RUN_RUNNING);
      task->ready_percent = 100;
      jb_crash_record (task, jb_crash_phase_of (task), false);
      jb_task_unassign (task, NOW);
    }
  CU_ASSERT_FALSE (jb_crash_gives_up (task));
  CU_ASSERT (jb_crash_clear (task));
  CU_ASSERT_FALSE (jb_crash_clear (task));
  crash (task, backend, JB_RUN_RUNNING, true);
  crash (task, backend, JB_RUN_RUNNING, true);
  CU_ASSERT_FALSE (jb_crash_gives_up (task));
  /* It is not ready yet.  */
  CU_ASSERT_FALSE (jb_crash_prove (task));
  crash (task, backend, JB_RUN_RUNNING, true);
  CU_ASSERT (jb_crash_gives_up (task));
  talloc_free (mem);
}

/* A suspect and runs that have just started are not mixed; a suspect does not
   wait for ever.  */
static void
test_keeping_apart (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct jb_backend *backend = talloc_zero (mem, struct jb_backend);
  struct jb_backend *other = talloc_zero (mem, struct jb_backend);
  struct jb_job *job = make_job (mem, 3, false);
  struct jb_task *suspect = get_task (job, 0);
  struct jb_task *fresh = get_task (job, 1);

  crash (suspect, other, JB_RUN_RUNNING, false);
  CU_ASSERT_FALSE (jb_crash_keeps_apart (fresh, backend, NOW));
  CU_ASSERT_FALSE (jb_crash_keeps_apart (suspect, backend, NOW));
  jb_task_assign (fresh, backend, JB_RUN_STARTING);
  CU_ASSERT (jb_crash_keeps_apart (suspect, backend, NOW));
  CU_ASSERT_FALSE (
      jb_crash_keeps_apart (suspect, backend, NOW + 2 * JB_SECOND));
  fresh->run_proven = true;
  CU_ASSERT_FALSE (jb_crash_keeps_apart (suspect, backend, NOW));
  jb_task_assign (suspect, backend, JB_RUN_STARTING);
  CU_ASSERT (jb_crash_has_probation (backend));
  CU_ASSERT (
      jb_crash_keeps_apart (get_task (job, 2), backend, NOW + 10 * JB_SECOND));
  suspect->run_proven = true;
  CU_ASSERT_FALSE (jb_crash_has_probation (backend));
  CU_ASSERT_FALSE (jb_crash_keeps_apart (get_task (job, 2), backend, NOW));
  talloc_free (mem);
}

int
main (void)
{
  static const struct dp_test tests[]
      = { { "when a task is given up", test_giving_up },
          { "progress between crashes", test_progress_between_crashes },
          { "waves are recognised", test_recognising_waves },
          { "crashes in waves", test_waves },
          { "long-running tasks", test_long_running },
          { "suspects are isolated", test_keeping_apart },
          { NULL, NULL } };

  return dp_test_main ("tasks that cause crashes", tests);
}
