#ifndef JB_SHARE_H
#define JB_SHARE_H

/* Decides which organisations use more of a full pool than their weight
   entitles them to.

   Expected load: a pool is asked for more than it holds, and one organisation
   sends several times as much as usual.  What its flood costs is to be borne
   by that organisation.  The part of the pool that an organisation uses is its
   dominant share: the largest part that it uses of the processors, the memory
   or the accelerators.  The share that an idle organisation leaves goes to
   those that want it: only who wants something counts.  */

#include "jb_types.h"

struct jb_share_org
{
  uint32_t weight;            /* at least 1 */
  struct jb_resources used;   /* by its tasks in the pool */
  struct jb_resources wanted; /* by its tasks that wait */
  bool over_share;            /* result */
};

/* Return the largest part of CAPACITY, in any dimension of which there is
   some, that USED makes up.  */
double jb_share_dominant (const struct jb_resources *used,
                          const struct jb_resources *capacity);

/* Set `over_share' of the COUNT ORGS in a pool with CAPACITY.  An organisation
   is over its share if another one waits that uses less than its own share,
   and it uses notably more than its own.  */
void jb_share_compare (struct jb_share_org *orgs, uint32_t count,
                       const struct jb_resources *capacity);

#endif
