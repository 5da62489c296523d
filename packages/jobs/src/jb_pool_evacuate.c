/* Emptying backend servers whose hosts are to be taken away.  Lasting tasks
   move one after the other, as many of a step at a time as may be missing.  */

#include "jb_pool_internal.h"

/* A host that is to be taken away is kept empty so long after it was last
   asked for.  */
#define CLOSED_PERIOD (2500 * JB_MS)

/* A backend server whose host was taken away is out of its list by then.  */
#define TAKEN_PERIOD (20 * JB_SECOND)

/* From the end of a stopped task until a look has told of it.  */
#define STOP_MARGIN_MS 250

/* Return whether a former holder may have told TASK to stop: what stops is
   listed like what runs until it has ended.  */
static bool
may_be_stopping (const struct jb_pool *pool, const struct jb_task *task,
                 jb_time now)
{
  return task->inherited
         && now - task->started_at
                <= (pool->options.bounds->max_stop_ms + STOP_MARGIN_MS)
                       * JB_MS;
}

/* Count the tasks of TASK's step that are not at work.  */
static uint32_t
others_away (const struct jb_pool *pool, const struct jb_task *task,
             jb_time now)
{
  const struct jb_task_group *group = task->group;
  uint32_t away = 0;

  for (uint32_t i = 0; i < group->task_count; i++)
    {
      const struct jb_task *other = &group->tasks[i];

      if (other != task
          && (other->state != JB_RUN_RUNNING || other->ready_percent < 100
              || other->backend->unanswered_probes > 0
              || may_be_stopping (pool, other, now)))
        away++;
    }
  return away;
}

void
jb_pool_move_long_running (struct jb_pool *pool, struct jb_backend *backend,
                           jb_time now, const char *reason)
{
  for (struct jb_task *task = backend->tasks; task != NULL;
       task = task->next_on_backend)
    {
      const struct jb_step *step = jb_task_step (task);

      if (!step->long_running || task->state != JB_RUN_RUNNING)
        continue;
      if (step->max_unavailable > 0 && !backend->draining
          && !jb_pool_has_disabled (pool, JB_SAFEGUARD_DISRUPTION_BUDGET)
          && others_away (pool, task, now) >= step->max_unavailable)
        continue;
      jb_pool_stop_run (pool, task, now, reason);
    }
}

bool
jb_pool_evacuate_backend (struct jb_pool *pool, jb_time now,
                          const char *instance)
{
  struct jb_backend *backend = g_hash_table_lookup (pool->backends, instance);

  if (backend == NULL || pool->stage != JB_STAGE_ACTIVE
      || !jb_pool_may_command (pool, now))
    return false;
  if (now >= backend->cordoned_until)
    jb_log (pool->options.driver, JB_LEVEL_INFO, "backend-closed", "backend",
            instance, "pool", pool->options.name, "runs",
            jb_itoa (backend->task_count), NULL);
  backend->cordoned_until = now + CLOSED_PERIOD;
  jb_pool_move_long_running (pool, backend, now,
                             "its host is to be taken away");
  return backend->task_count == 0 && backend->starts_in_flight == 0
         && backend->probed && backend->unanswered_probes == 0
         && backend->acked_end == backend->listed_end;
}

void
jb_pool_handle_host_removed (struct jb_pool *pool, jb_time now,
                             const char *instance)
{
  struct jb_backend *backend = g_hash_table_lookup (pool->backends, instance);

  if (backend == NULL)
    return;
  backend->cordoned_until = now + TAKEN_PERIOD;
  backend->unanswered_probes = MAX (backend->unanswered_probes, 1);
  if (backend->task_count == 0)
    jb_pool_remove_from_roster (pool, backend);
}
