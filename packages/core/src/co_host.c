#include "co_internal.h"

/* Selection and ejection of hosts: which hosts can take work, how many free
   slots of each this member holds, and which hosts fail so often that they are
   ejected, that is, not used for a while.

   The hosts of a pool that have free slots are kept in one list for each
   number of free slots, so selecting the host with the most takes the same
   time at any fleet size.  */

enum
{
  MIN_SAMPLE_COUNT = 4, /* results before a host can be ejected */
  /* At most one host of a pool is ejected for this many available ones.  */
  MIN_AVAILABLE_PER_EJECTED = 3,
  /* Each consecutive ejection lasts twice as long as the one before, up to
     min_ejection_time shifted left by this many bits.  */
  MAX_EJECTION_SHIFT = 4
};

/* Failure rates are decaying averages between 0 and 1.  A host is ejected when
   its rate is at least min_ejection_failure_rate and exceeds that of its pool
   by at least min_failure_rate_above_pool.  */
static const double failure_sample_weight = 0.25; /* of the newest result */
static const double min_ejection_failure_rate = 0.6;
static const double min_failure_rate_above_pool = 0.3;
static const co_time min_ejection_time = 5 * CO_SECOND;

int64_t
co_host_free_slots (const struct co_core *core, const struct co_host *host)
{
  const struct co_quota *quota = core->quotas[host->quota];
  int64_t free_slots
      = co_quota_is_usable (core, quota) ? co_quota_unused (quota) : 0;

  if (host->on_trial && host->running > 0)
    return 0;
  if (host->on_trial && free_slots > 1)
    return 1;
  return free_slots;
}

/* Return whether HOST may be used for requests: available and not ejected.  */
static bool
is_usable (const struct co_host *host)
{
  return co_host_is_available (host) && host->ejected_until == 0;
}

void
co_host_remove_from_pool (struct co_core *core, int index)
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
  pool->evacuated_hosts -= host->counted_evacuated;
  host->counted_evacuated = false;
}

/* Insert the host at INDEX at the head of its pool's list for FREE_SLOT_COUNT,
   which is greater than 0.  */
static void
insert_by_free_slots (struct co_core *core, int index, int free_slot_count)
{
  struct co_host *host = core->hosts[index];
  struct co_pool *pool = core->pools[host->pool];

  host->free_slot_list = free_slot_count;
  host->previous_in_list = CO_NO_INDEX;
  host->next_in_list = pool->hosts_by_free_slots[free_slot_count];
  if (host->next_in_list != CO_NO_INDEX)
    core->hosts[host->next_in_list]->previous_in_list = index;
  pool->hosts_by_free_slots[free_slot_count] = index;
  if (free_slot_count > pool->max_free_slots)
    pool->max_free_slots = free_slot_count;
}

void
co_host_refresh (struct co_core *core, int index)
{
  struct co_host *host = core->hosts[index];
  struct co_pool *pool = core->pools[host->pool];
  int64_t free_slots;

  co_host_remove_from_pool (core, index);
  if (co_host_is_available (host))
    {
      host->counted_available = true;
      pool->available_hosts++;
      host->counted_capacity = core->quotas[host->quota]->limit;
      pool->capacity_slots += host->counted_capacity;
      pool->ejected_hosts += host->ejected_until != 0;
    }
  host->counted_evacuated
      = host->zone_evacuated && co_host_is_in_service (host);
  pool->evacuated_hosts += host->counted_evacuated;
  if (!is_usable (host))
    return;
  free_slots = co_host_free_slots (core, host);
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
    insert_by_free_slots (core, index, (int)free_slots);
}

int
co_host_select (struct co_core *core, int pool_index, int avoid)
{
  struct co_pool *pool = core->pools[pool_index];
  int avoided = CO_NO_INDEX;

  while (pool->max_free_slots > 0
         && pool->hosts_by_free_slots[pool->max_free_slots] == CO_NO_INDEX)
    pool->max_free_slots--;
  for (int free_slot_count = pool->max_free_slots; free_slot_count > 0;
       free_slot_count--)
    {
      int host = pool->hosts_by_free_slots[free_slot_count];

      if (host != CO_NO_INDEX && host == avoid)
        {
          avoided = host;
          host = core->hosts[host]->next_in_list;
        }
      if (host != CO_NO_INDEX)
        return host;
    }
  return avoided;
}

/* Eject the host at INDEX, which has just failed a request, if it is on trial
   or fails far more often than its pool does, unless too many hosts of the
   pool are ejected already.  Because of the comparison with the pool, requests
   that fail on every host don't eject all of them.  */
static void
eject_if_failing (struct co_core *core, int index)
{
  struct co_host *host = core->hosts[index];
  struct co_pool *pool = core->pools[host->pool];
  int shift;

  if (core->options.disabled & CO_DISABLE_EJECTION)
    return;
  if (!host->on_trial
      && (host->sample_count < MIN_SAMPLE_COUNT
          || host->failure_rate < min_ejection_failure_rate
          || host->failure_rate
                 < pool->failure_rate + min_failure_rate_above_pool))
    return;
  if (pool->ejected_hosts + 1
      > pool->available_hosts / MIN_AVAILABLE_PER_EJECTED)
    return;
  co_host_remove_from_pool (core, index);
  shift = host->consecutive_ejections < MAX_EJECTION_SHIFT
              ? (int)host->consecutive_ejections
              : MAX_EJECTION_SHIFT;
  host->ejected_until = core->now + (min_ejection_time << shift);
  host->consecutive_ejections++;
  host->on_trial = false;
  co_increment_counter (core, CO_COUNTER_HOSTS_EJECTED);
}

void
co_host_record_result (struct co_core *core, int index, bool failed)
{
  struct co_host *host = core->hosts[index];
  struct co_pool *pool = core->pools[host->pool];
  double new_sample = failed ? 1.0 : 0.0;
  /* The weight is divided by the number of hosts, so that one failing host
     can't raise the pool's average to its own rate.  */
  double pool_weight = failure_sample_weight
                       / (pool->usable_hosts > 1 ? pool->usable_hosts : 1);

  host->failure_rate
      += failure_sample_weight * (new_sample - host->failure_rate);
  pool->failure_rate += pool_weight * (new_sample - pool->failure_rate);
  host->sample_count++;
  if (failed)
    eject_if_failing (core, index);
  else if (host->on_trial)
    {
      host->on_trial = false;
      host->consecutive_ejections = 0;
      host->failure_rate = 0;
      host->sample_count = 0;
    }
  co_host_refresh (core, index);
}

void
co_host_readmit_tick (struct co_core *core)
{
  for (uint32_t i = 0; i < core->host_count; i++)
    {
      struct co_host *host = core->hosts[i];

      if (host->ejected_until == 0 || core->now < host->ejected_until)
        continue;
      co_host_remove_from_pool (core, (int)i);
      host->ejected_until = 0;
      host->on_trial = true;
      co_increment_counter (core, CO_COUNTER_HOST_TRIALS);
      co_host_refresh (core, (int)i);
      core->pools[host->pool]->needs_dispatch = true;
    }
}
