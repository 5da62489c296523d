#include "jb_work.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

enum
{
  MAX_FAILURES = 100000 /* of one task */
};

static int
job_destroy (struct jb_job *job)
{
  g_ptr_array_free (job->groups, TRUE);
  return 0;
}

struct jb_job *
jb_job_new (TALLOC_CTX *mem, struct jb_desc *desc)
{
  struct jb_job *job = talloc_zero (mem, struct jb_job);

  job->desc = talloc_steal (job, desc);
  job->groups = g_ptr_array_new ();
  job->objective = JB_NEVER;
  talloc_set_destructor (job, job_destroy);
  return job;
}

uint32_t
jb_job_occurrences (const struct jb_job *job)
{
  return MAX (job->desc->times, 1);
}

void
jb_job_open_next (struct jb_job *job)
{
  uint32_t occurrence = job->opened++;

  for (uint32_t i = 0; i < job->desc->step_count; i++)
    {
      struct jb_group *group = talloc_zero (job, struct jb_group);

      group->job = job;
      group->occurrence = occurrence;
      group->step = i;
      group->count = job->desc->steps[i].count;
      group->tasks = talloc_zero_array (group, struct jb_task, group->count);
      for (uint32_t j = 0; j < group->count; j++)
        {
          group->tasks[j].group = group;
          group->tasks[j].index = j;
          group->tasks[j].pace = 100;
        }
      g_ptr_array_add (job->groups, group);
    }
  jb_job_advance (job, occurrence);
}

struct jb_group *
jb_job_group (const struct jb_job *job, uint32_t occurrence, uint32_t step)
{
  uint64_t at;

  if (occurrence < job->done_upto || occurrence >= job->opened
      || step >= job->desc->step_count)
    return NULL;
  at = (uint64_t)(occurrence - job->done_upto) * job->desc->step_count + step;
  return g_ptr_array_index (job->groups, at);
}

void
jb_job_advance (struct jb_job *job, uint32_t occurrence)
{
  for (uint32_t i = 0; i < job->desc->step_count; i++)
    {
      const struct jb_step *step = &job->desc->steps[i];
      struct jb_group *group = jb_job_group (job, occurrence, i);
      bool open = true;

      if (group == NULL || group->open)
        continue;
      for (uint32_t j = 0; j < step->after_count && open; j++)
        {
          struct jb_group *before
              = jb_job_group (job, occurrence, step->after[j]);

          open = before != NULL && before->done == before->count;
        }
      group->open = open;
    }
}

static bool
occurrence_done (const struct jb_job *job, uint32_t occurrence)
{
  for (uint32_t i = 0; i < job->desc->step_count; i++)
    {
      const struct jb_group *group = jb_job_group (job, occurrence, i);

      if (group->done < group->count)
        return false;
    }
  return true;
}

bool
jb_job_done (const struct jb_job *job)
{
  if (job->opened < jb_job_occurrences (job))
    return false;
  for (uint32_t k = job->done_upto; k < job->opened; k++)
    if (!occurrence_done (job, k))
      return false;
  return true;
}

static bool
occurrence_idle (const struct jb_job *job, uint32_t occurrence)
{
  for (uint32_t i = 0; i < job->desc->step_count; i++)
    if (jb_job_group (job, occurrence, i)->runs > 0)
      return false;
  return true;
}

void
jb_job_trim (struct jb_job *job)
{
  while (job->done_upto < job->opened && occurrence_done (job, job->done_upto)
         && occurrence_idle (job, job->done_upto))
    {
      for (uint32_t i = 0; i < job->desc->step_count; i++)
        talloc_free (g_ptr_array_index (job->groups, i));
      g_ptr_array_remove_range (job->groups, 0, job->desc->step_count);
      job->done_upto++;
    }
}

const char *
jb_group_ticket (const struct jb_group *group,
                 const struct jb_backend *backend)
{
  if (group->advice == NULL)
    return NULL;
  return g_hash_table_lookup (group->advice->tickets, backend->instance);
}

