/* Test of which loaded jobs a new owner may go on with while backend servers
   are silent.  Each case that must wait guards against a task that runs
   twice.  */

#include "dp_test.h"
#include "jb_takeover.h"

#define PREDECESSOR_UNTIL (10 * JB_SECOND)
#define AFTER (PREDECESSOR_UNTIL + JB_SECOND)
#define BEFORE (PREDECESSOR_UNTIL - JB_SECOND)

enum
{
  FIRST_RUN = 3 * JB_RUN_NUMBERS_PER_OWNER + 1 /* of an owner */
};

static uint32_t predecessors_of_second[] = { 0 };
static uint32_t predecessors_of_third[] = { 1 };

/* Return a job of a chain of three steps with two tasks each.  */
static struct jb_job *
make_chain (TALLOC_CTX *mem)
{
  struct jb_job_desc *desc = talloc_zero (mem, struct jb_job_desc);
  struct jb_job *job;

  desc->id = talloc_strdup (desc, "0123456789abcdef");
  desc->queue = talloc_strdup (desc, "queue");
  desc->spec = talloc_strdup (desc, "spec");
  desc->step_count = 3;
  desc->steps = talloc_zero_array (desc, struct jb_step, 3);
  for (uint32_t i = 0; i < desc->step_count; i++)
    desc->steps[i].task_count = 2;
  desc->steps[1].predecessors = predecessors_of_second;
  desc->steps[1].predecessor_count = 1;
  desc->steps[2].predecessors = predecessors_of_third;
  desc->steps[2].predecessor_count = 1;
  job = jb_job_new (mem, desc);
  jb_job_open_next_occurrence (job);
  return job;
}

static struct jb_task *
get_task (const struct jb_job *job, uint32_t step, uint32_t index)
{
  return &jb_job_find_group (job, 0, step)->tasks[index];
}

/* A probe sent at ASKED_AT has listed run number RUN of TASK, of a former
   owner, as active.  */
static void
find_active (struct jb_task *task, uint32_t run, jb_time asked_at)
{
  task->inherited = true;
  task->run = run;
  jb_takeover_record_active (task, asked_at, PREDECESSOR_UNTIL);
}

static void
complete (struct jb_job *job, uint32_t step, uint32_t index)
{
  jb_task_mark_done (get_task (job, step, index));
  jb_job_update_ready_groups (job, 0);
}

static void
test_unknown_task_waits (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct jb_job *job = make_chain (mem);

  CU_ASSERT_FALSE (jb_takeover_may_release (job));
  find_active (get_task (job, 0, 0), FIRST_RUN, AFTER);
  CU_ASSERT_FALSE (jb_takeover_may_release (job));
  find_active (get_task (job, 0, 1), FIRST_RUN, AFTER);
  CU_ASSERT_TRUE (jb_takeover_may_release (job));
  talloc_free (mem);
}

static void
test_done_and_found_are_released (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct jb_job *job = make_chain (mem);

  complete (job, 0, 0);
  find_active (get_task (job, 0, 1), FIRST_RUN, AFTER);
  CU_ASSERT_TRUE (jb_takeover_may_release (job));
  /* What is behind the step stays not started when the step is done.  */
  complete (job, 0, 1);
  CU_ASSERT_TRUE (jb_takeover_may_release (job));
  talloc_free (mem);
}

/* The step was done before the former owner's last command, so that it may
   have started the next one on a silent backend server.  */
static void
test_step_behind_done_step_waits (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct jb_job *job = make_chain (mem);

  complete (job, 0, 0);
  complete (job, 0, 1);
  CU_ASSERT_FALSE (jb_takeover_may_release (job));
  find_active (get_task (job, 1, 0), FIRST_RUN, AFTER);
  CU_ASSERT_FALSE (jb_takeover_may_release (job));
  find_active (get_task (job, 1, 1), FIRST_RUN, AFTER);
  CU_ASSERT_TRUE (jb_takeover_may_release (job));
  talloc_free (mem);
}

