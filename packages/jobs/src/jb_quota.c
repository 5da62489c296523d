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

/* A division of a limit among pools.  */
struct division
{
  struct jb_resources limit;
  struct jb_quota_pool *pools;
  uint32_t count;
  struct jb_resources *targets; /* of the pools, if no message were late */
  /* The pools: those whose claims are met, in that order, the other claimants,
     and the rest.  */
  uint32_t *order;
  uint32_t claim_count;
  uint32_t claimant_count;
};

/* Return what the pool needs in order to start something.  */
static struct jb_resources
claimed_resources (const struct jb_quota_pool *pool)
{
  struct jb_resources claimed = pool->used;

  jb_resources_add (&claimed, &pool->needed);
  return claimed;
}

/* Return the target of the pool at POSITION of the order in the dimension at
   OFFSET, which is used up.  LEVEL is that of pools without a claim.  */
static int64_t
target_when_full (const struct division *division, uint32_t position,
                  size_t offset, int64_t level)
{
  struct jb_quota_pool *pool = &division->pools[division->order[position]];
  struct jb_resources claimed = claimed_resources (pool);
  int64_t used = *dimension (&pool->used, offset);

  if (position < division->claim_count)
    return *dimension (&claimed, offset);
  /* More would not be enough for a start.  */
  if (position < division->claimant_count)
    return used;
  return MIN (used + *dimension (&pool->wanted, offset), level);
}

/* Set the targets in the dimension at OFFSET, of which the limit is not 0.  */
static void
set_targets (struct division *division, size_t offset)
{
  int64_t limit = *dimension (&division->limit, offset);
  int64_t *demands = g_new0 (int64_t, division->count + 1);
  int64_t total_demand = 0;
  int64_t rest = limit;
  int64_t level = 0;
  int64_t headroom;

  for (uint32_t i = 0; i < division->count; i++)
    {
      struct jb_quota_pool *pool = &division->pools[division->order[i]];

      demands[i] = *dimension (&pool->used, offset)
                   + *dimension (&pool->wanted, offset);
      total_demand += demands[i];
      if (i < division->claimant_count)
        rest -= target_when_full (division, i, offset, 0);
    }
  if (total_demand > limit)
    level = max_min_fair_level (demands + division->claimant_count,
                                division->count - division->claimant_count,
                                MAX (rest, 0));
  headroom = MIN ((limit - total_demand) / (division->count + 1),
                  limit / HEADROOM_DIVISOR);
  for (uint32_t i = 0; i < division->count; i++)
    *dimension (&division->targets[division->order[i]], offset)
        = total_demand > limit ? target_when_full (division, i, offset, level)
                               : demands[i] + headroom;
  g_free (demands);
}

static void
set_all_targets (struct division *division)
{
  for (size_t d = 0; d < G_N_ELEMENTS (dimension_offsets); d++)
    if (*dimension (&division->limit, dimension_offsets[d]) > 0)
      set_targets (division, dimension_offsets[d]);
    else
      for (uint32_t i = 0; i < division->count; i++)
        *dimension (&division->targets[i], dimension_offsets[d])
            = JB_QUOTA_UNLIMITED;
}

/* Return whether POOL may claim more than its fair part TARGET, in which it
   can't start anything.  */
static bool
may_claim (const struct jb_quota_pool *pool, const struct jb_resources *target,
           const struct jb_resources *limit, jb_time now)
{
  static const struct jb_resources nothing;
  struct jb_resources claimed = claimed_resources (pool);
  struct jb_resources twice_used = pool->used;

  jb_resources_add (&twice_used, &pool->used);
  return !jb_resources_fit (&pool->needed, &nothing)
         && !jb_resources_fit (&claimed, target)
         && jb_resources_fit (&claimed, limit)
         && jb_resources_fit (&pool->used, target)
         && (jb_resources_fit (&twice_used, target)
             || now - pool->blocked_since >= JB_QUOTA_CLAIM_DELAY);
}

/* Move the claimants to the front of the order, the one that has been blocked
   for longest first.  */
