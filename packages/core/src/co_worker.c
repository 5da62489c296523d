#include "co_internal.h"

/* Hosts as workers: which of them can take work, how many free slots of each
   this member holds, and how they fare.

   The hosts of a pool that have free slots stand on lists by their number of
   free slots, so picking the one with the most costs the same at any fleet
   size.  */

enum
{
  MIN_SAMPLES = 4,          /* results before a worker can be ejected */
  MAX_EJECTED_FRACTION = 3, /* at most one in so many hosts of a pool */
  MAX_BACKOFF_SHIFT = 4
};

static const double failure_weight = 0.25; /* of the newest result */
static const double eject_at = 0.6;        /* decayed failure rate */
static const double pool_margin = 0.3;     /* above the pool's own rate */
static const co_time eject_time = 5 * CO_SECOND;

int64_t
co_worker_free_slots (const struct co_core *core, const struct co_host *host)
{
  const struct co_quota *right = core->quotas[host->quota];
  int64_t free_slots
      = co_quota_is_usable (core, right) ? co_quota_unused (right) : 0;

  if (host->on_trial && host->running > 0)
    return 0;
  if (host->on_trial && free_slots > 1)
    return 1;
  return free_slots;
}

static bool
is_usable (const struct co_host *host)
{
  return co_host_is_available (host) && host->ejected_until == 0;
}

void
co_worker_remove_from_pool (struct co_core *core, int index)
{
  struct co_host *host = core->hosts[index];
  struct co_pool *pool = core->pools[host->pool];

  if (host->free_slot_list != CO_NO_INDEX)
    {
      if (host->previous_in_list != CO_NO_INDEX)
        core->hosts[host->previous_in_list]->next_in_list = host->next_in_list;
      else
        pool->hosts_by_free_slots[host->free_slot_list] = host->next_in_list;
      if (host->next_in_list != CO_NO_INDEX)
        core->hosts[host->next_in_list]->previous_in_list
            = host->previous_in_list;
      host->free_slot_list = CO_NO_INDEX;
    }
  if (host->counted_usable)
    {
      pool->free_slots -= host->counted_free_slots;
      pool->held_slots -= host->counted_held_slots;
      pool->usable_hosts--;
      host->counted_usable = false;
    }
  if (host->counted_available)
    {
      pool->available_hosts--;
      pool->capacity_slots -= host->counted_capacity;
      pool->ejected_hosts -= host->ejected_until != 0;
      host->counted_available = false;
    }
}

static void
attach (struct co_core *core, int index, int level)
{
  struct co_host *host = core->hosts[index];
  struct co_pool *pool = core->pools[host->pool];

  host->free_slot_list = level;
  host->previous_in_list = CO_NO_INDEX;
  host->next_in_list = pool->hosts_by_free_slots[level];
  if (host->next_in_list != CO_NO_INDEX)
    core->hosts[host->next_in_list]->previous_in_list = index;
  pool->hosts_by_free_slots[level] = index;
  if (level > pool->max_free_slots)
    pool->max_free_slots = level;
}

void
co_worker_refresh (struct co_core *core, int index)
{
  struct co_host *host = core->hosts[index];
  struct co_pool *pool = core->pools[host->pool];
  int64_t free_slots;

  co_worker_remove_from_pool (core, index);
  if (co_host_is_available (host))
    {
      host->counted_available = true;
      pool->available_hosts++;
      host->counted_capacity = core->quotas[host->quota]->limit;
      pool->capacity_slots += host->counted_capacity;
      pool->ejected_hosts += host->ejected_until != 0;
    }
  if (!is_usable (host))
    return;
  free_slots = co_worker_free_slots (core, host);
  if (free_slots < 0)
    free_slots = 0;
  host->counted_usable = true;
  host->counted_free_slots = free_slots;
  host->counted_held_slots = co_quota_held (core->quotas[host->quota]);
  if (host->counted_held_slots < 0)
    host->counted_held_slots = 0;
  pool->free_slots += host->counted_free_slots;
  pool->held_slots += host->counted_held_slots;
  pool->usable_hosts++;
  if (free_slots >= CO_FREE_SLOT_LIST_COUNT)
    free_slots = CO_FREE_SLOT_LIST_COUNT - 1;
  if (free_slots > 0)
    attach (core, index, (int)free_slots);
}

