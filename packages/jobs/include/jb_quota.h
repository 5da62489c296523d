#ifndef JB_QUOTA_H
#define JB_QUOTA_H

/* Divides an organisation's resource limit among the pools.

   Expected load: an organisation's demand moves from pool to pool within a
   second, so a fixed division would leave most of its limit unused.  The part
   of the limit that no pool needs stays unassigned and is granted at once to
   the pool that asks; when nothing is left unassigned, pools that need less
   than their share give it back first.

   The sum of the resources that the pools may use never exceeds the limit: a
   pool counts with the highest share that its owner may still have in force,
   because messages with smaller shares may not have arrived yet.  */

#include "jb_types.h"

struct jb_quota_pool
{
  struct jb_resources used;          /* by tasks that run or may run in it */
  struct jb_resources wanted;        /* by tasks that are ready to start */
  struct jb_resources current_share; /* as its owner last reported */
  struct jb_resources highest_share; /* that its owner may have in force */
  struct jb_resources share;         /* result: its new share */
};

/* Set the `share' of each of the COUNT POOLS so that the shares divide LIMIT.
   A dimension in which LIMIT is 0 is unlimited: each share is
   JB_QUOTA_UNLIMITED there.  */
void jb_quota_divide (const struct jb_resources *limit,
                      struct jb_quota_pool *pools, uint32_t count);

/* The share in a dimension without a limit.  */
#define JB_QUOTA_UNLIMITED (INT64_MAX / 4)

#endif