/* The former owner may have learnt the run's end from a probe that was still
   open, and may have started the step behind it.  */
static void
test_run_listed_too_early_proves_nothing (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct jb_job *job = make_chain (mem);

  complete (job, 0, 0);
  find_active (get_task (job, 0, 1), FIRST_RUN, BEFORE);
  CU_ASSERT_FALSE (jb_takeover_may_release (job));
  find_active (get_task (job, 0, 1), FIRST_RUN, PREDECESSOR_UNTIL);
  CU_ASSERT_TRUE (jb_takeover_may_release (job));
  talloc_free (mem);
}

/* An earlier run of the task, whose lease had expired, may have reported that
   it was done.  */
static void
test_later_run_of_owner_proves_nothing (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct jb_job *job = make_chain (mem);

  complete (job, 0, 0);
  find_active (get_task (job, 0, 1), FIRST_RUN + 1, AFTER);
  CU_ASSERT_FALSE (jb_takeover_may_release (job));
  talloc_free (mem);
}

/* A run that this owner started says nothing about others of the task.  */
static void
test_own_run_proves_nothing (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct jb_job *job = make_chain (mem);
  struct jb_task *task = get_task (job, 0, 1);

  complete (job, 0, 0);
  task->run = FIRST_RUN;
  jb_takeover_record_active (task, AFTER, PREDECESSOR_UNTIL);
  CU_ASSERT_FALSE (jb_takeover_may_release (job));
  talloc_free (mem);
}

/* A gang is done as soon as one member is.  */
static void
test_gang_must_be_found_as_a_whole (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct jb_job *job = make_chain (mem);

  job->desc->steps[0].gang = true;
  find_active (get_task (job, 0, 0), FIRST_RUN, AFTER);
  CU_ASSERT_FALSE (jb_takeover_may_release (job));
  complete (job, 0, 0);
  complete (job, 0, 1);
  CU_ASSERT_FALSE (jb_takeover_may_release (job));
  get_task (job, 0, 1)->is_located = true;
  CU_ASSERT_TRUE (jb_takeover_may_release (job));
  talloc_free (mem);
}

/* A former owner whose clock is ahead may have opened the next occurrence.  */
static void
test_occurrence_that_is_not_open_waits (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct jb_job *job = make_chain (mem);

  job->desc->scheduled_occurrences = 2;
  find_active (get_task (job, 0, 0), FIRST_RUN, AFTER);
  find_active (get_task (job, 0, 1), FIRST_RUN, AFTER);
  CU_ASSERT_FALSE (jb_takeover_may_release (job));
  jb_job_open_next_occurrence (job);
  CU_ASSERT_FALSE (jb_takeover_may_release (job));
  for (uint32_t i = 0; i < 2; i++)
    find_active (&jb_job_find_group (job, 1, 0)->tasks[i], FIRST_RUN, AFTER);
  CU_ASSERT_TRUE (jb_takeover_may_release (job));
  talloc_free (mem);
}

/* A predecessor that has ended may have owned the pool for a moment only, and
   the owner before it may still send commands.  */
