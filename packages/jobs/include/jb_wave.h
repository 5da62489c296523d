#ifndef JB_WAVE_H
#define JB_WAVE_H

/* Decides which hosts of a maintenance wave are taken out of their pools next.

   Expected load: waves of half of a fleet of several hundred hosts, while the
   demand of the pools rises and falls in turns.  A pool in a surge keeps its
   hosts as long as the time allows, and hosts that run nothing come first.  */

#include "jb_types.h"

/* A pool.  The decision updates `unavailable'.  */
struct jb_wave_pool
{
  uint32_t hosts;       /* in any state */
  uint32_t unavailable; /* of these, not up or being taken out */
  /* Fraction of the pool's CPU capacity that its finite tasks use or wait
     for.  */
  double utilisation;
};

/* A host that the wave has yet to maintain and that could be taken out.  */
struct jb_wave_host
{
  uint32_t pool; /* index */
  bool idle;     /* no task runs there */
};

struct jb_wave_time
{
  jb_time seen_at; /* when the wave was requested */
  jb_time due;     /* when it has to be completed */
};

/* Choose at most LIMIT of the HOST_COUNT HOSTS, which are in POOLS.  Write
   their indices to CHOSEN, which has room for LIMIT of them, and return how
   many they are.  */
uint32_t jb_wave_choose (struct jb_wave_pool *pools,
                         const struct jb_wave_host *hosts, uint32_t host_count,
                         const struct jb_wave_time *wave, jb_time now,
                         uint32_t *chosen, uint32_t limit);

#endif
