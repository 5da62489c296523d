/* Evacuates backend servers whose hosts will be removed from the pool.  Tasks
   that end by themselves are left to finish.  Long-running tasks are stopped
   and start elsewhere, at most as many of a step at a time as its disruption
   budget allows.  */

#include "jb_pool_internal.h"

/* How long a backend server is cordoned after the last request to evacuate
   it.  */
#define CORDON_PERIOD (2500 * JB_MS)

/* How long a backend server whose host was removed is cordoned: after this
   time it has left the list of backend servers.  */
#define REMOVED_HOST_CORDON_PERIOD (20 * JB_SECOND)

/* A task counts as available for this long after a probe has reported that it
   is ready.  A backend server with runs is probed twice a second.  */
#define MAX_REPORT_AGE (1200 * JB_MS)

/* Time that a probe may take to report the end of a stopped run.  */
#define STOP_REPORT_MARGIN_MS 250

/* Return whether the current run of TASK may be stopping on the command of a
   previous owner: a backend server lists a run as active until it has
   ended.  */
static bool
may_be_stopping (const struct jb_pool *pool, const struct jb_task *task,
                 jb_time now)
{
  return task->inherited
         && now - task->started_at
                <= (pool->options.bounds->max_stop_ms + STOP_REPORT_MARGIN_MS)
                       * JB_MS;
}

/* Return whether TASK may be unavailable, now or soon: it is not known to be
   ready, may be stopping, or its lease is not being extended.  */
static bool
may_be_unavailable (const struct jb_pool *pool, const struct jb_task *task,
                    jb_time now)
{
  return task->state != JB_RUN_RUNNING || task->ready_percent < 100
         || now - task->reported_at > MAX_REPORT_AGE
         || task->backend->unanswered_probes > 0 || !task->backend->listed
         || may_be_stopping (pool, task, now);
}

/* Return how many other tasks of TASK's group are unavailable, or may be.  */
static uint32_t
count_others_unavailable (const struct jb_pool *pool,
                          const struct jb_task *task, jb_time now)
{
  const struct jb_task_group *group = task->group;
  uint32_t unavailable = 0;

  for (uint32_t i = 0; i < group->task_count; i++)
    {
      const struct jb_task *other = &group->tasks[i];

      if (other != task && may_be_unavailable (pool, other, now))
        unavailable++;
    }
  return unavailable;
}

bool
jb_pool_may_move_long_running (const struct jb_pool *pool,
                               const struct jb_task *task, jb_time now)
{
  const struct jb_step *step = jb_task_step (task);

  return step->max_unavailable == 0 || task->backend->draining
         || jb_pool_has_disabled (pool, JB_SAFEGUARD_DISRUPTION_BUDGET)
         || count_others_unavailable (pool, task, now) < step->max_unavailable;
}

void
jb_pool_move_long_running (struct jb_pool *pool, struct jb_backend *backend,
                           jb_time now, const char *reason)
{
  for (struct jb_task *task = backend->tasks; task != NULL;
       task = task->next_on_backend)
    {
      if (!jb_task_step (task)->long_running || task->state != JB_RUN_RUNNING
          || !jb_pool_may_move_long_running (pool, task, now))
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
    jb_log (pool->options.driver, JB_LEVEL_INFO, "backend-cordoned", "backend",
            instance, "pool", pool->options.name, "runs",
            jb_itoa (backend->task_count), NULL);
  backend->cordoned_until = now + CORDON_PERIOD;
  jb_pool_move_long_running (pool, backend, now,
                             "its host is being evacuated");
  if (backend->task_count > 0 || backend->starts_in_flight > 0
      || !backend->probed || backend->unanswered_probes > 0
      || backend->stored_end != backend->processed_end)
    return false;
  /* A successor would wait for the leases of a backend server in the roster
     that has gone with its host.  */
  jb_pool_remove_from_roster (pool, backend);
  return jb_pool_is_out_of_roster (pool, backend);
}

void
jb_pool_notice_host_kept (struct jb_pool *pool, struct jb_backend *backend,
                          jb_time probe_sent_at)
{
  if (backend->removed_at == 0 || probe_sent_at <= backend->removed_at)
    return;
  backend->removed_at = 0;
  backend->cordoned_until = 0;
  jb_log (pool->options.driver, JB_LEVEL_INFO, "host-not-removed", "backend",
          backend->instance, "pool", pool->options.name, NULL);
  pool->schedule_due = true;
}

void
jb_pool_end_cordons (struct jb_pool *pool, jb_time now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, pool->backends);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct jb_backend *backend = value;

      if (backend->excluded_from_roster && backend->cordoned_until != 0
          && now >= backend->cordoned_until)
        {
          backend->cordoned_until = 0;
          if (backend->listed && backend->unanswered_probes == 0)
            jb_pool_return_to_roster (pool, backend);
        }
    }
}

void
jb_pool_handle_host_removed (struct jb_pool *pool, jb_time now,
                             const char *instance)
{
  struct jb_backend *backend = g_hash_table_lookup (pool->backends, instance);

  if (backend == NULL)
    return;
  jb_pool_drop_doubts (pool, instance);
  backend->cordoned_until = now + REMOVED_HOST_CORDON_PERIOD;
  backend->removed_at = now;
  backend->unanswered_probes = MAX (backend->unanswered_probes, 1);
  if (backend->task_count == 0)
    jb_pool_remove_from_roster (pool, backend);
}
