#ifndef JB_QUOTA_H
#define JB_QUOTA_H

/* Division of an organisation's resource limit among the pools.

   Expected load: an organisation's demand moves from pool to pool within a
   second, so a fixed division would leave most of its limit unused.  Instead,
   the part of the limit that no pool needs stays unassigned, and is granted at
   once to a pool that needs more.  When nothing is unassigned, pools that need
   less than their shares must first give the rest back.

   Tasks and gangs start as a whole, so a share that is smaller than the next
   start is of no use.  A pool that can't start anything within its fair part
   therefore gets room for one start, at the expense of the others; if not all
   of these can have that, those that have waited longest come first.

   Together, the pools may never use more than the limit: each pool is counted
   with the highest share that its owner may still have in force, because
   messages with smaller shares may not have arrived yet.  */

#include "jb_types.h"

/* A pool that uses half of its fair part or more may claim room for a start
   when it has been blocked for this time.  Until then its own tasks are
   expected to end, and changing all shares at each of its starts would cost
   messages.  */
#define JB_QUOTA_CLAIM_DELAY (1 * JB_SECOND)

struct jb_quota_pool
{
  struct jb_resources used;          /* by tasks that run or may run there */
  struct jb_resources wanted;        /* by tasks that are ready to start */
  struct jb_resources current_share; /* that its owner last reported */
  struct jb_resources highest_share; /* that its owner may have in force */
  /* What the next start needs that only the share prevents; 0: none.  */
  struct jb_resources needed;
  jb_time blocked_since;     /* since when it has started nothing, if `needed'
                                is not 0 */
  struct jb_resources share; /* result: its new share */
};

/* Set `share' of each of the COUNT POOLS, dividing LIMIT among them.  A
   resource of which LIMIT is 0 is unlimited: each share of it is
   JB_QUOTA_UNLIMITED.  */
void jb_quota_divide (const struct jb_resources *limit,
                      struct jb_quota_pool *pools, uint32_t count,
                      jb_time now);

/* The share of a resource without a limit.  */
#define JB_QUOTA_UNLIMITED (INT64_MAX / 4)

#endif
