#include "jb_takeover.h"

jb_time
jb_takeover_commands_end (const struct jb_takeover_predecessor *predecessor,
                          jb_time validity, jb_time now)
{
  jb_time latest = predecessor->claimed_at + validity;

  if (predecessor->generation <= 1)
    return predecessor->claimed_at;
  if (predecessor->settled_generation + 1 != predecessor->generation)
    return latest;
  if (predecessor->has_handed_over)
    return predecessor->claimed_at;
  if (predecessor->has_ended)
    return MIN (latest, now);
  return latest;
}

void
jb_takeover_record_active (struct jb_task *task, jb_time asked_at,
                           jb_time predecessor_until)
{
  bool is_first_of_owner = task->run % JB_RUN_NUMBERS_PER_OWNER == 1;

  if (task->inherited && is_first_of_owner && !task->done
      && asked_at >= predecessor_until)
    task->is_located = true;
}

/* Return whether GROUP was certainly not done when the last former owner sent
   its last command.  One member of a gang that is done completes the gang, so
   all must have been active.  */
static bool
was_incomplete (const struct jb_task_group *group)
{
  bool all = jb_task_group_step (group)->gang;

  for (uint32_t i = 0; i < group->task_count; i++)
    if (group->tasks[i].is_located != all)
      return !all;
  return all;
}

/* Return whether all tasks of GROUP are done, or were the only run of their
   task when the last former owner sent its last command.  */
static bool
is_accounted_for (const struct jb_task_group *group)
{
  for (uint32_t i = 0; i < group->task_count; i++)
    if (!group->tasks[i].done && !group->tasks[i].is_located)
      return false;
  return true;
}

/* Return whether a step before that of GROUP, of index STEP in JOB, was
   incomplete, so that GROUP can't have been started.  INCOMPLETE tells that
   for the steps before, and is set for this one.  */
static bool
is_behind_incomplete (const struct jb_job *job,
                      const struct jb_task_group *group, uint32_t step,
                      bool *incomplete)
{
  const struct jb_step *desc = &job->desc->steps[step];
  bool is_behind = false;

  for (uint32_t i = 0; i < desc->predecessor_count; i++)
    is_behind = is_behind || incomplete[desc->predecessors[i]];
  incomplete[step] = is_behind || was_incomplete (group);
  return is_behind;
}

/* Return whether the groups of OCCURRENCE are accounted for, or can't have
   been started because a preceding one was incomplete.  */
static bool
is_occurrence_accounted_for (const struct jb_job *job, uint32_t occurrence)
{
  bool incomplete[JB_MAX_STEPS_PER_JOB];

  /* Preceding steps have lower indexes (jb_job_desc_check).  */
  for (uint32_t i = 0; i < job->desc->step_count; i++)
    {
      const struct jb_task_group *group
          = jb_job_find_group (job, occurrence, i);

      if (!is_behind_incomplete (job, group, i, incomplete)
          && !is_accounted_for (group))
        return false;
    }
  return true;
}

bool
jb_takeover_may_start_copies (const struct jb_step *step)
{
  return step->speculative && !step->gang && !step->long_running;
}

bool
jb_takeover_may_release (const struct jb_job *job)
{
  if (job->opened_occurrences < jb_job_occurrence_count (job))
    return false;
  for (uint32_t k = job->dropped_occurrences; k < job->opened_occurrences; k++)
    if (!is_occurrence_accounted_for (job, k))
      return false;
  return true;
}

/* Mark the tasks of GROUP as awaited that have no known run, and may have one
   of a former owner.  Return their number.  */
static uint32_t
await_group (struct jb_task_group *group)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < group->task_count; i++)
    {
      struct jb_task *task = &group->tasks[i];

      task->is_awaited
          = !task->done && !task->is_located && task->state == JB_RUN_NONE;
      count += task->is_awaited;
    }
  return count;
}

uint32_t
jb_takeover_await_tasks (struct jb_job *job)
{
  uint32_t count = 0;

  for (uint32_t k = job->dropped_occurrences; k < job->opened_occurrences; k++)
    {
      bool incomplete[JB_MAX_STEPS_PER_JOB];

      for (uint32_t i = 0; i < job->desc->step_count; i++)
        {
          struct jb_task_group *group = jb_job_find_group (job, k, i);

          if (!is_behind_incomplete (job, group, i, incomplete))
            count += await_group (group);
        }
    }
  jb_job_note_change (job);
  return count;
}

void
jb_takeover_release_tasks (struct jb_job *job)
{
  for (guint i = 0; i < job->groups->len; i++)
    {
      struct jb_task_group *group = g_ptr_array_index (job->groups, i);

      for (uint32_t j = 0; j < group->task_count; j++)
        group->tasks[j].is_awaited = false;
    }
  jb_job_note_change (job);
}