/* Return a host of POOL with a free slot, the emptiest first, or CO_NO_INDEX.
   AVOID is taken only when there is no other.  */
int
co_worker_select (struct co_core *core, int pool_index, int avoid)
{
  struct co_pool *pool = core->pools[pool_index];
  int fallback = CO_NO_INDEX;

  while (pool->max_free_slots > 0
         && pool->hosts_by_free_slots[pool->max_free_slots] == CO_NO_INDEX)
    pool->max_free_slots--;
  for (int level = pool->max_free_slots; level > 0; level--)
    {
      int host = pool->hosts_by_free_slots[level];

      if (host != CO_NO_INDEX && host == avoid)
        {
          fallback = host;
          host = core->hosts[host]->next_in_list;
        }
      if (host != CO_NO_INDEX)
        return host;
    }
  return fallback;
}

/* Take a worker out of service when it fails far more than its pool does:
   jobs that fail everywhere must not empty the pool.  */
static void
consider_ejection (struct co_core *core, int index)
{
  struct co_host *host = core->hosts[index];
  struct co_pool *pool = core->pools[host->pool];
  int shift;

  if (core->options.disabled & CO_DISABLE_EJECTION)
    return;
  if (!host->on_trial
      && (host->sample_count < MIN_SAMPLES || host->failure_rate < eject_at
          || host->failure_rate < pool->failure_rate + pool_margin))
    return;
  if (pool->ejected_hosts + 1 > pool->available_hosts / MAX_EJECTED_FRACTION)
    return;
  co_worker_remove_from_pool (core, index);
  shift = host->consecutive_ejections < MAX_BACKOFF_SHIFT
              ? (int)host->consecutive_ejections
              : MAX_BACKOFF_SHIFT;
  host->ejected_until = core->now + (eject_time << shift);
  host->consecutive_ejections++;
  host->on_trial = false;
  co_increment_counter (core, CO_COUNTER_WORKERS_EJECTED);
}

void
co_worker_record_result (struct co_core *core, int index, bool failed)
{
  struct co_host *host = core->hosts[index];
  struct co_pool *pool = core->pools[host->pool];
  double sample = failed ? 1.0 : 0.0;
  /* The pool's average moves slower by the number of its hosts, so that one
     bad worker can't raise it to its own rate.  */
  double pool_weight
      = failure_weight / (pool->usable_hosts > 1 ? pool->usable_hosts : 1);

  host->failure_rate += failure_weight * (sample - host->failure_rate);
  pool->failure_rate += pool_weight * (sample - pool->failure_rate);
  host->sample_count++;
  if (failed)
    consider_ejection (core, index);
  else if (host->on_trial)
    {
      host->on_trial = false;
      host->consecutive_ejections = 0;
      host->failure_rate = 0;
      host->sample_count = 0;
    }
  co_worker_refresh (core, index);
}

/* Let ejected workers back in, one request at a time, when their time has
   passed.  */
void
co_worker_readmit_tick (struct co_core *core)
{
  for (uint32_t i = 0; i < core->host_count; i++)
    {
      struct co_host *host = core->hosts[i];

      if (host->ejected_until == 0 || core->now < host->ejected_until)
        continue;
      co_worker_remove_from_pool (core, (int)i);
      host->ejected_until = 0;
      host->on_trial = true;
      co_increment_counter (core, CO_COUNTER_WORKER_TRIALS);
      co_worker_refresh (core, (int)i);
      core->pools[host->pool]->needs_dispatch = true;
    }
}