static void
sort_claimants (struct division *division, const struct jb_resources *limit,
                jb_time now)
{
  uint32_t *order = division->order;

  for (uint32_t i = 0; i < division->count; i++)
    {
      uint32_t j = division->claimant_count;

      if (!may_claim (&division->pools[i], &division->targets[i], limit, now))
        continue;
      /* The others keep their order.  */
      for (uint32_t k = i; k > j; k--)
        order[k] = order[k - 1];
      for (; j > 0
             && division->pools[order[j - 1]].blocked_since
                    > division->pools[i].blocked_since;
           j--)
        order[j] = order[j - 1];
      order[j] = i;
      division->claimant_count++;
    }
}

/* Decide which claims are met.  The first one is met as soon as enough of what
   the others use has ended, and later ones only beside that: or else pools
   with short tasks would overtake it.  */
static void
find_claims (struct division *division, jb_time now)
{
  struct jb_resources limit = division->limit;
  struct jb_resources sum = { 0 }; /* of what is used and claimed */
  uint32_t *order = division->order;

  for (size_t d = 0; d < G_N_ELEMENTS (dimension_offsets); d++)
    if (*dimension (&limit, dimension_offsets[d]) == 0)
      *dimension (&limit, dimension_offsets[d]) = JB_QUOTA_UNLIMITED;
  sort_claimants (division, &limit, now);
  for (uint32_t i = 0; i < division->count; i++)
    jb_resources_add (&sum, &division->pools[i].used);
  for (uint32_t i = 0; i < division->claimant_count; i++)
    {
      uint32_t index = order[i];
      const struct jb_quota_pool *pool = &division->pools[index];
      struct jb_resources required = sum;

      jb_resources_add (&required, &pool->needed);
      if (i > 0 && !jb_resources_fit (&required, &limit))
        continue;
      sum = required;
      for (uint32_t k = i; k > division->claim_count; k--)
        order[k] = order[k - 1];
      order[division->claim_count++] = index;
    }
}

/* Set the shares in the dimension at OFFSET to the targets.  A share may grow
   only by the part of the limit that no pool may have in force.  */
static void
set_shares (struct division *division, size_t offset)
{
  int64_t unassigned = *dimension (&division->limit, offset);

  /* The sum of unlimited shares would overflow.  */
  for (uint32_t i = 0; i < division->count; i++)
    unassigned
        -= MIN (MAX (*dimension (&division->pools[i].highest_share, offset),
                     *dimension (&division->pools[i].used, offset)),
                unassigned);
  for (uint32_t i = 0; i < division->count; i++)
    {
      struct jb_quota_pool *pool = &division->pools[division->order[i]];
      int64_t target
          = *dimension (&division->targets[division->order[i]], offset);
      int64_t highest = *dimension (&pool->highest_share, offset);
      int64_t *share = dimension (&pool->share, offset);

      *share = target;
      if (target <= highest)
        continue;
      *share = highest + MIN (unassigned, target - highest);
      unassigned -= *share - highest;
    }
}

void
jb_quota_divide (const struct jb_resources *limit, struct jb_quota_pool *pools,
                 uint32_t count, jb_time now)
{
  struct division division
      = { .limit = *limit,
          .pools = pools,
          .count = count,
          .targets = g_new0 (struct jb_resources, count + 1),
          .order = g_new (uint32_t, count + 1) };

  for (uint32_t i = 0; i < count; i++)
    division.order[i] = i;
  set_all_targets (&division);
  find_claims (&division, now);
  if (division.claim_count > 0)
    set_all_targets (&division);
  for (size_t d = 0; d < G_N_ELEMENTS (dimension_offsets); d++)
    if (*dimension (&division.limit, dimension_offsets[d]) > 0)
      set_shares (&division, dimension_offsets[d]);
    else
      for (uint32_t i = 0; i < count; i++)
        *dimension (&pools[i].share, dimension_offsets[d])
            = JB_QUOTA_UNLIMITED;
  g_free (division.targets);
  g_free (division.order);
}
