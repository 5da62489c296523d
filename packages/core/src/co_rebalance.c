#include "co_internal.h"

/* Capacity between pools: a duty of the lead.

   A pool whose load stays high is lent hosts of a spare pool, one at a time;
   when its load stays low they go back.  Load is demand (running and waiting
   over the whole fleet) against the slots of the hosts that are in use, as a
   decaying average over much more than a burst, so that bursts don't cause
   moves to and fro.  */

static const co_time interval = CO_SECOND;
static const double time_constant = 20.0; /* s, of the average */
static const double lend_above = 0.85;    /* load */
static const double return_below = 0.35;
static const double return_at_most = 0.6;         /* load after the return */
static const co_time lend_pause = 10 * CO_SECOND; /* between moves */
static const co_time return_pause = 40 * CO_SECOND;

/* Requests of POOL that run or wait, over the whole fleet.  */
static double
demand_of (const struct co_core *core, const struct co_pool *pool)
{
  double demand = pool->running + pool->waiting;

  for (int i = 0; i < CO_PEER_SLOT_COUNT; i++)
    {
      const struct co_msg_heartbeat *beat = core->peers[i].last_heartbeat;

      if (beat == NULL || !core->peers[i].is_member)
        continue;
      for (uint32_t u = 0; u < beat->pool_count; u++)
        if (g_strcmp0 (beat->pools[u].name, pool->name) == 0)
          demand += beat->pools[u].running + beat->pools[u].waiting;
    }
  return demand;
}

static void
update_load (struct co_core *core, struct co_pool *pool)
{
  double slots = (double)pool->capacity_slots;
  double now = slots > 0 ? demand_of (core, pool) / slots : 0;
  double weight = (double)interval / CO_SECOND / time_constant;

  if (core->options.disabled & CO_DISABLE_HYSTERESIS)
    weight = 1;
  pool->load += weight * (now - pool->load);
}

static bool
may_leave (const struct co_core *core, const struct co_host *host)
{
  return host->configured && host->state == CO_HOST_ACTIVE
         && co_budget_allows_removal (core, host);
}

/* Return a host of a spare pool that can be lent, or CO_NO_INDEX.  */
static int
find_spare (const struct co_core *core)
{
  for (uint32_t i = 0; i < core->host_count; i++)
    {
      const struct co_host *host = core->hosts[i];

      if (core->pools[host->pool]->spare && co_host_is_available (host)
          && may_leave (core, host))
        return (int)i;
    }
  return CO_NO_INDEX;
}

/* Return a host that was lent to POOL and may go back, or CO_NO_INDEX.  */
static int
find_lent (const struct co_core *core, int pool)
{
  for (uint32_t i = 0; i < core->host_count; i++)
    {
      const struct co_host *host = core->hosts[i];

      if (host->pool == pool && host->cause == CO_CAUSE_REBALANCE
          && may_leave (core, host))
        return (int)i;
    }
  return CO_NO_INDEX;
}

/* Return whether a host of POOL, or on its way there, is moving.  */
static bool
is_changing (const struct co_core *core, int pool)
{
  for (uint32_t i = 0; i < core->host_count; i++)
    if (core->hosts[i]->state == CO_HOST_MOVING
        && (core->hosts[i]->pool == pool
            || core->hosts[i]->target_pool == pool))
      return true;
  return false;
}

static bool
has_rested (const struct co_core *core, const struct co_pool *pool,
            co_time pause)
{
  return (core->options.disabled & CO_DISABLE_HYSTERESIS)
         || core->now - pool->rebalanced_at >= pause;
}

static void
lend (struct co_core *core, int index)
{
  int host = find_spare (core);

  if (host == CO_NO_INDEX)
    return;
  core->pools[index]->rebalanced_at = core->now;
  co_propose_move (core, host, index, CO_CAUSE_REBALANCE);
}

static void
give_back (struct co_core *core, int index)
{
  struct co_pool *pool = core->pools[index];
  int host = find_lent (core, index);
  double left;

  if (host == CO_NO_INDEX || core->hosts[host]->configured_pool == CO_NO_INDEX)
    return;
  left = (double)(pool->capacity_slots
                  - core->quotas[core->hosts[host]->quota]->limit);
  if (left <= 0
      || pool->load * (double)pool->capacity_slots / left > return_at_most)
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
  core->next_rebalance_at = core->now + interval;
  for (uint32_t i = 0; i < core->pool_count; i++)
    {
      struct co_pool *pool = core->pools[i];

      if (!pool->configured || pool->spare)
        continue;
      update_load (core, pool);
      if (pool->load > lend_above && has_rested (core, pool, lend_pause)
          && !is_changing (core, (int)i))
        lend (core, (int)i);
      else if (pool->load < return_below
               && has_rested (core, pool, return_pause)
               && !is_changing (core, (int)i))
        give_back (core, (int)i);
    }
}
