#include "jb_handover.h"

#include <stddef.h>

/* The successor's share of a processor is at least this multiple of the
   owner's.  */
#define MIN_SHARE_FACTOR 2

/* The successor's share for each of its partitions, with the pool, is at least
   this much of the owner's, with the pool.  */
#define MIN_GAIN_PERCENT 125

/* A host gets pools after it has been alive for this long.  One that restarts
   again and again attracts none.  */
#define MIN_ALIVE_TIME (4000 * JB_MS)

/* Time between two pools that an owner hands over.  After this time heartbeats
   show which host has claimed the first one.  */
#define HANDOVER_INTERVAL (3000 * JB_MS)

/* Return whether HOST is a clear gain for a pool of OWNER.  */
static bool
is_successor (const struct jb_handover_host *owner,
              const struct jb_handover_host *host, jb_time now)
{
  uint64_t own_gain = (uint64_t)owner->cpu_share_milli * MIN_GAIN_PERCENT
                      * (host->ownership_count + 1);
  uint64_t gain
      = (uint64_t)host->cpu_share_milli * 100 * owner->ownership_count;

  return host->may_claim && now - host->alive_since >= MIN_ALIVE_TIME
         && host->cpu_share_milli >= MIN_SHARE_FACTOR * owner->cpu_share_milli
         && gain >= own_gain;
}

/* Return whether HOST has a larger share for one more partition than OTHER. */
static bool
has_more_left (const struct jb_handover_host *host,
               const struct jb_handover_host *other)
{
  return (uint64_t)host->cpu_share_milli * (other->ownership_count + 1)
         > (uint64_t)other->cpu_share_milli * (host->ownership_count + 1);
}

const struct jb_handover_host *
jb_handover_choose (const struct jb_handover_host *owner,
                    const struct jb_handover_host *hosts, uint32_t count,
                    jb_time last_handover_at, jb_time now)
{
  const struct jb_handover_host *best = NULL;

  if (owner->cpu_share_milli == 0 || !owner->may_claim || owner->is_claiming
      || (last_handover_at != 0 && now - last_handover_at < HANDOVER_INTERVAL))
    return NULL;
  for (uint32_t i = 0; i < count; i++)
    {
      /* Pools move one after the other.  */
      if (hosts[i].is_claiming)
        return NULL;
      if (is_successor (owner, &hosts[i], now)
          && (best == NULL || has_more_left (&hosts[i], best)))
        best = &hosts[i];
    }
  return best;
}
