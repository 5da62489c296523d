/* Sums over the active jobs of a pool: what organisations use and want, the
   unfinished work, the CPU that waits, and the jobs of each queue that have
   not started.

   Expected load: 10,000 active jobs, of which a few change between two events
   that need a sum.  So each job keeps what it was last counted with, and only
   jobs that have changed since are counted anew.  The classes of the groups
   that wait (jb_pool_waiting.c) are brought up to date with the sums.  */

#include "jb_pool_internal.h"

#include <string.h>

/* ---- what a job contributes ---- */

/* Add COUNT times AMOUNT to SUM.  */
static void
add_multiple (struct jb_resources *sum, const struct jb_resources *amount,
              int64_t count)
{
  sum->cpu_milli += count * amount->cpu_milli;
  sum->memory_mb += count * amount->memory_mb;
  sum->accelerators += count * amount->accelerators;
}

/* Return how many tasks of GROUP are done and still have a run.  Such a run is
   about to be stopped.  */
static uint32_t
count_done_with_run (const struct jb_task_group *group)
{
  uint32_t count = 0;

  if (group->active_runs == 0 || group->done_count == 0)
    return 0;
  for (uint32_t i = 0; i < group->task_count; i++)
    if (group->tasks[i].done && group->tasks[i].state != JB_RUN_NONE)
      count++;
  return count;
}

/* Count the tasks of GROUP without a known run that may have one: in AWAITED
   those of which a former owner has left a run on a silent backend server, in
   DOUBTFUL others with a start in doubt.  */
static void
count_possible_runs (const struct jb_pool *pool,
                     const struct jb_task_group *group, uint32_t *awaited,
                     uint32_t *doubtful)
{
  *awaited = 0;
  *doubtful = 0;
  for (uint32_t i = 0; i < group->task_count; i++)
    {
      struct jb_task *task = &group->tasks[i];

      if (task->state != JB_RUN_NONE || task->done)
        continue;
      if (task->is_awaited)
        ++*awaited;
      else
        *doubtful += jb_pool_find_doubt (pool, task) != NULL;
    }
}

/* Add what the tasks of GROUP use and want to DEMAND.  */
static void
add_usage (const struct jb_pool *pool, const struct jb_task_group *group,
           struct jb_job_demand *demand)
{
  const struct jb_job *job = group->job;
  const struct jb_resources *resources
      = &jb_task_group_step (group)->resources;
  /* Tasks that are neither done nor have a run.  */
  int64_t waiting = (int64_t)group->task_count - group->done_count
                    - group->active_runs + count_done_with_run (group);
  uint32_t awaited;
  uint32_t doubtful;

  add_multiple (&demand->used, resources, group->active_runs);
  if (job->ended_at != 0)
    return;
  /* A task of a job that was loaded from the store may have a run that is not
     known yet.  */
  if (job->loaded_from_store)
    add_multiple (&demand->used, resources, waiting);
  else if (group->ready)
    {
      count_possible_runs (pool, group, &awaited, &doubtful);
      add_multiple (&demand->used, resources, awaited + doubtful);
      add_multiple (&demand->in_doubt, resources, doubtful);
      add_multiple (&demand->wanted, resources, waiting - awaited - doubtful);
      demand->has_doubts = demand->has_doubts || doubtful > 0;
    }
}

/* Add the work of GROUP, of a job that has not ended, to DEMAND.  */
static void
add_work (const struct jb_task_group *group, struct jb_job_demand *demand)
{
  const struct jb_step *step = jb_task_group_step (group);
  int64_t cpu_milli = step->best_effort ? 0 : step->resources.cpu_milli;
  int64_t waiting
      = (int64_t)group->task_count - group->done_count - group->active_runs;

  if (!step->long_running)
    demand->unfinished_work += (int64_t)(group->task_count - group->done_count)
                               * step->resources.cpu_milli * step->estimate_ms;
  demand->unfinished_work = MIN (demand->unfinished_work, JB_MAX_JOB_WORK);
  if (!group->ready || waiting <= 0)
    return;
  demand->waiting_cpu_milli += waiting * cpu_milli;
  demand->waiting_weight += waiting * MAX (cpu_milli, 1);
}

static struct jb_job_demand
compute_demand (const struct jb_pool *pool, const struct jb_job *job)
{
  struct jb_job_demand demand
      = { .is_pending = job->stored && job->ended_at == 0 && !job->has_begun,
          .is_counted = true };

  for (guint i = 0; i < job->groups->len; i++)
    {
      const struct jb_task_group *group = g_ptr_array_index (job->groups, i);

      if (job->desc->org != NULL)
        add_usage (pool, group, &demand);
      if (job->ended_at == 0)
        add_work (group, &demand);
    }
  return demand;
}

