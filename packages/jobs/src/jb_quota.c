#include "jb_quota.h"

#include <glib.h>

/* Of the limit, one part in so many is left to each pool beyond what it needs
   now, so that a single task more needs no question.  */
#define HEADROOM_PART 32

/* The dimensions of an amount, by their offsets.  */
static const size_t dimensions[]
    = { offsetof (struct jb_resources, cpu_milli),
        offsetof (struct jb_resources, memory_mb),
        offsetof (struct jb_resources, accelerators) };

static int64_t *
part (struct jb_resources *amount, size_t offset)
{
  return (int64_t *)((char *)amount + offset);
}

/* Return the level up to which the COUNT NEEDS can be met with CAP: those
   below it whole, the others as far as it.  */
static int64_t
water_level (const int64_t *needs, uint32_t count, int64_t cap)
{
  int64_t level = 0;
  int64_t left = cap;
  uint32_t open = count;

  for (uint32_t round = 0; round < count && open > 0; round++)
    {
      int64_t next = left / open;
      bool changed = false;

      left = cap;
      open = 0;
      for (uint32_t i = 0; i < count; i++)
        if (needs[i] <= next)
          left -= needs[i];
        else
          open++;
      changed = next != level;
      level = next;
      if (!changed)
        break;
    }
  return level;
}

static void
divide_dimension (size_t offset, int64_t cap, struct jb_quota_pool *pools,
                  uint32_t count)
{
  int64_t *needs = g_new0 (int64_t, count + 1);
  int64_t sum = 0;
  int64_t free_share = cap;
  int64_t level;
  int64_t headroom;

  for (uint32_t i = 0; i < count; i++)
    {
      needs[i]
          = *part (&pools[i].used, offset) + *part (&pools[i].wanted, offset);
      sum += needs[i];
      free_share -= MAX (*part (&pools[i].highest_share, offset),
                         *part (&pools[i].used, offset));
    }
  level = sum > cap ? water_level (needs, count, cap) : INT64_MAX;
  headroom
      = sum < cap ? MIN ((cap - sum) / (count + 1), cap / HEADROOM_PART) : 0;
  for (uint32_t i = 0; i < count; i++)
    {
      int64_t target = MIN (needs[i], level) + headroom;
      int64_t now = *part (&pools[i].highest_share, offset);
      int64_t *share = part (&pools[i].share, offset);

      *share = target;
      if (target <= now)
        continue;
      /* More only from what nobody may use.  */
      *share = now + CLAMP (free_share, 0, target - now);
      free_share -= *share - now;
    }
  g_free (needs);
}

void
jb_quota_divide (const struct jb_resources *cap, struct jb_quota_pool *pools,
                 uint32_t count)
{
  struct jb_resources copy = *cap;

  for (size_t d = 0; d < G_N_ELEMENTS (dimensions); d++)
    {
      int64_t limit = *part (&copy, dimensions[d]);

      if (limit > 0)
        divide_dimension (dimensions[d], limit, pools, count);
      else
        for (uint32_t i = 0; i < count; i++)
          *part (&pools[i].share, dimensions[d]) = JB_QUOTA_UNLIMITED;
    }
}
