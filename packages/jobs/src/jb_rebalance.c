#include "jb_rebalance.h"

#include <glib.h>

/* A host may be parked when it has been idle for this long, or for the second
   time while a pool needs more hosts: its need may still grow.  A parked host
   is as soon in another pool as one that is not, except while it moves.  */
#define MIN_IDLE_TO_PARK (1000 * JB_MS)
#define MIN_IDLE_TO_PARK_IN_NEED (2000 * JB_MS)

/* A pool keeps its home hosts if its next surge is expected within this time,
   plus SURGE_OVERDUE_AFTER, or if no surge is predicted.  */
#define KEEP_BEFORE_SURGE (2500 * JB_MS)

/* Hosts are moved to a pool this long before its next surge is expected.  */
#define MOVE_AHEAD_OF_SURGE (2200 * JB_MS)

/* A surge that has not started this long after the expected time is no longer
   expected.  */
#define SURGE_OVERDUE_AFTER (1500 * JB_MS)

/* The demand of arriving work counts up to this multiple of the pool's
   capacity, because a single large job looks like a surge for a moment.  */
#define ARRIVING_LIMIT_FACTOR 2

/* A pool grows to at most this multiple of the capacity of its home hosts.  */
#define GROWTH_LIMIT_FACTOR 3

/* When tasks have waited for this long, a pool with fewer hosts than its home
   hosts gets more of them back although enough CPU is free, and one in which
   no task ends that would make room gets a host although it lacks less than
   half of one.  */
#define MAX_WAIT (600 * JB_MS)

/* A home host is parked only if its pool's next surge is further away than
   this, because moving it away and back costs as much as keeping it in the
   pool for two to three seconds.  */
#define MIN_SURGE_DISTANCE_TO_PARK (6000 * JB_MS)

/* A pool from which a host is taken keeps the capacity for its long-running
   tasks and for this multiple of what its finite tasks use.  */
#define DONOR_RESERVE_FACTOR 2

/* Return whether tasks have been waiting in POOL for MAX_WAIT.  */
static bool
has_waited (const struct jb_rebalance_pool *pool, jb_time now)
{
  return pool->waiting_since != 0 && now - pool->waiting_since > MAX_WAIT;
}

/* Return whether tasks wait in POOL although none can start there: it has no
   backend server that is fit for work, and none is on its way.  */
static bool
is_stuck (const struct jb_rebalance_pool *pool, jb_time now)
{
  return pool->known && !pool->standby && has_waited (pool, now)
         && pool->capacity_cpu_milli <= 0 && pool->incoming_hosts == 0;
}

/* Return the largest number of hosts that POOL may grow to.  */
static uint32_t
max_host_count (const struct jb_rebalance_pool *pool)
{
  return GROWTH_LIMIT_FACTOR * MAX (pool->home_hosts, 1);
}

/* Return how many more hosts POOL needs for its running and waiting tasks, for
   the work that keeps arriving, or for a surge that is about to start,
   whichever needs most.  */
static uint32_t
count_missing_hosts (const struct jb_rebalance_pool *pool, jb_time now)
{
  int64_t capacity = pool->capacity_cpu_milli
                     + (int64_t)pool->incoming_hosts * pool->host_cpu_milli;
  int64_t demand = pool->finite_cpu_milli + pool->waiting_cpu_milli;
  uint32_t missing_hosts;
  int64_t missing;

  if (!pool->known || pool->standby)
    return 0;
  /* The first host tells the capacity of further ones.  */
  if (pool->host_cpu_milli <= 0)
    return is_stuck (pool, now) && pool->hosts < max_host_count (pool) ? 1 : 0;
  demand
      = MAX (demand, MIN (pool->arriving_cpu_milli,
                          ARRIVING_LIMIT_FACTOR * pool->capacity_cpu_milli));
  if (pool->surge_predicted && now > pool->next_surge - MOVE_AHEAD_OF_SURGE
      && now < pool->next_surge + SURGE_OVERDUE_AFTER)
    demand = MAX (demand, pool->surge_peak_cpu_milli);
  missing = demand + pool->long_running_cpu_milli - capacity;
  missing
      = MIN (missing, max_host_count (pool) * pool->host_cpu_milli - capacity);
  /* Tasks that wait although enough CPU is free fit on no host that the pool
     has left, because of their memory or of other tasks there.  */
  if (missing <= 0 && has_waited (pool, now)
      && pool->hosts + pool->incoming_hosts < pool->home_hosts)
    return MIN ((uint32_t)(pool->waiting_cpu_milli / pool->host_cpu_milli) + 1,
                pool->home_hosts - pool->hosts - pool->incoming_hosts);
  if (missing <= 0)
    return 0;
  missing_hosts = (uint32_t)((missing + pool->host_cpu_milli / 2)
                             / pool->host_cpu_milli);
  /* With no finite task running, none ends and makes room.  */
  if (missing_hosts == 0 && has_waited (pool, now)
      && pool->finite_cpu_milli == 0)
    return 1;
  return missing_hosts;
}

