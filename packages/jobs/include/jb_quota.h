#ifndef JB_QUOTA_H
#define JB_QUOTA_H

/* How an organisation's upper limit is divided among the pools.

   Load that this answers: an organisation's demand moves from pool to pool
   within a second, so a fixed division would leave most of its limit unused.
   What nobody needs stays undivided, and is granted at once to the pool that
   asks; when that is used up, pools that need less give back first.

   The sum of what pools may use never exceeds the limit: a pool counts with
   the highest share that it may still believe in.  */

#include "jb_types.h"

struct jb_quota_pool
{
  struct jb_resources used;   /* running there, or possibly */
  struct jb_resources wanted; /* more, now */
  struct jb_resources limit;  /* its share, as it last said */
  struct jb_resources
      highest_share;         /* the highest share that it may have by now */
  struct jb_resources share; /* decided: its share from now on */
};

/* Divide CAP, whose dimensions that are 0 have no limit, among the COUNT
   POOLS.  */
void jb_quota_divide (const struct jb_resources *cap,
                      struct jb_quota_pool *pools, uint32_t count);

/* The share in a dimension without a limit.  */
#define JB_QUOTA_UNLIMITED (INT64_MAX / 4)

#endif