/* ---- the sums ---- */

/* Let JOB be counted with DEMAND instead of what it was counted with.  */
static void
set_demand (struct jb_pool *pool, struct jb_job *job,
            const struct jb_job_demand *demand)
{
  struct jb_pool_sums *sums = &pool->sums;
  struct jb_job_demand *counted = &job->demand;

  sums->unfinished_work += demand->unfinished_work;
  sums->unfinished_work -= counted->unfinished_work;
  sums->waiting_cpu_milli
      += demand->waiting_cpu_milli - counted->waiting_cpu_milli;
  sums->waiting_weight += demand->waiting_weight - counted->waiting_weight;
  if (demand->is_pending != counted->is_pending)
    {
      if (job->queue_stats == NULL)
        job->queue_stats = jb_pool_get_queue_stats (pool, job->desc->queue);
      job->queue_stats->pending_jobs += demand->is_pending;
      job->queue_stats->pending_jobs -= counted->is_pending;
    }
  if (job->desc->org != NULL)
    {
      struct jb_pool_org_usage *usage = jb_pool_get_job_usage (pool, job);
      struct jb_org_demand *org = &usage->counted;

      usage->counted_jobs += demand->is_counted;
      usage->counted_jobs -= counted->is_counted;
      jb_resources_add (&org->used, &demand->used);
      jb_resources_subtract (&org->used, &counted->used);
      jb_resources_add (&org->in_doubt, &demand->in_doubt);
      jb_resources_subtract (&org->in_doubt, &counted->in_doubt);
      jb_resources_add (&org->wanted, &demand->wanted);
      jb_resources_subtract (&org->wanted, &counted->wanted);
    }
  if (demand->has_doubts && !counted->has_doubts)
    g_ptr_array_add (sums->doubtful_jobs, job);
  else if (!demand->has_doubts && counted->has_doubts)
    g_ptr_array_remove_fast (sums->doubtful_jobs, job);
  *counted = *demand;
}

void
jb_pool_update_sums (struct jb_pool *pool)
{
  GPtrArray *changed = pool->sums.changed_jobs;

  for (guint i = 0; i < changed->len; i++)
    {
      struct jb_job *job = g_ptr_array_index (changed, i);
      struct jb_job_demand demand = compute_demand (pool, job);

      job->is_changed = false;
      set_demand (pool, job, &demand);
      jb_pool_update_waiting (pool, job);
    }
  pool->sums.recount_count += changed->len;
  g_ptr_array_set_size (changed, 0);
  if (pool->options.bounds->check_sums)
    g_assert (jb_pool_sums_are_exact (pool));
}

/* Also count the jobs anew that have starts in doubt: the end of a doubt does
   not mark its job as changed.  */
static void
update_all_sums (struct jb_pool *pool)
{
  const GPtrArray *doubtful = pool->sums.doubtful_jobs;

  for (guint i = 0; i < doubtful->len; i++)
    jb_job_note_change (g_ptr_array_index (doubtful, i));
  jb_pool_update_sums (pool);
}

void
jb_pool_sums_init (struct jb_pool *pool)
{
  pool->sums.changed_jobs = g_ptr_array_new ();
  pool->sums.doubtful_jobs = g_ptr_array_new ();
}

void
jb_pool_sums_clear (struct jb_pool *pool)
{
  g_ptr_array_free (pool->sums.changed_jobs, TRUE);
  g_ptr_array_free (pool->sums.doubtful_jobs, TRUE);
}

void
jb_pool_activate_job (struct jb_pool *pool, struct jb_job *job)
{
  job->active_index = pool->active_jobs->len;
  g_ptr_array_add (pool->active_jobs, job);
  job->changed_jobs = pool->sums.changed_jobs;
  jb_job_note_change (job);
}

void
jb_pool_deactivate_job (struct jb_pool *pool, struct jb_job *job)
{
  static const struct jb_job_demand none;
  struct jb_job *last;

  if (job->changed_jobs == NULL)
    return;
  set_demand (pool, job, &none);
  jb_pool_remove_waiting (job);
  if (job->is_changed)
    g_ptr_array_remove_fast (pool->sums.changed_jobs, job);
  job->is_changed = false;
  job->changed_jobs = NULL;
  last = g_ptr_array_index (pool->active_jobs, pool->active_jobs->len - 1);
  last->active_index = job->active_index;
  g_ptr_array_remove_index_fast (pool->active_jobs, job->active_index);
}

int64_t
jb_pool_unfinished_work (struct jb_pool *pool)
{
  jb_pool_update_sums (pool);
  return (int64_t)MIN (pool->sums.unfinished_work, JB_MAX_JOB_WORK);
}

