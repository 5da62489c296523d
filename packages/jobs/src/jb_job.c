#include "jb_job.h"

#include "jb_progress.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

enum
{
  /* Bounds when decoding stored progress.  */
  MAX_FAILURES_PER_TASK = JB_MAX_ATTEMPTS,
  MAX_SAVED_CRASHES = 1000000
};

static int
job_destroy (struct jb_job *job)
{
  jb_progress_free (job);
  g_ptr_array_free (job->groups, TRUE);
  return 0;
}

struct jb_job *
jb_job_new (TALLOC_CTX *mem, struct jb_job_desc *desc)
{
  struct jb_job *job = talloc_zero (mem, struct jb_job);

  job->desc = talloc_steal (job, desc);
  job->groups = g_ptr_array_new ();
  job->due_at = JB_NEVER;
  job->total_work = jb_job_desc_work (job->desc);
  talloc_set_destructor (job, job_destroy);
  return job;
}

void
jb_job_note_change (struct jb_job *job)
{
  if (job->changed_jobs == NULL || job->is_changed)
    return;
  job->is_changed = true;
  g_ptr_array_add (job->changed_jobs, job);
}

void
jb_job_note_begun (struct jb_job *job)
{
  if (job->has_begun)
    return;
  job->has_begun = true;
  jb_job_note_change (job);
}

uint32_t
jb_job_occurrence_count (const struct jb_job *job)
{
  return MAX (job->desc->scheduled_occurrences, 1);
}

bool
jb_job_can_open_occurrence (const struct jb_job *job)
{
  uint64_t open_count = job->opened_occurrences - job->dropped_occurrences;
  uint64_t task_count = 0;

  for (uint32_t i = 0; i < job->desc->step_count; i++)
    task_count += job->desc->steps[i].task_count;
  return open_count == 0 || (open_count + 1) * task_count <= JB_MAX_OPEN_TASKS;
}

void
jb_job_open_next_occurrence (struct jb_job *job)
{
  uint32_t occurrence = job->opened_occurrences++;

  for (uint32_t i = 0; i < job->desc->step_count; i++)
    {
      struct jb_task_group *group = talloc_zero (job, struct jb_task_group);

      group->job = job;
      group->occurrence = occurrence;
      group->step = i;
      group->critical_path_ms = JB_NEVER;
      group->task_count = job->desc->steps[i].task_count;
      group->tasks
          = talloc_zero_array (group, struct jb_task, group->task_count);
      for (uint32_t j = 0; j < group->task_count; j++)
        {
          group->tasks[j].group = group;
          group->tasks[j].index = j;
          group->tasks[j].speed_percent = 100;
        }
      g_ptr_array_add (job->groups, group);
    }
  jb_job_note_change (job);
  jb_job_update_ready_groups (job, occurrence);
}

void
jb_job_open_occurrences_up_to (struct jb_job *job, uint32_t occurrence)
{
  while (job->opened_occurrences <= occurrence
         && job->opened_occurrences < job->desc->scheduled_occurrences
         && jb_job_can_open_occurrence (job))
    jb_job_open_next_occurrence (job);
}

int64_t
jb_task_group_critical_path_ms (struct jb_task_group *group)
{
  if (group->critical_path_ms == JB_NEVER)
    group->critical_path_ms = jb_job_desc_critical_path_from_step_ms (
        group->job->desc, group->step);
  return group->critical_path_ms;
}

struct jb_task_group *
jb_job_find_group (const struct jb_job *job, uint32_t occurrence,
                   uint32_t step)
{
  uint64_t position;

  if (occurrence < job->dropped_occurrences
      || occurrence >= job->opened_occurrences
      || step >= job->desc->step_count)
    return NULL;
  position = (uint64_t)(occurrence - job->dropped_occurrences)
                 * job->desc->step_count
             + step;
  return g_ptr_array_index (job->groups, position);
}

void
jb_job_update_ready_groups (struct jb_job *job, uint32_t occurrence)
{
  for (uint32_t i = 0; i < job->desc->step_count; i++)
    {
      const struct jb_step *step = &job->desc->steps[i];
      struct jb_task_group *group = jb_job_find_group (job, occurrence, i);
      bool ready = true;

      if (group == NULL || group->ready)
        continue;
      for (uint32_t j = 0; j < step->predecessor_count && ready; j++)
        {
          struct jb_task_group *predecessor
              = jb_job_find_group (job, occurrence, step->predecessors[j]);

          ready = predecessor != NULL
                  && predecessor->done_count == predecessor->task_count;
        }
      group->ready = ready;
      if (ready)
        jb_job_note_change (job);
    }
}

