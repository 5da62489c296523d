#include "jb_crash.h"

enum
{
  /* A task is given up after this number of early crashes that were not
     attributed to another task, or of crashes of any kind.  The latter is
     higher, since most tasks that were lost in a crash did not cause it.  */
  MAX_EARLY_CRASHES = 2,
  MAX_CRASHES = 4,
  /* Of a long-running task only early crashes in a row count, since it
     outlives many backend servers.  */
  MAX_EARLY_CRASHES_LONG_RUNNING = 3
};

/* How long a suspect waits for a backend server without unproven runs.  */
#define MAX_ISOLATION_WAIT (1500 * JB_MS)

enum jb_crash_phase
jb_crash_phase_of (const struct jb_task *task)
{
  if (task->state == JB_RUN_STARTING || task->state == JB_RUN_UNCONFIRMED)
    return JB_CRASH_UNCONFIRMED;
  if (jb_task_step (task)->long_running)
    return task->ready_percent < 100 ? JB_CRASH_EARLY : JB_CRASH_LATE;
  return task->run_proven ? JB_CRASH_LATE : JB_CRASH_EARLY;
}

bool
jb_crash_is_wave (jb_time heard_at, const jb_time *others, uint32_t count)
{
  uint32_t size = 1;

  for (uint32_t i = 0; i < count; i++)
    size += ABS (others[i] - heard_at) <= JB_CRASH_WAVE_MS * JB_MS;
  return size >= JB_CRASH_WAVE_SIZE;
}

/* Forget the crashes of TASK if it has saved progress since the last one.  */
static void
forget_crashes_before_progress (struct jb_task *task)
{
  if (task->checkpoint == NULL
      || g_strcmp0 (task->checkpoint, task->crash_checkpoint) == 0)
    return;
  talloc_free (task->crash_checkpoint);
  task->crash_checkpoint = talloc_strdup (task->group, task->checkpoint);
  task->crashes = task->early_crashes;
}

void
jb_crash_record (struct jb_task *task, enum jb_crash_phase phase, bool in_wave)
{
  forget_crashes_before_progress (task);
  if (in_wave && phase == JB_CRASH_LATE)
    return;
  task->crashes++;
  if (phase == JB_CRASH_EARLY && !in_wave)
    task->early_crashes++;
}

void
jb_crash_retract (struct jb_task *task, enum jb_crash_phase phase,
                  bool in_wave)
{
  if (phase == JB_CRASH_EARLY && !in_wave && task->early_crashes > 0)
    task->early_crashes--;
}

bool
jb_crash_prove (struct jb_task *task)
{
  bool was_suspect = task->early_crashes > 0;

  task->run_proven = true;
  if (!was_suspect || jb_task_step (task)->long_running)
    return false;
  task->early_crashes = 0;
  return true;
}

bool
jb_crash_clear (struct jb_task *task)
{
  bool had_crashes = task->crashes > 0;

  task->crashes = 0;
  task->early_crashes = 0;
  return had_crashes;
}

bool
jb_crash_gives_up (const struct jb_task *task)
{
  if (jb_task_step (task)->long_running)
    return task->early_crashes >= MAX_EARLY_CRASHES_LONG_RUNNING;
  return task->crashes >= MAX_CRASHES
         || task->early_crashes >= MAX_EARLY_CRASHES;
}

/* Return whether the run of OTHER must be proven before TASK may start beside
   it.  The members of a gang are started and lost together, so nothing is
   learned from starting them apart.  */
static bool
is_unproven_stranger (const struct jb_task *other, const struct jb_task *task)
{
  return !other->run_proven
         && !(other->group == task->group && jb_task_step (task)->gang);
}

bool
jb_crash_has_probation (const struct jb_backend *backend)
{
  for (const struct jb_task *t = backend->tasks; t != NULL;
       t = t->next_on_backend)
    if (t->early_crashes > 0 && !t->run_proven)
      return true;
  return false;
}

bool
jb_crash_keeps_apart (const struct jb_task *task,
                      const struct jb_backend *backend, jb_time now)
{
  bool is_suspect
      = task->early_crashes > 0 && now - task->ended_at <= MAX_ISOLATION_WAIT;

  for (const struct jb_task *t = backend->tasks; t != NULL;
       t = t->next_on_backend)
    if ((t->early_crashes > 0 || is_suspect) && is_unproven_stranger (t, task))
      return true;
  return false;
}
