#include "jb_rebalance.h"

#include <glib.h>

/* A host that stood idle for so long is not needed where it is.  */
#define IDLE_ENOUGH (1000 * JB_MS)

/* A pool whose turn is expected within keeps its hosts.  */
#define SOON (2500 * JB_MS)

/* Hosts are sent so long before a turn is expected, and a turn that has not
   come so long after is not waited for.  */
#define AHEAD (2200 * JB_MS)
#define OVERDUE (1500 * JB_MS)

/* What arrives counts up to so many times the room: a single large job looks
   like a turn for a moment.  */
#define ARRIVING_LIMIT 2

/* A pool grows to at most so many times its own hosts.  */
#define GROWTH_LIMIT 3

/* A pool's own host is parked when its next turn is further away: two moves
   cost as much as two to three seconds of standing there.  */
#define WORTH_PARKING (6000 * JB_MS)

/* A donor keeps so many times what it uses.  */
#define DONOR_MARGIN 2

/* Return how many more hosts POOL needs: for what waits there, for what keeps
   arriving, or for the turn that is about to start.  */
static uint32_t
missing_hosts (const struct jb_rebalance_pool *pool, jb_time now)
{
  int64_t room = pool->capacity_cpu_milli
                 + (int64_t)pool->incoming_hosts * pool->host_cpu_milli;
  int64_t demand = pool->finite_cpu_milli + pool->waiting_cpu_milli;
  int64_t lack;

  if (!pool->known || pool->standby || pool->host_cpu_milli <= 0)
    return 0;
  demand = MAX (demand, MIN (pool->arriving_cpu_milli,
                             ARRIVING_LIMIT * pool->capacity_cpu_milli));
  if (pool->surge_predicted && now > pool->next_surge - AHEAD
      && now < pool->next_surge + OVERDUE)
    demand = MAX (demand, pool->surge_peak_cpu_milli);
  lack = demand + pool->long_running_cpu_milli - room;
  lack = MIN (lack,
              GROWTH_LIMIT * pool->home_hosts * pool->host_cpu_milli - room);
  if (lack <= 0)
    return 0;
  return (uint32_t)((lack + pool->host_cpu_milli / 2) / pool->host_cpu_milli);
}

/* Return whether a host may leave POOL for one in need.  */
static bool
can_give (const struct jb_rebalance_pool *pool, jb_time now)
{
  bool resting
      = pool->surge_predicted && now > pool->next_surge - SOON - OVERDUE
            ? now > pool->next_surge + OVERDUE
            : pool->surge_predicted;

  if (pool->standby)
    return true;
  return pool->known && pool->waiting_cpu_milli == 0
         && (pool->hosts > pool->home_hosts || (resting && pool->hosts > 1))
         && pool->capacity_cpu_milli - pool->host_cpu_milli
                >= DONOR_MARGIN * pool->finite_cpu_milli
                       + pool->long_running_cpu_milli;
}

/* Return how well HOST of POOL suits as a loan; higher is better.  */
static int
donor_rank (const struct jb_rebalance_pool *pool)
{
  if (pool->standby)
    return 3;
  return pool->hosts > pool->home_hosts ? 2 : 1;
}

static uint32_t
choose_donor (const struct jb_rebalance_pool *pools, uint32_t to,
              const struct jb_rebalance_host *hosts, uint32_t host_count,
              const bool *taken, jb_time now)
{
  uint32_t best = host_count;

  for (uint32_t i = 0; i < host_count; i++)
    {
      const struct jb_rebalance_pool *pool = &pools[hosts[i].pool];

      if (taken[i] || !hosts[i].available || !hosts[i].idle
          || hosts[i].pool == to || !can_give (pool, now))
        continue;
      if (best == host_count
          || donor_rank (pool) > donor_rank (&pools[hosts[best].pool]))
        best = i;
    }
  return best;
}

static uint32_t
find_standby (const struct jb_rebalance_pool *pools, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    if (pools[i].standby)
      return i;
  return count;
}

uint32_t
jb_rebalance_decide (const struct jb_rebalance_pool *given,
                     uint32_t pool_count,
                     const struct jb_rebalance_host *hosts,
                     uint32_t host_count, jb_time now,
                     struct jb_host_move *moves, uint32_t limit)
{
  struct jb_rebalance_pool *pools
      = g_memdup2 (given, pool_count * sizeof *given);
  bool *taken = g_new0 (bool, host_count + 1);
  uint32_t standby = find_standby (pools, pool_count);
  uint32_t count = 0;
  bool need = false;

  for (uint32_t to = 0; to < pool_count; to++)
    {
      uint32_t missing = missing_hosts (&pools[to], now);

      need = need || missing > 0;
      while (missing-- > 0 && count < limit)
        {
          uint32_t i = choose_donor (pools, to, hosts, host_count, taken, now);
          struct jb_rebalance_pool *from;

          if (i == host_count)
            break;
          from = &pools[hosts[i].pool];
          from->capacity_cpu_milli -= from->host_cpu_milli;
          from->hosts--;
          pools[to].incoming_hosts++;
          taken[i] = true;
          moves[count++] = (struct jb_host_move){ i, to };
        }
    }
  /* Park what nobody needs.  */
  for (uint32_t i = 0; !need && standby < pool_count && i < host_count; i++)
    {
      struct jb_rebalance_pool *from = &pools[hosts[i].pool];

      if (count == limit)
        break;
      if (taken[i] || !hosts[i].available || !hosts[i].idle || from->standby
          || now - hosts[i].idle_since < IDLE_ENOUGH
          || (from->hosts + from->incoming_hosts <= from->home_hosts
              && !(from->surge_predicted
                   && from->next_surge - now > WORTH_PARKING))
          || !can_give (from, now))
        continue;
      from->capacity_cpu_milli -= from->host_cpu_milli;
      from->hosts--;
      moves[count++] = (struct jb_host_move){ i, standby };
    }
  g_free (taken);
  g_free (pools);
  return count;
}
