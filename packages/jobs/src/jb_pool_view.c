/* The state of a pool and its jobs as shown to operators, and the reasons why
   a job waits.  */

#include "jb_pool_internal.h"
#include "jb_view.h"

#include <string.h>

static const char *
stage_name (enum jb_pool_stage stage)
{
  static const char *const names[] = { [JB_STAGE_NOT_OWNED] = "claiming",
                                       [JB_STAGE_LOADING] = "loading",
                                       [JB_STAGE_SCANNING] = "scanning",
                                       [JB_STAGE_ACTIVE] = "active" };

  return names[stage];
}

static void
view_pool (struct jb_pool *pool, jb_time now, struct jb_view *view)
{
  uint32_t silent = 0;
  uint32_t usable = 0;
  uint32_t awaited_count = 0;
  char *awaited = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, pool->backends);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct jb_backend *backend = value;

      silent += backend->unanswered_probes >= JB_SILENT_AFTER_PROBES
                || !backend->probed;
      usable += jb_pool_backend_is_usable (pool, backend, now);
    }
  if (pool->waiting_jobs + pool->awaited_tasks > 0)
    awaited = jb_pool_list_awaited (pool, view->mem, &awaited_count);
  jb_view_add (
      view, "pool", "pool", pool->options.name, "stage",
      stage_name (pool->stage), "stands",
      jb_pool_may_command (pool, now) ? "yes" : "no", "backends",
      jb_itoa (g_hash_table_size (pool->backends)), "usable", jb_itoa (usable),
      "silent", jb_itoa (silent), "jobs", jb_itoa (pool->active_jobs->len),
      "to_write", jb_itoa (pool->dirty_jobs->len), "waiting_jobs",
      awaited != NULL ? jb_itoa (pool->waiting_jobs) : NULL, "waiting_tasks",
      awaited != NULL ? jb_itoa (pool->awaited_tasks) : NULL, "awaited",
      awaited != NULL ? jb_itoa (awaited_count) : NULL, "awaited_first",
      awaited, "waiting_ms",
      awaited != NULL ? jb_itoa ((now - pool->loading_since) / JB_MS) : NULL,
      NULL);
  talloc_free (awaited);
}

static void
view_job (const struct jb_pool *pool, jb_time now, const struct jb_job *job,
          struct jb_view *view)
{
  uint32_t count = 0;
  uint32_t done = 0;

  for (guint i = 0; i < job->groups->len; i++)
    {
      const struct jb_task_group *group = g_ptr_array_index (job->groups, i);

      count += group->task_count;
      done += group->done_count;
    }
  jb_view_add (
      view, "job", "job", job->desc->id, "pool", pool->options.name, "queue",
      job->desc->queue, "organisation", job->desc->org, "state",
      jb_job_state_name (job->ended_at != 0  ? job->state
                         : job->ever_started ? JB_JOB_RUNNING
                                             : JB_JOB_PENDING),
      "tasks", jb_itoa (count), "done", jb_itoa (done), "running",
      jb_itoa (job->active_runs), "stored", job->stored ? "yes" : "no",
      "late_ms",
      job->due_at != JB_NEVER && !jb_job_desc_is_long_running (job->desc)
          ? jb_itoa ((now - job->due_at) / JB_MS)
          : NULL,
      NULL);
}

static void
view_step (const struct jb_task_group *group, struct jb_view *view)
{
  const struct jb_step *step = jb_task_group_step (group);
  uint32_t failures = 0;

  for (uint32_t i = 0; i < group->task_count; i++)
    failures += group->tasks[i].failures;
  jb_view_add (
      view, "step", "occurrence", jb_itoa (group->occurrence), "step",
      jb_itoa (group->step), "tasks", jb_itoa (group->task_count), "done",
      jb_itoa (group->done_count), "running", jb_itoa (group->active_runs),
      "turn", group->ready ? "come" : "waits for earlier steps", "failures",
      jb_itoa (failures), "cpu", jb_itoa (step->resources.cpu_milli), NULL);
}

/* Return why no backend server runs the next task of GROUP, a static
   string.  */
static const char *
explain_placement (const struct jb_pool *pool,
                   const struct jb_task_group *group, jb_time now)
{
  const struct jb_task *task = &group->tasks[0];
  bool usable_any = false;
  bool allowed_any = false;
  bool fits_any = false;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, pool->backends);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct jb_backend *backend = value;

      if (!jb_pool_backend_is_usable (pool, backend, now))
        continue;
      usable_any = true;
      if (!jb_place_is_allowed (task, backend))
        continue;
      allowed_any = true;
      fits_any = fits_any || jb_place_fits (task, backend);
    }
  if (!usable_any)
    return "no backend server is fit for work";
  if (!allowed_any)
    return "no backend server has the label or ticket, or may hold one more";
  if (!fits_any)
    return "no allowed backend server has so much room left";
  return "others go first, or it starts in a moment";
}

