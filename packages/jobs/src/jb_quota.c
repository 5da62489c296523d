#include "jb_quota.h"

#include <glib.h>

/* Each pool may get up to 1 / HEADROOM_DIVISOR of the limit in addition to its
   demand, so that it can start one more task without asking the planner.  */
#define HEADROOM_DIVISOR 32

/* Offsets of the members of struct jb_resources.  Each of these dimensions is
   divided separately.  */
static const size_t dimension_offsets[]
    = { offsetof (struct jb_resources, cpu_milli),
        offsetof (struct jb_resources, memory_mb),
        offsetof (struct jb_resources, accelerators) };

/* Return a pointer to the member of RESOURCES at OFFSET.  */
static int64_t *
dimension (struct jb_resources *resources, size_t offset)
{
  return (int64_t *)((char *)resources + offset);
}

/* Return the max-min fair level for dividing LIMIT among COUNT DEMANDS:
   demands up to the level are met in full, larger ones get the level.  */
static int64_t
max_min_fair_level (const int64_t *demands, uint32_t count, int64_t limit)
{
  int64_t level = 0;
  int64_t remaining = limit;
  uint32_t unmet_count = count;

  for (uint32_t round = 0; round < count && unmet_count > 0; round++)
    {
      int64_t candidate = remaining / unmet_count;
      bool changed = false;

      remaining = limit;
      unmet_count = 0;
      for (uint32_t i = 0; i < count; i++)
        if (demands[i] <= candidate)
          remaining -= demands[i];
        else
          unmet_count++;
      changed = candidate != level;
      level = candidate;
      if (!changed)
        break;
    }
  return level;
}

/* Divide LIMIT, which is not 0, in the dimension at OFFSET.  */
static void
divide_dimension (size_t offset, int64_t limit, struct jb_quota_pool *pools,
                  uint32_t count)
{
  int64_t *demands = g_new0 (int64_t, count + 1);
  int64_t total_demand = 0;
  int64_t unassigned = limit;
  int64_t level;
  int64_t headroom;

  for (uint32_t i = 0; i < count; i++)
    {
      demands[i] = *dimension (&pools[i].used, offset)
                   + *dimension (&pools[i].wanted, offset);
      total_demand += demands[i];
      /* The sum of unlimited shares would overflow.  */
      unassigned -= MIN (MAX (*dimension (&pools[i].highest_share, offset),
                              *dimension (&pools[i].used, offset)),
                         unassigned);
    }
  level = total_demand > limit ? max_min_fair_level (demands, count, limit)
                               : INT64_MAX;
  headroom = total_demand < limit ? MIN ((limit - total_demand) / (count + 1),
                                         limit / HEADROOM_DIVISOR)
                                  : 0;
  for (uint32_t i = 0; i < count; i++)
    {
      int64_t target = MIN (demands[i], level) + headroom;
      int64_t highest = *dimension (&pools[i].highest_share, offset);
      int64_t *share = dimension (&pools[i].share, offset);

      *share = target;
      if (target <= highest)
        continue;
      /* A share may grow only by the part of the limit that no pool may have
         in force.  */
      *share = highest + MIN (unassigned, target - highest);
      unassigned -= *share - highest;
    }
  g_free (demands);
}

void
jb_quota_divide (const struct jb_resources *limit, struct jb_quota_pool *pools,
                 uint32_t count)
{
  struct jb_resources limit_copy = *limit;

  for (size_t d = 0; d < G_N_ELEMENTS (dimension_offsets); d++)
    {
      int64_t dimension_limit = *dimension (&limit_copy, dimension_offsets[d]);

      if (dimension_limit > 0)
        divide_dimension (dimension_offsets[d], dimension_limit, pools, count);
      else
        for (uint32_t i = 0; i < count; i++)
          *dimension (&pools[i].share, dimension_offsets[d])
              = JB_QUOTA_UNLIMITED;
    }
}
