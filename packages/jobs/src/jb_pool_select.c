/* Which jobs a pool's owner defers while it can't finish all of them on time:
   collects the input of jb_share_compare and jb_select_on_time.  */

#include "jb_pool_internal.h"
#include "jb_select.h"
#include "jb_share.h"

/* Time between two decisions.  */
#define SELECTION_INTERVAL (50 * JB_MS)

/* Return the work that remains to be done of JOB.  Running tasks count
   half.  */
static int64_t
remaining_work (const struct jb_job *job)
{
  int64_t work = 0;

  for (guint i = 0; i < job->groups->len; i++)
    {
      const struct jb_task_group *group = g_ptr_array_index (job->groups, i);
      const struct jb_step *step = jb_task_group_step (group);

      work += (2 * (int64_t)(group->task_count - group->done_count)
               - group->active_runs)
              * step->resources.cpu_milli * step->estimate_ms / 2;
    }
  return work;
}

/* Return what the usable backend servers have beside their long-running
   tasks.  */
static struct jb_resources
finite_capacity (const struct jb_pool *pool)
{
  struct jb_resources sum = { 0 };

  for (uint32_t i = 0; i < pool->usable_count; i++)
    {
      const struct jb_backend *backend = pool->usable_backends[i];

      jb_resources_add (&sum, &backend->capacity);
      for (const struct jb_task *t = backend->tasks; t != NULL;
           t = t->next_on_backend)
        if (jb_task_step (t)->long_running && !jb_task_step (t)->best_effort)
          jb_resources_subtract (&sum, &jb_task_step (t)->resources);
    }
  return sum;
}

/* Set `over_share' of the organisations that use POOL or wait for it.  */
static void
compare_orgs (struct jb_pool *pool, const struct jb_resources *capacity)
{
  guint size = g_hash_table_size (pool->org_usages);
  struct jb_share_org *orgs = g_new0 (struct jb_share_org, size + 1);
  GHashTableIter iter;
  gpointer value;
  uint32_t count = 0;

  g_hash_table_iter_init (&iter, pool->org_usages);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct jb_pool_org_usage *usage = value;

      orgs[count].weight = jb_pool_org_weight (pool, usage);
      orgs[count].used = usage->used;
      orgs[count++].wanted = usage->wanted;
    }
  jb_share_compare (orgs, count, capacity);
  count = 0;
  g_hash_table_iter_init (&iter, pool->org_usages);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct jb_pool_org_usage *)value)->over_share = orgs[count++].over_share;
  g_free (orgs);
}

/* Return whether JOB is one that may be finished on time or deferred.  */
static bool
may_be_on_time (const struct jb_job *job, jb_time now)
{
  return job->ended_at == 0 && job->stored && job->due_at != JB_NEVER
         && now < job->due_at && job->desc->scheduled_occurrences == 0
         && !jb_job_desc_is_long_running (job->desc);
}

/* Log when jobs begin to be deferred in POOL, and when none is any more.  */
static void
log_change (struct jb_pool *pool, uint32_t deferred)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t over_share = 0;

  if (pool->share_applies == (deferred > 0))
    return;
  pool->share_applies = deferred > 0;
  g_hash_table_iter_init (&iter, pool->org_usages);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    over_share += ((const struct jb_pool_org_usage *)value)->over_share;
  jb_log (pool->options.driver, JB_LEVEL_INFO,
          deferred > 0 ? "jobs-deferred" : "jobs-not-deferred", "pool",
          pool->options.name, "jobs", jb_itoa (deferred),
          "organisations_over_share", jb_itoa (over_share), NULL);
}

static void
set_deferred (struct jb_job *job, bool deferred)
{
  if (job->deferred != deferred)
    jb_job_note_change (job);
  job->deferred = deferred;
}

void
jb_pool_select_jobs (struct jb_pool *pool, jb_time now)
{
  guint len = pool->active_jobs->len;
  struct jb_resources capacity;
  struct jb_select_job *entries;
  struct jb_job **jobs;
  uint32_t deferred;
  uint32_t count = 0;

  if (!pool->options.bounds->shares || now < pool->next_selection)
    return;
  pool->next_selection = now + SELECTION_INTERVAL;
  entries = g_new0 (struct jb_select_job, len + 1);
  jobs = g_new (struct jb_job *, len + 1);
  capacity = finite_capacity (pool);
  compare_orgs (pool, &capacity);
  for (guint i = 0; i < len; i++)
    {
      struct jb_job *job = g_ptr_array_index (pool->active_jobs, i);

      if (!may_be_on_time (job, now))
        {
          set_deferred (job, false);
          continue;
        }
      if (job->queue_stats == NULL)
        job->queue_stats = jb_pool_get_queue_stats (pool, job->desc->queue);
      entries[count] = (struct jb_select_job){
        .priority = job->desc->priority,
        .due_at = job->due_at,
        .remaining_work = (int64_t)((double)remaining_work (job)
                                    * job->queue_stats->duration_ratio),
        .value = jb_rank_value (job->total_work, job->queue_stats->mean_work),
        .over_share = job->desc->org != NULL
                      && jb_pool_get_job_usage (pool, job)->over_share
      };
      jobs[count++] = job;
    }
  deferred = jb_select_on_time (entries, count, capacity.cpu_milli, now);
  for (uint32_t i = 0; i < count; i++)
    {
      if (entries[i].deferred && !jobs[i]->deferred)
        jb_count_event (pool->options.driver, JB_COUNT_JOBS_DEFERRED);
      set_deferred (jobs[i], entries[i].deferred);
    }
  log_change (pool, deferred);
  g_free (entries);
  g_free (jobs);
}