/* Return whether a task of GROUP waits for a silent backend server where a
   former owner has left it.  */
static bool
has_awaited_task (const struct jb_task_group *group)
{
  for (uint32_t i = 0; i < group->task_count; i++)
    if (group->tasks[i].is_awaited && !group->tasks[i].done
        && group->tasks[i].state == JB_RUN_NONE)
      return true;
  return false;
}

/* Return whether a task of GROUP waits for the backend server that may still
   carry out a start of it.  */
static bool
has_task_in_doubt (const struct jb_pool *pool,
                   const struct jb_task_group *group)
{
  for (uint32_t i = 0; i < group->task_count; i++)
    if (!group->tasks[i].done && group->tasks[i].state == JB_RUN_NONE
        && jb_pool_find_doubt (pool, &group->tasks[i]) != NULL)
      return true;
  return false;
}

/* Add to VIEW the reason why tasks of GROUP wait, if any do.  */
static void
explain_group (struct jb_pool *pool, const struct jb_task_group *group,
               jb_time now, struct jb_view *view)
{
  const struct jb_resources *resources
      = &jb_task_group_step (group)->resources;
  const struct jb_pool_org_usage *org_usage;
  const char *reason = NULL;

  if (!group->ready
      || group->done_count + group->active_runs >= group->task_count)
    return;
  if (!jb_pool_check_share (pool, group->job, resources))
    {
      org_usage = jb_pool_get_org_usage (pool, group->job->desc->org);
      jb_view_add (view, "reason", "step", jb_itoa (group->step), "reason",
                   "the pool's share of its organisation's limit is used",
                   "used_cpu", jb_itoa (org_usage->used.cpu_milli),
                   "share_cpu", jb_itoa (org_usage->share.cpu_milli), NULL);
      return;
    }
  reason = has_awaited_task (group)
               ? "a former holder may have started it on a silent backend "
                 "server"
           : has_task_in_doubt (pool, group)
               ? "a backend server did not answer its start and may still "
                 "carry it out"
           : group->job->deferred
               ? "its organisation uses more than its share of a full pool"
               : explain_placement (pool, group, now);
  jb_view_add (view, "reason", "step", jb_itoa (group->step), "reason", reason,
               "cpu", jb_itoa (resources->cpu_milli), NULL);
}

/* Add to VIEW the reasons why JOB or its tasks wait.  */
static void
explain_job (struct jb_pool *pool, const struct jb_job *job, jb_time now,
             struct jb_view *view)
{
  const char *reason = NULL;

  if (job->ended_at != 0)
    reason = job->end_stored ? "it has ended"
                             : "it has ended, and that is being stored";
  else if (!job->stored)
    reason = "it is not stored yet, so it is not accepted";
  else if (!jb_pool_may_command (pool, now))
    reason = "neither the store nor a peer confirms this holder: no orders";
  else if (job->loaded_from_store && pool->stage != JB_STAGE_ACTIVE)
    reason = "a former holder may have started it: backend servers are asked";
  if (reason != NULL)
    jb_view_add (view, "reason", "reason", reason, NULL);
  for (guint i = 0; reason == NULL && i < job->groups->len; i++)
    explain_group (pool, g_ptr_array_index (job->groups, i), now, view);
}

void
jb_pool_view (struct jb_pool *pool, jb_time now, enum jb_view_topic topic,
              const char *id, struct jb_view *view)
{
  struct jb_job *job
      = id != NULL ? g_hash_table_lookup (pool->jobs, id) : NULL;

  if (topic == JB_VIEW_POOLS)
    view_pool (pool, now, view);
  for (guint i = 0; topic == JB_VIEW_JOBS && i < pool->active_jobs->len; i++)
    view_job (pool, now, g_ptr_array_index (pool->active_jobs, i), view);
  if (job == NULL || (topic != JB_VIEW_JOB && topic != JB_VIEW_EXPLAIN))
    return;
  view_job (pool, now, job, view);
  for (guint i = 0; i < job->groups->len; i++)
    view_step (g_ptr_array_index (job->groups, i), view);
  if (topic == JB_VIEW_EXPLAIN)
    explain_job (pool, job, now, view);
}