int64_t
jb_pool_waiting_cpu_milli (struct jb_pool *pool, bool has_no_capacity)
{
  jb_pool_update_sums (pool);
  return has_no_capacity ? pool->sums.waiting_weight
                         : pool->sums.waiting_cpu_milli;
}

uint32_t
jb_pool_count_pending (struct jb_pool *pool, const char *queue)
{
  const struct jb_queue_stats *stats;

  jb_pool_update_sums (pool);
  stats = g_hash_table_lookup (pool->queue_stats, queue);
  return stats != NULL ? stats->pending_jobs : 0;
}

void
jb_pool_update_usage (struct jb_pool *pool)
{
  GHashTableIter iter;
  gpointer value;

  update_all_sums (pool);
  g_hash_table_iter_init (&iter, pool->org_usages);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct jb_pool_org_usage *org_usage = value;

      org_usage->is_reported
          = org_usage->is_reported || org_usage->counted_jobs > 0;
      org_usage->used = org_usage->copies;
      jb_resources_add (&org_usage->used, &org_usage->counted.used);
      org_usage->in_doubt = org_usage->counted.in_doubt;
      org_usage->wanted = org_usage->counted.wanted;
    }
}

/* ---- check ---- */

/* Return whether DEMAND of a job is what it is counted with, apart from starts
   in doubt that may have ended since.  */
static bool
is_counted (const struct jb_job *job, const struct jb_job_demand *demand)
{
  const struct jb_job_demand *counted = &job->demand;
  bool same_usage
      = memcmp (&demand->used, &counted->used, sizeof demand->used) == 0
        && memcmp (&demand->in_doubt, &counted->in_doubt,
                   sizeof demand->in_doubt)
               == 0
        && memcmp (&demand->wanted, &counted->wanted, sizeof demand->wanted)
               == 0;

  return (same_usage || counted->has_doubts)
         && demand->unfinished_work == counted->unfinished_work
         && demand->waiting_cpu_milli == counted->waiting_cpu_milli
         && demand->waiting_weight == counted->waiting_weight
         && demand->is_pending == counted->is_pending;
}

/* Subtract what JOB is counted with from ORG.  */
static void
subtract_counted (struct jb_org_demand *org, const struct jb_job *job)
{
  jb_resources_subtract (&org->used, &job->demand.used);
  jb_resources_subtract (&org->in_doubt, &job->demand.in_doubt);
  jb_resources_subtract (&org->wanted, &job->demand.wanted);
}

/* Return whether what is left of the sums of ORG and of queues is nothing.  */
static bool
is_nothing_left (GHashTable *orgs, GHashTable *queues)
{
  static const struct jb_org_demand nothing;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, orgs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (memcmp (value, &nothing, sizeof nothing) != 0)
      return false;
  g_hash_table_iter_init (&iter, queues);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (GPOINTER_TO_INT (value) != 0)
      return false;
  return true;
}

bool
jb_pool_sums_are_exact (struct jb_pool *pool)
{
  struct jb_pool_sums left = pool->sums;
  GHashTable *orgs = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  GHashTable *queues = g_hash_table_new (NULL, NULL);
  bool exact = true;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, pool->org_usages);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_hash_table_insert (
        orgs, value,
        g_memdup2 (&((struct jb_pool_org_usage *)value)->counted,
                   sizeof (struct jb_org_demand)));
  g_hash_table_iter_init (&iter, pool->queue_stats);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_hash_table_insert (
        queues, value,
        GINT_TO_POINTER (((struct jb_queue_stats *)value)->pending_jobs));
  for (guint i = 0; i < pool->active_jobs->len; i++)
    {
      struct jb_job *job = g_ptr_array_index (pool->active_jobs, i);
      struct jb_job_demand demand = compute_demand (pool, job);

      exact = exact && job->active_index == i
              && (job->is_changed || is_counted (job, &demand));
      left.unfinished_work -= job->demand.unfinished_work;
      left.waiting_cpu_milli -= job->demand.waiting_cpu_milli;
      left.waiting_weight -= job->demand.waiting_weight;
      if (job->org_usage != NULL)
        subtract_counted (g_hash_table_lookup (orgs, job->org_usage), job);
      if (job->demand.is_pending)
        g_hash_table_insert (
            queues, job->queue_stats,
            GINT_TO_POINTER (GPOINTER_TO_INT (g_hash_table_lookup (
                                 queues, job->queue_stats))
                             - 1));
    }
  exact = exact && left.unfinished_work == 0 && left.waiting_cpu_milli == 0
          && left.waiting_weight == 0 && is_nothing_left (orgs, queues)
          && jb_pool_waiting_is_exact (pool);
  g_hash_table_destroy (orgs);
  g_hash_table_destroy (queues);
  return exact;
}
