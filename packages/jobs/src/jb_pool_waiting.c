/* The task groups that wait to be started, in classes of which all groups need
   the same: a scheduling cycle finds out once for each class whether there is
   room.

   Expected load: 10,000 groups that wait, in a hundred classes, most of which
   have no room.  */

#include "jb_pool_internal.h"

#include "jb_takeover.h"

#include <string.h>

static guint
hash_class (gconstpointer key)
{
  const struct jb_waiting_class *class = key;
  const struct jb_resources *resources = &class->resources;

  return (guint)resources->cpu_milli * 31 + (guint)resources->memory_mb * 37
         + (guint)resources->accelerators * 41
         + (class->label != NULL ? g_str_hash (class->label) : 0)
         + g_direct_hash (class->org_usage)
         + (guint)(class->best_effort + 2 * class->gang
                   + 4 * class->needs_advice + 8 * class->has_doubts
                   + 16 * class->is_loaded + 32 * class->may_copy);
}

static gboolean
equal_class (gconstpointer a, gconstpointer b)
{
  const struct jb_waiting_class *x = a;
  const struct jb_waiting_class *y = b;

  return memcmp (&x->resources, &y->resources, sizeof x->resources) == 0
         && g_strcmp0 (x->label, y->label) == 0 && x->org_usage == y->org_usage
         && x->best_effort == y->best_effort && x->gang == y->gang
         && x->needs_advice == y->needs_advice
         && x->has_doubts == y->has_doubts && x->is_loaded == y->is_loaded
         && x->may_copy == y->may_copy;
}

void
jb_pool_waiting_init (struct jb_pool *pool)
{
  pool->waiting_classes = g_hash_table_new (hash_class, equal_class);
}

static void
remove_group (struct jb_task_group *group)
{
  struct jb_waiting_class *class = group->waiting_class;

  if (class == NULL)
    return;
  jb_waiting_class_get (class, class->groups->len - 1)->group->waiting_index
      = group->waiting_index;
  g_array_remove_index_fast (class->groups, group->waiting_index);
  group->waiting_class = NULL;
  talloc_set_destructor (group, NULL);
  if (class->groups->len > 0)
    return;
  g_hash_table_remove (class->classes, class);
  talloc_free (class);
}

static int
group_destroy (struct jb_task_group *group)
{
  remove_group (group);
  return 0;
}

static int
class_destroy (struct jb_waiting_class *class)
{
  g_array_free (class->groups, TRUE);
  return 0;
}

void
jb_pool_waiting_clear (struct jb_pool *pool)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, pool->waiting_classes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct jb_waiting_class *class = value;

      for (guint i = 0; i < class->groups->len; i++)
        {
          struct jb_task_group *group = jb_waiting_class_get (class, i)->group;

          group->waiting_class = NULL;
          talloc_set_destructor (group, NULL);
        }
    }
  g_hash_table_destroy (pool->waiting_classes);
}

/* Return whether a step that precedes GROUP's, though done, still has a run:
   another run of a task has completed it, and this one is being stopped.  A
   successor of this owner that finds such a run takes the step for not done,
   and the steps behind it for not started (jb_takeover.h).  A gang is not
   concerned, since it must be found as a whole.  */
static bool
is_behind_active_run (const struct jb_task_group *group)
{
  const struct jb_step *step = jb_task_group_step (group);

  for (uint32_t i = 0; i < step->predecessor_count; i++)
    {
      const struct jb_task_group *predecessor = jb_job_find_group (
          group->job, group->occurrence, step->predecessors[i]);

      if (predecessor->active_runs > 0
          && !jb_task_group_step (predecessor)->gang)
        return true;
    }
  return false;
}

/* Return whether tasks of GROUP, of an active job, wait to be started.  */
static bool
is_waiting (const struct jb_task_group *group)
{
  const struct jb_job *job = group->job;

  return job->ended_at == 0 && job->stored && group->ready
         && group->done_count + group->active_runs < group->task_count
         && !is_behind_active_run (group);
}

/* Return whether a task of GROUP without a run may have a start in doubt.  */
static bool
may_have_doubts (const struct jb_task_group *group)
{
  for (uint32_t i = 0; i < group->task_count; i++)
    {
      const struct jb_task *task = &group->tasks[i];

      if (task->in_doubt && task->state == JB_RUN_NONE && !task->done)
        return true;
    }
  return false;
}

static int64_t
remaining_work_of_group (const struct jb_task_group *group)
{
  const struct jb_step *step = jb_task_group_step (group);

  return (int64_t)(group->task_count - group->done_count)
         * step->resources.cpu_milli * step->estimate_ms;
}

/* Return the work of GROUP's occurrence that remains to be done.  */
static int64_t
remaining_work (const struct jb_task_group *group)
{
  const struct jb_job *job = group->job;
  int64_t work = 0;

  for (uint32_t i = 0; i < job->desc->step_count; i++)
    work += remaining_work_of_group (
        jb_job_find_group (job, group->occurrence, i));
  return work;
}

