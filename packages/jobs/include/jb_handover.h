#ifndef JB_HANDOVER_H
#define JB_HANDOVER_H

/* When the owner of a pool hands it over to a host with a larger share of a
   processor.

   Expected load: entry hosts of which a few have four times the share of the
   others, and pools that need more than a small host has.

   A successor reads the pool's rows and probes its backend servers before it
   starts a task, so a pool must not move often.  The share of a processor is
   fixed for a process, and a pool only moves to a multiple of the owner's: so
   it can't come back, and between hosts that are alike none moves, however
   unevenly they are loaded.  */

#include "jb_types.h"

/* A host as an owner of partitions.  */
struct jb_handover_host
{
  const char *name;
  uint32_t cpu_share_milli; /* of one processor, in thousandths; 0: unknown */
  uint32_t ownership_count; /* partitions that it owns or is claiming */
  bool is_claiming;         /* one of them is not its own yet */
  /* It is alive, reaches the store, and may claim partitions.  */
  bool may_claim;
  jb_time alive_since; /* without a long interruption */
};

/* Return the host among the COUNT HOSTS that should get a pool of OWNER now,
   borrowed, or NULL if the pool stays.  OWNER itself, whose `ownership_count'
   includes the pool, is not among HOSTS.  It last handed over a pool at
   LAST_HANDOVER_AT, 0 for never.  */
const struct jb_handover_host *
jb_handover_choose (const struct jb_handover_host *owner,
                    const struct jb_handover_host *hosts, uint32_t count,
                    jb_time last_handover_at, jb_time now);

#endif