static void
test_wait_after_ended_predecessor (void)
{
  struct jb_takeover_predecessor predecessor
      = { .claimed_at = 20 * JB_SECOND, .generation = 7 };
  jb_time validity = 2 * JB_SECOND;
  jb_time now = 21 * JB_SECOND;

  CU_ASSERT_EQUAL (jb_takeover_commands_end (&predecessor, validity, now),
                   22 * JB_SECOND);
  predecessor.has_ended = true;
  CU_ASSERT_EQUAL (jb_takeover_commands_end (&predecessor, validity, now),
                   22 * JB_SECOND);
  predecessor.settled_generation = 5;
  CU_ASSERT_EQUAL (jb_takeover_commands_end (&predecessor, validity, now),
                   22 * JB_SECOND);
  predecessor.settled_generation = 6;
  CU_ASSERT_EQUAL (jb_takeover_commands_end (&predecessor, validity, now),
                   now);
  predecessor.has_ended = false;
  CU_ASSERT_EQUAL (jb_takeover_commands_end (&predecessor, validity, now),
                   22 * JB_SECOND);
  /* What it stored tells that it sends no commands, but not that the owner
     before it doesn't.  */
  predecessor.has_handed_over = true;
  CU_ASSERT_EQUAL (jb_takeover_commands_end (&predecessor, validity, now),
                   20 * JB_SECOND);
  predecessor.settled_generation = 5;
  CU_ASSERT_EQUAL (jb_takeover_commands_end (&predecessor, validity, now),
                   22 * JB_SECOND);
  predecessor
      = (struct jb_takeover_predecessor){ .claimed_at = now, .generation = 1 };
  CU_ASSERT_EQUAL (jb_takeover_commands_end (&predecessor, validity, now),
                   now);
}

/* Copies of a gang or of a service are not started.  */
static void
test_copies (void)
{
  struct jb_step step = { .speculative = true };

  CU_ASSERT_TRUE (jb_takeover_may_start_copies (&step));
  step.gang = true;
  CU_ASSERT_FALSE (jb_takeover_may_start_copies (&step));
  step = (struct jb_step){ .speculative = true, .long_running = true };
  CU_ASSERT_FALSE (jb_takeover_may_start_copies (&step));
  step = (struct jb_step){ .speculative = false };
  CU_ASSERT_FALSE (jb_takeover_may_start_copies (&step));
}

/* A task that may run on a silent backend server starts again, or others are
   held back with it.  */
static void
test_unaccounted_tasks_are_awaited (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct jb_job *job = make_chain (mem);

  CU_ASSERT_EQUAL (jb_takeover_await_tasks (job), 6);
  jb_takeover_release_tasks (job);
  CU_ASSERT_FALSE (get_task (job, 0, 1)->is_awaited);
  /* Nothing behind an incomplete step was started.  */
  find_active (get_task (job, 0, 0), FIRST_RUN, AFTER);
  CU_ASSERT_EQUAL (jb_takeover_await_tasks (job), 1);
  CU_ASSERT_FALSE (get_task (job, 0, 0)->is_awaited);
  CU_ASSERT_TRUE (get_task (job, 0, 1)->is_awaited);
  job = make_chain (mem);
  complete (job, 0, 0);
  complete (job, 0, 1);
  get_task (job, 1, 0)->state = JB_RUN_RUNNING;
  /* Its run does not prove that the step was incomplete.  */
  CU_ASSERT_EQUAL (jb_takeover_await_tasks (job), 3);
  CU_ASSERT_FALSE (get_task (job, 1, 0)->is_awaited);
  CU_ASSERT_TRUE (get_task (job, 1, 1)->is_awaited);
  talloc_free (mem);
}

int
main (void)
{
  static const struct dp_test tests[] = {
    { "an unknown task waits", test_unknown_task_waits },
    { "done and found tasks are released", test_done_and_found_are_released },
    { "a step behind a done step waits", test_step_behind_done_step_waits },
    { "a run listed too early proves nothing",
      test_run_listed_too_early_proves_nothing },
    { "a later run of an owner proves nothing",
      test_later_run_of_owner_proves_nothing },
    { "an own run proves nothing", test_own_run_proves_nothing },
    { "a gang must be found as a whole", test_gang_must_be_found_as_a_whole },
    { "an occurrence that is not open waits",
      test_occurrence_that_is_not_open_waits },
    { "the wait after a predecessor that has ended",
      test_wait_after_ended_predecessor },
    { "copies", test_copies },
    { "tasks that are not accounted for are awaited",
      test_unaccounted_tasks_are_awaited },
    { NULL, NULL }
  };

  return dp_test_main ("takeover", tests);
}