static bool
occurrence_is_done (const struct jb_job *job, uint32_t occurrence)
{
  for (uint32_t i = 0; i < job->desc->step_count; i++)
    {
      const struct jb_task_group *group
          = jb_job_find_group (job, occurrence, i);

      if (group->done_count < group->task_count)
        return false;
    }
  return true;
}

bool
jb_job_is_done (const struct jb_job *job)
{
  if (job->opened_occurrences < jb_job_occurrence_count (job))
    return false;
  for (uint32_t k = job->dropped_occurrences; k < job->opened_occurrences; k++)
    if (!occurrence_is_done (job, k))
      return false;
  return true;
}

static bool
occurrence_is_idle (const struct jb_job *job, uint32_t occurrence)
{
  for (uint32_t i = 0; i < job->desc->step_count; i++)
    if (jb_job_find_group (job, occurrence, i)->active_runs > 0)
      return false;
  return true;
}

void
jb_job_drop_done_occurrences (struct jb_job *job)
{
  while (job->dropped_occurrences < job->opened_occurrences
         && occurrence_is_done (job, job->dropped_occurrences)
         && occurrence_is_idle (job, job->dropped_occurrences))
    {
      for (uint32_t i = 0; i < job->desc->step_count; i++)
        talloc_free (g_ptr_array_index (job->groups, i));
      g_ptr_array_remove_range (job->groups, 0, job->desc->step_count);
      job->dropped_occurrences++;
      jb_job_note_change (job);
    }
}

const char *
jb_task_group_ticket (const struct jb_task_group *group,
                      const struct jb_backend *backend)
{
  if (group->advice == NULL)
    return NULL;
  return g_hash_table_lookup (group->advice->tickets, backend->instance);
}

static char *
format_name (const char *id, uint32_t occurrence, uint32_t step,
             uint32_t index, char name[JB_TASK_NAME_SIZE])
{
  snprintf (name, JB_TASK_NAME_SIZE, "%s.%" PRIu32 ".%" PRIu32 ".%" PRIu32, id,
            occurrence, step, index);
  return name;
}

char *
jb_task_name (const struct jb_task *task, char name[JB_TASK_NAME_SIZE])
{
  return format_name (task->group->job->desc->id, task->group->occurrence,
                      task->group->step, task->index, name);
}

char *
jb_task_ref_name (const struct jb_task_ref *ref, char name[JB_TASK_NAME_SIZE])
{
  return format_name (ref->id, ref->occurrence, ref->step, ref->index, name);
}

bool
jb_task_ref_parse (const char *name, struct jb_task_ref *ref)
{
  int used = 0;

  return sscanf (name, "%16[0-9a-fA-F].%" SCNu32 ".%" SCNu32 ".%" SCNu32 "%n",
                 ref->id, &ref->occurrence, &ref->step, &ref->index, &used)
             == 4
         && name[used] == '\0' && strlen (ref->id) == JB_JOB_ID_DIGITS;
}

struct jb_task *
jb_job_find_task (const struct jb_job *job, const struct jb_task_ref *ref)
{
  struct jb_task_group *group
      = jb_job_find_group (job, ref->occurrence, ref->step);

  if (group == NULL || ref->index >= group->task_count)
    return NULL;
  return &group->tasks[ref->index];
}

/* Return the resources that TASK reserves on its backend: no CPU if it is
   best-effort, since it only uses idle cores.  */
static struct jb_resources
task_reservation (const struct jb_task *task)
{
  const struct jb_step *step = jb_task_step (task);
  struct jb_resources reserved = step->resources;

  if (step->best_effort)
    reserved.cpu_milli = 0;
  return reserved;
}

void
jb_task_assign (struct jb_task *task, struct jb_backend *backend,
                enum jb_run_state state)
{
  struct jb_resources reserved = task_reservation (task);

  g_assert (task->state == JB_RUN_NONE && state != JB_RUN_NONE);
  task->state = state;
  task->backend = backend;
  task->ever_started = true;
  task->confirmed_at = 0;
  task->started_at = 0;
  task->inherited = false;
  task->run_proven = false;
  task->ready_percent = 0;
  task->speed_percent = 100;
  task->speed_set_at = 0;
  task->usage = 0;
  task->over_target_since = 0;
  task->last_attempt_at = 0;
  task->previous_on_backend = NULL;
  task->next_on_backend = backend->tasks;
  if (backend->tasks != NULL)
    backend->tasks->previous_on_backend = task;
  backend->tasks = task;
  backend->task_count++;
  jb_resources_add (&backend->reserved, &reserved);
  task->group->active_runs++;
  task->group->job->active_runs++;
  task->group->job->ever_started = true;
  jb_job_note_change (task->group->job);
}