char *
jb_task_name (const struct jb_task *task, char name[JB_TASK_NAME_SIZE])
{
  snprintf (name, JB_TASK_NAME_SIZE, "%s.%" PRIu32 ".%" PRIu32 ".%" PRIu32,
            task->group->job->desc->id, task->group->occurrence,
            task->group->step, task->index);
  return name;
}

bool
jb_task_ref_parse (const char *name, struct jb_task_ref *ref)
{
  int used = 0;

  return sscanf (name, "%16[0-9a-fA-F].%" SCNu32 ".%" SCNu32 ".%" SCNu32 "%n",
                 ref->id, &ref->occurrence, &ref->step, &ref->index, &used)
             == 4
         && name[used] == '\0' && strlen (ref->id) == JB_ID_LEN;
}

struct jb_task *
jb_job_task (const struct jb_job *job, const struct jb_task_ref *ref)
{
  struct jb_group *group = jb_job_group (job, ref->occurrence, ref->step);

  if (group == NULL || ref->index >= group->count)
    return NULL;
  return &group->tasks[ref->index];
}

/* What TASK takes of its backend's room.  */
static struct jb_amount
task_amount (const struct jb_task *task)
{
  const struct jb_step *step = jb_task_step (task);
  struct jb_amount amount = step->amount;

  if (step->fills)
    amount.cpu = 0;
  return amount;
}

void
jb_task_place (struct jb_task *task, struct jb_backend *backend,
               enum jb_run_state state)
{
  struct jb_amount amount = task_amount (task);

  g_assert (task->state == JB_RUN_NONE && state != JB_RUN_NONE);
  task->state = state;
  task->backend = backend;
  task->begun = true;
  task->settled = 0;
  task->started = 0;
  task->inherited = false;
  task->percent = 0;
  task->pace = 100;
  task->paced = 0;
  task->usage = 0;
  task->over_since = 0;
  task->ordered = 0;
  task->previous = NULL;
  task->next = backend->tasks;
  if (backend->tasks != NULL)
    backend->tasks->previous = task;
  backend->tasks = task;
  backend->task_count++;
  jb_amount_add (&backend->used, &amount);
  task->group->runs++;
  task->group->job->runs++;
  task->group->job->begun = true;
}

void
jb_task_clear (struct jb_task *task, jb_time now)
{
  struct jb_amount amount = task_amount (task);
  struct jb_backend *backend = task->backend;

  g_assert (task->state != JB_RUN_NONE);
  if (task->previous != NULL)
    task->previous->next = task->next;
  else
    backend->tasks = task->next;
  if (task->next != NULL)
    task->next->previous = task->previous;
  backend->task_count--;
  if (backend->task_count == 0)
    backend->idle_since = now;
  jb_amount_subtract (&backend->used, &amount);
  task->state = JB_RUN_NONE;
  task->backend = NULL;
  task->percent = 0;
  task->ended = now;
  task->group->runs--;
  task->group->job->runs--;
}

void
jb_task_set_done (struct jb_task *task)
{
  if (task->done)
    return;
  task->done = true;
  task->group->done++;
  task->group->job->dirty = true;
}

bool
jb_task_fail (struct jb_task *task, uint32_t run)
{
  for (uint32_t i = 0; i < task->failures; i++)
    if (task->failed_runs[i] == run)
      return false;
  task->failed_runs = talloc_realloc (task->group, task->failed_runs, uint32_t,
                                      task->failures + 1);
  task->failed_runs[task->failures++] = run;
  return true;
}

/* ---- progress ---- */

struct saved_task
{
  uint32_t index;
  bool done;
  uint32_t failures;
  uint32_t *failed_runs;
  char *checkpoint;
};

struct saved_group
{
  uint32_t occurrence;
  uint32_t step;
  uint32_t count;
  struct saved_task *tasks;
};

struct saved_job
{
  uint32_t done_upto;
  uint32_t opened;
  uint32_t count;
  struct saved_group *groups;
};

static void
saved_task_code (struct ba_io *io, struct saved_task *task)
{
  ba_io_u32 (io, &task->index);
  ba_io_bool (io, &task->done);
  ba_io_array (io, task->failed_runs, task->failures, MAX_FAILURES, ba_io_u32);
  ba_io_str (io, &task->checkpoint);
}

