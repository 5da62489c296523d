/* What a pool's owner does while availability zones are evacuated: it starts
   nothing there, and moves long-running tasks to other zones as far as their
   disruption budgets and the room there allow.  Finite tasks are left to
   finish.  */

#include "jb_pool_internal.h"

#include <string.h>

bool
jb_pool_is_in_evacuated_zone (const struct jb_pool *pool,
                              const struct jb_backend *backend)
{
  return pool->options.zones != NULL
         && !jb_pool_has_disabled (pool, JB_SAFEGUARD_ZONES)
         && jb_zones_is_evacuated (pool->options.zones, backend->zone);
}

bool
jb_pool_awaits_answer (const struct jb_pool *pool,
                       const struct jb_backend *backend)
{
  return pool->options.zones != NULL && backend->listed
         && backend->probe_answered_at
                < jb_zones_restored_at (pool->options.zones, backend->zone);
}

bool
jb_pool_zone_is_usable (const struct jb_pool *pool,
                        const struct jb_backend *backend)
{
  const struct jb_zones *zones = pool->options.zones;

  if (zones == NULL || jb_pool_has_disabled (pool, JB_SAFEGUARD_ZONES))
    return true;
  return jb_zones_are_known (zones)
         && !jb_zones_is_evacuated (zones, backend->zone)
         && !jb_pool_awaits_answer (pool, backend);
}

void
jb_pool_limit_fill (const struct jb_pool *pool, struct jb_backend *backend,
                    jb_time now)
{
  int64_t permille
      = pool->options.zones != NULL
            ? jb_zones_fill_permille (pool->options.zones, backend->zone, now)
            : 1000;
  int64_t withheld = 1000 - permille;

  backend->withheld = (struct jb_resources){
    .cpu_milli = backend->capacity.cpu_milli * withheld / 1000,
    .memory_mb = backend->capacity.memory_mb * withheld / 1000,
    .accelerators = backend->capacity.accelerators * withheld / 1000
  };
}

struct jb_pool_zone_runs
jb_pool_count_zone_runs (const struct jb_pool *pool, const char *zone)
{
  struct jb_pool_zone_runs runs = { 0 };
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, pool->backends);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct jb_backend *backend = value;

      if (strcmp (backend->zone, zone) != 0)
        continue;
      for (const struct jb_task *task = backend->tasks; task != NULL;
           task = task->next_on_backend)
        if (jb_task_step (task)->long_running)
          runs.long_running++;
        else
          runs.finite++;
    }
  return runs;
}