void
jb_task_unassign (struct jb_task *task, jb_time now)
{
  struct jb_resources reserved = task_reservation (task);
  struct jb_backend *backend = task->backend;

  g_assert (task->state != JB_RUN_NONE);
  if (task->previous_on_backend != NULL)
    task->previous_on_backend->next_on_backend = task->next_on_backend;
  else
    backend->tasks = task->next_on_backend;
  if (task->next_on_backend != NULL)
    task->next_on_backend->previous_on_backend = task->previous_on_backend;
  backend->task_count--;
  if (backend->task_count == 0)
    backend->idle_since = now;
  jb_resources_subtract (&backend->reserved, &reserved);
  task->state = JB_RUN_NONE;
  task->backend = NULL;
  task->ready_percent = 0;
  task->ended_at = now;
  task->group->active_runs--;
  task->group->job->active_runs--;
  jb_job_note_change (task->group->job);
}

void
jb_task_mark_done (struct jb_task *task)
{
  if (task->done)
    return;
  task->done = true;
  task->group->done_count++;
  task->group->job->dirty = true;
  jb_job_note_change (task->group->job);
}

bool
jb_task_record_failure (struct jb_task *task, uint32_t run)
{
  for (uint32_t i = 0; i < task->failures; i++)
    if (task->failed_runs[i] == run)
      return false;
  task->failed_runs = talloc_realloc (task->group, task->failed_runs, uint32_t,
                                      task->failures + 1);
  task->failed_runs[task->failures++] = run;
  return true;
}

/* ---- stored progress ---- */

/* The stored form of a job's progress: the tasks that have made any, by
   group.  */

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
  uint32_t task_count;
  struct saved_task *tasks;
};

/* A task under which backend servers have crashed.  */
struct saved_crashes
{
  uint32_t occurrence;
  uint32_t step;
  uint32_t index;
  uint32_t crashes;
  uint32_t early_crashes;
};

struct saved_job
{
  uint32_t dropped_occurrences;
  uint32_t opened_occurrences;
  uint32_t group_count;
  struct saved_group *groups;
  uint32_t crashes_count;
  struct saved_crashes *crashes;
};

static void
serialize_saved_task (struct ba_codec *io, struct saved_task *task)
{
  ba_codec_u32 (io, &task->index);
  ba_codec_bool (io, &task->done);
  ba_codec_array (io, task->failed_runs, task->failures, MAX_FAILURES_PER_TASK,
                  ba_codec_u32);
  ba_codec_str (io, &task->checkpoint);
}

static void
serialize_saved_group (struct ba_codec *io, struct saved_group *group)
{
  ba_codec_u32 (io, &group->occurrence);
  ba_codec_u32 (io, &group->step);
  ba_codec_array (io, group->tasks, group->task_count, JB_MAX_TASKS_PER_STEP,
                  serialize_saved_task);
}

static void
serialize_saved_crashes (struct ba_codec *io, struct saved_crashes *saved)
{
  ba_codec_u32 (io, &saved->occurrence);
  ba_codec_u32 (io, &saved->step);
  ba_codec_u32 (io, &saved->index);
  ba_codec_u32 (io, &saved->crashes);
  ba_codec_u32 (io, &saved->early_crashes);
}

static void
serialize_saved_job (struct ba_codec *io, struct saved_job *job)
{
  ba_codec_u32 (io, &job->dropped_occurrences);
  ba_codec_u32 (io, &job->opened_occurrences);
  ba_codec_array (io, job->groups, job->group_count, JB_MAX_OCCURRENCES,
                  serialize_saved_group);
  /* Left out if empty, so that hosts of older versions can read the rest.  */
  if (io->reading ? io->offset < io->in.len : job->crashes_count > 0)
    ba_codec_array (io, job->crashes, job->crashes_count, MAX_SAVED_CRASHES,
                    serialize_saved_crashes);
}

/* Append the tasks of GROUP with indexes from FROM on and below TO under which
   backend servers have crashed to SAVED, whose array has room for them.  */
static void
save_crashes (const struct jb_task_group *group, uint32_t from, uint32_t to,
              struct saved_job *saved)
{
  for (uint32_t i = from; i < to; i++)
    {
      const struct jb_task *task = &group->tasks[i];

      if (task->crashes > 0 && !task->done)
        saved->crashes[saved->crashes_count++]
            = (struct saved_crashes){ group->occurrence, group->step, i,
                                      task->crashes, task->early_crashes };
    }
}