/* Return whether the other hosts of POOL, which is no standby pool, suffice
   for its tasks.  */
static bool
can_spare_host (const struct jb_rebalance_pool *pool)
{
  return pool->known && pool->waiting_cpu_milli == 0
         && pool->capacity_cpu_milli - pool->host_cpu_milli
                >= DONOR_RESERVE_FACTOR * pool->finite_cpu_milli
                       + pool->long_running_cpu_milli;
}

/* Return whether a host may leave POOL.  */
static bool
can_donate_host (const struct jb_rebalance_pool *pool, jb_time now)
{
  bool surge_is_distant = pool->surge_predicted
                                  && now > pool->next_surge - KEEP_BEFORE_SURGE
                                               - SURGE_OVERDUE_AFTER
                              ? now > pool->next_surge + SURGE_OVERDUE_AFTER
                              : pool->surge_predicted;

  if (pool->standby)
    return true;
  return can_spare_host (pool)
         && (pool->hosts > pool->home_hosts
             || (surge_is_distant && pool->hosts > 1));
}

/* Return how suitable a host of FROM is for a move to TO; higher is better, 0
   means that it may not move.  A borrowed host that idles costs more than one
   in a standby pool.  The pools that keep their hosts give one to a pool
   that is stuck, unless it is their last.  */
static int
donor_preference (const struct jb_rebalance_pool *from,
                  const struct jb_rebalance_pool *to, jb_time now)
{
  if (can_donate_host (from, now))
    {
      if (from->standby)
        return 3;
      return from->hosts > from->home_hosts ? 4 : 2;
    }
  return is_stuck (to, now) && from->hosts > 1 && can_spare_host (from) ? 1
                                                                        : 0;
}

/* Return the index of the host to move to the pool with index TO, or
   HOST_COUNT if there is none.  CHOSEN tells which hosts are already to be
   moved.  */
static uint32_t
choose_donor (const struct jb_rebalance_pool *pools, uint32_t to,
              const struct jb_rebalance_host *hosts, uint32_t host_count,
              const bool *chosen, jb_time now)
{
  uint32_t best = host_count;
  int best_preference = 0;

  for (uint32_t i = 0; i < host_count; i++)
    {
      int preference;

      if (chosen[i] || !hosts[i].available || !hosts[i].idle
          || hosts[i].pool == to)
        continue;
      preference = donor_preference (&pools[hosts[i].pool], &pools[to], now);
      if (preference > best_preference)
        {
          best = i;
          best_preference = preference;
        }
    }
  return best;
}

/* Return the index of the first standby pool, or COUNT if there is none.  */
static uint32_t
find_standby_pool (const struct jb_rebalance_pool *pools, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    if (pools[i].standby)
      return i;
  return count;
}

uint32_t
jb_rebalance_decide (const struct jb_rebalance_pool *pools,
                     uint32_t pool_count,
                     const struct jb_rebalance_host *hosts,
                     uint32_t host_count, jb_time now,
                     struct jb_host_move *moves, uint32_t limit)
{
  struct jb_rebalance_pool *planned_pools
      = g_memdup2 (pools, pool_count * sizeof *pools);
  bool *chosen = g_new0 (bool, host_count + 1);
  uint32_t standby = find_standby_pool (planned_pools, pool_count);
  uint32_t count = 0;
  bool any_missing = false;
  jb_time min_idle;

  for (uint32_t to = 0; to < pool_count; to++)
    {
      uint32_t missing = count_missing_hosts (&planned_pools[to], now);

      any_missing = any_missing || missing > 0;
      while (missing-- > 0 && count < limit)
        {
          uint32_t i = choose_donor (planned_pools, to, hosts, host_count,
                                     chosen, now);
          struct jb_rebalance_pool *from;

          if (i == host_count)
            break;
          from = &planned_pools[hosts[i].pool];
          from->capacity_cpu_milli -= from->host_cpu_milli;
          from->hosts--;
          planned_pools[to].incoming_hosts++;
          chosen[i] = true;
          moves[count++] = (struct jb_host_move){ i, to };
        }
    }
  /* Park hosts that are not needed.  */
  min_idle = any_missing ? MIN_IDLE_TO_PARK_IN_NEED : MIN_IDLE_TO_PARK;
  for (uint32_t i = 0; standby < pool_count && i < host_count; i++)
    {
      struct jb_rebalance_pool *from = &planned_pools[hosts[i].pool];

      if (count == limit)
        break;
      if (chosen[i] || !hosts[i].available || !hosts[i].idle || from->standby
          || now - hosts[i].idle_since < min_idle
          || (from->hosts + from->incoming_hosts <= from->home_hosts
              && !(from->surge_predicted
                   && from->next_surge - now > MIN_SURGE_DISTANCE_TO_PARK))
          || !can_donate_host (from, now))
        continue;
      from->capacity_cpu_milli -= from->host_cpu_milli;
      from->hosts--;
      moves[count++] = (struct jb_host_move){ i, standby };
    }
  g_free (chosen);
  g_free (planned_pools);
  return count;
}
