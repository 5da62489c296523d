/* Placement with lookahead at the owner of a pool: expected run times and
   reservations, if the deployment has switched it on.  */

#include "jb_pool_internal.h"

static struct jb_task_group *
find_group (void *data, const char *id, uint32_t occurrence, uint32_t step)
{
  struct jb_pool *pool = data;
  struct jb_job *job = g_hash_table_lookup (pool->jobs, id);

  if (job == NULL || job->ended_at != 0)
    return NULL;
  return jb_job_find_group (job, occurrence, step);
}

static void
log_reserved (void *data, jb_time now,
              const struct jb_reservation *reservation, bool moved)
{
  struct jb_pool *pool = data;

  jb_log (pool->options.driver, JB_LEVEL_INFO, "placement-reserved", "job",
          reservation->job, "step", jb_itoa (reservation->step), "members",
          jb_itoa (reservation->member_count), "cpu",
          jb_itoa (reservation->required.cpu_milli), "backend",
          reservation->backends[0]->instance, "start_ms",
          jb_itoa ((reservation->start - now) / JB_MS), "moved",
          moved ? "yes" : "no", NULL);
}

static void
log_ended (void *data, jb_time now, const struct jb_reservation *reservation,
           enum jb_reserve_end reason)
{
  struct jb_pool *pool = data;

  jb_log (pool->options.driver, JB_LEVEL_INFO, "placement-reservation-ended",
          "job", reservation->job, "step", jb_itoa (reservation->step),
          "reason", jb_reserve_end_name (reason), "held_ms",
          jb_itoa ((now - reservation->made_at) / JB_MS), "late_ms",
          jb_itoa ((now - reservation->due) / JB_MS), NULL);
}

/* Create the state of the lookahead, or drop it, as the bounds say.  */
static void
apply_switch (struct jb_pool *pool)
{
  struct jb_reserve_options options = { .find_group = find_group,
                                        .reserved = log_reserved,
                                        .ended = log_ended,
                                        .data = pool };

  if (pool->options.bounds->lookahead == (pool->lookahead != NULL))
    return;
  if (pool->lookahead != NULL)
    {
      TALLOC_FREE (pool->lookahead);
      return;
    }
  pool->lookahead = talloc_zero (pool, struct jb_pool_lookahead);
  pool->lookahead->durations = jb_duration_new (pool->lookahead);
  options.durations = pool->lookahead->durations;
  pool->lookahead->reserve = jb_reserve_new (pool->lookahead, &options);
}

bool
jb_pool_lookahead_begin (struct jb_pool *pool, jb_time now)
{
  apply_switch (pool);
  if (pool->lookahead == NULL)
    return false;
  jb_reserve_begin (pool->lookahead->reserve, pool->usable_backends,
                    pool->usable_count, now);
  return true;
}

void
jb_pool_record_duration (struct jb_pool *pool, const struct jb_task *task,
                         jb_time now)
{
  /* Of an inherited run, the time of its start is not known.  */
  if (pool->lookahead == NULL || task->inherited || task->started_at == 0)
    return;
  jb_duration_record (pool->lookahead->durations,
                      task->group->job->desc->queue, task->group->step,
                      jb_task_step (task)->estimate_ms,
                      now - task->started_at);
}

/* Add what has happened since the last call to the driver's counters.  */
static void
count_events (struct jb_pool *pool)
{
  const struct jb_reserve_stats *stats
      = jb_reserve_stats (pool->lookahead->reserve);
  struct jb_reserve_stats *counted = &pool->lookahead->counted;
  struct jb_driver *driver = pool->options.driver;
  /* Whole core-ms are counted; the rest follows.  */
  uint64_t idle_core_ms
      = (stats->idle_cpu_milli_ms - counted->idle_cpu_milli_ms) / 1000;
  uint64_t idle_counted = counted->idle_cpu_milli_ms + idle_core_ms * 1000;

  jb_count_events (driver, JB_COUNT_RESERVATIONS_MADE,
                   stats->made - counted->made);
  jb_count_events (driver, JB_COUNT_RESERVATIONS_KEPT,
                   stats->kept - counted->kept);
  jb_count_events (driver, JB_COUNT_RESERVATIONS_BROKEN,
                   stats->broken - counted->broken);
  jb_count_events (driver, JB_COUNT_RESERVATIONS_WITHDRAWN,
                   stats->withdrawn - counted->withdrawn);
  jb_count_events (driver, JB_COUNT_PLACED_IN_GAPS,
                   stats->in_gaps - counted->in_gaps);
  jb_count_events (driver, JB_COUNT_RESERVED_IDLE_CORE_MS, idle_core_ms);
  *counted = *stats;
  counted->idle_cpu_milli_ms = idle_counted;
}

/* Set `exceeds_weight' of each organisation that uses POOL or waits for
   it.  */
static void
compare_with_weights (struct jb_pool *pool)
{
  GHashTableIter iter;
  gpointer value;
  uint64_t weight_sum = 0;
  uint32_t waiting = 0;
  int64_t capacity_cpu_milli = 0;

  for (uint32_t i = 0; i < pool->usable_count; i++)
    capacity_cpu_milli += pool->usable_backends[i]->capacity.cpu_milli;
  g_hash_table_iter_init (&iter, pool->org_usages);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct jb_pool_org_usage *org_usage = value;

      waiting += org_usage->wanted.cpu_milli > 0;
      if (org_usage->wanted.cpu_milli > 0 || org_usage->used.cpu_milli > 0)
        weight_sum += jb_pool_org_weight (pool, org_usage);
    }
  g_hash_table_iter_init (&iter, pool->org_usages);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct jb_pool_org_usage *org_usage = value;
      uint32_t others_waiting = waiting - (org_usage->wanted.cpu_milli > 0);

      org_usage->exceeds_weight
          = org_usage->used.cpu_milli > 0
            && jb_reserve_exceeds_weight (org_usage->used.cpu_milli,
                                          capacity_cpu_milli,
                                          jb_pool_org_weight (pool, org_usage),
                                          weight_sum, others_waiting > 0);
    }
}

bool
jb_pool_lookahead_plan (struct jb_pool *pool, jb_time now)
{
  struct jb_reserve *reserve = pool->lookahead->reserve;

  count_events (pool);
  if (!jb_reserve_plan_due (reserve, now))
    return false;
  jb_reserve_plan (reserve, now);
  if (jb_reserve_count (reserve) >= JB_RESERVE_MAX)
    return false;
  compare_with_weights (pool);
  return true;
}

bool
jb_pool_may_reserve (struct jb_pool *pool, const struct jb_task_group *group,
                     jb_time now)
{
  struct jb_job *job = group->job;

  return group->no_reservation_until <= now
         && !jb_reserve_has (pool->lookahead->reserve, group)
         && (job->desc->org == NULL
             || !jb_pool_get_job_usage (pool, job)->exceeds_weight);
}

bool
jb_pool_reserve (struct jb_pool *pool, struct jb_task_group *group,
                 const struct jb_rank *rank, jb_time now)
{
  struct jb_resources resources = jb_task_group_step (group)->resources;

  if (jb_task_group_step (group)->gang)
    {
      resources.cpu_milli *= group->task_count;
      resources.memory_mb *= group->task_count;
      resources.accelerators *= group->task_count;
    }
  return jb_pool_check_share (pool, group->job, &resources)
         && jb_reserve_make (pool->lookahead->reserve, group, rank, now);
}