/* Append to SAVED, whose arrays have room for them, the tasks of GROUP with
   indexes from FROM on and below TO that have any progress, without the
   checkpoints that are longer than MAX_CHECKPOINT_BYTES.  */
static void
save_tasks (TALLOC_CTX *mem, const struct jb_task_group *group, uint32_t from,
            uint32_t to, size_t max_checkpoint_bytes, struct saved_job *saved)
{
  struct saved_group *saved_group = &saved->groups[saved->group_count];

  *saved_group = (struct saved_group){ .occurrence = group->occurrence,
                                       .step = group->step };
  saved_group->tasks = talloc_array (mem, struct saved_task, to - from + 1);
  for (uint32_t i = from; i < to; i++)
    {
      const struct jb_task *task = &group->tasks[i];
      char *checkpoint = task->done ? NULL : task->checkpoint;

      if (checkpoint != NULL && strlen (checkpoint) > max_checkpoint_bytes)
        checkpoint = NULL;
      if (task->done || task->failures > 0 || checkpoint != NULL)
        saved_group->tasks[saved_group->task_count++]
            = (struct saved_task){ i, task->done, task->failures,
                                   task->failed_runs, checkpoint };
    }
  save_crashes (group, from, to, saved);
  if (saved_group->task_count > 0)
    saved->group_count++;
}

struct ba_bytes
jb_job_encode_progress (TALLOC_CTX *mem, struct jb_job *job)
{
  TALLOC_CTX *scratch = talloc_new (mem);
  struct saved_job saved = { .dropped_occurrences = job->dropped_occurrences,
                             .opened_occurrences = job->opened_occurrences };
  struct ba_bytes bytes;
  size_t task_count = 0;

  saved.groups
      = talloc_zero_array (scratch, struct saved_group, job->groups->len + 1);
  for (guint i = 0; i < job->groups->len; i++)
    task_count += ((struct jb_task_group *)g_ptr_array_index (job->groups, i))
                      ->task_count;
  saved.crashes = talloc_array (scratch, struct saved_crashes, task_count + 1);
  for (guint i = 0; i < job->groups->len; i++)
    {
      const struct jb_task_group *group = g_ptr_array_index (job->groups, i);

      save_tasks (scratch, group, 0, group->task_count, SIZE_MAX, &saved);
    }
  bytes = ba_codec_encode (mem, serialize_saved_job, &saved);
  talloc_free (scratch);
  return bytes;
}

/* Return the number of tasks of an occurrence of JOB, at least 1.  */
static uint64_t
count_tasks_of_occurrence (const struct jb_job *job)
{
  uint64_t count = 0;

  for (uint32_t i = 0; i < job->desc->step_count; i++)
    count += job->desc->steps[i].task_count;
  return MAX (count, 1);
}

uint64_t
jb_job_first_segment (const struct jb_job *job)
{
  return job->dropped_occurrences * count_tasks_of_occurrence (job)
         / JB_JOB_SEGMENT_TASKS;
}

uint64_t
jb_job_segments_end (const struct jb_job *job)
{
  uint64_t task_count
      = job->opened_occurrences * count_tasks_of_occurrence (job);

  return (task_count + JB_JOB_SEGMENT_TASKS - 1) / JB_JOB_SEGMENT_TASKS;
}

struct ba_bytes
jb_job_encode_segment (TALLOC_CTX *mem, const struct jb_job *job,
                       uint64_t segment, size_t max_checkpoint_bytes,
                       bool *is_empty)
{
  TALLOC_CTX *scratch = talloc_new (mem);
  uint64_t first = segment * JB_JOB_SEGMENT_TASKS;
  uint64_t end = first + JB_JOB_SEGMENT_TASKS;
  uint64_t tasks_of_occurrence = count_tasks_of_occurrence (job);
  uint64_t occurrence
      = MAX (first / tasks_of_occurrence, job->dropped_occurrences);
  uint64_t group_first = occurrence * tasks_of_occurrence;
  struct ba_bytes bytes;
  struct saved_job saved = { 0 };

  saved.groups
      = talloc_zero_array (scratch, struct saved_group, JB_JOB_SEGMENT_TASKS);
  saved.crashes
      = talloc_array (scratch, struct saved_crashes, JB_JOB_SEGMENT_TASKS);
  for (uint64_t i
       = (occurrence - job->dropped_occurrences) * job->desc->step_count;
       i < job->groups->len && group_first < end; i++)
    {
      const struct jb_task_group *group = g_ptr_array_index (job->groups, i);
      uint64_t group_end = group_first + group->task_count;

      if (group_end > first)
        save_tasks (scratch, group, MAX (first, group_first) - group_first,
                    MIN (end, group_end) - group_first, max_checkpoint_bytes,
                    &saved);
      group_first = group_end;
    }
  *is_empty = saved.group_count == 0 && saved.crashes_count == 0;
  bytes = ba_codec_encode (mem, serialize_saved_job, &saved);
  talloc_free (scratch);
  return bytes;
}

