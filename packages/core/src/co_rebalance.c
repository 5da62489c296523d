#include "co_internal.h"

/* Rebalancing of hosts between pools.  Only the leader does it.

   A pool whose load stays high is lent hosts of a spare pool, one at a time;
   when its load stays low, they are returned.  The load is the demand, which
   is the number of requests that run or wait on all entry hosts, divided by
   the slots of the pool's available hosts.  It is averaged over a time much
   longer than a burst, so that bursts don't move hosts back and forth.  */

static const co_time load_update_interval = CO_SECOND;
static const double load_time_constant_s = 20.0;
/* Average loads, as fractions of the capacity.  */
static const double lend_above_load = 0.85;
static const double return_below_load = 0.35;
static const double max_load_after_return = 0.6;
/* Shortest times since the last move to or from the pool.  */
static const co_time min_interval_before_lend = 10 * CO_SECOND;
static const co_time min_interval_before_return = 40 * CO_SECOND;

/* Return the number of requests that run in POOL or wait for it, on this entry
   host and, by their last heartbeats, on the others.  */
static double
fleet_demand (const struct co_core *core, const struct co_pool *pool)
{
  double demand = pool->running + pool->waiting;

  for (int i = 0; i < CO_PEER_SLOT_COUNT; i++)
    {
      const struct co_msg_heartbeat *heartbeat = core->peers[i].last_heartbeat;

      if (heartbeat == NULL || !core->peers[i].is_member)
        continue;
      for (uint32_t p = 0; p < heartbeat->pool_count; p++)
        if (g_strcmp0 (heartbeat->pools[p].name, pool->name) == 0)
          demand += heartbeat->pools[p].running + heartbeat->pools[p].waiting;
    }
  return demand;
}

/* Add the current load of POOL to its decaying average.  */
static void
update_load (struct co_core *core, struct co_pool *pool)
{
  double slots = (double)pool->capacity_slots;
  double current_load = slots > 0 ? fleet_demand (core, pool) / slots : 0;
  double weight
      = (double)load_update_interval / CO_SECOND / load_time_constant_s;

  if (core->options.disabled & CO_DISABLE_HYSTERESIS)
    weight = 1;
  pool->load += weight * (current_load - pool->load);
}

/* Return whether HOST is configured and active, and its pool's availability
   budget allows its removal.  */
static bool
may_leave_pool (const struct co_core *core, const struct co_host *host)
{
  return host->configured && host->state == CO_HOST_ACTIVE
         && co_budget_allows_removal (core, host);
}

/* Return the index of a host of a spare pool that may be lent, or
   CO_NO_INDEX.  */
static int
find_spare_host (const struct co_core *core)
{
  for (uint32_t i = 0; i < core->host_count; i++)
    {
      const struct co_host *host = core->hosts[i];

      if (core->pools[host->pool]->spare && co_host_is_available (host)
          && may_leave_pool (core, host))
        return (int)i;
    }
  return CO_NO_INDEX;
}

/* Return the index of a host that was lent to POOL and may be returned, or
   CO_NO_INDEX.  A host of an evacuated zone stays, because its slots are not
   in the capacity from which those of the returned host are subtracted.  */
static int
find_lent_host (const struct co_core *core, int pool)
{
  for (uint32_t i = 0; i < core->host_count; i++)
    {
      const struct co_host *host = core->hosts[i];

      if (host->pool == pool && host->cause == CO_CAUSE_REBALANCE
          && !host->zone_evacuated && may_leave_pool (core, host))
        return (int)i;
    }
  return CO_NO_INDEX;
}

/* Return whether a host is moving to or from POOL.  */
static bool
has_moving_host (const struct co_core *core, int pool)
{
  for (uint32_t i = 0; i < core->host_count; i++)
    if (core->hosts[i]->state == CO_HOST_MOVING
        && (core->hosts[i]->pool == pool
            || core->hosts[i]->target_pool == pool))
      return true;
  return false;
}

/* Return whether at least MIN_INTERVAL has passed since the last move to or
   from POOL.  Always true when hysteresis is off.  */
static bool
is_move_interval_over (const struct co_core *core, const struct co_pool *pool,
                       co_time min_interval)
{
  return (core->options.disabled & CO_DISABLE_HYSTERESIS)
         || core->now - pool->rebalanced_at >= min_interval;
}

/* Propose to move a spare host to the pool at INDEX, if there is one.  */
static void
lend_host_to_pool (struct co_core *core, int index)
{
  int host = find_spare_host (core);

  if (host == CO_NO_INDEX)
    return;
  core->pools[index]->rebalanced_at = core->now;
  co_propose_move (core, host, index, CO_CAUSE_REBALANCE);
}

/* Propose to return a host lent to the pool at INDEX, unless the load of the
   remaining hosts would be too high.  */
static void
return_lent_host (struct co_core *core, int index)
{
  struct co_pool *pool = core->pools[index];
  int host = find_lent_host (core, index);
  double remaining_slots;

  if (host == CO_NO_INDEX || core->hosts[host]->configured_pool == CO_NO_INDEX)
    return;
  remaining_slots = (double)(pool->capacity_slots
                             - core->quotas[core->hosts[host]->quota]->limit);
  if (remaining_slots <= 0
      || pool->load * (double)pool->capacity_slots / remaining_slots
             > max_load_after_return)
    return;
  pool->rebalanced_at = core->now;
  co_propose_move (core, host, core->hosts[host]->configured_pool, 0);
}

void
co_rebalance_tick (struct co_core *core)
{
  if (core->now < core->next_rebalance_at
      || (core->options.disabled & CO_DISABLE_REBALANCING))
    return;
  core->next_rebalance_at = core->now + load_update_interval;
  for (uint32_t i = 0; i < core->pool_count; i++)
    {
      struct co_pool *pool = core->pools[i];

      if (!pool->configured || pool->spare)
        continue;
      update_load (core, pool);
      if (pool->load > lend_above_load
          && is_move_interval_over (core, pool, min_interval_before_lend)
          && !has_moving_host (core, (int)i))
        lend_host_to_pool (core, (int)i);
      else if (pool->load < return_below_load
               && is_move_interval_over (core, pool,
                                         min_interval_before_return)
               && !has_moving_host (core, (int)i))
        return_lent_host (core, (int)i);
    }
}
