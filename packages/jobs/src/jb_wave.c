#include "jb_wave.h"

#include <glib.h>
#include <stdlib.h>

/* At most 1 / POOL_SHARE_DIVISOR of a pool's hosts, but at least one, may be
   away at once, and 1 / LATE_POOL_SHARE_DIVISOR when time runs out.  That
   holds for a standby pool as well: its hosts are needed when a surge
   starts.  */
#define POOL_SHARE_DIVISOR 4
#define LATE_POOL_SHARE_DIVISOR 2

/* A host is not taken out of a pool whose utilisation is above this, except in
   the last 1 / LATE_FRACTION_DIVISOR of the time in which the wave has to be
   completed.  */
#define MAX_UTILISATION 0.7
#define LATE_FRACTION_DIVISOR 3

/* Added to the utilisation of the pool of a host on which tasks run, so that
   idle hosts are preferred.  */
#define BUSY_HOST_PENALTY 0.2

struct candidate
{
  uint32_t host; /* index */
  double score;  /* the lowest is taken first */
};

static int
compare_candidates (const void *a, const void *b)
{
  const struct candidate *x = a;
  const struct candidate *y = b;

  if (x->score != y->score)
    return x->score < y->score ? -1 : 1;
  return x->host < y->host ? -1 : x->host > y->host;
}

/* Return whether one more host of POOL may be taken out.  */
static bool
can_spare_host (const struct jb_wave_pool *pool, bool is_late)
{
  uint32_t divisor = is_late ? LATE_POOL_SHARE_DIVISOR : POOL_SHARE_DIVISOR;

  return pool->unavailable < MAX (pool->hosts / divisor, 1);
}

uint32_t
jb_wave_choose (struct jb_wave_pool *pools, const struct jb_wave_host *hosts,
                uint32_t host_count, const struct jb_wave_time *wave,
                jb_time now, uint32_t *chosen, uint32_t limit)
{
  bool is_late
      = now > wave->due - (wave->due - wave->seen_at) / LATE_FRACTION_DIVISOR;
  struct candidate *candidates = g_new (struct candidate, host_count + 1);
  uint32_t candidate_count = 0;
  uint32_t count = 0;

  for (uint32_t i = 0; i < host_count; i++)
    {
      double utilisation = pools[hosts[i].pool].utilisation;

      if (is_late || utilisation <= MAX_UTILISATION)
        candidates[candidate_count++] = (struct candidate){
          i, utilisation + (hosts[i].idle ? 0 : BUSY_HOST_PENALTY)
        };
    }
  qsort (candidates, candidate_count, sizeof *candidates, compare_candidates);
  for (uint32_t i = 0; i < candidate_count && count < limit; i++)
    {
      struct jb_wave_pool *pool = &pools[hosts[candidates[i].host].pool];

      if (!can_spare_host (pool, is_late))
        continue;
      pool->unavailable++;
      chosen[count++] = candidates[i].host;
    }
  g_free (candidates);
  return count;
}
