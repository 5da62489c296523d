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
  const struct co_right *right = core->rights[host->right];
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

  if (host->level != CO_NONE)
    {
      if (host->previous != CO_NONE)
        core->hosts[host->previous]->next = host->next;
      else
        pool->levels[host->level] = host->next;
      if (host->next != CO_NONE)
        core->hosts[host->next]->previous = host->previous;
      host->level = CO_NONE;
    }
  if (host->counted)
    {
      pool->free_slots -= host->counted_free;
      pool->held_slots -= host->counted_held;
      pool->usable--;
      host->counted = false;
    }
  if (host->available)
    {
      pool->available--;
      pool->capacity -= host->counted_slots;
      pool->ejected -= host->ejected_until != 0;
      host->available = false;
    }
}

static void
attach (struct co_core *core, int index, int level)
{
  struct co_host *host = core->hosts[index];
  struct co_pool *pool = core->pools[host->pool];

  host->level = level;
  host->previous = CO_NONE;
  host->next = pool->levels[level];
  if (host->next != CO_NONE)
    core->hosts[host->next]->previous = index;
  pool->levels[level] = index;
  if (level > pool->top)
    pool->top = level;
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
      host->available = true;
      pool->available++;
      host->counted_slots = core->rights[host->right]->limit;
      pool->capacity += host->counted_slots;
      pool->ejected += host->ejected_until != 0;
    }
  if (!is_usable (host))
    return;
  free_slots = co_worker_free_slots (core, host);
  if (free_slots < 0)
    free_slots = 0;
  host->counted = true;
  host->counted_free = free_slots;
  host->counted_held = co_quota_held (core->rights[host->right]);
  if (host->counted_held < 0)
    host->counted_held = 0;
  pool->free_slots += host->counted_free;
  pool->held_slots += host->counted_held;
  pool->usable++;
  if (free_slots >= CO_LEVELS)
    free_slots = CO_LEVELS - 1;
  if (free_slots > 0)
    attach (core, index, (int)free_slots);
}

/* Return a host of POOL with a free slot, the emptiest first, or CO_NONE.
   AVOID is taken only when there is no other.  */
int
co_worker_select (struct co_core *core, int pool_index, int avoid)
{
  struct co_pool *pool = core->pools[pool_index];
  int fallback = CO_NONE;

  while (pool->top > 0 && pool->levels[pool->top] == CO_NONE)
    pool->top--;
  for (int level = pool->top; level > 0; level--)
    {
      int host = pool->levels[level];

      if (host != CO_NONE && host == avoid)
        {
          fallback = host;
          host = core->hosts[host]->next;
        }
      if (host != CO_NONE)
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

  if (core->options.off & CO_OFF_HEALTH)
    return;
  if (!host->on_trial
      && (host->samples < MIN_SAMPLES || host->failures < eject_at
          || host->failures < pool->failures + pool_margin))
    return;
  if (pool->ejected + 1 > pool->available / MAX_EJECTED_FRACTION)
    return;
  co_worker_remove_from_pool (core, index);
  shift = host->ejections < MAX_BACKOFF_SHIFT ? (int)host->ejections
                                              : MAX_BACKOFF_SHIFT;
  host->ejected_until = core->now + (eject_time << shift);
  host->ejections++;
  host->on_trial = false;
  co_count (core, CO_COUNTER_WORKERS_EJECTED);
}

void
co_worker_record_result (struct co_core *core, int index, bool failed)
{
  struct co_host *host = core->hosts[index];
  struct co_pool *pool = core->pools[host->pool];
  double sample = failed ? 1.0 : 0.0;
  /* The pool's average moves slower by the number of its hosts, so that one
     bad worker can't raise it to its own rate.  */
  double pool_weight = failure_weight / (pool->usable > 1 ? pool->usable : 1);

  host->failures += failure_weight * (sample - host->failures);
  pool->failures += pool_weight * (sample - pool->failures);
  host->samples++;
  if (failed)
    consider_ejection (core, index);
  else if (host->on_trial)
    {
      host->on_trial = false;
      host->ejections = 0;
      host->failures = 0;
      host->samples = 0;
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
      co_count (core, CO_COUNTER_WORKER_TRIALS);
      co_worker_refresh (core, (int)i);
      core->pools[host->pool]->dirty = true;
    }
}