struct ba_bytes
jb_job_encode_occurrences (TALLOC_CTX *mem, const struct jb_job *job)
{
  struct saved_job saved = { .dropped_occurrences = job->dropped_occurrences,
                             .opened_occurrences = job->opened_occurrences };

  return ba_codec_encode (mem, serialize_saved_job, &saved);
}

static void
restore_group (struct jb_job *job, const struct saved_group *saved)
{
  struct jb_task_group *group
      = jb_job_find_group (job, saved->occurrence, saved->step);

  for (uint32_t i = 0; group != NULL && i < saved->task_count; i++)
    {
      const struct saved_task *saved_task = &saved->tasks[i];
      struct jb_task *task;

      if (saved_task->index >= group->task_count)
        continue;
      task = &group->tasks[saved_task->index];
      for (uint32_t j = 0; j < saved_task->failures; j++)
        jb_task_record_failure (task, saved_task->failed_runs[j]);
      task->ever_started = true;
      job->ever_started = true;
      jb_job_note_begun (job);
      if (saved_task->checkpoint != NULL)
        {
          talloc_free (task->checkpoint);
          task->checkpoint = talloc_strdup (group, saved_task->checkpoint);
        }
      if (saved_task->done)
        jb_task_mark_done (task);
    }
}

static void
restore_crashes (struct jb_job *job, const struct saved_crashes *saved)
{
  struct jb_task_group *group
      = jb_job_find_group (job, saved->occurrence, saved->step);
  struct jb_task *task;

  if (group == NULL || saved->index >= group->task_count)
    return;
  task = &group->tasks[saved->index];
  task->crashes = saved->crashes;
  task->early_crashes = saved->early_crashes;
  task->ever_started = true;
  jb_job_note_begun (job);
  /* It isn't stored which checkpoint was the newest at the last crash.  */
  talloc_free (task->crash_checkpoint);
  task->crash_checkpoint = talloc_strdup (group, task->checkpoint);
  job->ever_started = true;
}

bool
jb_job_apply_progress (struct jb_job *job, struct ba_bytes progress)
{
  TALLOC_CTX *scratch = talloc_new (NULL);
  struct saved_job saved = { 0 };
  struct ba_codec io;
  bool valid;

  ba_codec_init_reader (&io, scratch, progress);
  serialize_saved_job (&io, &saved);
  valid = ba_codec_is_complete (&io)
          && saved.opened_occurrences <= jb_job_occurrence_count (job)
          && saved.dropped_occurrences <= saved.opened_occurrences;
  if (valid)
    {
      for (guint i = 0; i < job->groups->len; i++)
        talloc_free (g_ptr_array_index (job->groups, i));
      g_ptr_array_set_size (job->groups, 0);
      job->dropped_occurrences = saved.dropped_occurrences;
      job->opened_occurrences = saved.dropped_occurrences;
      while (job->opened_occurrences < saved.opened_occurrences)
        jb_job_open_next_occurrence (job);
      for (uint32_t i = 0; i < saved.group_count; i++)
        restore_group (job, &saved.groups[i]);
      for (uint32_t i = 0; i < saved.crashes_count; i++)
        restore_crashes (job, &saved.crashes[i]);
      for (uint32_t k = job->dropped_occurrences; k < job->opened_occurrences;
           k++)
        jb_job_update_ready_groups (job, k);
      job->dirty = false;
      jb_job_note_change (job);
    }
  talloc_free (scratch);
  return valid;
}

bool
jb_job_apply_segment (struct jb_job *job, struct ba_bytes segment)
{
  TALLOC_CTX *scratch = talloc_new (NULL);
  struct saved_job saved = { 0 };
  struct ba_codec io;
  bool valid;

  ba_codec_init_reader (&io, scratch, segment);
  serialize_saved_job (&io, &saved);
  valid = ba_codec_is_complete (&io);
  for (uint32_t i = 0; valid && i < saved.group_count; i++)
    {
      restore_group (job, &saved.groups[i]);
      jb_job_update_ready_groups (job, saved.groups[i].occurrence);
    }
  for (uint32_t i = 0; valid && i < saved.crashes_count; i++)
    restore_crashes (job, &saved.crashes[i]);
  if (valid)
    job->dirty = false;
  jb_job_note_change (job);
  talloc_free (scratch);
  return valid;
}