static void
saved_group_code (struct ba_io *io, struct saved_group *group)
{
  ba_io_u32 (io, &group->occurrence);
  ba_io_u32 (io, &group->step);
  ba_io_array (io, group->tasks, group->count, JB_MAX_TASKS, saved_task_code);
}

static void
saved_job_code (struct ba_io *io, struct saved_job *job)
{
  ba_io_u32 (io, &job->done_upto);
  ba_io_u32 (io, &job->opened);
  ba_io_array (io, job->groups, job->count, JB_MAX_TIMES, saved_group_code);
}

/* Fill SAVED with the tasks of GROUP that something is to be said of.  */
static void
save_group (TALLOC_CTX *mem, const struct jb_group *group,
            struct saved_group *saved)
{
  saved->occurrence = group->occurrence;
  saved->step = group->step;
  saved->tasks = talloc_array (mem, struct saved_task, group->count);
  for (uint32_t i = 0; i < group->count; i++)
    {
      const struct jb_task *task = &group->tasks[i];

      if (task->done || task->failures > 0 || task->checkpoint != NULL)
        saved->tasks[saved->count++]
            = (struct saved_task){ i, task->done, task->failures,
                                   task->failed_runs,
                                   task->done ? NULL : task->checkpoint };
    }
}

struct ba_bytes
jb_progress_encode (TALLOC_CTX *mem, struct jb_job *job)
{
  TALLOC_CTX *scratch = talloc_new (mem);
  struct saved_job saved
      = { .done_upto = job->done_upto, .opened = job->opened };
  struct ba_bytes bytes;

  saved.groups
      = talloc_zero_array (scratch, struct saved_group, job->groups->len + 1);
  for (guint i = 0; i < job->groups->len; i++)
    {
      save_group (scratch, g_ptr_array_index (job->groups, i),
                  &saved.groups[saved.count]);
      if (saved.groups[saved.count].count > 0)
        saved.count++;
    }
  bytes = ba_io_encode (mem, saved_job_code, &saved);
  talloc_free (scratch);
  return bytes;
}

static void
apply_group (struct jb_job *job, const struct saved_group *saved)
{
  struct jb_group *group = jb_job_group (job, saved->occurrence, saved->step);

  for (uint32_t i = 0; group != NULL && i < saved->count; i++)
    {
      const struct saved_task *from = &saved->tasks[i];
      struct jb_task *task;

      if (from->index >= group->count)
        continue;
      task = &group->tasks[from->index];
      for (uint32_t j = 0; j < from->failures; j++)
        jb_task_fail (task, from->failed_runs[j]);
      task->begun = true;
      job->begun = true;
      if (from->checkpoint != NULL)
        task->checkpoint = talloc_strdup (group, from->checkpoint);
      if (from->done)
        jb_task_set_done (task);
    }
}

bool
jb_progress_apply (struct jb_job *job, struct ba_bytes progress)
{
  TALLOC_CTX *scratch = talloc_new (NULL);
  struct saved_job saved = { 0 };
  struct ba_io io;
  bool good;

  ba_io_reader (&io, scratch, progress);
  saved_job_code (&io, &saved);
  good = ba_io_ended (&io) && saved.opened <= jb_job_occurrences (job)
         && saved.done_upto <= saved.opened;
  if (good)
    {
      for (guint i = 0; i < job->groups->len; i++)
        talloc_free (g_ptr_array_index (job->groups, i));
      g_ptr_array_set_size (job->groups, 0);
      job->done_upto = saved.done_upto;
      job->opened = saved.done_upto;
      while (job->opened < saved.opened)
        jb_job_open_next (job);
      for (uint32_t i = 0; i < saved.count; i++)
        apply_group (job, &saved.groups[i]);
      for (uint32_t k = job->done_upto; k < job->opened; k++)
        jb_job_advance (job, k);
      job->dirty = false;
    }
  talloc_free (scratch);
  return good;
}
