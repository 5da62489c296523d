#include "jb_share.h"

#include <glib.h>

/* An organisation uses notably more than its share if it is more than this
   many percent of it: tasks are large compared with the share of a small
   organisation.  */
#define TOLERANCE_PERCENT 125

double
jb_share_dominant (const struct jb_resources *used,
                   const struct jb_resources *capacity)
{
  double share = 0;

  if (capacity->cpu_milli > 0)
    share = (double)used->cpu_milli / (double)capacity->cpu_milli;
  if (capacity->memory_mb > 0)
    share = MAX (share, (double)used->memory_mb / (double)capacity->memory_mb);
  if (capacity->accelerators > 0)
    share = MAX (share,
                 (double)used->accelerators / (double)capacity->accelerators);
  return share;
}

static bool
wants_any (const struct jb_resources *resources)
{
  return resources->cpu_milli > 0 || resources->memory_mb > 0
         || resources->accelerators > 0;
}

void
jb_share_compare (struct jb_share_org *orgs, uint32_t count,
                  const struct jb_resources *capacity)
{
  double weight_sum = 0;
  uint32_t short_count = 0; /* wait and use less than their shares */

  for (uint32_t i = 0; i < count; i++)
    if (wants_any (&orgs[i].used) || wants_any (&orgs[i].wanted))
      weight_sum += orgs[i].weight;
  for (uint32_t i = 0; i < count; i++)
    if (wants_any (&orgs[i].wanted)
        && jb_share_dominant (&orgs[i].used, capacity) * weight_sum
               < orgs[i].weight)
      short_count++;
  for (uint32_t i = 0; i < count; i++)
    orgs[i].over_share
        = short_count > 0
          && jb_share_dominant (&orgs[i].used, capacity) * weight_sum * 100
                 > (double)orgs[i].weight * TOLERANCE_PERCENT;
}