/* Return what the rank of GROUP depends on.  */
static struct jb_waiting_group
describe_group (struct jb_pool *pool, struct jb_task_group *group)
{
  struct jb_job *job = group->job;
  const struct jb_step *step = jb_task_group_step (group);
  int64_t work = remaining_work (group);

  if (job->queue_stats == NULL)
    job->queue_stats = jb_pool_get_queue_stats (pool, job->desc->queue);
  if (group->work_divisor == 0 || group->ranked_work != work)
    {
      group->ranked_work = work;
      group->work_divisor = jb_rank_work_divisor (work);
    }
  return (struct jb_waiting_group){ .group = group,
                                    .rank_input
                                    = { .long_running = step->long_running,
                                        .best_effort = step->best_effort,
                                        .deferred = job->deferred,
                                        .priority = job->desc->priority,
                                        .total_work = job->total_work,
                                        .received_at = job->received_at,
                                        .due_at = job->due_at,
                                        .work_divisor = group->work_divisor },
                                    .critical_path_ms
                                    = jb_task_group_critical_path_ms (group),
                                    .queue_stats = job->queue_stats };
}

struct jb_rank
jb_pool_rank_waiting (const struct jb_waiting_group *waiting, jb_time now)
{
  struct jb_rank_input input = waiting->rank_input;

  input.queue_mean_work = waiting->queue_stats->mean_work;
  input.critical_path_ms = (int64_t)((double)waiting->critical_path_ms
                                     * waiting->queue_stats->duration_ratio);
  return jb_rank_compute (&input, now);
}

struct jb_rank
jb_pool_rank_group (struct jb_pool *pool, struct jb_task_group *group,
                    jb_time now)
{
  struct jb_waiting_group waiting = describe_group (pool, group);

  return jb_pool_rank_waiting (&waiting, now);
}

static void
add_group (struct jb_pool *pool, struct jb_task_group *group,
           const struct jb_waiting_class *key)
{
  struct jb_waiting_class *class = g_hash_table_lookup (pool->waiting_classes,
                                                        key);

  if (class == NULL)
    {
      class = talloc_zero (pool, struct jb_waiting_class);
      *class = *key;
      class->label = talloc_strdup (class, key->label);
      class->classes = pool->waiting_classes;
      class->groups
          = g_array_new (FALSE, FALSE, sizeof (struct jb_waiting_group));
      talloc_set_destructor (class, class_destroy);
      g_hash_table_add (pool->waiting_classes, class);
    }
  group->waiting_class = class;
  group->waiting_index = class->groups->len;
  g_array_set_size (class->groups, class->groups->len + 1);
  talloc_set_destructor (group, group_destroy);
}

static void
update_group (struct jb_pool *pool, struct jb_task_group *group)
{
  struct jb_job *job = group->job;
  const struct jb_step *step = jb_task_group_step (group);
  struct jb_waiting_class key;

  if (!is_waiting (group))
    {
      remove_group (group);
      return;
    }
  key = (struct jb_waiting_class){
    .resources = step->resources,
    .label = step->required_label,
    .org_usage
    = job->desc->org != NULL ? jb_pool_get_job_usage (pool, job) : NULL,
    .best_effort = step->best_effort,
    .gang = step->gang,
    .needs_advice = job->desc->needs_advice,
    .has_doubts = may_have_doubts (group),
    .is_loaded = job->loaded_from_store,
    .may_copy = jb_takeover_may_start_copies (step)
  };
  if (group->waiting_class == NULL
      || !equal_class (group->waiting_class, &key))
    {
      remove_group (group);
      add_group (pool, group, &key);
    }
  g_array_index (group->waiting_class->groups, struct jb_waiting_group,
                 group->waiting_index)
      = describe_group (pool, group);
}

void
jb_pool_update_waiting (struct jb_pool *pool, const struct jb_job *job)
{
  for (guint i = 0; i < job->groups->len; i++)
    update_group (pool, g_ptr_array_index (job->groups, i));
}

void
jb_pool_remove_waiting (const struct jb_job *job)
{
  for (guint i = 0; i < job->groups->len; i++)
    remove_group (g_ptr_array_index (job->groups, i));
}

/* Return whether CLASS has what the rank of GROUP depends on and may change.
 */
static bool
is_described (const struct jb_waiting_class *class,
              const struct jb_task_group *group)
{
  const struct jb_waiting_group *waiting
      = jb_waiting_class_get (class, group->waiting_index);

  return waiting->group == group
         && waiting->rank_input.deferred == group->job->deferred
         && waiting->rank_input.due_at == group->job->due_at
         && group->ranked_work == remaining_work (group);
}

bool
jb_pool_waiting_is_exact (const struct jb_pool *pool)
{
  guint count = 0;
  GHashTableIter iter;
  gpointer value;

  for (guint i = 0; i < pool->active_jobs->len; i++)
    {
      const struct jb_job *job = g_ptr_array_index (pool->active_jobs, i);

      for (guint j = 0; j < job->groups->len; j++)
        {
          const struct jb_task_group *group
              = g_ptr_array_index (job->groups, j);
          const struct jb_waiting_class *class = group->waiting_class;

          count += class != NULL;
          if (class != NULL && !job->is_changed
              && !is_described (class, group))
            return false;
          if (!job->is_changed
              && ((class != NULL) != is_waiting (group)
                  || (class != NULL
                      && (class->is_loaded != job->loaded_from_store
                          || (may_have_doubts (group)
                              && !class->has_doubts)))))
            return false;
        }
    }
  g_hash_table_iter_init (&iter, pool->waiting_classes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count -= ((const struct jb_waiting_class *)value)->groups->len;
  return count == 0;
}
